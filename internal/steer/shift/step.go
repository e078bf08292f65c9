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

// whole is all traffic of a service in millionths: the sum of a step's fractions.
const whole = 1_000_000

// step holds the fractions of one step towards the target of a service.
type step struct {
	ConfigVersion uint64            `json:"config-version"`
	Number        uint64            `json:"step"`
	Fractions     map[string]uint32 `json:"fractions"` // millionths by serving region
}

// document is what the store holds under the key shift/<from-region>. Its maps
// are by service.
type document struct {
	Steps map[string]step `json:"steps"`
	// Realised holds lower bounds of the fractions that the entries sent in the last
	// window, in millionths by serving region.
	Realised map[string]map[string]uint32 `json:"realised,omitempty"`
	// RealisedByVM holds the same by VM for entries that began less than two
	// windows ago and may have realised less than the others.
	RealisedByVM map[string]map[string]map[string]uint32 `json:"own,omitempty"`
	Nonce        uint64                                  `json:"nonce"`
}

// newer reports whether s replaces the other step.
func (s step) newer(other step) bool {
	return cmp.Or(cmp.Compare(s.Number, other.Number), cmp.Compare(s.ConfigVersion, other.ConfigVersion)) > 0
}

// targetFractions returns the fractions of a region's traffic that the operators
// want, in millionths by serving region; without any, the region serves itself.
func targetFractions(s model.Service, region string) map[string]uint32 {
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

// next returns the step that follows s towards the target and moves at most
// maxMoved millionths. It depends on nothing else, so entries that compute it at
// the same time get the same step.
func (s step) next(target map[string]uint32, maxMoved, configVersion uint64) step {
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
	moved := min(distance, maxMoved)
	out := step{ConfigVersion: configVersion, Number: s.Number + 1, Fractions: map[string]uint32{}}
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

// message returns the message to peers that contains the step.
func (s step) message(service, from string, realised map[string]uint32) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_ShiftStep{ShiftStep: &peerpb.ShiftStep{
		Service: service, FromRegion: from, ConfigVersion: s.ConfigVersion, Step: s.Number, Fractions: s.Fractions,
		Realised: realised,
	}}}
}

// documentKey returns the store key of the region's document.
func (r *regionTraffic) documentKey() string {
	return "shift/" + r.settings.Region
}

// documentRead adopts newer steps. When neither the store nor a peer has a step
// of a service, that service starts at its target.
func (r *regionTraffic) documentRead(e event.DocumentRead) {
	if e.Key != r.documentKey() {
		return
	}
	r.reading = false
	if e.Failed {
		r.nextReadAt = r.now + storeRetryDelay

		return
	}
	var d document
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &d); err != nil {
			r.effects = append(r.effects, event.WriteLog{Level: event.LevelWarn, Message: fmt.Sprintf("decode the shift document: %v", err)})
		}
	}
	r.storedVersion, r.stored, r.known = e.Version, d, true
	for name, s := range d.Steps {
		r.adopt(name, s, r.initialFractions(d, name))
	}
	r.startAtTarget()
	r.writeIfChanged()
}

// writeIfChanged writes the document when a step is newer than the stored one or
// realised fractions have changed.
func (r *regionTraffic) writeIfChanged() {
	if !r.known || r.writing || r.reading {
		return
	}
	d := document{Steps: map[string]step{}, Realised: map[string]map[string]uint32{}, Nonce: r.random.Uint64()}
	d.RealisedByVM = map[string]map[string]map[string]uint32{}
	maps.Copy(d.RealisedByVM, r.stored.RealisedByVM)
	maps.Copy(d.Steps, r.stored.Steps)
	maps.Copy(d.Realised, r.stored.Realised)
	updated := false
	for name, t := range r.services {
		if !t.known {
			continue
		}
		if t.step.newer(r.stored.Steps[name]) {
			d.Steps[name] = t.step
			if realised := t.realised(r.now); len(realised) > 0 {
				d.Realised[name] = realised
			}
			updated = true
		}
		if r.recordDue(t) {
			updated = r.recordRealised(&d, name, t) || updated
		}
	}
	if !updated {
		return
	}
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	r.writing, r.nonce, r.proposed = true, d.Nonce, d
	r.effects = append(r.effects, event.WriteDocument{Key: r.documentKey(), ExpectedVersion: r.storedVersion, Value: value, Nonce: d.Nonce})
}

// documentWritten has the document read again unless the write succeeded: another
// entry may have written newer steps, and when the answer was lost only reading
// tells whether the write took effect.
func (r *regionTraffic) documentWritten(e event.DocumentWritten) {
	if e.Key != r.documentKey() || e.Nonce != r.nonce {
		return
	}
	r.writing = false
	if e.Result == event.WriteDone {
		r.storedVersion, r.stored = e.Version, r.proposed
		r.writeIfChanged()

		return
	}
	r.nextReadAt = r.now + storeRetryDelay/10
	if e.Result != event.WriteConflict {
		r.nextReadAt = r.now + storeRetryDelay
	}
	r.rereadNeeded = true
}
