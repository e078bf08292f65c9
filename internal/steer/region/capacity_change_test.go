package region

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// acquireAll takes all free tokens of a backend server into use and returns how
// many each node took.
func (s *sim) acquireAll(name string) map[*node]int {
	used := map[*node]int{}
	for _, n := range s.running {
		for n.state.Free(name) > 0 {
			n.state, _ = n.state.AcquireToken(name)
			used[n]++
		}
	}

	return used
}

// setBackend puts a configuration in force in which the backend server has this
// number of slots; 0 slots remove the backend server.
func (s *sim) setBackend(name string, slots int) {
	next := s.config.WithVersion(s.config.Version + 1)
	backends := map[string]model.Backend{}
	for k, b := range next.Backends {
		backends[k] = b
	}
	delete(backends, name)
	if slots > 0 {
		backends[name] = model.Backend{Name: name, Service: "s", Zone: "z", Slots: slots}
	}
	next.Backends = backends
	s.config = &next
	s.raiseMaxTokens()
	for _, n := range s.nodes {
		n.config = &next
		s.deliver(n, event.ConfigInForce{At: event.At(s.now), Config: &next})
	}
}

// TestTokensInUseWhileCapacityChanges guards against more requests in flight than
// slots, and against tokens that stay lost. A backend server is removed or shrinks
// while requests are in flight on it, and then has its slots again.
func TestTokensInUseWhileCapacityChanges(t *testing.T) {
	t.Parallel()
	const name, slots = "x", 6
	for title, interimSlots := range map[string][]int{
		"removed":             {0},
		"shrunk":              {1},
		"removed then shrunk": {0, 2},
		"shrunk then removed": {2, 0},
	} {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			s := newSim(1, testConfig(1, 2))
			s.start("vm0")
			s.setBackend(name, slots)
			s.runUntil(20*time.Second, s.allCapacityHeld)
			require.True(t, s.allCapacityHeld())
			olderInUse := s.acquireAll(name)
			s.start("vm1") // holds no token until a recount grants it some
			s.runUntil(s.now+10*time.Second, nil)
			for _, n := range interimSlots {
				s.setBackend(name, n)
				s.runUntil(s.now+10*time.Second, nil)
			}
			s.setBackend(name, slots)
			s.runUntil(s.now+20*time.Second, nil)
			newerInUse := s.acquireAll(name)
			inFlight := 0
			for _, used := range []map[*node]int{olderInUse, newerInUse} {
				for _, n := range used {
					inFlight += n
				}
			}
			assert.LessOrEqual(t, inFlight, slots)
			for n, count := range olderInUse {
				for range count {
					n.state = n.state.ReleaseToken(name)
				}
			}
			for n, inUse := range newerInUse {
				assert.Equal(t, int64(inUse), n.state.c.backends[name].used, "the release of older requests lowered the number of tokens that newer ones use")
			}
			s.runUntil(s.now+time.Minute, s.allCapacityHeld)
			assert.True(t, s.allCapacityHeld(), "tokens stay lost after the requests have ended")
			assert.Empty(t, s.violation)
		})
	}
}

// TestRemovedPoolIsForgotten guards against pools that stay in memory after the
// last request on a removed backend server has ended.
func TestRemovedPoolIsForgotten(t *testing.T) {
	t.Parallel()
	s := newSim(1, testConfig(1, 2))
	n := s.start("vm0")
	s.setBackend("x", 2)
	s.runUntil(20*time.Second, s.allCapacityHeld)
	require.Equal(t, 2, s.acquireAll("x")[n])
	s.setBackend("x", 0)
	n.state = n.state.ReleaseToken("x").ReleaseToken("x")
	assert.NotContains(t, n.state.c.pools, BackendPoolName("x"))
	assert.NotContains(t, n.state.c.backends, "x")
}
