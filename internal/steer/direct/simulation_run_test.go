package direct_test

import (
	"math"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
)

// run is an attempt at a simulated backend server.
type run struct {
	entry     *entry
	send      direct.Send
	roundTrip time.Duration
	backend   *backend
	// copy is the other run of a request that is sent to two servers at once, nil if there
	// is none. The entry VM learns of the first of them that ends.
	copy      *run
	startedAt time.Duration
	// running is true while the run has a slot, over when it has ended.
	running, over bool
}

// runKey identifies the runs that a reducer knows.
type runKey struct {
	id    direct.RequestID
	hedge bool
}

// Values of scenario.Former and simulation.formerPolicy for other ways to cut slow answers.
const (
	// withoutHedges is the policy without a share.
	withoutHedges = "hedges"
	// copies is a policy that sends each request to two servers at once. The first answer
	// ends the other run.
	copies = "copies"
	// tied is a policy like copies in which the run that gets a slot first ends the other.
	tied = "tied"
	// probing is a policy that asks another server for its load before each request, and
	// sends the request to the one with fewer.
	probing = "probing"
)

// runRequest runs a request at a server, at once or when a slot is free, unless the
// server sheds it.
func (sim *simulation) runRequest(r *run) {
	switch sim.formerPolicy {
	case copies, tied:
		r.copy = &run{entry: r.entry, send: r.send, roundTrip: r.roundTrip, backend: sim.leastLoaded(r.backend), copy: r}
		sim.enter(r)
		sim.enter(r.copy)
	case probing:
		if other := sim.leastLoaded(r.backend); other.load() < r.backend.load() {
			r.backend = other
		}
		sim.after(r.roundTrip, func() { sim.enter(r) })
	default:
		sim.enter(r)
	}
}

func (b *backend) load() int { return b.running + len(b.waiting) }

// leastLoaded returns another server of the same region with the fewest requests, as if all
// loads were known at once.
func (sim *simulation) leastLoaded(than *backend) *backend {
	var best *backend
	first := sim.random.IntN(len(sim.listedServers))
	for i := range sim.listedServers {
		b := sim.backends[sim.listedServers[(first+i)%len(sim.listedServers)].ID]
		if b != than && b.region == than.region && (best == nil || b.load() < best.load()) {
			best = b
		}
	}

	return best
}

// enter lets a run wait for a slot.
func (sim *simulation) enter(r *run) {
	b := r.backend
	if (sim.SheddingServers == 0 || b.number%10 < int(math.Ceil(10*sim.SheddingServers))) && sim.random.Float64() < sim.ShedShare {
		sim.endAttempt(r.entry, r.send, r.roundTrip/2, direct.NotRun, false)
		if sim.formerPolicy == toldOfPauses {
			sim.tellOfPause(r.entry, r.send.Server.ID)
		}

		return
	}
	counted := sim.callers[r.send.ID].counted
	sim.add(counted, &sim.outcome.arrivals)
	switch {
	case b.running < sim.Slots:
		b.running++
		sim.start(r)
	case sim.Room > 0 && len(b.waiting) >= sim.Room:
		sim.add(counted, &sim.outcome.turnedAway)
		sim.endAttempt(r.entry, r.send, r.roundTrip/2, direct.NotRun, false)
	default:
		b.waiting = append(b.waiting, func() { sim.start(r) })
	}
}

// start begins to work at a run that has got a slot.
func (sim *simulation) start(r *run) {
	c := sim.callers[r.send.ID]
	if r.over {
		sim.freeSlot(r.backend)

		return
	}
	r.running, r.startedAt = true, sim.now
	if sim.now >= r.send.Deadline {
		sim.end(r, r.roundTrip, direct.Unknown)

		return
	}
	if sim.formerPolicy == tied {
		sim.after(sim.roundTrip(r.backend.region, r.backend.region)/2, func() {
			if !r.copy.running {
				sim.cancel(r.copy)
			}
		})
	}
	sim.add(c.counted, &sim.outcome.begun)
	took, untilDeadline := sim.processingTime(r.backend, c), r.send.Deadline-sim.now
	if took > untilDeadline {
		sim.after(untilDeadline, func() {
			sim.add(c.counted && !r.over, &sim.outcome.inVain)
			sim.end(r, 0, direct.Unknown)
		})

		return
	}
	sim.after(took, func() { sim.end(r, r.roundTrip/2, direct.Answered) })
}

// end ends a run with an outcome that the entry VM learns, unless it is over.
func (sim *simulation) end(r *run, networkTime time.Duration, o direct.Outcome) {
	if r.over {
		return
	}
	sim.endAttempt(r.entry, r.send, networkTime, o, o == direct.Unknown)
	sim.cancel(r)
	if r.copy != nil {
		sim.after(r.roundTrip, func() { sim.cancel(r.copy) })
	}
}

// cancel ends a run without telling the entry VM.
func (sim *simulation) cancel(r *run) {
	if r.over {
		return
	}
	r.over = true
	if r.running {
		r.running = false
		if sim.callers[r.send.ID].counted {
			sim.outcome.slotTime += sim.now - r.startedAt
		}
		sim.freeSlot(r.backend)
	}
}

// freeSlot gives a slot to the next waiting request.
func (sim *simulation) freeSlot(b *backend) {
	if len(b.waiting) == 0 {
		b.running--

		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	next()
}
