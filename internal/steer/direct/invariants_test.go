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

// modelRequest is what the model knows of a request.
type modelRequest struct {
	route    intent.Route
	customer intent.Customer
	// currentServer is the ID of the server that has the request now, "" if none has.
	currentServer string
	// attempts counts the servers that the request may have reached. mayHaveRun is true
	// when one of these servers may have run the request.
	attempts     int
	mayHaveRun   bool
	hasResponse  bool
	holding      bool
	ended        bool
	triedServers set.Set[string]
}

// model checks that the effects of a reducer keep the invariants in any order of
// events.
type model struct {
	state    direct.State
	now      time.Duration
	lastID   direct.RequestID
	requests map[direct.RequestID]*modelRequest
	servers  map[string]direct.Server
	// goneServers are the IDs of the servers that are no longer listed. leavingServers are
	// those that said in a response that they are leaving, pauses the ends of the pauses
	// that servers asked for.
	goneServers    set.Set[string]
	leavingServers set.Set[string]
	pauses         map[string]time.Duration
	routes         []intent.Route
	nextServer     int
}

func newModel() *model {
	m := &model{
		requests: map[direct.RequestID]*modelRequest{}, servers: map[string]direct.Server{}, goneServers: set.New[string](),
		leavingServers: set.New[string](), pauses: map[string]time.Duration{},
		state: direct.New(direct.Settings{
			Name: "entry", Zone: "z0", Region: "r0", Seed: 7, RetryRatio: 0.2, RetryAllowance: 30,
			RetryWindow: 10 * time.Second, MaxShift: 0.15, FaultTime: 4 * time.Second, WarmupFactor: 1.5, WarmupAllowance: 5,
		}),
	}
	for i, idempotent := range []bool{true, false} {
		for j, homes := range []set.Set[string]{set.New[string](), set.New("r1")} {
			m.routes = append(m.routes, intent.Route{
				Name: fmt.Sprint(i, j), Host: "h", Prefix: "/", Idempotent: idempotent, Target: 200 * time.Millisecond, Timeout: time.Second,
				MaxAttempts: 2, Sticky: true, Homes: homes, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
			})
		}
	}
	in := intent.New(1, m.routes, map[string]intent.Service{"s": {Name: "s", HealthPath: "/health", WarmupPerSecond: 10}}, intent.Limits{})
	m.state, _ = direct.Reduce(m.state, direct.IntentChanged{Intent: in})

	return m
}

func (m *model) apply(t *rapid.T, ev direct.Event) {
	next, effects := direct.Reduce(m.state, ev)
	m.state = next
	for _, effect := range effects {
		m.check(t, effect)
	}
}

// check checks an effect against the model and updates the model.
func (m *model) check(t *rapid.T, effect direct.Effect) {
	switch e := effect.(type) {
	case direct.Send:
		r := m.requests[e.ID]
		require.False(t, r.ended, "an ended request is sent")
		require.Empty(t, r.currentServer, "a request is at two servers")
		require.False(t, r.mayHaveRun && !r.route.Idempotent, "a request that may have run is sent again")
		require.Less(t, r.attempts, r.route.MaxAttempts, "a request reaches too many servers")
		require.False(t, r.triedServers.Has(e.Server.ID), "a request returns to a server")
		server := m.servers[e.Server.ID]
		require.False(t, server.Leaving || m.goneServers.Has(e.Server.ID), "a leaving server gets a request")
		require.False(t, m.leavingServers.Has(e.Server.ID), "a server that said it is leaving gets a request")
		require.GreaterOrEqual(t, m.now, m.pauses[e.Server.ID], "a server that asked for a pause gets a request")
		require.True(t, r.route.Homes.Len() == 0 || r.route.Homes.Has(server.Region), "a request leaves its home regions")
		require.True(t, r.customer.Homes.Len() == 0 || r.customer.Homes.Has(server.Region), "a request leaves the home regions of its customer")
		require.LessOrEqual(t, e.Deadline, m.now+r.route.Timeout)
		r.currentServer, r.holding = e.Server.ID, false
		r.triedServers = r.triedServers.With(e.Server.ID)
	case direct.Probe:
		require.GreaterOrEqual(t, m.now, m.pauses[e.Server.ID], "a server that asked for a pause gets a probe")
	case direct.Hold:
		m.requests[e.ID].holding = true
	case direct.Refuse:
		r := m.end(t, e.ID)
		require.False(t, r.mayHaveRun, "a caller is told that a request has not run, but it may have")
		require.Positive(t, e.RetryAfter)
	case direct.ReturnResponse:
		require.True(t, m.end(t, e.ID).hasResponse, "a response is returned although there is none")
	case direct.Fail:
		require.True(t, m.end(t, e.ID).mayHaveRun, "a caller is told that a request may have run, but it has not")
	}
}

// end records that a request gets its final response.
func (m *model) end(t *rapid.T, id direct.RequestID) *modelRequest {
	r := m.requests[id]
	require.False(t, r.ended, "a request ends twice")
	require.Empty(t, r.currentServer, "a request ends while a server has it")
	r.ended = true

	return r
}

// pickRequest returns a request that has not ended and for which matches returns true.
// It skips the step if there is none.
func (m *model) pickRequest(t *rapid.T, matches func(*modelRequest) bool) (direct.RequestID, *modelRequest) {
	var ids []direct.RequestID
	for id := direct.RequestID(1); id <= m.lastID; id++ {
		if r := m.requests[id]; !r.ended && matches(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such request")
	}
	id := rapid.SampledFrom(ids).Draw(t, "request")

	return id, m.requests[id]
}

// drawNotice lets the server that ends an attempt say that it is leaving or wants no
// requests.
func (m *model) drawNotice(t *rapid.T, server string, ev *direct.AttemptEnded) {
	if rapid.Bool().Draw(t, "leaving") {
		ev.Leaving = true
		m.leavingServers = m.leavingServers.With(server)

		return
	}
	pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
	ev.PauseFor = option.Some(pause)
	m.pauses[server] = max(m.pauses[server], m.now+pause)
}

// listServers reports the listed servers to the reducer.
func (m *model) listServers(t *rapid.T) {
	var all []direct.Server
	for i := range m.nextServer {
		if s, ok := m.servers[fmt.Sprint("server-", i)]; ok && !m.goneServers.Has(s.ID) {
			all = append(all, s)
		}
	}
	m.apply(t, direct.ServersChanged{At: direct.At(m.now), Servers: all})
}

// TestInvariantsHoldInAnyOrder guards against requests that run twice, false statements
// that a request has not run, too many attempts, and requests to servers that must get
// none.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				m.apply(t, direct.Tick{At: direct.At(m.now)})
			},
			"add server": func(t *rapid.T) {
				id := fmt.Sprint("server-", m.nextServer)
				m.nextServer++
				m.servers[id] = direct.Server{
					ID: id, Address: id, Service: "s", Zone: "z0", Region: fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "region")),
					Slots: rapid.IntRange(1, 3).Draw(t, "slots"), ColdFor: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
				}
				m.listServers(t)
			},
			"server is unlisted for a moment": func(t *rapid.T) {
				m.apply(t, direct.ServersChanged{At: direct.At(m.now)})
				m.listServers(t)
			},
			"server leaves": func(t *rapid.T) {
				if m.nextServer == 0 {
					t.Skip("no server")
				}
				id := fmt.Sprint("server-", rapid.IntRange(0, m.nextServer-1).Draw(t, "server"))
				if rapid.Bool().Draw(t, "gone") {
					m.goneServers = m.goneServers.With(id)
				} else {
					s := m.servers[id]
					s.Leaving = true
					m.servers[id] = s
				}
				m.listServers(t)
			},
			"request": func(t *rapid.T) {
				m.lastID++
				route := rapid.SampledFrom(m.routes).Draw(t, "route")
				customer := intent.Customer{Homes: set.New(rapid.SampledFrom([][]string{nil, {"r0"}, {"r0", "r1"}}).Draw(t, "homes")...)}
				m.requests[m.lastID] = &modelRequest{route: route, customer: customer}
				m.apply(t, direct.RequestArrived{
					At: direct.At(m.now), ID: m.lastID, Route: route, Customer: customer, Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object")),
					Deadline: m.now + time.Duration(rapid.IntRange(1, 20).Draw(t, "time left"))*100*time.Millisecond,
				})
			},
			"attempt ends": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(r *modelRequest) bool { return r.currentServer != "" })
				ev := direct.AttemptEnded{
					At: direct.At(m.now), ID: id, Outcome: direct.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
					TimedOut: rapid.Bool().Draw(t, "timed out"), OtherInstance: false,
					Load: option.Some(direct.Load{RunningRequests: 1, Slowdown: 1}),
				}
				if ev.Outcome == direct.Answered {
					ev.Status = rapid.SampledFrom([]int{200, 404, 500, 504}).Draw(t, "status")
					r.hasResponse = true
				}
				if ev.Outcome >= direct.NotRun && rapid.IntRange(0, 3).Draw(t, "notice") == 0 {
					m.drawNotice(t, r.currentServer, &ev)
				}
				r.currentServer = ""
				if ev.Outcome != direct.NotSent {
					r.attempts++
				}
				r.mayHaveRun = r.mayHaveRun || ev.Outcome == direct.Unknown || ev.Outcome == direct.Answered
				m.apply(t, ev)
			},
			"hold expires": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(r *modelRequest) bool { return r.holding })
				m.apply(t, direct.HoldExpired{At: direct.At(m.now), ID: id})
				require.True(t, r.ended || r.currentServer != "", "a request waits longer than its Hold effect allows")
			},
			"caller leaves": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(*modelRequest) bool { return true })
				m.apply(t, direct.CallerLeft{At: direct.At(m.now), ID: id})
				r.ended, r.currentServer = true, ""
			},
			// rapid runs the action without a name at the start and after every other action.
			"": func(t *rapid.T) {
				inFlight := 0
				for _, r := range m.requests {
					if r.currentServer != "" && !m.goneServers.Has(r.currentServer) {
						inFlight++
					}
				}
				reported := 0
				for _, n := range m.state.Report().InFlight {
					reported += n
				}
				// Without network time between the regions a request takes a whole slot: 8
				// portions.
				require.Equal(t, 8*inFlight, reported, "requests in flight are miscounted")
			},
		})
	})
}
