// Package intent holds the operators' configuration for greengagetally-platform, where
// every entry VM reaches every backend server: routes by host and path, services and
// limits.
package intent

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/set"
)

// ServiceWeight is the share of a route's requests that goes to one service.
type ServiceWeight struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route configures the requests to Host whose path begins with Prefix.
type Route struct {
	Name string
	// Host is compared without regard to case.
	Host   string
	Prefix string
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller may be kept waiting; 0 is no limit.
	Timeout time.Duration
	// Target is the latency that the operators aim at. No decision depends on it: callers
	// say themselves how long they wait.
	Target time.Duration
	// MaxAttempts is the greatest number of backend servers that one request may reach; a
	// value below 1 counts as 1.
	MaxAttempts int
	// PriorityLevel orders waiting requests: those of a route with a lower level go first.
	// 0 is the most urgent level.
	PriorityLevel int
	// Sticky is true when requests for one object should go to the same backend servers,
	// because a server that has handled an object is faster for that object.
	Sticky bool
	// Homes holds the regions whose backend servers may serve the route; an empty set
	// means all regions.
	Homes set.Set[string]
	// Public is true when requests need no key of a customer.
	Public bool
	// ServiceWeights divide the requests among services.
	ServiceWeights []ServiceWeight
}

// Service configures the backend servers of one service.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health check, "" if they have none.
	HealthPath string
	// MaxConnections bounds the connections of all entry VMs to one server; 0 is no limit.
	MaxConnections int
	// Warmup is how long a server stays cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the number of requests a second that a cold server tolerates.
	WarmupPerSecond float64
}

// Limits bounds what one caller may send, and how long its connection may take to send
// a header or stay idle. A field that is 0 sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Intent is one version of the configuration; it does not change after New.
type Intent struct {
	Version uint64
	// Services holds the services by name.
	Services map[string]Service
	Limits   Limits
	// routesByHost holds the routes by host in lower case, longest prefix first.
	routesByHost map[string][]Route
	// customers are what the configuration says about customers.
	customers customers
}

// New returns a version of the configuration, whose routes Match finds.
func New(version uint64, routes []Route, services map[string]Service, limits Limits) *Intent {
	routesByHost := map[string][]Route{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		routesByHost[host] = append(routesByHost[host], r)
	}
	for _, hostRoutes := range routesByHost {
		slices.SortFunc(hostRoutes, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}

	return &Intent{Version: version, Services: services, Limits: limits, routesByHost: routesByHost}
}

// Match returns the route of host with the longest Prefix that path begins with, and
// false when there is none. A port in host and a query in path are ignored.
func (i *Intent) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range i.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return Route{}, false
}

// HomeRegions returns how many of a host's routes have a region as one of their homes, by
// region. A port in host is ignored.
func (i *Intent) HomeRegions(host string) map[string]int {
	host, _, _ = strings.Cut(host, ":")
	counts := map[string]int{}
	for _, r := range i.routesByHost[strings.ToLower(host)] {
		for _, region := range set.Sorted(r.Homes) {
			counts[region]++
		}
	}

	return counts
}

// PickService returns the service for point, a number in [0, 1). Evenly spread points
// select each service in proportion to its weight. PickService returns "" if the route
// has no ServiceWeights.
func (r Route) PickService(point float64) string {
	total := 0.0
	for _, w := range r.ServiceWeights {
		total += w.Weight
	}
	point *= total
	for _, w := range r.ServiceWeights {
		if point < w.Weight {
			return w.Service
		}
		point -= w.Weight
	}
	if len(r.ServiceWeights) == 0 {
		return ""
	}

	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}
