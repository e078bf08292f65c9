package shift

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// shares returns the part of the logged requests that each region served.
func (f *fleet) shares() map[string]float64 {
	out := map[string]float64{}
	for _, d := range f.log {
		out[d.region] += 1 / float64(len(f.log))
	}

	return out
}

// TestReplacedEntryContinues guards against a replaced entry that refuses more
// than a few requests when nothing moves, or that forgets the realised
// fractions after a region failed.
func TestReplacedEntryContinues(t *testing.T) {
	t.Parallel()
	for _, failed := range []bool{false, true} {
		f := newFleet(1, 1, 0)
		f.run(3 * testWindow)
		if failed {
			f.setUsable(set.New("a", "c"))
			f.run(12 * testWindow) // all of the traffic has moved
		}
		before := f.shares()
		f.start(0)
		f.log = nil
		f.run(testWindow)
		first := f.shares()
		f.log = nil
		f.run(testWindow)
		t.Logf("failed %v: before %v, first window %v, second window %v", failed, before, first, f.shares())
		assert.Less(t, first[""], 0.05)
		assert.Less(t, f.shares()[""], 0.05)
	}
}

// TestNewEntryLearnsFromPeer guards against a new entry that starts from the
// published step when the store does not answer: the failed region had no
// traffic when it healed, so it may receive no more than the cap.
func TestNewEntryLearnsFromPeer(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 2, 0)
	f.run(3 * testWindow)
	f.setUsable(set.New("b", "c"))
	f.run(4 * testWindow)
	f.setUsable(set.New("a", "b", "c"))
	answer := step{ConfigVersion: 1, Number: 1, Fractions: f.nodes[1].c.flows["s"].step.Fractions}.
		message("s", "a", f.nodes[1].c.flows["s"].realised(f.now))

	s := New(Settings{Region: "a", Self: event.Member{VM: "new", Incarnation: 1}}).WithUsableRegions(f.usable)
	s, _ = s.Handle(event.ConfigInForce{At: event.At(f.now), Config: f.config})
	without := &peerpb.Message{Kind: &peerpb.Message_ShiftStep{ShiftStep: &peerpb.ShiftStep{
		Service: "s", FromRegion: "a", ConfigVersion: 1, Step: 1, Fractions: map[string]uint32{"a": 600_000, "b": 400_000},
	}}}
	s, _ = s.Handle(event.PeerMessage{At: event.At(f.now), From: f.members[0], Message: without})
	assert.False(t, s.c.flows["s"].known, "a step without realised fractions was taken")
	s, _ = s.Handle(event.PeerMessage{At: event.At(f.now), From: f.members[1], Message: answer})
	sent := map[string]int{}
	const requests = 5000
	for i := range requests {
		now := f.now + time.Duration(i)*testWindow/requests
		next, region, ok := s.ChooseRegion("s", "a", now)
		s = next
		if ok {
			s = s.Sent("s", region, now)
			sent[region]++
		}
	}
	t.Logf("sent %v of %d", sent, requests)
	assert.LessOrEqual(t, sent["a"], requests*testCap/100)
	assert.Greater(t, sent["b"], requests*3/10)
}

// TestSteadyTrafficWritesNothing guards the store against a write for each
// report while nothing moves, also when few requests arrive.
func TestSteadyTrafficWritesNothing(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{20 * time.Millisecond, 1500 * time.Millisecond} {
		f := newFleet(1, 1, 0)
		f.handle(0, event.Tick{At: event.At(f.now)})
		f.handle(0, event.Tick{At: event.At(f.now)})
		writes := uint64(0)
		for end := 6 * testWindow; f.now < end; f.now += 20 * time.Millisecond {
			if f.now == 3*testWindow {
				writes = f.version
			}
			f.handle(0, event.Tick{At: event.At(f.now)})
			if f.now%pause == 0 {
				state, region, ok := f.nodes[0].ChooseRegion("s", "a", f.now)
				if ok {
					state = state.Sent("s", region, f.now)
				}
				f.nodes[0] = state
			}
		}
		t.Logf("a request each %v: %d writes in 3 windows", pause, f.version-writes)
		assert.LessOrEqual(t, f.version-writes, uint64(3))
	}
}

// TestMovementOfEntryReplacedTwice guards the cap when an entry is replaced
// again before it has realised what its peers have: its second replacement
// must not start from the higher fractions of the peers.
func TestMovementOfEntryReplacedTwice(t *testing.T) {
	t.Parallel()
	all := set.New("a", "b", "c")
	f := newFleet(0, 2, 0)
	f.run(3*testWindow + time.Second)
	f.start(0)
	f.run(time.Second)
	f.setUsable(all.Without("a"))
	f.run(4 * time.Second)
	f.start(1)
	f.run(time.Second)
	f.setUsable(all)
	f.run(6 * time.Second)
	f.start(1)
	f.run(48*time.Second + 2*testWindow)
	most, at := f.mostMoved()
	t.Logf("most movement: %.4f at %v", most, at)
	assert.LessOrEqual(t, most, testCap/100.0)
}
