package direct_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/value/status"
)

// modelRequest is what the model knows of a request.
type modelRequest struct {
	route    intent.Route
	customer intent.Customer
	// currentServers are the IDs of the servers that have the request now, by whether the
	// attempt is a hedge.
	currentServers map[bool]string
	// lateAt is when HedgeDue is due, 0 if it is not.
	lateAt time.Duration
	// attempts counts the servers that the request may have reached. mayHaveRun is true
	// when one of these servers may have run the request.
	attempts    int
	mayHaveRun  bool
	hasResponse bool
	// status is that of the newest response.
	status       int
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
	// hedgeShare is the share of hedges that operators allow.
	hedgeShare float64
	// arrivals, hedges and repeats are the times of the requests, the hedges, and the attempts
	// beyond the first, hedges included.
	arrivals, hedges, repeats []time.Duration
	isStopping                bool
}

func newModel(hedgeShare float64) *model {
	m := &model{
		requests: map[direct.RequestID]*modelRequest{}, servers: map[string]direct.Server{}, goneServers: set.New[string](),
		leavingServers: set.New[string](), pauses: map[string]time.Duration{}, hedgeShare: hedgeShare,
		state: direct.New(direct.Settings{
			Name: "entry", Zone: "z0", Region: "r0", Seed: 7, RetryRatio: 0.2, RetryAllowance: 30,
			RetryWindow: 10 * time.Second, MaxShift: 0.15, FaultTime: 4 * time.Second, WarmupFactor: 1.5, WarmupAllowance: 5,
			HedgeShares: direct.HedgeShares{Default: hedgeShare},
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
		if e.Hedge {
			m.checkHedge(t, r, e)
		} else {
			require.Empty(t, r.currentServers, "a request is at two servers")
		}
		if e.Hedge || r.attempts > 0 {
			m.repeats = append(m.repeats, m.now)
			require.LessOrEqual(t, float64(m.countRecent(m.repeats)), 0.2*0.9*float64(m.countRecent(m.arrivals))+0.45*30, "the retry budget is exceeded")
		}
		require.True(t, m.hedgeShare > 0 || e.LateAt == 0, "hedges are off")
		require.False(t, r.mayHaveRun && !r.route.Idempotent, "a request that may have run is sent again")
		require.Less(t, r.attempts+len(r.currentServers), r.route.MaxAttempts, "a request reaches too many servers")
		require.False(t, r.triedServers.Has(e.Server.ID), "a request returns to a server")
		server := m.servers[e.Server.ID]
		require.False(t, server.Leaving || m.goneServers.Has(e.Server.ID), "a leaving server gets a request")
		require.False(t, m.leavingServers.Has(e.Server.ID), "a server that said it is leaving gets a request")
		require.GreaterOrEqual(t, m.now, m.pauses[e.Server.ID], "a server that asked for a pause gets a request")
		require.True(t, r.route.Homes.Len() == 0 || r.route.Homes.Has(server.Region), "a request leaves its home regions")
		require.True(t, r.customer.Homes.Len() == 0 || r.customer.Homes.Has(server.Region), "a request leaves the home regions of its customer")
		require.LessOrEqual(t, e.Deadline, m.now+r.route.Timeout)
		r.currentServers[e.Hedge], r.holding = e.Server.ID, false
		r.lateAt = e.LateAt
		r.triedServers = r.triedServers.With(e.Server.ID)
	case direct.Cancel:
		r := m.requests[e.ID]
		require.True(t, r.hasResponse, "an attempt is cancelled without an answer of another")
		require.NotEmpty(t, r.currentServers[e.Hedge])
		delete(r.currentServers, e.Hedge)
	case direct.Probe:
		require.GreaterOrEqual(t, m.now, m.pauses[e.Server.ID], "a server that asked for a pause gets a probe")
	case direct.Hold:
		m.requests[e.ID].holding = true
	case direct.Refuse:
		r := m.end(t, e.ID)
		require.False(t, r.mayHaveRun, "a caller is told that a request has not run, but it may have")
		require.Positive(t, e.RetryAfter)
	case direct.ReturnResponse:
		r := m.end(t, e.ID)
		require.True(t, r.hasResponse, "a response is returned although there is none")
		require.False(t, !r.route.Idempotent && status.SaysNotRun(r.status), "a response says that a request has not run, but it may have")
	case direct.Fail:
		require.True(t, m.end(t, e.ID).mayHaveRun, "a caller is told that a request may have run, but it has not")
	}
}

// checkHedge checks a second attempt beside the first, and the share of such attempts.
func (m *model) checkHedge(t *rapid.T, r *modelRequest, e direct.Send) {
	require.True(t, r.route.Idempotent, "a request that may not be repeated is at two servers")
	require.NotEmpty(t, r.currentServers[false], "a hedge without a first attempt")
	require.Empty(t, r.currentServers[true], "a request gets two hedges")
	require.Less(t, m.servers[e.Server.ID].ColdFor, time.Millisecond, "a cold server gets a hedge")
	require.False(t, m.isStopping, "a stopping entry VM sends a hedge")
	require.Positive(t, m.hedgeShare, "hedges are off")
	m.hedges = append(m.hedges, m.now)
	require.LessOrEqual(t, float64(m.countRecent(m.hedges)), m.hedgeShare*float64(m.countRecent(m.arrivals))+1, "too many hedges")
}

// countRecent counts the times of the last ten seconds.
func (m *model) countRecent(times []time.Duration) int {
	n := 0
	for _, at := range times {
		if at > m.now-10*time.Second {
			n++
		}
	}

	return n
}

// addServer lists another server.
func (m *model) addServer(t *rapid.T, region string, slots int, coldFor time.Duration) {
	id := fmt.Sprint("server-", m.nextServer)
	m.nextServer++
	m.servers[id] = direct.Server{ID: id, Address: id, Service: "s", Zone: "z0", Region: region, Slots: slots, ColdFor: coldFor}
	m.listServers(t)
}

// arrive lets a request arrive.
func (m *model) arrive(t *rapid.T, route intent.Route, customer intent.Customer, object int, left time.Duration) {
	m.lastID++
	m.requests[m.lastID] = &modelRequest{route: route, customer: customer, currentServers: map[bool]string{}}
	m.arrivals = append(m.arrivals, m.now)
	m.apply(t, direct.RequestArrived{At: direct.At(m.now), ID: m.lastID, Route: route, Customer: customer, Object: fmt.Sprint(object), Deadline: m.now + left})
}

// learn lets enough requests be answered that late attempts are known.
func (m *model) learn(t *rapid.T) {
	for range 4 {
		m.addServer(t, "r1", 3, 0)
	}
	for i := range 240 {
		m.arrive(t, m.routes[i%2], intent.Customer{}, i, time.Second)
		m.now += time.Duration(10+i%20) * time.Millisecond
		r := m.requests[m.lastID]
		r.hasResponse, r.attempts, r.mayHaveRun = true, 1, true
		clear(r.currentServers)
		m.apply(t, direct.AttemptEnded{At: direct.At(m.now), ID: m.lastID, Outcome: direct.Answered, Status: 200})
	}
}

// end records that a request gets its final response.
func (m *model) end(t *rapid.T, id direct.RequestID) *modelRequest {
	r := m.requests[id]
	require.False(t, r.ended, "a request ends twice")
	require.Empty(t, r.currentServers, "a request ends while a server has it")
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
		m := newModel(rapid.SampledFrom([]float64{0, 0.02, 0.5}).Draw(t, "hedge share"))
		// Among servers that stay and mostly answer there are more hedges.
		calm := rapid.Bool().Draw(t, "calm")
		if calm || rapid.Bool().Draw(t, "learned") {
			m.learn(t)
		}
		actions := map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				m.apply(t, direct.Tick{At: direct.At(m.now)})
			},
			"add server": func(t *rapid.T) {
				m.addServer(t, fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "region")),
					rapid.IntRange(1, 3).Draw(t, "slots"), time.Duration(rapid.IntRange(0, 1).Draw(t, "cold"))*time.Second)
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
				route := rapid.SampledFrom(m.routes).Draw(t, "route")
				customer := intent.Customer{Homes: set.New(rapid.SampledFrom([][]string{nil, {"r0"}, {"r0", "r1"}}).Draw(t, "homes")...)}
				m.arrive(t, route, customer, rapid.IntRange(0, 5).Draw(t, "object"), time.Duration(rapid.IntRange(1, 20).Draw(t, "time left"))*100*time.Millisecond)
			},
			"attempt ends": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(r *modelRequest) bool { return len(r.currentServers) > 0 })
				hedge := r.currentServers[false] == "" || r.currentServers[true] != "" && rapid.Bool().Draw(t, "hedge ends")
				ev := direct.AttemptEnded{
					At: direct.At(m.now), ID: id, Hedge: hedge, Outcome: direct.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
					TimedOut: rapid.Bool().Draw(t, "timed out"),
					Load:     option.Some(direct.Load{RunningRequests: 1, Slowdown: 1}),
				}
				if calm && rapid.IntRange(0, 3).Draw(t, "failure") > 0 {
					ev.Outcome = direct.Answered
				}
				if ev.Outcome == direct.Answered {
					ev.Status = rapid.SampledFrom([]int{200, 404, 500, 504, 408, 421, 429, 503}).Draw(t, "status")
					r.hasResponse, r.status = true, ev.Status
				}
				if ev.Outcome == direct.NotRun || ev.Outcome == direct.Unknown {
					ev.OtherInstance = rapid.IntRange(0, 7).Draw(t, "another server") == 0
				}
				if !calm && ev.Outcome >= direct.NotRun && rapid.IntRange(0, 3).Draw(t, "notice") == 0 {
					m.drawNotice(t, r.currentServers[hedge], &ev)
				}
				delete(r.currentServers, hedge)
				if ev.Outcome != direct.NotSent {
					r.attempts++
				}
				r.mayHaveRun = r.mayHaveRun || ev.Outcome == direct.Unknown || ev.Outcome == direct.Answered
				m.apply(t, ev)
			},
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "stop") > 0 || m.isStopping {
					t.Skip("no stop")
				}
				m.isStopping = true
				m.apply(t, direct.StopRequested{At: direct.At(m.now), AnswerBy: m.now + time.Second})
			},
			"hedge is due": func(t *rapid.T) {
				// It may come too early, too late or twice.
				onTime := rapid.IntRange(0, 3).Draw(t, "on time") > 0
				id, r := m.pickRequest(t, func(r *modelRequest) bool { return r.lateAt > 0 || !onTime })
				if onTime {
					m.now = max(m.now, r.lateAt)
				}
				m.apply(t, direct.HedgeDue{At: direct.At(m.now), ID: id})
			},
			"hold expires": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(r *modelRequest) bool { return r.holding })
				m.apply(t, direct.HoldExpired{At: direct.At(m.now), ID: id})
				require.True(t, r.ended || len(r.currentServers) > 0, "a request waits longer than its Hold effect allows")
			},
			"caller leaves": func(t *rapid.T) {
				id, r := m.pickRequest(t, func(*modelRequest) bool { return true })
				m.apply(t, direct.CallerLeft{At: direct.At(m.now), ID: id})
				r.ended = true
				clear(r.currentServers)
			},
			// rapid runs the action without a name at the start and after every other action.
			"": func(t *rapid.T) {
				inFlight := 0
				for _, r := range m.requests {
					for _, server := range r.currentServers {
						if !m.goneServers.Has(server) {
							inFlight++
						}
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
		}
		if calm {
			maps.DeleteFunc(actions, func(name string, _ func(*rapid.T)) bool {
				return slices.Contains([]string{"add server", "server is unlisted for a moment", "server leaves", "stop"}, name)
			})
		}
		t.Repeat(actions)
	})
}
