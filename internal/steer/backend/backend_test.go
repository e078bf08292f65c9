package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// fixedTokens holds the same number of tokens of every backend server.
type fixedTokens struct {
	state State
	held  int
}

func (t fixedTokens) Free(backend string) int { return t.held - t.state.InFlight(backend) }

func (t fixedTokens) Held(string) int64 { return int64(t.held) }

// newState returns a state and its configuration, which has one service and the
// given number of backend servers with 6 slots each.
func newState(servers int, policy string) (State, *model.Config) {
	config := &model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"svc": {Name: "svc"}},
	}
	for i := range servers {
		c := config.WithBackend(model.Backend{Name: fmt.Sprintf("b%03d", i), Service: "svc", Zone: "z1", Slots: 6})
		config = &c
	}
	s := New(Settings{Self: event.Member{VM: "e1"}, Region: "r1", Zone: "z1", Seed: 1, Policy: policy})
	s, _ = s.Handle(event.ConfigInForce{Config: config})

	return s, config
}

// serveRequest runs one short request of duration d on a backend server.
func serveRequest(s State, now time.Duration, id event.AttemptID, backend string, d time.Duration) State {
	s = s.Sent(now, SentAttempt{Attempt: id, Backend: backend, Route: "GET /x"}, fixedTokens{s, 6})
	s, _ = s.Handle(event.HeaderReceived{At: event.At(now + d), Attempt: id})
	s, _ = s.Handle(event.AttemptEnded{At: event.At(now + d), Attempt: id, Result: event.ResultComplete})

	return s
}

// warmUp sends 20 requests with the given latency to every backend server and
// returns the newest attempt.
func warmUp(s State, latency time.Duration) (State, event.AttemptID) {
	id := event.AttemptID(0)
	for range 20 {
		for _, name := range s.Names() {
			id++
			s = serveRequest(s, time.Duration(id)*time.Millisecond, id, name, latency)
		}
	}

	return s, id
}

// choiceCounts returns how often each backend server is chosen in n choices.
func choiceCounts(s State, q Query, n int) map[string]int {
	out := map[string]int{}
	q.Service = "svc"
	for range n {
		if name, verdict := s.Choose(q, fixedTokens{s, 6}); verdict == Chosen {
			out[name]++
		}
	}

	return out
}

// TestStragglerIsAvoidedBeforeItsResponse guards against work that is sent to a
// straggler because its first slow response has not arrived yet, and against a
// straggler that stays excluded after it has recovered.
func TestStragglerIsAvoidedBeforeItsResponse(t *testing.T) {
	t.Parallel()
	s, _ := newState(4, "")
	s, id := warmUp(s, 10*time.Millisecond)
	now := time.Second
	s = s.Sent(now, SentAttempt{Attempt: id + 1, Backend: "b000"}, fixedTokens{s, 6})
	now += 60 * time.Millisecond
	assert.Equal(t, []string{"b000"}, s.Stragglers(now))
	assert.NotContains(t, choiceCounts(s, Query{Now: now}, 200), "b000")
	assert.NotContains(t, choiceCounts(s, Query{Now: now, Waited: time.Hour}, 200), "b000")

	s, _ = s.Handle(event.AttemptEnded{At: event.At(now), Attempt: id + 1, Result: event.ResultCanceled})
	assert.Contains(t, choiceCounts(s, Query{Now: now + 2*time.Second}, 200), "b000")
}

// TestLongRequestMakesNoStraggler guards against a long request that makes its
// backend server look slow.
func TestLongRequestMakesNoStraggler(t *testing.T) {
	t.Parallel()
	s, _ := newState(4, "")
	s, id := warmUp(s, 10*time.Millisecond)
	now := time.Second
	s = s.Sent(now, SentAttempt{Attempt: id + 1, Backend: "b000"}, fixedTokens{s, 6})
	s = serveRequest(s, now+time.Millisecond, id+2, "b000", 10*time.Millisecond)
	assert.Empty(t, s.Stragglers(now+90*time.Millisecond), "a later request overtook the long one")

	s = s.Sent(now, SentAttempt{Attempt: id + 3, Backend: "b001"}, fixedTokens{s, 6})
	now += 100 * time.Millisecond
	assert.Equal(t, []string{"b001"}, s.Stragglers(now))
	s = s.MarkLong(now, id+3, true)
	assert.Empty(t, s.Stragglers(now), "a second attempt proved that the request is long")
}

// TestLongRoutesAreLearned guards against routes of long work that are not
// learned, and against one long request that makes its route long.
func TestLongRoutesAreLearned(t *testing.T) {
	t.Parallel()
	s, _ := newState(2, "")
	s, id := warmUp(s, 10*time.Millisecond)
	for i := range event.AttemptID(40) {
		now := 2*time.Second + time.Duration(i)*10*time.Millisecond
		s = s.Sent(now, SentAttempt{Attempt: id + i + 1, Backend: "b000", Route: "GET /heavy"}, fixedTokens{s, 99})
		s, _ = s.Handle(event.AttemptEnded{At: event.At(now + 500*time.Millisecond), Attempt: id + i + 1, Result: event.ResultComplete})
	}
	s = serveRequest(s, 4*time.Second, 1000, "b001", 500*time.Millisecond)
	assert.Equal(t, model.ClassLong, s.Class("svc", "GET /heavy", model.ClassShort))
	assert.Equal(t, model.ClassShort, s.Class("svc", "GET /x", model.ClassShort))
}

// TestColdServerRampsUp guards against using all tokens of a cold backend server at
// once.
func TestColdServerRampsUp(t *testing.T) {
	t.Parallel()
	s, config := newState(1, "")
	c := config.WithVersion(2).WithBackend(model.Backend{Name: "new", Service: "svc", Zone: "z1", Slots: 6})
	s, _ = s.Handle(event.ConfigInForce{At: event.At(time.Second), Config: &c})
	tokens := func() fixedTokens { return fixedTokens{s, 20} }
	sendAllAllowed := func(now time.Duration) int {
		for id := event.AttemptID(now); ; id++ {
			q := Query{Now: now, Service: "svc", Avoid: []string{"b000"}}
			if _, verdict := s.Choose(q, tokens()); verdict != Chosen {
				return s.InFlight("new")
			}
			s = s.Sent(now, SentAttempt{Attempt: id, Backend: "new"}, tokens())
		}
	}
	assert.Equal(t, 2, sendAllAllowed(time.Second))
	assert.Equal(t, 11, sendAllAllowed(6*time.Second))
	assert.Equal(t, 20, sendAllAllowed(11*time.Second))
}

// TestFailuresExcludeWithBackoff guards against a failed backend server that is
// tried again at once or never.
func TestFailuresExcludeWithBackoff(t *testing.T) {
	t.Parallel()
	s, _ := newState(2, "")
	now := time.Duration(0)
	for i, wait := range []time.Duration{100, 200, 400, 800} {
		id := event.AttemptID(i + 1)
		s = s.Sent(now, SentAttempt{Attempt: id, Backend: "b000"}, fixedTokens{s, 6})
		s, _ = s.Handle(event.AttemptEnded{At: event.At(now), Attempt: id, Result: event.ResultNotSent})
		now += wait * time.Millisecond
		assert.NotContains(t, choiceCounts(s, Query{Now: now - time.Millisecond}, 50), "b000")
		now += wait * time.Millisecond / 4
		assert.Contains(t, choiceCounts(s, Query{Now: now, Avoid: []string{"b001"}}, 50), "b000")
	}
}

// TestProbesAreSharedWithinZone guards against an availability zone whose entries
// together probe a backend server more than once in probeInterval, and against
// reports that the other entries of the zone do not receive.
func TestProbesAreSharedWithinZone(t *testing.T) {
	t.Parallel()
	var states []State
	views := make([]event.EntryView, 0, 3)
	for i := range 3 {
		views = append(views, event.EntryView{
			Member: event.Member{VM: fmt.Sprintf("e%d", i)}, Region: "r1", Zone: "z1", State: peerpb.EntryState_ENTRY_STATE_LIVE,
		})
	}
	for i := range 3 {
		s, _ := newState(8, "")
		s.settings.Self = views[i].Member
		states = append(states, s.WithEntries(views))
	}
	probes := map[string]int{}
	for ms := time.Duration(0); ms < 20_000; ms += 50 {
		for _, s := range states {
			_, effects := s.Handle(event.Tick{At: event.At(ms * time.Millisecond)})
			for _, e := range effects {
				probes[e.(event.ProbeBackend).Backend]++
			}
		}
	}
	assert.Len(t, probes, 8)
	for name, n := range probes {
		// The first probe comes at a random time within the first 2 s.
		assert.Contains(t, []int{9, 10}, n, name)
	}

	_, effects := states[0].Handle(event.LoadReported{Backend: "b000", Leaving: true})
	require.Len(t, effects, 2)
	message := effects[0].(event.SendToPeer)
	assert.Equal(t, "e1", message.To.VM)
	s, _ := states[1].Handle(event.PeerMessage{Message: message.Messages[0]})
	assert.True(t, s.IsLeaving("b000"))

	for range failedProbesUntilDown {
		_, effects = states[0].Handle(event.ProbeEnded{Backend: "b001"})
	}
	require.Len(t, effects, 2)
	s, _ = s.Handle(event.PeerMessage{Message: effects[0].(event.SendToPeer).Messages[0]})
	assert.NotContains(t, choiceCounts(s, Query{Now: time.Second}, 100), "b001")
}

// TestBaselinePolicies guards against baselines that do not do what their names
// say.
func TestBaselinePolicies(t *testing.T) {
	t.Parallel()
	s, _ := newState(3, "round-robin")
	for i, want := range []int{3, 3} {
		seen := map[string]bool{}
		for n := range 3 {
			name, _ := s.Choose(Query{Service: "svc"}, fixedTokens{s, 6})
			s = s.Sent(0, SentAttempt{Attempt: event.AttemptID(10*i + n + 1), Backend: name}, fixedTokens{s, 6})
			seen[name] = true
		}
		assert.Len(t, seen, want)
	}
	s, _ = newState(3, "least-in-flight")
	s = s.Sent(0, SentAttempt{Attempt: 1, Backend: "b000"}, fixedTokens{s, 6})
	assert.NotContains(t, choiceCounts(s, Query{}, 100), "b000")
	s, _ = newState(3, "two-choices")
	s, _ = s.Handle(event.LoadReported{Backend: "b001", InFlight: 5})
	got := choiceCounts(s, Query{}, 300)
	assert.NotContains(t, got, "b001", "b001 loses against either of the others")
	assert.Len(t, got, 2)
}

// BenchmarkChoose measures one choice of a backend server.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []string{"", "least-in-flight"} {
		for _, servers := range []int{24, 240} {
			b.Run(fmt.Sprintf("%s/%d", policy, servers), func(b *testing.B) {
				s, _ := newState(servers, policy)
				s, _ = warmUp(s, 10*time.Millisecond)
				tokens := &fixedTokens{s, 6}
				q := Query{Now: 5 * time.Second, Service: "svc"}
				b.ReportAllocs()
				for b.Loop() {
					q.Now += time.Microsecond
					if _, verdict := s.Choose(q, tokens); verdict != Chosen {
						b.Fatal("nothing chosen")
					}
				}
			})
		}
	}
}
