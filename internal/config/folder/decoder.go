package folder

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decoder converts nodes to configuration values. It adds each mistake to problems and
// continues, so that all mistakes are found.
type decoder struct {
	problems *ProblemsError
}

func newDecoder(problems *ProblemsError) *decoder {
	return &decoder{problems: problems}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// fields returns the fields of the mapping in f. It checks that their keys are known
// and that no required key is missing. For a missing required key it reports a problem
// whose Value is name, the name of the mapping.
func (d *decoder) fields(name string, f field, known, required []string) map[string]field {
	if !d.hasKind(f, mapping) {
		return nil
	}
	for _, key := range f.value.order {
		if !slices.Contains(known, key) {
			d.problems.add(f.value.fields[key].at.problem(key, "one of the keys "+strings.Join(known, ", ")))
		}
	}
	for _, key := range required {
		if _, ok := f.value.fields[key]; !ok {
			d.problems.add(f.at.problem(name, "the key "+key))
		}
	}

	return f.value.fields
}

// eachNamed calls visit for every name in a mapping from names to values, in the order in
// which the names were written. It checks the names. If the mapping is absent, eachNamed
// does nothing.
func (d *decoder) eachNamed(f field, visit func(name string, f field)) {
	if f.value == nil || !d.hasKind(f, mapping) {
		return
	}
	for _, name := range f.value.order {
		d.name(name, f.value.fields[name].at)
		visit(name, f.value.fields[name])
	}
}

// name checks that a name fits namePattern.
func (d *decoder) name(name string, at position) {
	if !namePattern.MatchString(name) {
		d.problems.add(at.problem(name, "a name of at most 63 lower-case letters, digits and hyphens"))
	}
}

// hasKind reports whether the value of f is of the wanted kind; if not, it adds a
// problem.
func (d *decoder) hasKind(f field, want kind) bool {
	if f.value.kind == want {
		return true
	}
	d.problems.add(d.valuePosition(f).problem(f.value.describe(), want.String()))

	return false
}

// valuePosition returns the position of the value of f, or of its key if there is
// no value.
func (d *decoder) valuePosition(f field) position {
	if f.value.kind == null {
		return f.at
	}

	return f.value.at
}

// text returns the scalar at key with its position, and false if the key is absent
// or its value is not a scalar.
func (d *decoder) text(fields map[string]field, key string) (string, position, bool) {
	f, ok := fields[key]
	if !ok || !d.hasKind(f, scalar) {
		return "", position{}, false
	}

	return f.value.text, f.value.at, true
}

// integer returns the whole number at key, or 0 if the key is absent. The number
// must be from low to high.
func (d *decoder) integer(fields map[string]field, key string, low, high int) int {
	text, at, ok := d.text(fields, key)
	if !ok {
		return 0
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		d.problems.add(at.problem(text, fmt.Sprintf("a whole number from %d to %d", low, high)))
	}

	return value
}

// percent returns the number before the percent sign at key, or 0 if the key is
// absent. The number must be from low to high.
func (d *decoder) percent(fields map[string]field, key string, low, high int) int {
	text, at, ok := d.text(fields, key)
	if !ok {
		return 0
	}
	digits, unit := strings.CutSuffix(text, "%")
	value, err := strconv.Atoi(digits)
	if !unit || err != nil || value < low || value > high {
		d.problems.add(at.problem(text, fmt.Sprintf("a percentage from %d%% to %d%%", low, high)))
	}

	return value
}

// duration returns the duration at key, or 0 if the key is absent. The duration must be
// from low to high.
func (d *decoder) duration(fields map[string]field, key string, low, high time.Duration) time.Duration {
	text, at, ok := d.text(fields, key)
	if !ok {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		d.problems.add(at.problem(text, fmt.Sprintf("a duration such as 60s from %s to %s", low, high)))
	}

	return value
}

var bandwidthPattern = regexp.MustCompile(`^([0-9]{1,6}(?:\.[0-9]{1,3})?)(kbit/s|Mbit/s|Gbit/s)$`)

// bitsPerSecond returns the bandwidth at key in bits per second, or 0 if the key is
// absent.
func (d *decoder) bitsPerSecond(fields map[string]field, key string) int64 {
	text, at, ok := d.text(fields, key)
	if !ok {
		return 0
	}
	match := bandwidthPattern.FindStringSubmatch(text)
	if match == nil {
		d.problems.add(at.problem(text, "a bandwidth such as 4Gbit/s, 280Mbit/s or 64kbit/s"))

		return 0
	}
	number, err := strconv.ParseFloat(match[1], 64)
	scale := map[string]float64{"kbit/s": 1e3, "Mbit/s": 1e6, "Gbit/s": 1e9}[match[2]]
	value := int64(number * scale)
	if err != nil || value < 1000 || value > 1e13 {
		d.problems.add(at.problem(text, "a bandwidth from 1kbit/s to 10000Gbit/s"))
	}

	return value
}

// timeOfDay returns the time at key in minutes after midnight UTC, or -1 if the key
// is absent.
func (d *decoder) timeOfDay(fields map[string]field, key string) int {
	text, at, ok := d.text(fields, key)
	if !ok {
		return -1
	}
	t, err := time.Parse("15:04", text)
	if err != nil || len(text) != len("05:00") {
		d.problems.add(at.problem(text, "a time of day in UTC such as 05:00"))
	}

	return t.Hour()*60 + t.Minute()
}

// address returns the IP address and port at key with their position, or the zero values
// if the key is absent.
func (d *decoder) address(fields map[string]field, key string) (netip.AddrPort, position) {
	text, at, ok := d.text(fields, key)
	if !ok {
		return netip.AddrPort{}, at
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().Zone() != "" {
		d.problems.add(at.problem(text, "a numeric address and port such as 127.1.1.1:7100"))
	}

	return address, at
}

// boolean returns the boolean at key. ok is false if the key is absent or its value
// is not a scalar.
func (d *decoder) boolean(fields map[string]field, key string) (value, ok bool) {
	text, at, ok := d.text(fields, key)
	if !ok {
		return false, false
	}
	if text != "true" && text != "false" {
		d.problems.add(at.problem(text, "true or false"))
	}

	return text == "true", true
}

// list returns the scalars of the list at key with their positions. Each scalar may
// occur only once.
func (d *decoder) list(fields map[string]field, key string) (values []string, at []position) {
	f, ok := fields[key]
	if !ok || !d.hasKind(f, sequence) {
		return nil, nil
	}
	for _, item := range f.value.items {
		if item.kind != scalar {
			d.problems.add(item.at.problem(item.describe(), scalar.String()))

			continue
		}
		if slices.Contains(values, item.text) {
			d.problems.add(item.at.problem(item.text, "each value once"))

			continue
		}
		values, at = append(values, item.text), append(at, item.at)
	}

	return values, at
}
