package direct

import (
	"cmp"
	"slices"
	"time"
)

// ServiceStatus summarises what the entry VM knows of a service.
type ServiceStatus struct {
	Service string
	// DemandRatio is the number of slots that the callers' requests need, relative to the
	// service's slots.
	DemandRatio float64
	// ServerCount is the number of all servers, UsableServers of the servers that may get
	// requests now, and ColdServers of the cold servers.
	ServerCount, UsableServers, ColdServers int
	// Occupied and Slots are sums over the usable servers.
	Occupied float64
	Slots    int
	// WaitingRequests is the number of queued requests. LongestWait is how long one of them
	// has been waiting at most.
	WaitingRequests int
	LongestWait     time.Duration
	// WaitingCustomers is the number of customers that have queued requests. ExcessCustomers
	// are those that ask for several times their share, in the order of their names.
	WaitingCustomers int
	ExcessCustomers  []string
	// FullRefusals is the share of attempts that servers refused because they were full.
	// TakesTurns is true while the entry VM takes only its turns of free slots.
	FullRefusals float64
	TakesTurns   bool
	// RegionShares holds the share of the own region's requests that each region serves.
	RegionShares map[string]float64
}

// RouteStatus summarises the processing times of a route.
type RouteStatus struct {
	Route string
	// FirstRankTime, SecondRankTime and OtherRankTime are the typical processing times by
	// the server's rank for the object of the request; ResidenceTime is the mean time at a
	// server.
	FirstRankTime, SecondRankTime, OtherRankTime, ResidenceTime time.Duration
}

// ServiceStatuses returns the status of all services, in the order of their names.
func (s State) ServiceStatuses() []ServiceStatus {
	out := make([]ServiceStatus, 0, len(s.byService))
	for name, servers := range s.byService {
		status := ServiceStatus{Service: name, DemandRatio: s.demandRatios[name], ServerCount: len(servers)}
		for _, srv := range servers {
			if srv.isCold(s.now) {
				status.ColdServers++
			}
			if srv.isUsable(s.now) && !s.evacuatedZones.Has(srv.Zone) {
				status.UsableServers++
				status.Slots += srv.Slots
				status.Occupied += srv.occupied()
			}
		}
		if q, ok := s.queues[name]; ok {
			status.WaitingRequests = len(q.waiting)
			for _, r := range q.waiting {
				status.LongestWait = max(status.LongestWait, s.now-r.arrivedAt)
			}
			status.WaitingCustomers, status.ExcessCustomers = q.customerStatus()
		}
		if f, ok := s.refusals[name]; ok {
			status.FullRefusals, status.TakesTurns = f.full.Value(), f.takeTurns
		}
		if d, ok := s.divisions[name]; ok {
			status.RegionShares = d.shares
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })

	return out
}

// RouteStatuses returns the status of the routes that had requests, in the order of
// their names.
func (s State) RouteStatuses() []RouteStatus {
	out := make([]RouteStatus, 0, len(s.typicalByRoute))
	for name, times := range s.typicalByRoute {
		out = append(out, RouteStatus{
			Route: name, FirstRankTime: time.Duration(times.byRank[firstRank].Value()), SecondRankTime: time.Duration(times.byRank[secondRank].Value()),
			OtherRankTime: time.Duration(times.byRank[otherRank].Value()), ResidenceTime: time.Duration(s.residenceTimes[name].Value()),
		})
	}
	slices.SortFunc(out, func(a, b RouteStatus) int { return cmp.Compare(a.Route, b.Route) })

	return out
}
