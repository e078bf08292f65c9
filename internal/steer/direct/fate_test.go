package direct_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// twins are two entry VMs that get the same events, but for what a property says should
// make no difference. Their effects must be the same.
type twins struct {
	states   [2]direct.State
	now      time.Duration
	lastID   direct.RequestID
	inFlight []direct.RequestID
	holding  []direct.RequestID
}

// newTwins returns entry VMs with two full regions of servers. The routes are those of each
// twin's configuration.
func newTwins(routes [2]intent.Route) *twins {
	tw := &twins{}
	var servers []direct.Server
	services := map[string]intent.Service{}
	for i := range 8 {
		id, service := fmt.Sprint("server-", i), fmt.Sprint("s", i%2)
		servers = append(servers, direct.Server{ID: id, Address: id, Service: service, Zone: "z", Region: fmt.Sprint("r", i/2%2), Slots: 1})
		services[service] = intent.Service{Name: service, HealthPath: "/health"}
	}
	for i := range tw.states {
		tw.states[i] = direct.New(direct.Settings{
			Name: "entry", Zone: "z", Region: "r0", Seed: 7, RetryRatio: 0.2, RetryAllowance: 30, RetryWindow: 10 * time.Second, MaxShift: 0.15, FaultTime: 4 * time.Second,
		})
		in := intent.New(1, []intent.Route{routes[i]}, services, intent.Limits{})
		tw.applyTo(i, direct.IntentChanged{Intent: in})
		tw.applyTo(i, direct.EntryVMsChanged{Names: []string{"entry", "other"}})
		tw.applyTo(i, direct.ServersChanged{Servers: servers})
	}

	return tw
}

// applyTo passes an event to one of the twins and describes the effects.
func (tw *twins) applyTo(i int, ev direct.Event) string {
	next, effects := direct.Reduce(tw.states[i], ev)
	tw.states[i] = next
	var out strings.Builder
	for _, effect := range effects {
		switch e := effect.(type) {
		case direct.Send:
			fmt.Fprintf(&out, "send %d to %s until %s\n", e.ID, e.Server.ID, e.Deadline)
		case direct.Hold:
			fmt.Fprintf(&out, "hold %d until %s\n", e.ID, e.Until)
		case direct.Refuse:
			fmt.Fprintf(&out, "refuse %d %s return after %s\n", e.ID, e.Reason, e.RetryAfter)
		default:
			fmt.Fprintf(&out, "%T %+v\n", e, e)
		}
		if i == 0 {
			tw.track(effect)
		}
	}

	return out.String()
}

// track notes which requests are in flight and which wait.
func (tw *twins) track(effect direct.Effect) {
	without := func(ids []direct.RequestID, id direct.RequestID) []direct.RequestID {
		var out []direct.RequestID
		for _, other := range ids {
			if other != id {
				out = append(out, other)
			}
		}

		return out
	}
	switch e := effect.(type) {
	case direct.Send:
		tw.inFlight, tw.holding = append(tw.inFlight, e.ID), without(tw.holding, e.ID)
	case direct.Hold:
		tw.holding = append(tw.holding, e.ID)
	case direct.Refuse:
		tw.holding = without(tw.holding, e.ID)
	}
}

// apply passes an event to each twin and requires equal effects.
func (tw *twins) apply(t *rapid.T, events [2]direct.Event) {
	first, second := tw.applyTo(0, events[0]), tw.applyTo(1, events[1])
	require.Equal(t, first, second, "the twins differ at %s after %T", tw.now, events[0])
}

// live draws what happens until the end of the test. arrival returns the event of a new
// request for each twin.
func (tw *twins) live(t *rapid.T, arrival func(id direct.RequestID) [2]direct.Event) {
	both := func(ev direct.Event) [2]direct.Event { return [2]direct.Event{ev, ev} }
	t.Repeat(map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			tw.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			tw.apply(t, both(direct.Tick{At: direct.At(tw.now)}))
		},
		"request": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "requests") {
				tw.lastID++
				tw.apply(t, arrival(tw.lastID))
			}
		},
		"attempt ends": func(t *rapid.T) {
			if len(tw.inFlight) == 0 {
				t.Skip("no request in flight")
			}
			at := rapid.IntRange(0, len(tw.inFlight)-1).Draw(t, "request")
			id := tw.inFlight[at]
			tw.inFlight = append(tw.inFlight[:at:at], tw.inFlight[at+1:]...)
			outcome := rapid.SampledFrom([]direct.Outcome{direct.Answered, direct.Answered, direct.Answered, direct.NotRun, direct.Unknown}).Draw(t, "outcome")
			tw.apply(t, both(direct.AttemptEnded{At: direct.At(tw.now), ID: id, Outcome: outcome, Status: 200}))
		},
		"hold expires": func(t *rapid.T) {
			if len(tw.holding) == 0 {
				t.Skip("no request waits")
			}
			tw.apply(t, both(direct.HoldExpired{At: direct.At(tw.now), ID: rapid.SampledFrom(tw.holding).Draw(t, "request")}))
		},
	})
}

var fateRoute = intent.Route{
	Name: "route", Host: "h", Prefix: "/", Idempotent: true, Target: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Sticky: true,
	ServiceWeights: []intent.ServiceWeight{{Service: "s0", Weight: 1}, {Service: "s1", Weight: 1}},
}

// TestFirstTriesAndRepeatsAreDecidedAlike guards against entry VMs that guess from the
// patience that a caller states whether it has asked before, and let those that have wait
// for the slots that others leave. A caller that is patient for longer than the route's
// timeout has as much time left at its first try as later.
func TestFirstTriesAndRepeatsAreDecidedAlike(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tw := newTwins([2]intent.Route{fateRoute, fateRoute})
		tw.live(t, func(id direct.RequestID) [2]direct.Event {
			ev := direct.RequestArrived{At: direct.At(tw.now), ID: id, Route: fateRoute, Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object"))}
			first, repeat := ev, ev
			first.Deadline = tw.now + 6*time.Second
			repeat.Deadline = tw.now + 2*time.Second
			if rapid.Bool().Draw(t, "both are first tries") {
				repeat = first
			}

			return [2]direct.Event{first, repeat}
		})
	})
}

// TestFateDoesNotChangeWithTheTarget guards against waits and refusals at a share of the
// route's target: callers whose requests the servers could have answered in the callers'
// time were turned away.
func TestFateDoesNotChangeWithTheTarget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		routes := [2]intent.Route{fateRoute, fateRoute}
		routes[1].Target *= time.Duration(rapid.SampledFrom([]int{2, 4, 10}).Draw(t, "times"))
		tw := newTwins(routes)
		tw.live(t, func(id direct.RequestID) [2]direct.Event {
			left := time.Duration(rapid.IntRange(1, 30).Draw(t, "time left")) * 100 * time.Millisecond
			var events [2]direct.Event
			ev := direct.RequestArrived{At: direct.At(tw.now), ID: id, Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object")), Deadline: tw.now + left}
			for i := range events {
				ev.Route = routes[i]
				events[i] = ev
			}

			return events
		})
	})
}

// TestDecisionsRepeat guards against decisions that depend on more than the events, such as
// the order of a map: a day could not be played again to find the cause of a fault.
func TestDecisionsRepeat(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tw := newTwins([2]intent.Route{fateRoute, fateRoute})
		tw.live(t, func(id direct.RequestID) [2]direct.Event {
			left := time.Duration(rapid.IntRange(1, 30).Draw(t, "time left")) * 100 * time.Millisecond
			ev := direct.RequestArrived{
				At: direct.At(tw.now), ID: id, Route: fateRoute, Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object")), Deadline: tw.now + left,
			}

			return [2]direct.Event{ev, ev}
		})
	})
}
