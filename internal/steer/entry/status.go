package entry

import (
	"maps"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Status is what the status command shows about an entry VM.
type Status struct {
	// ConfigVersion is 0 before the first configuration.
	ConfigVersion uint64
	// InFlight is the number of attempts that have not ended.
	InFlight int
	// Queued is the number of requests that wait for a token.
	Queued int
	// Stopping is true once a planned stop was requested.
	Stopping bool
	// Pools has one element for each backend server of the region.
	Pools []PoolStatus
	// Links has one element for each link that this entry has had a share of or has
	// had bytes to send on.
	Links []LinkStatus
	// Leaving names the backend servers that receive no new work.
	Leaving []string
	// Stragglers names the backend servers that are avoided as slow.
	Stragglers []string
	// Refusals counts refused requests by reason.
	Refusals map[event.Reason]int64
	// Violations counts failed checks by the name of the invariant.
	Violations map[string]int64
}

// PoolStatus is the use of the tokens of one backend server.
type PoolStatus struct {
	// Name is the name of the pool, such as "backend/b1".
	Name string
	// Held is the number of tokens that this entry holds, used or free.
	Held int64
	// InUse is the number of attempts in flight.
	InUse int64
}

// LinkStatus is the use of a link, which is one direction between two regions.
type LinkStatus struct {
	// From and To are names of regions.
	From, To string
	// LimitBits is this entry's share of the link's limit, in bits per second.
	LimitBits int64
	// SentBits is the number of bits granted in the last second.
	SentBits int64
	// Waiting is the number of bodies and headers that wait for bandwidth.
	Waiting int
}

// Status returns the present status, which shares no data with s.
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
			Name: "backend/" + b, Held: s.tokens.Held("backend/" + b), InUse: int64(s.backend.InFlight(b)),
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

// Divided reports whether this entry can serve because a recount (see package region)
// has divided the capacity of the region among its entry VMs, this one included. It is
// always true under the policies "no-limits" and "local-slots", which do not share
// tokens.
func (s State) Divided() bool {
	_, shared := s.tokens.(regionTokens)

	return !shared || s.region.Divided()
}

// Drained reports whether a stopping entry has nothing left to do: callers no longer
// hold its address, no request is in progress, and its tokens are handed over.
func (s State) Drained(now time.Duration) bool {
	_, shared := s.tokens.(regionTokens)

	return s.caller.Drained(now) && (!shared || s.region.HandedOver())
}

// NextTick returns when a Tick is next needed for hedges, queue times, deadlines or
// links. It returns false when none of them needs a Tick. The rest of the reducer needs
// a Tick at least every 100 ms.
func (s State) NextTick() (time.Duration, bool) {
	at, ok := s.caller.NextDue()
	if grantAt, waits := s.link.NextGrant(); waits && (!ok || grantAt < at) {
		return grantAt, true
	}

	return at, ok
}
