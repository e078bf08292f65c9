package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// Guards against a Retry-After that is a share of the time that the caller has left:
// patient callers were told to wait for seconds although there was room within a fraction
// of one, and came back when others had taken it.
func TestRetryAfterFollowsTheBacklog(t *testing.T) {
	t.Parallel()
	s := New(Settings{Name: "a", Region: "r", RetryWindow: time.Second})
	s, _ = Reduce(s, ServersChanged{Servers: []Server{{ID: "s", Address: "s:1", Service: "x", Region: "r", Slots: 8}}})
	s.residenceTimes["route"] = s.residenceTimes["route"].With(float64(msec(200)), residenceAlpha)
	// Four requests are in slots and six wait: a slot becomes free every 50 ms.
	s.heldPortions["x"] = 4 * portionsPerSlot
	s.demandRatios["x"] = 1
	route := intent.Route{Name: "route"}
	for range 6 {
		s.queue("x").push(0, &request{route: route, service: "x", deadline: time.Minute})
	}
	const backlog = 500 * time.Millisecond
	for name, c := range map[string]struct {
		left             time.Duration
		reason           Reason
		least, most      time.Duration
		eligibleServerAt time.Duration
	}{
		"little time":                       {left: 700 * time.Millisecond, reason: ReasonNoCapacity, least: backlog, most: 700 * time.Millisecond},
		"some time":                         {left: 2 * time.Second, reason: ReasonNoCapacity, least: backlog, most: 2 * backlog},
		"much time":                         {left: time.Minute, reason: ReasonNoCapacity, least: backlog, most: 2 * backlog},
		"room is expected too late":         {left: 100 * time.Millisecond, reason: ReasonNoCapacity, least: backlog, most: 2 * backlog},
		"another server may have room":      {left: time.Minute, reason: ReasonServerShed, least: msec(50), most: msec(100)},
		"another entry VM may have room":    {left: time.Minute, reason: ReasonStopping, least: msec(50), most: msec(100)},
		"the only server returns in time":   {left: time.Minute, reason: ReasonNoServer, eligibleServerAt: 5 * time.Second, least: 5 * time.Second, most: 5*time.Second + backlog},
		"the only server returns afterward": {left: time.Second, reason: ReasonNoServer, eligibleServerAt: 5 * time.Second, least: 5 * time.Second, most: 5*time.Second + backlog},
	} {
		s.servers["s"].pausedUntil = c.eligibleServerAt
		for range 20 {
			got := s.retryAfter(&request{route: route, service: "x", deadline: c.left}, c.reason)
			require.GreaterOrEqual(t, got, c.least, name)
			require.LessOrEqual(t, got, c.most, name)
		}
	}
}

// Guards against a request that waits until its time is up, because a server that is too
// slow for it has room, and a fast one has none in time.
func TestRequestIsRefusedIfNoServerFits(t *testing.T) {
	t.Parallel()
	route := intent.Route{Name: "route", Idempotent: true, MaxAttempts: 2, ServiceWeights: []intent.ServiceWeight{{Service: "x", Weight: 1}}}
	for name, c := range map[string]struct {
		left time.Duration
		want Effect
	}{
		"no server is in time": {left: 2 * time.Second, want: Refuse{}},
		"the slow one is":      {left: 3 * time.Second, want: Send{}},
		"no server ever was":   {left: 300 * time.Millisecond, want: Refuse{}},
		"the time is up":       {left: 0, want: Refuse{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(Settings{Name: "a", Region: "r", RetryWindow: time.Second})
			s, _ = Reduce(s, ServersChanged{Servers: []Server{
				{ID: "fast", Address: "f", Service: "x", Region: "r", Slots: 1}, {ID: "slow", Address: "s", Service: "x", Region: "r", Slots: 1},
			}})
			times := s.typicalTimes(&request{route: route})
			times.byRank[otherRank], times.lastSentAt = times.byRank[otherRank].With(float64(msec(500)), typicalPercentile, typicalStep), 0
			s.residenceTimes["route"] = s.residenceTimes["route"].With(float64(msec(1500)), residenceAlpha)
			s.servers["fast"].peerPortions = 2 * portionsPerSlot
			// The work takes 2.2 s there. At the fast one, 0.5 s follow after a wait of 3 s.
			s.servers["slow"].reportedSlowdown = 4.4
			_, effects := Reduce(s, RequestArrived{At: At(msec(100)), ID: 1, Route: route, Deadline: msec(100) + c.left})
			require.IsType(t, c.want, effects[0], "%+v", effects)
		})
	}
}
