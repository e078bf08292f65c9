package caller

import (
	"slices"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// carryBackoff is how long an entry is avoided after a carried request failed
// there. A dead entry counts as live for about 5 s, until peers detect it.
const carryBackoff = time.Second

// carryTargets records the load and the failures of the entries that requests are
// carried to, by VM.
type carryTargets struct {
	// inFlight counts, by entry, the carried requests that have not ended.
	inFlight map[string]int
	// backedOff holds the time until which an entry that failed is avoided.
	backedOff map[string]time.Duration
}

func newCarryTargets() carryTargets {
	return carryTargets{inFlight: make(map[string]int), backedOff: make(map[string]time.Duration)}
}

// attemptEnded records the end of a carried attempt. An attempt that did not reach
// the entry, or whose connection broke, starts the backoff of the entry. Any other
// result ends the backoff.
func (c carryTargets) attemptEnded(now time.Duration, vm string, result event.Result) {
	if c.inFlight[vm]--; c.inFlight[vm] <= 0 {
		delete(c.inFlight, vm)
	}
	if result == event.ResultNotSent || result == event.ResultBroken {
		c.backedOff[vm] = now + carryBackoff
	} else {
		delete(c.backedOff, vm)
	}
}

// carry sends a request to another entry of the given region, which may be the own
// region. For a retry, region is "": the request goes to the region of the attempt
// before.
func (t *requestTable) carry(r *request, region string) {
	if r.Carried {
		t.reportViolation("carried-once", "request %d was carried twice", r.id)
		t.refuse(r, event.ReasonNoBackend)

		return
	}
	if region != "" {
		r.region = region
	}
	candidates := t.candidates(r.region, r.tried)
	if len(candidates) == 0 {
		t.refuse(r, event.ReasonNoBackend)

		return
	}
	target := t.leastLoaded(candidates)
	if r.suspect {
		target = suspectOwner(r.Fingerprint, candidates)
	}
	if !t.maySend(r, "") {
		t.refuse(r, event.ReasonBackendFailed)

		return
	}
	id := t.startAttempt(r, attempt{entry: target.Member.VM})
	t.carryTargets.inFlight[target.Member.VM]++
	t.emit(event.CarryToEntry{Request: r.id, Attempt: id, Entry: target.Member, Region: r.region, Deadline: r.Deadline})
	t.setTimer(r)
}

// candidates returns the live entries of a region that a request may be carried to:
// all except this entry and the entries named in tried. Entries that failed within
// carryBackoff are left out unless there is no other.
func (t *requestTable) candidates(region string, tried []string) []event.EntryView {
	var usable, backedOff []event.EntryView
	for _, e := range t.deps.Entries(region) {
		vm := e.Member.VM
		switch {
		case vm == t.settings.Self.VM || slices.Contains(tried, vm):
		case t.now < t.carryTargets.backedOff[vm]:
			backedOff = append(backedOff, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return backedOff
	}

	return usable
}

// leastLoaded returns the entry with the fewest carried requests in flight, and
// chooses at random among equals.
func (t *requestTable) leastLoaded(entries []event.EntryView) event.EntryView {
	var best event.EntryView
	lowest, ties := -1, 0
	for _, e := range entries {
		n := t.carryTargets.inFlight[e.Member.VM]
		switch {
		case lowest < 0 || n < lowest:
			best, lowest, ties = e, n, 1
		case n == lowest:
			ties++
			if t.random.IntN(ties) == 0 {
				best = e
			}
		}
	}

	return best
}

// suspectOwner returns the entry that runs the suspects of a fingerprint: the entry
// with the highest weight, so that all entries choose the same owner.
func suspectOwner(fingerprint uint64, entries []event.EntryView) event.EntryView {
	return slices.MaxFunc(entries, func(a, b event.EntryView) int {
		if weight(fingerprint, a.Member.VM) < weight(fingerprint, b.Member.VM) {
			return -1
		}

		return 1
	})
}

// weight returns the weight of an entry VM for a fingerprint in rendezvous hashing.
func weight(fingerprint uint64, vm string) uint64 {
	return rendezvous.Weight(strconv.FormatUint(fingerprint, 16), vm)
}
