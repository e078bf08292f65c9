package shift

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// whole is the sum of the fractions of a step.
const whole = 1_000_000

// step gives the traffic fractions of a service in millionths.
type step struct {
	ConfigVersion uint64            `json:"config-version"`
	Number        uint64            `json:"step"`
	Fractions     map[string]uint32 `json:"fractions"`
}

// document is the content of the key shift/<from-region>, by service.
type document struct {
	Steps map[string]step `json:"steps"`
	// Realised holds the fractions that entries surely sent lately.
	Realised map[string]map[string]uint32 `json:"realised,omitempty"`
	// Own holds the same by VM for entries that began less than two windows ago
	// and may have realised less than the others.
	Own   map[string]map[string]map[string]uint32 `json:"own,omitempty"`
	Nonce uint64                                  `json:"nonce"`
}

// newer reports whether a supersedes b.
func (s step) newer(other step) bool {
	return cmp.Or(cmp.Compare(s.Number, other.Number), cmp.Compare(s.ConfigVersion, other.ConfigVersion)) > 0
}

// targetOf returns the fractions that the operators want.
func targetOf(s model.Service, region string) map[string]uint32 {
	target := map[string]uint32{}
	sum := 0
	for _, percent := range s.Serve[region] {
		sum += percent
	}
	if sum <= 0 {
		return map[string]uint32{region: whole}
	}
	left := uint32(whole)
	names := slices.Sorted(maps.Keys(s.Serve[region]))
	for _, name := range names {
		target[name] = uint32(whole * s.Serve[region][name] / sum)
		left -= target[name]
	}
	for _, name := range names {
		if target[name] > 0 {
			target[name] += left // what rounding left over

			break
		}
	}

	return target
}

// next returns the step after s toward the target, which moves at most limit.
// It depends on nothing else, so entries that make it at once make the same.
func (s step) next(target map[string]uint32, limit, version uint64) step {
	names := slices.Sorted(maps.Keys(target))
	for _, name := range slices.Sorted(maps.Keys(s.Fractions)) {
		if _, ok := target[name]; !ok {
			names = append(names, name)
		}
	}
	distance := uint64(0)
	for _, name := range names {
		if target[name] > s.Fractions[name] {
			distance += uint64(target[name] - s.Fractions[name])
		}
	}
	moved := min(distance, limit)
	out := step{ConfigVersion: version, Number: s.Number + 1, Fractions: map[string]uint32{}}
	sum, largest := uint32(0), ""
	for _, name := range names {
		from, to := int64(s.Fractions[name]), int64(target[name])
		if distance > 0 {
			from += (to - from) * int64(moved) / int64(distance)
		}
		if from == 0 {
			continue
		}
		out.Fractions[name] = uint32(from)
		sum += uint32(from)
		if largest == "" || out.Fractions[name] > out.Fractions[largest] {
			largest = name
		}
	}
	if largest != "" {
		out.Fractions[largest] += whole - sum // a few millionths of rounding
	}

	return out
}

func (s step) message(service, from string, realised map[string]uint32) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_ShiftStep{ShiftStep: &peerpb.ShiftStep{
		Service: service, FromRegion: from, ConfigVersion: s.ConfigVersion, Step: s.Number, Fractions: s.Fractions,
		Realised: realised,
	}}}
}

func (c *core) key() string {
	return "shift/" + c.settings.Region
}

// documentRead adopts newer steps and ends the wait for the first ones.
func (c *core) documentRead(e event.DocumentRead) {
	if e.Key != c.key() {
		return
	}
	c.reading = false
	if e.Failed {
		c.retryAt = c.now + retryPause

		return
	}
	var d document
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &d); err != nil {
			c.out = append(c.out, event.WriteLog{Level: event.LevelWarn, Message: fmt.Sprintf("decode the shift document: %v", err)})
		}
	}
	c.version, c.stored, c.known = e.Version, d, true
	for name, s := range d.Steps {
		c.adopt(name, s, c.learned(d, name))
	}
	c.startUnknown()
	c.store()
}

// store writes the steps when some are newer than the stored ones.
func (c *core) store() {
	if !c.known || c.writing || c.reading {
		return
	}
	d := document{Steps: map[string]step{}, Realised: map[string]map[string]uint32{}, Nonce: c.rng.Uint64()}
	d.Own = map[string]map[string]map[string]uint32{}
	maps.Copy(d.Own, c.stored.Own)
	maps.Copy(d.Steps, c.stored.Steps)
	maps.Copy(d.Realised, c.stored.Realised)
	news := false
	for name, f := range c.flows {
		if !f.known {
			continue
		}
		if f.step.newer(c.stored.Steps[name]) {
			d.Steps[name] = f.step
			if realised := f.realised(c.now); len(realised) > 0 {
				d.Realised[name] = realised
			}
			news = true
		}
		if c.reportDue(f) {
			news = c.report(&d, name, f) || news
		}
	}
	if !news {
		return
	}
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	c.writing, c.nonce, c.written = true, d.Nonce, d
	c.out = append(c.out, event.WriteDocument{Key: c.key(), ExpectedVersion: c.version, Value: value, Nonce: d.Nonce})
}

// documentWritten reads the document again unless the write took effect: steps
// of another member may be newer, and a lost answer is decided by reading.
func (c *core) documentWritten(e event.DocumentWritten) {
	if e.Key != c.key() || e.Nonce != c.nonce {
		return
	}
	c.writing = false
	if e.Result == event.WriteDone {
		c.version, c.stored = e.Version, c.written
		c.store()

		return
	}
	c.retryAt = c.now + retryPause/10
	if e.Result != event.WriteConflict {
		c.retryAt = c.now + retryPause
	}
	c.reread = true
}
