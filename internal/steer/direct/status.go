package direct

import (
	"cmp"
	"slices"
	"time"
)

// ServiceStatus summarises what the entry VM believes about a service.
type ServiceStatus struct {
	Service string
	// DemandRatio is the demand by those who can make their targets, relative to the slots.
	DemandRatio float64
	// Pressure is the share of requests without room.
	Pressure float64
	// Servers, Usable and Cold count the servers.
	Servers, Usable, Cold int
	// Occupied and Slots are sums over all servers.
	Occupied float64
	Slots    int
	Waiting  int
	// RegionShares is the division of the own region's requests among the regions.
	RegionShares map[string]float64
}

// RouteStatus summarises the usual times of a route.
type RouteStatus struct {
	Route string
	// First, Second and Other are the usual times by a server's place in the order
	// of a request's object; ResidenceTime is the mean time in flight.
	First, Second, Other, ResidenceTime time.Duration
}

// ServiceStatuses returns the status of all services, in the order of their names.
func (s State) ServiceStatuses() []ServiceStatus {
	out := make([]ServiceStatus, 0, len(s.byService))
	for name, servers := range s.byService {
		status := ServiceStatus{Service: name, DemandRatio: s.uses[name], Pressure: s.pressure(name).share.Value(), Servers: len(servers)}
		for _, c := range servers {
			if c.cold(s.now) {
				status.Cold++
			}
			if c.usable(s.now) && !s.evacuated.Has(c.Zone) {
				status.Usable++
				status.Slots += c.Slots
				status.Occupied += c.occupied()
			}
		}
		if q, ok := s.queues[name]; ok {
			status.Waiting = len(q.waiting)
		}
		if sp, ok := s.spreads[name]; ok {
			status.RegionShares = sp.parts
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })

	return out
}

// RouteStatuses returns the status of the routes that had answers, in the order of
// their names.
func (s State) RouteStatuses() []RouteStatus {
	out := make([]RouteStatus, 0, len(s.works))
	for name, w := range s.works {
		out = append(out, RouteStatus{
			Route: name, First: time.Duration(w[firstPlace].Value()), Second: time.Duration(w[secondPlace].Value()),
			Other: time.Duration(w[otherPlace].Value()), ResidenceTime: time.Duration(s.stays[name].Value()),
		})
	}
	slices.SortFunc(out, func(a, b RouteStatus) int { return cmp.Compare(a.Route, b.Route) })

	return out
}
