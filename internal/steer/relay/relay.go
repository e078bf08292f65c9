// Package relay decides for greengagetally-platform which entry VM of a region relays
// reports. Every entry VM reports to the relay and its stand-in. The relay sends a
// digest of the reports to all entry VMs of the region and to the relays of the other
// regions, so that what an entry VM sends does not grow with the fleet. There is no
// agreement protocol: each entry VM decides by the digests that it receives, and passes
// over a relay that is silent.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// SilenceTimeout is how long a relay may send no digest before the next candidate is
// expected to relay: the time of a few digests.
const SilenceTimeout = 400 * time.Millisecond

// Candidate is an entry VM that can become the relay of its region.
type Candidate struct {
	Name string
	Zone string
	// Strength orders entry VMs by the capacity of their links.
	Strength int
}

// SortCandidates sorts the candidates of a region in place, in the order in which they
// become relay: by strength, then by rendezvous hash. All entry VMs get the same order.
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
	// lastHeard is when the last digest of each entry VM came. passedOver are those that
	// were silent, until a digest of theirs comes. One that runs sends digests in the end,
	// because it never passes over itself.
	lastHeard  map[string]time.Duration
	passedOver set.Set[string]
	// expected is the entry VM that should relay, since expectedSince.
	expected      string
	expectedSince time.Duration
}

// New returns an election in the region of the entry VM with the name self, or in
// another region if self is empty.
func New(self string) *Election {
	return &Election{self: self, lastHeard: map[string]time.Duration{}}
}

// Heard records that a digest of an entry VM came.
func (e *Election) Heard(now time.Duration, name string) {
	e.lastHeard[name] = now
	e.passedOver = e.passedOver.Without(name)
}

// Accepts reports whether the digest of an entry VM counts: that of the expected relay,
// or any while the expected one is silent. An entry VM that sees only a part of the
// region relays for itself; its digest must not replace the counts of the whole region.
func (e *Election) Accepts(now time.Duration, name string, candidates []Candidate) bool {
	relay, _ := e.RelayAndStandIn(now, candidates)

	return relay == name || relay != e.self && now-e.lastHeard[relay] > SilenceTimeout
}

// RelayAndStandIn returns the names of the relay and its stand-in, if possible in
// another availability zone, from sorted candidates. They are empty without candidates,
// and for a moment when all candidates of another region were silent; then all of them
// are expected again, one after the other.
func (e *Election) RelayAndStandIn(now time.Duration, candidates []Candidate) (relay, standIn string) {
	for i, c := range candidates {
		if e.passedOver.Has(c.Name) {
			continue
		}
		if e.silent(now, c.Name) {
			e.passedOver = e.passedOver.With(c.Name)

			continue
		}

		return c.Name, e.standIn(c, candidates[i+1:])
	}
	e.passedOver = set.New[string]()

	return "", ""
}

// silent reports whether an entry VM that should relay has sent no digest for longer
// than SilenceTimeout.
func (e *Election) silent(now time.Duration, name string) bool {
	if e.expected != name {
		e.expected, e.expectedSince = name, now
	}

	return name != e.self && now-max(e.lastHeard[name], e.expectedSince) > SilenceTimeout
}

// standIn returns the first candidate in another availability zone than the relay, or
// else in the same one.
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
