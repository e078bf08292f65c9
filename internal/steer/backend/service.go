package backend

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// percentileWindow is the time over which percentiles are computed, short enough
	// to follow a change of load within seconds.
	percentileWindow = 10 * time.Second
	// percentileRefreshInterval is the shortest time between two computations of the
	// percentiles. It bounds their cost, which is about 20 µs each time.
	percentileRefreshInterval = 20 * time.Millisecond
	// minObservations is the number of observations below which percentiles are not
	// computed; those computed before stay in use.
	minObservations = 20
	// defaultHedgeDelay is the hedge delay until there are minObservations.
	defaultHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = 2 * time.Millisecond
	maxHedgeDelay     = time.Second
	// A request or route is long if its duration is above longFactor times the
	// median.
	longFactor = 10
	// defaultLongAfter replaces longFactor times the median until there are
	// minObservations.
	defaultLongAfter = time.Second
	// A backend server is a straggler if its latency is above stragglerRatio times
	// the median.
	stragglerRatio = 5
	// routeWeight is the weight of the newest duration in the mean of a route. It
	// is small, so that a few long requests in a row do not make a route of short
	// requests long.
	routeWeight = 0.01
	// minRouteObservations is the number of durations below which a route never
	// counts as long.
	minRouteObservations = 20
	// maxRoutes bounds the memory for learned routes of one service.
	maxRoutes = 512
	// shortWorkMemory is how long short work counts as present after the last short
	// request was sent.
	shortWorkMemory = time.Minute
)

// service is what the entry knows about the requests of one service.
type service struct {
	class   model.Class // declared by the operators
	servers []*server
	header  *ewma.Histogram      // durations to the response header
	total   *ewma.Histogram      // durations of complete responses
	routes  map[string]ewma.Mean // mean duration by route, in nanoseconds

	refreshedAt      time.Duration
	percentilesKnown bool
	// headerMedian and headerP95 are percentiles of the time to the response header;
	// they are used only while percentilesKnown is true. totalMedian is the median
	// duration of complete responses, or 0 while that is unknown.
	headerMedian time.Duration
	totalMedian  time.Duration
	headerP95    time.Duration

	lastShortAt   time.Duration // when short work was last sent
	seenShort     bool          // short work was sent
	long          int           // attempts of long work in flight
	attemptNumber uint64        // number of the newest attempt at any server
}

func newService() *service {
	return &service{
		header:      ewma.NewHistogram(percentileWindow),
		total:       ewma.NewHistogram(percentileWindow),
		routes:      make(map[string]ewma.Mean),
		refreshedAt: -percentileRefreshInterval,
	}
}

// refreshPercentiles computes the percentiles again, at most once in
// percentileRefreshInterval.
func (svc *service) refreshPercentiles(now time.Duration) {
	if now < svc.refreshedAt+percentileRefreshInterval {
		return
	}
	svc.refreshedAt = now
	values, n := svc.header.Percentiles(now, 50, 95)
	if n < minObservations {
		return
	}
	svc.percentilesKnown = true
	svc.headerMedian, svc.headerP95 = max(values[0], time.Microsecond), values[1]
	if values, n = svc.total.Percentiles(now, 50); n >= minObservations {
		svc.totalMedian = values[0]
	}
}

// latencyRatio returns the latency of a server divided by the service's median, or 1
// while the median is unknown. The latency is the server's mean or its oldestWait,
// whichever is longer. While no response is observed, a mean above the median decays
// towards the median.
func (svc *service) latencyRatio(now time.Duration, s *server) float64 {
	if !svc.percentilesKnown {
		return 1
	}
	headerMedian := float64(svc.headerMedian)
	latency := s.latency.Value()
	if excess := latency - headerMedian; excess > 0 && now > s.lastObservedAt {
		latency = headerMedian + excess/(1+float64(now-s.lastObservedAt)/float64(excessDecayTime))
	}

	return max(latency, float64(s.oldestWait(now))) / headerMedian
}

// isStraggler reports whether a server's latency ratio is above stragglerRatio.
func (svc *service) isStraggler(now time.Duration, s *server) bool {
	return svc.latencyRatio(now, s) > stragglerRatio
}

// recordDuration adds the duration of a complete response to the mean of its route. A
// new route is ignored when maxRoutes routes are known.
func (svc *service) recordDuration(route string, d time.Duration) {
	mean, ok := svc.routes[route]
	if !ok && len(svc.routes) >= maxRoutes {
		return
	}
	svc.routes[route] = mean.With(float64(d), routeWeight)
}

// longAfter returns the duration beyond which a request of the service is long.
func (svc *service) longAfter() time.Duration {
	if svc.totalMedian == 0 {
		return defaultLongAfter
	}

	return longFactor * max(svc.totalMedian, time.Millisecond)
}

// HedgeDelay returns how long a short request waits for a response header before
// it is sent to a second backend server: the 95th percentile of the time to the
// header, between minHedgeDelay and maxHedgeDelay, or defaultHedgeDelay while the
// percentile is unknown.
func (s State) HedgeDelay(now time.Duration, serviceName string) time.Duration {
	svc, ok := s.services[serviceName]
	if !ok {
		return defaultHedgeDelay
	}
	svc.refreshPercentiles(now)
	if !svc.percentilesKnown {
		return defaultHedgeDelay
	}

	return min(max(svc.headerP95, minHedgeDelay), maxHedgeDelay)
}

// LongAfter returns how long a request of a service runs before it counts as long.
func (s State) LongAfter(serviceName string) time.Duration {
	if svc, ok := s.services[serviceName]; ok {
		return svc.longAfter()
	}

	return defaultLongAfter
}

// Class returns model.ClassLong for a request that is declared short but whose route
// was learned to be long. For other requests it returns the declared class.
func (s State) Class(serviceName, route string, declared model.Class) model.Class {
	svc, ok := s.services[serviceName]
	if !ok || declared != model.ClassShort || svc.totalMedian == 0 {
		return declared
	}
	mean := svc.routes[route]
	if mean.Count() >= minRouteObservations && mean.Value() > float64(svc.longAfter()) {
		return model.ClassLong
	}

	return declared
}
