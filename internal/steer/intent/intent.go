// Package intent holds what operators want on a deployment where every entry VM
// reaches every backend server: routes by host and path, services and limits.
package intent

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/set"
)

// ServiceWeight is a share of a route's requests that goes to one service.
type ServiceWeight struct {
	Service string
	// Weight is relative to the sum of the weights of a route's parts.
	Weight float64
}

// Route is the intent for the requests of one host whose path has a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller may be kept waiting; 0 is none.
	Timeout time.Duration
	// Target is the time within which an answer is worth its full value.
	Target time.Duration
	// MaxAttempts is the greatest number of backend servers for one request.
	MaxAttempts int
	// PriorityLevel orders routes by urgency, 0 first.
	PriorityLevel int
	// Sticky is true when backend servers that know a request's object are faster.
	Sticky bool
	// Homes are the regions that may serve the route; none means all.
	Homes          set.Set[string]
	ServiceWeights []ServiceWeight
}

// Service is the intent for the backend servers of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all entry VMs to one server.
	MaxConnections int
	// Warmup is how long a server stays cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the rate of requests that a cold server tolerates.
	WarmupPerSecond float64
}

// Limits bound what one caller may send; 0 is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Intent is one accepted configuration; it is not changed once built.
type Intent struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	byHost   map[string][]Route
}

// New returns an intent with routes, which Match looks up.
func New(version uint64, routes []Route, services map[string]Service, limits Limits) *Intent {
	byHost := map[string][]Route{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		byHost[host] = append(byHost[host], r)
	}
	for _, of := range byHost {
		slices.SortFunc(of, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}

	return &Intent{Version: version, Services: services, Limits: limits, byHost: byHost}
}

// Match returns the route with the longest prefix of path on host; a port in
// host and a query in path are left out.
func (i *Intent) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range i.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return Route{}, false
}

// PickService returns the service for a number in [0, 1): each part gets its share.
func (r Route) PickService(at float64) string {
	total := 0.0
	for _, p := range r.ServiceWeights {
		total += p.Weight
	}
	at *= total
	for _, p := range r.ServiceWeights {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	if len(r.ServiceWeights) == 0 {
		return ""
	}

	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}
