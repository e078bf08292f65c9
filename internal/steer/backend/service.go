package backend

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// quantileWindow is short enough to follow a change of load within seconds.
	quantileWindow = 10 * time.Second
	// refreshInterval bounds the cost of the quantiles, about 20 µs each time.
	refreshInterval = 20 * time.Millisecond
	// enough observations for the quantiles to be used.
	enough = 20
	// hedgeDefault applies until there are enough observations.
	hedgeDefault = 50 * time.Millisecond
	hedgeLowest  = 2 * time.Millisecond
	hedgeHighest = time.Second
	// longFactor times the median makes a request or a route long.
	longFactor = 10
	// longDefault applies until there are enough observations.
	longDefault = time.Second
	// stragglerRatio times the median makes a backend server a straggler.
	stragglerRatio = 5
	// routeWeight of the newest duration in the mean of a route is small, so that
	// a few long requests in a row do not make a route of short ones long.
	routeWeight = 0.01
	// routeEnough observations decide whether a route is long.
	routeEnough = 20
	// maxRoutes bounds the memory for learned routes of one service.
	maxRoutes = 512
	// shortLife is how long short work counts as present after its last request.
	shortLife = time.Minute
)

// service is what the entry knows about the requests of one service.
type service struct {
	class   model.Class
	servers []*server
	header  *ewma.Histogram
	total   *ewma.Histogram
	routes  map[string]ewma.Mean

	refreshed time.Duration
	known     bool
	// median is of the time to the response header, typical of the whole
	// duration; both are in use only while known is true.
	median  time.Duration
	typical time.Duration
	p95     time.Duration

	lastShort time.Duration
	sawShort  bool
	long      int
	turn      uint64
}

func newService() *service {
	return &service{
		header:    ewma.NewHistogram(quantileWindow),
		total:     ewma.NewHistogram(quantileWindow),
		routes:    make(map[string]ewma.Mean),
		refreshed: -refreshInterval,
	}
}

func (svc *service) refresh(now time.Duration) {
	if now < svc.refreshed+refreshInterval {
		return
	}
	svc.refreshed = now
	values, n := svc.header.Percentiles(now, 50, 95)
	if n < enough {
		return
	}
	svc.known = true
	svc.median, svc.p95 = max(values[0], time.Microsecond), values[1]
	if values, n = svc.total.Percentiles(now, 50); n >= enough {
		svc.typical = values[0]
	}
}

// ratio returns the latency of a server relative to the service's median. The
// age of the oldest attempt counts at once; an average that nothing confirms
// returns towards the median.
func (svc *service) ratio(now time.Duration, s *server) float64 {
	if !svc.known {
		return 1
	}
	median := float64(svc.median)
	latency := s.latency.Value()
	if excess := latency - median; excess > 0 && now > s.lastSeen {
		latency = median + excess/(1+float64(now-s.lastSeen)/float64(forgetAfter))
	}

	return max(latency, float64(s.age(now))) / median
}

func (svc *service) straggles(now time.Duration, s *server) bool {
	return svc.ratio(now, s) > stragglerRatio
}

// learn adds the duration of a completed request to its route.
func (svc *service) learn(route string, d time.Duration) {
	mean, ok := svc.routes[route]
	if !ok && len(svc.routes) >= maxRoutes {
		return
	}
	svc.routes[route] = mean.With(float64(d), routeWeight)
}

// longAfter returns the duration beyond which a request is long.
func (svc *service) longAfter() time.Duration {
	if svc.typical == 0 {
		return longDefault
	}

	return longFactor * max(svc.typical, time.Millisecond)
}

// HedgeDelay returns how long a short request waits for a response header
// before it is sent to a second backend server: the measured p95 within bounds.
func (s State) HedgeDelay(now time.Duration, name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return hedgeDefault
	}
	svc.refresh(now)
	if !svc.known {
		return hedgeDefault
	}

	return min(max(svc.p95, hedgeLowest), hedgeHighest)
}

// LongAfter returns how long a request runs before it counts as long.
func (s State) LongAfter(name string) time.Duration {
	if svc, ok := s.services[name]; ok {
		return svc.longAfter()
	}

	return longDefault
}

// Class returns the class of a request: the declared one, or long when its
// route was learned to be long.
func (s State) Class(name, route string, declared model.Class) model.Class {
	svc, ok := s.services[name]
	if !ok || declared != model.ClassShort || svc.typical == 0 {
		return declared
	}
	mean := svc.routes[route]
	if mean.Count() >= routeEnough && mean.Value() > float64(svc.longAfter()) {
		return model.ClassLong
	}

	return declared
}
