package entry

import (
	"maps"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Status is what the status command shows about an entry VM.
type Status struct {
	ConfigVersion uint64
	// InFlight is the number of attempts that have not ended.
	InFlight int
	// Queued is the number of requests that wait for a token.
	Queued   int
	Stopping bool
	Pools    []PoolStatus
	Links    []LinkStatus
	// Leaving names the backend servers that receive no new work.
	Leaving []string
	// Stragglers names the backend servers that are avoided as slow.
	Stragglers []string
	// Refusals counts refused requests by reason.
	Refusals map[event.Reason]int64
	// Violations counts failed checks by the name of the invariant.
	Violations map[string]int64
}

// PoolStatus is the use of one pool of tokens.
type PoolStatus struct {
	Name  string
	Held  int64
	InUse int64
}

// LinkStatus is the use of one direction between two regions.
type LinkStatus struct {
	From, To string
	// LimitBits is this entry's share in bits a second.
	LimitBits int64
	// SentBits are the bits granted in the last second.
	SentBits int64
	// Waiting is the number of bodies that wait for bandwidth.
	Waiting int
}

// Status returns a copy of what operators see.
func (s State) Status() Status {
	out := Status{
		ConfigVersion: s.config.Version,
		InFlight:      s.caller.InFlight(),
		Queued:        s.caller.Queued(),
		Stopping:      s.caller.Stopping(),
		Leaving:       s.backend.Leaving(),
		Stragglers:    s.backend.Stragglers(s.now),
		Refusals:      maps.Clone(s.refusals),
		Violations:    maps.Clone(s.violations),
	}
	for _, b := range s.backend.Names() {
		out.Pools = append(out.Pools, PoolStatus{
			Name: "backend/" + b, Held: s.ledger.Held("backend/" + b), InUse: int64(s.backend.InFlight(b)),
		})
	}
	for _, use := range s.link.Uses() {
		out.Links = append(out.Links, LinkStatus{
			From: use.Link.From, To: use.Link.To, LimitBits: use.ShareBits, SentBits: use.SentBits,
			Waiting: use.Waiting[0] + use.Waiting[1] + use.Waiting[2],
		})
	}

	return out
}

// Divided reports whether the capacity of the region is divided among its
// entry VMs, so that this one can serve.
func (s State) Divided() bool {
	_, shares := s.ledger.(regional)

	return !shares || s.region.Divided()
}

// Drained reports whether a stopping entry has no request in progress and has
// served new ones for as long as callers may keep its address, and whether its
// tokens are handed over.
func (s State) Drained(now time.Duration) bool {
	_, shares := s.ledger.(regional)

	return s.caller.Drained(now) && (!shares || s.region.HandedOver())
}

// NextTick returns when a Tick is needed for hedges, queue times, deadlines and
// links, or false when nothing waits. Other parts need one at least every 100 ms.
func (s State) NextTick() (time.Duration, bool) {
	at, ok := s.caller.NextDue()
	if wake, waits := s.link.Wake(); waits && (!ok || wake < at) {
		return wake, true
	}

	return at, ok
}
