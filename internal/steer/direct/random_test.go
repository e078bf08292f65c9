package direct_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// flight is what the model knows of one request.
type flight struct {
	route intent.Route
	// at is the server that has the request now, "" when none has.
	at string
	// sent counts the servers that the request may have reached, and mayHaveRun is
	// true when one of them may have run it.
	sent       int
	mayHaveRun bool
	answered   bool
	holding    bool
	ended      bool
	tried      set.Set[string]
}

// machine checks the promises of the reducer against a model, whatever the order
// of events.
type machine struct {
	state   direct.State
	now     time.Duration
	lastID  direct.RequestID
	flights map[direct.RequestID]*flight
	servers map[string]direct.Server
	gone    set.Set[string]
	routes  []intent.Route
	next    int
}

func newMachine() *machine {
	m := &machine{
		flights: map[direct.RequestID]*flight{}, servers: map[string]direct.Server{}, gone: set.New[string](),
		state: direct.New(direct.Settings{
			Name: "entry", Zone: "z0", Region: "r0", Seed: 7, RetryRatio: 0.2, RetryAllowance: 30,
			RetryWindow: 10 * time.Second, WarmupFactor: 1.5, WarmupAllowance: 5,
		}),
	}
	for i, safe := range []bool{true, false} {
		for j, homes := range []set.Set[string]{set.New[string](), set.New("r1")} {
			m.routes = append(m.routes, intent.Route{
				Name: fmt.Sprint(i, j), Host: "h", Prefix: "/", Idempotent: safe, Target: 200 * time.Millisecond, Timeout: time.Second,
				MaxAttempts: 2, Sticky: true, Homes: homes, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
			})
		}
	}
	in := intent.New(1, m.routes, map[string]intent.Service{"s": {Name: "s", HealthPath: "/health", WarmupPerSecond: 10}}, intent.Limits{})
	m.state, _ = direct.Reduce(m.state, direct.IntentChanged{Intent: in})

	return m
}

func (m *machine) apply(t *rapid.T, ev direct.Event) {
	next, effects := direct.Reduce(m.state, ev)
	m.state = next
	for _, effect := range effects {
		m.check(t, effect)
	}
}

func (m *machine) check(t *rapid.T, effect direct.Effect) {
	switch e := effect.(type) {
	case direct.Send:
		f := m.flights[e.ID]
		require.False(t, f.ended, "an ended request is sent")
		require.Empty(t, f.at, "a request is at two servers")
		require.False(t, f.mayHaveRun && !f.route.Idempotent, "a request that may have run is sent again")
		require.Less(t, f.sent, f.route.MaxAttempts, "a request reaches too many servers")
		require.False(t, f.tried.Has(e.Server.ID), "a request returns to a server")
		server := m.servers[e.Server.ID]
		require.False(t, server.Leaving || m.gone.Has(e.Server.ID), "a leaving server gets a request")
		require.True(t, f.route.Homes.Len() == 0 || f.route.Homes.Has(server.Region), "a request leaves its homes")
		require.LessOrEqual(t, e.Deadline, m.now+f.route.Timeout)
		f.at, f.holding = e.Server.ID, false
		f.tried = f.tried.With(e.Server.ID)
	case direct.Hold:
		m.flights[e.ID].holding = true
	case direct.Refuse:
		f := m.end(t, e.ID)
		require.False(t, f.mayHaveRun, "a caller is told that a request has not run which may have")
		require.Positive(t, e.RetryAfter)
	case direct.ReturnAnswer:
		require.True(t, m.end(t, e.ID).answered, "an answer is relayed that there is not")
	case direct.Fail:
		require.True(t, m.end(t, e.ID).mayHaveRun, "a request that has not run is said to be unknown")
	}
}

func (m *machine) end(t *rapid.T, id direct.RequestID) *flight {
	f := m.flights[id]
	require.False(t, f.ended, "a request ends twice")
	require.Empty(t, f.at, "a request ends while a server has it")
	f.ended = true

	return f
}

// pickFlight returns a request for which want holds, or skips the step.
func (m *machine) pickFlight(t *rapid.T, want func(*flight) bool) (direct.RequestID, *flight) {
	var ids []direct.RequestID
	for id := direct.RequestID(1); id <= m.lastID; id++ {
		if f := m.flights[id]; !f.ended && want(f) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such request")
	}
	id := rapid.SampledFrom(ids).Draw(t, "request")

	return id, m.flights[id]
}

func (m *machine) list(t *rapid.T) {
	var all []direct.Server
	for i := range m.next {
		if s, ok := m.servers[fmt.Sprint("server-", i)]; ok && !m.gone.Has(s.ID) {
			all = append(all, s)
		}
	}
	m.apply(t, direct.ServersChanged{At: direct.At(m.now), Servers: all})
}

// TestPromisesHoldInAnyOrder guards against requests that run twice, refusals
// that are untrue, too many attempts, and requests to servers that must get none.
func TestPromisesHoldInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				m.apply(t, direct.Tick{At: direct.At(m.now)})
			},
			"add server": func(t *rapid.T) {
				id := fmt.Sprint("server-", m.next)
				m.next++
				m.servers[id] = direct.Server{
					ID: id, Address: id, Service: "s", Zone: "z0", Region: fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "region")),
					Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
				}
				m.list(t)
			},
			"server leaves": func(t *rapid.T) {
				if m.next == 0 {
					t.Skip("no server")
				}
				id := fmt.Sprint("server-", rapid.IntRange(0, m.next-1).Draw(t, "server"))
				if rapid.Bool().Draw(t, "gone") {
					m.gone = m.gone.With(id)
				} else {
					s := m.servers[id]
					s.Leaving = true
					m.servers[id] = s
				}
				m.list(t)
			},
			"request": func(t *rapid.T) {
				m.lastID++
				route := rapid.SampledFrom(m.routes).Draw(t, "route")
				m.flights[m.lastID] = &flight{route: route}
				m.apply(t, direct.RequestArrived{
					At: direct.At(m.now), ID: m.lastID, Route: route, Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object")),
					Deadline: m.now + 2*time.Second, Patience: time.Duration(rapid.IntRange(1, 20).Draw(t, "patience")) * 100 * time.Millisecond,
				})
			},
			"attempt ends": func(t *rapid.T) {
				id, f := m.pickFlight(t, func(f *flight) bool { return f.at != "" })
				ev := direct.AttemptEnded{
					At: direct.At(m.now), ID: id, Outcome: direct.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
					TimedOut: rapid.Bool().Draw(t, "timed out"), OtherInstance: false,
					Load: option.Some(direct.Load{Running: 1, Slowdown: 1}),
				}
				if ev.Outcome == direct.Answered {
					ev.Status = rapid.SampledFrom([]int{200, 404, 500, 504}).Draw(t, "status")
					f.answered = true
				}
				f.at = ""
				if ev.Outcome != direct.NotSent {
					f.sent++
				}
				f.mayHaveRun = f.mayHaveRun || ev.Outcome == direct.Unknown || ev.Outcome == direct.Answered
				m.apply(t, ev)
			},
			"hold expires": func(t *rapid.T) {
				id, f := m.pickFlight(t, func(f *flight) bool { return f.holding })
				m.apply(t, direct.HoldExpired{At: direct.At(m.now), ID: id})
				require.True(t, f.ended || f.at != "", "a request waits beyond its time")
			},
			"caller leaves": func(t *rapid.T) {
				id, f := m.pickFlight(t, func(*flight) bool { return true })
				m.apply(t, direct.CallerLeft{At: direct.At(m.now), ID: id})
				f.ended, f.at = true, ""
			},
			"": func(t *rapid.T) {
				inFlight := 0
				for _, f := range m.flights {
					if f.at != "" && !m.gone.Has(f.at) {
						inFlight++
					}
				}
				reported := 0
				for _, n := range m.state.Report().InFlight {
					reported += n
				}
				// Without distances between the regions a request takes a whole slot.
				require.Equal(t, 8*inFlight, reported, "requests in flight are miscounted")
			},
		})
	})
}
