// Package relay decides for greengagetally-platform which entry VM of a region relays
// reports. Every entry VM reports to the relay and its stand-in. The relay sends a
// digest of the reports to all entry VMs of the region and to the relays of the other
// regions, so that what an entry VM sends does not grow with the fleet. There is no
// agreement protocol: each entry VM decides by the digests that it receives, and passes
// over a candidate that sends none.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// SilenceTimeout is how long the relay may send no digest before the next candidate is
// expected to relay. A running relay sends a few digests in this time.
const SilenceTimeout = 400 * time.Millisecond

// otherRegionSilenceTimeout takes the place of SilenceTimeout for the relay of another
// region. The relay of a large region sends there only one digest in 300 ms, and the loss of
// one must not count as silence: two relays that passed over each other would send their
// digests to entry VMs that do not forward them, until all candidates were passed over.
const otherRegionSilenceTimeout = 1100 * time.Millisecond

// Candidate is an entry VM that can become the relay of its region.
type Candidate struct {
	Name string
	Zone string
	// Strength ranks entry VMs by the capacity of their links; higher is more.
	Strength int
}

// SortCandidates sorts the candidates of a region in place, in the order in which they
// become relay: the strongest first, and equally strong ones by rendezvous hash. All
// entry VMs get the same order.
func SortCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength),
			cmp.Compare(rendezvous.Weight("relay", b.Name), rendezvous.Weight("relay", a.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Election is one entry VM's view of which candidate of a region is the relay. Times
// are counted from the start of the process.
type Election struct {
	self string
	// lastHeard is when the last digest of each entry VM came. passedOver holds the entry
	// VMs that sent no digest when they should have relayed. An entry VM stays in
	// passedOver until a digest from it comes. A running entry VM sends digests sooner or
	// later, because it never passes over itself.
	lastHeard  map[string]time.Duration
	passedOver set.Set[string]
	// expectedRelay is the name of the entry VM that should relay since the time
	// expectedSince.
	expectedRelay string
	expectedSince time.Duration
}

// New returns the Election of the entry VM named self in its own region. With an empty
// self the Election is for another region, where this entry VM is no candidate.
func New(self string) *Election {
	return &Election{self: self, lastHeard: map[string]time.Duration{}}
}

// Heard records that a digest of the named entry VM came.
func (e *Election) Heard(now time.Duration, name string) {
	e.lastHeard[name] = now
	e.passedOver = e.passedOver.Without(name)
}

// Accepts reports whether a digest of the named entry VM counts. A digest of the relay
// always counts. Another digest counts only while the relay is silent, and never while
// this entry VM is the relay. An entry VM that receives no digests takes itself for the
// relay. Its digest covers only a part of the region and must not replace the relay's
// digest of the whole region.
func (e *Election) Accepts(now time.Duration, name string, candidates []Candidate) bool {
	relay, _ := e.RelayAndStandIn(now, candidates)

	return relay == name || relay != e.self && now-e.lastHeard[relay] > SilenceTimeout
}

// RelayAndStandIn returns the names of the relay and its stand-in, from candidates in
// the order of SortCandidates. The stand-in is in another availability zone if
// possible, and "" if there is no second candidate.
//
// Both names are "" if there are no candidates. When all candidates of another region
// have been silent, a single call also returns "" for both. Later calls expect these
// candidates to relay again, one after the other.
func (e *Election) RelayAndStandIn(now time.Duration, candidates []Candidate) (relay, standIn string) {
	for i, c := range candidates {
		if e.passedOver.Has(c.Name) {
			continue
		}
		if e.isSilent(now, c.Name) {
			e.passedOver = e.passedOver.With(c.Name)

			continue
		}

		return c.Name, e.standIn(c, candidates[i+1:])
	}
	e.passedOver = set.New[string]()

	return "", ""
}

// isSilent records the named entry VM as the expected relay and reports whether it is
// silent. It is silent if, for longer than SilenceTimeout or otherRegionSilenceTimeout, it has been expected to
// relay and has sent no digest. This entry VM itself is never silent.
func (e *Election) isSilent(now time.Duration, name string) bool {
	if e.expectedRelay != name {
		e.expectedRelay, e.expectedSince = name, now
	}

	timeout := SilenceTimeout
	if e.self == "" {
		timeout = otherRegionSilenceTimeout
	}

	return name != e.self && now-max(e.lastHeard[name], e.expectedSince) > timeout
}

// standIn returns the first candidate in rest that is in another availability zone than
// the relay. If there is none, it returns the first candidate in the same zone, or "".
func (e *Election) standIn(relay Candidate, rest []Candidate) string {
	sameZone := ""
	for _, c := range rest {
		if e.passedOver.Has(c.Name) {
			continue
		}
		if c.Zone != relay.Zone {
			return c.Name
		}
		if sameZone == "" {
			sameZone = c.Name
		}
	}

	return sameZone
}
