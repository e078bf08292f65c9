package direct_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// crowd is one entry VM with customers whose requests always wait for the servers. Each
// request takes workTime.
type crowd struct {
	state     direct.State
	now       time.Duration
	lastID    direct.RequestID
	customers []intent.Customer
	owner     map[direct.RequestID]int
	waiting   []int
	inFlight  []direct.RequestID
	// pace is the time between two requests of a customer.
	pace time.Duration
	// served counts the requests that were sent by customer.
	served []int
}

const workTime = 100 * time.Millisecond

func newCrowd(servers, slots int, limits []float64) *crowd {
	c := &crowd{owner: map[direct.RequestID]int{}, waiting: make([]int, len(limits)), served: make([]int, len(limits))}
	byName := map[string]intent.Customer{}
	for i, limit := range limits {
		c.customers = append(c.customers, intent.Customer{Name: fmt.Sprint("c", i), Limit: intent.RateLimit{PerSecond: limit}})
		byName[c.customers[i].Name] = c.customers[i]
	}
	var list []direct.Server
	for i := range servers {
		id := fmt.Sprint("server-", i)
		list = append(list, direct.Server{ID: id, Address: id, Service: "s", Zone: "z", Region: "r", Slots: slots})
	}
	c.state = direct.New(direct.Settings{Name: "entry", Zone: "z", Region: "r", Seed: 1, RetryWindow: 10 * time.Second})
	in := intent.New(1, []intent.Route{crowdRoute}, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})
	c.apply(direct.IntentChanged{Intent: in.WithCustomers(byName, nil)})
	c.apply(direct.ServersChanged{Servers: list})
	// The time in a slot is known before slots are scarce.
	c.waiting[0]++
	c.lastID++
	c.apply(direct.RequestArrived{ID: c.lastID, Route: crowdRoute, Customer: c.customers[0], Deadline: time.Hour})
	c.now = workTime
	c.finish()

	return c
}

var crowdRoute = intent.Route{Name: "route", Host: "h", Prefix: "/", MaxAttempts: 1, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}}}

func (c *crowd) apply(ev direct.Event) {
	next, effects := direct.Reduce(c.state, ev)
	c.state = next
	for _, effect := range effects {
		switch e := effect.(type) {
		case direct.Send:
			c.inFlight = append(c.inFlight, e.ID)
			c.served[c.owner[e.ID]]++
			c.waiting[c.owner[e.ID]]--
		case direct.Refuse:
			c.waiting[c.owner[e.ID]]--
		}
	}
}

// fill lets a customer send requests until a number of them wait or one is refused.
func (c *crowd) fill(customer, waiting int) {
	for c.waiting[customer] < waiting {
		before := c.waiting[customer]
		c.now += c.pace
		c.lastID++
		c.owner[c.lastID] = customer
		c.waiting[customer]++
		c.apply(direct.RequestArrived{
			At: direct.At(c.now), ID: c.lastID, Route: crowdRoute, Customer: c.customers[customer], Deadline: c.now + time.Hour,
		})
		if c.waiting[customer] == before && !slices.Contains(c.inFlight, c.lastID) {
			return
		}
	}
}

// finish ends the request that is longest in flight.
func (c *crowd) finish() {
	id := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	c.apply(direct.AttemptEnded{At: direct.At(c.now), ID: id, Outcome: direct.Answered, Status: 200})
}

// Guards against a customer that falls behind its share while it always has requests that
// wait, by more than one request for each server.
func TestConstantLoadIsServedByShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limits, total := []float64{}, 0.0
		for range rapid.IntRange(2, 4).Draw(t, "customers") {
			limits = append(limits, float64(rapid.IntRange(1, 8).Draw(t, "limit")))
			total += limits[len(limits)-1]
		}
		servers := rapid.IntRange(len(limits), 6).Draw(t, "servers")
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		c := newCrowd(servers, slots, limits)
		// The first customer holds all slots at the start, and one more request waits at each
		// server. The requests in flight end one after the other.
		inFlight := servers * (slots + 1)
		c.pace = workTime / time.Duration(inFlight)
		c.fill(0, 1)
		c.pace = 0
		loads := make([]int, len(limits))
		for i := range loads {
			loads[i] = rapid.IntRange(4, 30).Draw(t, "waiting")
			c.fill(i, loads[i])
		}
		require.Len(t, c.inFlight, inFlight)
		c.served = make([]int, len(limits))
		all := 0
		for range 150 {
			c.now += workTime / time.Duration(inFlight)
			c.finish()
			for i := range loads {
				c.fill(i, loads[i])
			}
			all++
			for i, n := range c.served[1:] {
				require.GreaterOrEqual(t, float64(n), float64(all)*limits[i+1]/total-float64(servers), "customer %d of %v", i+1, limits)
			}
		}
	})
}

// Guards against a customer that keeps all slots that it holds when the others come.
func TestNextFreeSlotsGoToOthers(t *testing.T) {
	t.Parallel()
	c := newCrowd(2, 2, []float64{5, 5, 5})
	c.fill(0, 6)
	c.fill(1, 2)
	c.fill(2, 2)
	c.served = make([]int, 3)
	for range 4 {
		c.now += workTime
		c.finish()
	}
	require.Equal(t, []int{0, 2, 2}, c.served)
}

// Guards against decisions about customers that depend on more than the events.
func TestDecisionsAboutCustomersRepeat(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tw := newTwins([2]intent.Route{fateRoute, fateRoute})
		customers := map[string]intent.Customer{}
		for i := range 6 {
			name := fmt.Sprint("c", i)
			customers[name] = intent.Customer{Name: name, PriorityLevel: i / 4, Limit: intent.RateLimit{PerSecond: float64(i) * 0.3}}
		}
		services := map[string]intent.Service{"s0": {Name: "s0"}, "s1": {Name: "s1"}}
		in := intent.New(2, []intent.Route{fateRoute}, services, intent.Limits{}).WithCustomers(customers, nil)
		tw.apply(t, [2]direct.Event{direct.IntentChanged{Intent: in}, direct.IntentChanged{Intent: in}})
		tw.live(t, func(id direct.RequestID) [2]direct.Event {
			ev := direct.RequestArrived{
				At: direct.At(tw.now), ID: id, Route: fateRoute, Customer: customers[fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "customer"))],
				Object: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object")), Deadline: tw.now + 3*time.Second,
			}

			return [2]direct.Event{ev, ev}
		})
	})
}
