package direct_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Guards against a request that reaches a server outside the homes of its customer or of its
// route, at first or when it is repeated, and against one that waits although the homes of
// both have no region in common.
func TestHomesOfRouteAndCustomerBothBind(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		route, customer set.Set[string]
		// regions are those in which servers may get the request.
		regions set.Set[string]
	}{
		{set.New[string](), set.New[string](), set.New("r", "q", "p")},
		{set.New("q"), set.New[string](), set.New("q")},
		{set.New[string](), set.New("q"), set.New("q")},
		{set.New("r", "q"), set.New("q", "p"), set.New("q")},
		{set.New("r", "q"), set.New("p"), set.New[string]()},
	} {
		f := newScriptFixture()
		f.route.Homes, f.route.Idempotent = c.route, true
		var servers []direct.Server
		for _, region := range []string{"r", "q", "p"} {
			for i := range 2 {
				id := fmt.Sprint(region, i)
				servers = append(servers, direct.Server{ID: id, Address: id, Service: "s", Zone: "z" + region, Region: region, Slots: 1, StartedUnixMS: 1})
			}
		}
		f.apply(direct.ServersChanged{Servers: servers})
		// The answer to another request shows how long one takes, which makes later ones demand.
		f.apply(direct.RequestArrived{ID: 100, Route: f.route, Deadline: 5 * time.Second})
		f.apply(direct.AttemptEnded{At: direct.At(time.Second), ID: 100, Outcome: direct.Answered, Status: 200})
		f.apply(direct.Tick{At: direct.At(time.Second)})
		demand := f.state.Report().Demand["s"]
		var reached set.Set[string]
		for id := direct.RequestID(1); id <= 12; id++ {
			event := direct.Event(direct.RequestArrived{ID: id, Route: f.route, Customer: intent.Customer{Name: "c", Homes: c.customer}, Deadline: 6 * time.Second})
			// Each server turns the request away, so that others are tried.
			for range len(servers) {
				var effects []direct.Effect
				f.state, effects = direct.Reduce(f.state, event)
				for _, effect := range effects {
					switch e := effect.(type) {
					case direct.Send:
						reached = reached.With(e.Server.Region)
						event = direct.AttemptEnded{ID: id, Outcome: direct.NotRun, Status: 503}
					case direct.Refuse:
						if c.regions.Len() == 0 {
							require.Equal(t, direct.ReasonNoServer, e.Reason)
						}
					case direct.Hold:
						require.Positive(t, c.regions.Len(), "a request waits that no server may get")
					}
				}
			}
		}
		require.Equal(t, set.Sorted(c.regions), set.Sorted(reached))
		if c.regions.Len() == 0 {
			f.apply(direct.Tick{At: direct.At(1100 * time.Millisecond)})
			require.LessOrEqual(t, f.state.Report().Demand["s"], demand, "a request that no server may get is demand")
		}
	}
}
