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

// whole is all traffic of a service in millionths. The fractions of a step add up
// to whole.
const whole = 1_000_000

// step holds the fractions of one step towards the target of a service.
type step struct {
	ConfigVersion uint64            `json:"config-version"`
	Number        uint64            `json:"step"`
	Fractions     map[string]uint32 `json:"fractions"` // millionths by serving region
}

// document is what the store holds under the key shift/<caller region>. Its maps
// are by service.
type document struct {
	Steps map[string]step `json:"steps"`
	// Realised holds lower bounds of the fractions that the regions received in the
	// last window, in millionths by serving region.
	Realised map[string]map[string]uint32 `json:"realised,omitempty"`
	// RealisedByVM holds, for each service by VM, the realised fractions of entries
	// that started less than two windows ago. Such an entry may have realised less
	// than other entries.
	RealisedByVM map[string]map[string]map[string]uint32 `json:"own,omitempty"`
	Nonce        uint64                                  `json:"nonce"`
}

// newer reports whether s replaces the other step: s has the higher number, or
// the same number and the higher configuration version.
func (s step) newer(other step) bool {
	return cmp.Or(cmp.Compare(s.Number, other.Number), cmp.Compare(s.ConfigVersion, other.ConfigVersion)) > 0
}

// targetFractions returns the fractions that the operators set for the traffic of
// a region, in millionths by serving region. If they set none, the region serves
// all of its traffic itself.
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
			target[name] += left // remainder of rounding down

			break
		}
	}

	return target
}

// next returns the step that follows s. It moves at most maxMoved millionths of
// the traffic towards the target. The result depends only on s and the arguments,
// so all entries compute the same step.
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
		fraction, wanted := int64(s.Fractions[name]), int64(target[name])
		if distance > 0 {
			fraction += (wanted - fraction) * int64(moved) / int64(distance)
		}
		if fraction == 0 {
			continue
		}
		out.Fractions[name] = uint32(fraction)
		sum += uint32(fraction)
		if largest == "" || out.Fractions[name] > out.Fractions[largest] {
			largest = name
		}
	}
	if largest != "" {
		out.Fractions[largest] += whole - sum // remainder of rounding, a few millionths
	}

	return out
}

// message returns the message that sends the step to peers. fromRegion is the
// caller region; realised may be nil.
func (s step) message(service, fromRegion string, realised map[string]uint32) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_ShiftStep{ShiftStep: &peerpb.ShiftStep{
		Service: service, FromRegion: fromRegion, ConfigVersion: s.ConfigVersion, Step: s.Number, Fractions: s.Fractions,
		Realised: realised,
	}}}
}

// documentKey returns the store key of the region's document.
func (r *regionTraffic) documentKey() string {
	return "shift/" + r.settings.Region
}

// documentRead adopts the newer steps of the document. A service starts at its
// target when neither the document nor a peer has a step of the service.
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

// writeIfChanged writes the document if a present step is newer than the stored
// step of its service, or if realised fractions have changed.
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

// documentWritten handles the result of a write. Unless the write succeeded, the
// document is read again. After a conflict, the document may contain newer steps
// of another entry. When the answer was lost, only a read shows whether the write
// took effect.
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
