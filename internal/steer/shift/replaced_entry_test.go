package shift

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// servedFractions returns, by region, the fraction of the requests in
// sim.decisions that the region served. The key "" has the refused fraction.
func (sim *simulation) servedFractions() map[string]float64 {
	out := map[string]float64{}
	for _, d := range sim.decisions {
		out[d.region] += 1 / float64(len(sim.decisions))
	}

	return out
}

// TestReplacedEntryContinues guards against a replacement of an entry that refuses
// 5 % of the requests or more in its first or second window. In the first run, no
// traffic moves. In the second run, a region has failed, and the replacement must
// start from the realised fractions to serve the traffic of that region.
func TestReplacedEntryContinues(t *testing.T) {
	t.Parallel()
	for _, failed := range []bool{false, true} {
		sim := newSimulation(1, 1, 0)
		sim.run(3 * testWindow)
		if failed {
			sim.setUsableRegions(set.New("a", "c"))
			sim.run(12 * testWindow) // all of the traffic has moved
		}
		before := sim.servedFractions()
		sim.startEntry(0)
		sim.decisions = nil
		sim.run(testWindow)
		first := sim.servedFractions()
		sim.decisions = nil
		sim.run(testWindow)
		t.Logf("failed %v: before %v, first window %v, second window %v", failed, before, first, sim.servedFractions())
		assert.Less(t, first[""], 0.05)
		assert.Less(t, sim.servedFractions()[""], 0.05)
	}
}

// TestNewEntryStartsFromFractionsOfPeer guards against a new entry that starts
// from the fractions of a step when the store does not answer. The entry must start
// from the realised fractions of a peer. Region "a" has no traffic when it recovers
// from a failure, so it may receive no more than the cap.
func TestNewEntryStartsFromFractionsOfPeer(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 2, 0)
	sim.run(3 * testWindow)
	sim.setUsableRegions(set.New("b", "c"))
	sim.run(4 * testWindow)
	sim.setUsableRegions(set.New("a", "b", "c"))
	withRealised := step{ConfigVersion: 1, Number: 1, Fractions: sim.entries[1].traffic.services["s"].step.Fractions}.
		message("s", "a", sim.entries[1].traffic.services["s"].realised(sim.now))

	s := New(Settings{Region: "a", Self: event.Member{VM: "new", Incarnation: 1}}).WithUsableRegions(sim.usableRegions)
	s, _ = s.Handle(event.ConfigInForce{At: event.At(sim.now), Config: sim.config})
	withoutRealised := &peerpb.Message{Kind: &peerpb.Message_ShiftStep{ShiftStep: &peerpb.ShiftStep{
		Service: "s", FromRegion: "a", ConfigVersion: 1, Step: 1, Fractions: map[string]uint32{"a": 600_000, "b": 400_000},
	}}}
	s, _ = s.Handle(event.PeerMessage{At: event.At(sim.now), From: sim.members[0], Message: withoutRealised})
	assert.False(t, s.traffic.services["s"].known, "a step without realised fractions was taken")
	s, _ = s.Handle(event.PeerMessage{At: event.At(sim.now), From: sim.members[1], Message: withRealised})
	sent := map[string]int{}
	const requests = 5000
	for i := range requests {
		now := sim.now + time.Duration(i)*testWindow/requests
		nextState, region, ok := s.ChooseRegion("s", "a", now)
		s = nextState
		if ok {
			s = s.Sent("s", region, now)
			sent[region]++
		}
	}
	t.Logf("sent %v of %d", sent, requests)
	assert.LessOrEqual(t, sent["a"], requests*testCap/100)
	assert.Greater(t, sent["b"], requests*3/10)
}

// TestSteadyTrafficWritesLittle guards against an entry that writes realised
// fractions to the store as often as it may although no traffic moves. It covers
// many and few requests.
func TestSteadyTrafficWritesLittle(t *testing.T) {
	t.Parallel()
	for _, requestInterval := range []time.Duration{20 * time.Millisecond, 1500 * time.Millisecond} {
		sim := newSimulation(1, 1, 0)
		sim.handle(0, event.Tick{At: event.At(sim.now)})
		sim.handle(0, event.Tick{At: event.At(sim.now)})
		writes := uint64(0)
		for end := 6 * testWindow; sim.now < end; sim.now += 20 * time.Millisecond {
			if sim.now == 3*testWindow {
				writes = sim.storedVersion
			}
			sim.handle(0, event.Tick{At: event.At(sim.now)})
			if sim.now%requestInterval == 0 {
				state, region, ok := sim.entries[0].ChooseRegion("s", "a", sim.now)
				if ok {
					state = state.Sent("s", region, sim.now)
				}
				sim.entries[0] = state
			}
		}
		t.Logf("a request each %v: %d writes in 3 windows", requestInterval, sim.storedVersion-writes)
		assert.LessOrEqual(t, sim.storedVersion-writes, uint64(3))
	}
}

// TestMovementOfEntryReplacedTwice guards the cap when an entry is replaced twice
// in a short time. The first replacement has not yet realised the fractions of its
// peers, so the second must not start from the higher fractions of the peers.
func TestMovementOfEntryReplacedTwice(t *testing.T) {
	t.Parallel()
	all := set.New("a", "b", "c")
	sim := newSimulation(0, 2, 0)
	sim.run(3*testWindow + time.Second)
	sim.startEntry(0)
	sim.run(time.Second)
	sim.setUsableRegions(all.Without("a"))
	sim.run(4 * time.Second)
	sim.startEntry(1)
	sim.run(time.Second)
	sim.setUsableRegions(all)
	sim.run(6 * time.Second)
	sim.startEntry(1)
	sim.run(48*time.Second + 2*testWindow)
	greatest, at := sim.greatestRise()
	t.Logf("greatest rise: %.4f at %v", greatest, at)
	assert.LessOrEqual(t, greatest, testCap/100.0)
}
