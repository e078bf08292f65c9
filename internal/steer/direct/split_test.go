package direct_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// maxSplitError is how far the share of a service may be from its weight in any window of
// requests.
const maxSplitError = 0.1

// splitLoad plays callers' requests for a route that two services share, at several entry
// VMs. The service small has a single slot, which stays in use.
type splitLoad struct {
	random *rand.Rand
	vms    []direct.State
	route  intent.Route
	now    time.Duration
	lastID direct.RequestID
	// sentToLarge says for each request in order whether it was sent to the service large.
	sentToLarge []bool
}

func newSplitLoad(vms int) *splitLoad {
	l := &splitLoad{random: rand.New(rand.NewPCG(1, 2))} //nolint:gosec // A fixed seed repeats the load.
	for i := range vms {
		l.vms = append(l.vms, direct.New(direct.Settings{Name: fmt.Sprint("entry-", i), Region: "r", Seed: uint64(i) + 1, RetryWindow: 10 * time.Second}))
	}

	return l
}

func (l *splitLoad) applyAll(ev direct.Event) {
	for i := range l.vms {
		l.vms[i], _ = direct.Reduce(l.vms[i], ev)
	}
}

// configure puts weights in force and lists the servers of the small service, or not.
func (l *splitLoad) configure(version uint64, large, small float64, smallListed bool) {
	l.route = intent.Route{
		Name: "route", Host: "h", Prefix: "/", Target: time.Second, Timeout: time.Second, MaxAttempts: 1,
		ServiceWeights: []intent.ServiceWeight{{Service: "large", Weight: large}, {Service: "small", Weight: small}},
	}
	in := intent.New(version, []intent.Route{l.route}, map[string]intent.Service{"large": {Name: "large"}, "small": {Name: "small"}}, intent.Limits{})
	l.applyAll(direct.IntentChanged{At: direct.At(l.now), Intent: in})
	servers := []direct.Server{{ID: "l", Address: "l", Service: "large", Zone: "z", Region: "r", Slots: 100_000}}
	if smallListed {
		servers = append(servers, direct.Server{ID: "s", Address: "s", Service: "small", Zone: "z", Region: "r", Slots: 1})
	}
	l.applyAll(direct.ServersChanged{At: direct.At(l.now), Servers: servers})
}

// request sends one request through a random entry VM.
func (l *splitLoad) request() {
	l.lastID++
	l.now += time.Millisecond
	i := l.random.IntN(len(l.vms))
	next, effects := direct.Reduce(l.vms[i], direct.RequestArrived{At: direct.At(l.now), ID: l.lastID, Route: l.route, Deadline: l.now + time.Second})
	l.vms[i] = next
	toLarge := false
	for _, effect := range effects {
		if send, ok := effect.(direct.Send); ok {
			toLarge = send.Server.Service == "large"
		}
	}
	l.sentToLarge = append(l.sentToLarge, toLarge)
}

// Guards against services of a split route that get another share of the requests than
// their weight: also in short windows, while one service is full or has no servers, and
// after the weights have changed. What does not fit a service must not go to the other.
func TestSplitFollowsWeightsInEveryWindow(t *testing.T) {
	t.Parallel()
	l := newSplitLoad(11)
	for version, step := range []struct {
		large, small float64
		smallListed  bool
	}{{50, 50, true}, {90, 10, true}, {30, 70, true}, {30, 70, false}, {30, 70, true}, {55, 45, true}} {
		l.configure(uint64(version)+1, step.large, step.small, step.smallListed) //nolint:gosec // The version is small.
		l.sentToLarge = nil
		for range 20_000 {
			l.request()
		}
		for _, window := range []int{200, 300} {
			worst, sent := 0.0, 0
			for i, toLarge := range l.sentToLarge {
				if toLarge {
					sent++
				}
				if i >= window && l.sentToLarge[i-window] {
					sent--
				}
				if i >= window-1 {
					worst = math.Max(worst, math.Abs(float64(sent)/float64(window)-step.large/(step.large+step.small)))
				}
			}
			require.LessOrEqual(t, worst, maxSplitError, "weights %v, window of %d requests", step, window)
		}
	}
}
