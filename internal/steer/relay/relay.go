// Package relay decides which entry VM of a region relays reports. Every entry VM
// reports to the relay and its stand-in; the relay tells all of the region, and the
// relays of the other regions, what the region does together. So what an entry VM
// sends does not grow with the fleet. Nothing is agreed: each entry VM decides by
// what it hears, and a relay that is silent is passed over.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// SilenceTimeout is how long a relay may be silent before the next one is expected to
// relay: a few of its digests.
const SilenceTimeout = 400 * time.Millisecond

// Candidate is an entry VM that may relay.
type Candidate struct {
	Name string
	Zone string
	// Strength orders entry VMs by the capacity of their links.
	Strength int
}

// SortCandidates sorts candidates in place, those that relay first in front; all entry VMs
// order them alike.
func SortCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength),
			cmp.Compare(rendezvous.Weight("relay", b.Name), rendezvous.Weight("relay", a.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Election is what one entry VM knows of the relays of a region.
type Election struct {
	self string
	// heard is when each entry VM relayed last. Those that were silent are passed over
	// until they relay: one that lives does so, because it does not await itself.
	heard  map[string]time.Duration
	passed set.Set[string]
	// expected is the entry VM whose digests are awaited, since when.
	expected string
	since    time.Duration
}

// New returns the election as an entry VM sees it; self is empty for a region that
// is not its own.
func New(self string) *Election {
	return &Election{self: self, heard: map[string]time.Duration{}}
}

// Heard notes that an entry VM relayed.
func (e *Election) Heard(now time.Duration, name string) {
	e.heard[name] = now
	e.passed = e.passed.Without(name)
}

// Accepts reports whether the digest of an entry VM counts: that of the expected
// relay, or any while the expected one is silent. One that sees only a part of the
// region, and relays for itself, must not replace the counts of the others.
func (e *Election) Accepts(now time.Duration, name string, order []Candidate) bool {
	first, _ := e.RelayAndStandIn(now, order)

	return first == name || first != e.self && now-e.heard[first] > SilenceTimeout
}

// RelayAndStandIn returns the entry VM that relays and its stand-in, if possible in another
// availability zone. They are empty without candidates, and for a moment when all of
// a region that is not the own one were silent; then all are awaited again.
func (e *Election) RelayAndStandIn(now time.Duration, order []Candidate) (first, standIn string) {
	for i, c := range order {
		if e.passed.Has(c.Name) {
			continue
		}
		if e.silent(now, c.Name) {
			e.passed = e.passed.With(c.Name)

			continue
		}

		return c.Name, e.standIn(c, order[i+1:])
	}
	e.passed = set.New[string]()

	return "", ""
}

// silent reports whether an entry VM that should relay has not done so for long.
func (e *Election) silent(now time.Duration, name string) bool {
	if e.expected != name {
		e.expected, e.since = name, now
	}

	return name != e.self && now-max(e.heard[name], e.since) > SilenceTimeout
}

func (e *Election) standIn(of Candidate, rest []Candidate) string {
	best := ""
	for _, c := range rest {
		if e.passed.Has(c.Name) {
			continue
		}
		if c.Zone != of.Zone {
			return c.Name
		}
		if best == "" {
			best = c.Name
		}
	}

	return best
}
