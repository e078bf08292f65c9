package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// largeState returns an entry VM that knows a number of servers of one service in three
// regions, with the requests in flight of the other entry VMs.
func largeState(servers int) (State, Report) {
	s := New(Settings{Name: "entry", Zone: "z", Region: "r0", RetryWindow: 10 * time.Second})
	route := intent.Route{Name: "route", Host: "h", Prefix: "/", ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}}}
	s, _ = Reduce(s, IntentChanged{Intent: intent.New(1, []intent.Route{route}, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})})
	list := make([]Server, 0, servers)
	report := Report{InFlight: map[uint32]int{}, Region: "r1"}
	for i := range servers {
		id := fmt.Sprint("server-", i)
		list = append(list, Server{ID: id, Address: id, Service: "s", Zone: "z", Region: fmt.Sprint("r", i%3), Slots: 6})
		report.InFlight[Key(id)] = 16
	}
	s, _ = Reduce(s, ServersChanged{Servers: list})

	return s, report
}

// withCustomers adds customers to the configuration of an entry VM.
func withCustomers(s State) (State, []intent.Customer) {
	const count = 80
	byName, list := map[string]intent.Customer{}, make([]intent.Customer, count)
	for i := range list {
		list[i] = intent.Customer{Name: fmt.Sprint("customer-", i), Limit: intent.RateLimit{PerSecond: float64(10 + i)}}
		byName[list[i].Name] = list[i]
	}
	in := intent.New(s.intent.Version+1, nil, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})
	s, _ = Reduce(s, IntentChanged{Intent: in.WithCustomers(byName, nil)})

	return s, list
}

// BenchmarkEvents measures the events of an entry VM by the number of backend servers.
func BenchmarkEvents(b *testing.B) {
	for _, servers := range []int{51, 759, 2000} {
		s, report := largeState(servers)
		route := intent.Route{
			Name: "route", Host: "h", Prefix: "/", Sticky: true, MaxAttempts: 1, Target: time.Second, Timeout: 3 * time.Second,
			ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
		}
		now, id := time.Duration(0), RequestID(0)
		b.Run(fmt.Sprint("report/", servers), func(b *testing.B) {
			for b.Loop() {
				now += time.Millisecond
				s, _ = Reduce(s, PeerReported{At: At(now), Peer: "r1", Report: report})
			}
		})
		b.Run(fmt.Sprint("tick/", servers), func(b *testing.B) {
			for b.Loop() {
				now += 100 * time.Millisecond
				s, _ = Reduce(s, Tick{At: At(now)})
			}
		})
		b.Run(fmt.Sprint("request/", servers), func(b *testing.B) {
			for b.Loop() {
				id++
				now += time.Millisecond
				s, _ = Reduce(s, RequestArrived{At: At(now), ID: id, Route: route, Object: fmt.Sprint(id % 600), Deadline: now + 5*time.Second})
				s, _ = Reduce(s, AttemptEnded{At: At(now), ID: id, Outcome: Answered, Status: 200})
			}
		})
		b.Run(fmt.Sprint("request-of-customer/", servers), func(b *testing.B) {
			s, customers := withCustomers(s)
			for b.Loop() {
				id++
				now += time.Millisecond
				s, _ = Reduce(s, RequestArrived{
					At: At(now), ID: id, Route: route, Customer: customers[int(id)%len(customers)], Object: fmt.Sprint(id % 600), Deadline: now + 5*time.Second,
				})
				s, _ = Reduce(s, AttemptEnded{At: At(now), ID: id, Outcome: Answered, Status: 200})
			}
		})
		b.Run(fmt.Sprint("own-report/", servers), func(b *testing.B) {
			for b.Loop() {
				_ = s.Report()
			}
		})
	}
}

// BenchmarkQueue measures the events of an entry VM with 200 waiting requests, without and
// with customers.
func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{1, 80} {
		s, report := largeState(759)
		list := make([]intent.Customer, customers)
		if customers > 1 {
			s, list = withCustomers(s)
		}
		for key := range report.InFlight {
			report.InFlight[key] = 7 * portionsPerSlot
		}
		now, id := time.Second, RequestID(0)
		s, _ = Reduce(s, PeerReported{At: At(now), Peer: "r1", Report: report})
		route := intent.Route{Name: "route", Host: "h", Prefix: "/", Sticky: true, MaxAttempts: 1, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}}}
		arrive := func() {
			id++
			s, _ = Reduce(s, RequestArrived{At: At(now), ID: id, Route: route, Customer: list[int(id)%customers], Object: fmt.Sprint(id % 600), Deadline: now + time.Hour})
		}
		for range 200 {
			arrive()
		}
		b.Run(fmt.Sprint("request/", customers), func(b *testing.B) {
			for b.Loop() {
				arrive()
				s, _ = Reduce(s, CallerLeft{At: At(now), ID: id})
			}
		})
		b.Run(fmt.Sprint("tick/", customers), func(b *testing.B) {
			for b.Loop() {
				now += time.Microsecond
				s, _ = Reduce(s, Tick{At: At(now)})
			}
		})
		if len(s.queue("s").waiting) != 200 {
			b.Fatal("requests do not wait")
		}
	}
}
