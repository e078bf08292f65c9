package direct

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// warmCandidates is the number of servers in a region among which the
	// requests of one object stay.
	warmCandidates = 2
	// warmAdvantage is the time that work takes at a server that knows its object,
	// relative to another; a slower server is worth leaving beyond it.
	warmAdvantage = 0.7
	// missed is the cost of an answer beyond the target, in usual work times.
	missed = 2.0
	// untried is the work time assumed for a route without answers, as a share of
	// its target.
	untried = 0.5
)

// choose returns the server for a request, or nil when none has room. A server
// that makes the target is preferred, first one in the region that the division
// gives; a request that misses its target gets room only without pressure.
// reachable is false when no server may take the request at all.
func (s *state) choose(r *request) (chosen *server, reachable bool) {
	own := s.settings.Region
	first, known := own, true
	if sp := s.spreads[r.service]; sp != nil {
		first, known = sp.regionOf(r.point, own, r.permits)
	}
	var best, other *server
	if known {
		best, reachable = s.pick(r, func(c *server) bool { return c.Region == first })
	}
	if best != nil && s.makes(r, best) {
		return best, true
	}
	other, may := s.pick(r, func(c *server) bool { return !known || c.Region != first })
	if other != nil && s.makes(r, other) {
		return other, true
	}
	if best == nil {
		best = other
	}
	r.room = best != nil
	if best != nil && s.mayBeLate(r, best) {
		return best, true
	}

	return nil, reachable || may
}

// pick returns the best server with room among those of the request's service
// that fit. Two servers per object are preferred, and the faster one of them;
// otherwise the object's order decides, so that its next server is the same at
// every entry.
func (s *state) pick(r *request, fits func(*server) bool) (best *server, reachable bool) {
	var top [warmCandidates]*server
	var weights [warmCandidates]uint64
	var fallback *server
	fallbackCost := 0.0
	for _, c := range s.byService[r.service] {
		if !fits(c) || !s.eligible(c, r) {
			continue
		}
		reachable = true
		w := rendezvous.Mix(c.hash ^ r.objectHash)
		for i := range top {
			if top[i] == nil || w > weights[i] {
				copy(top[i+1:], top[i:])
				copy(weights[i+1:], weights[i:])
				top[i], weights[i] = c, w

				break
			}
		}
		if c.occupied() >= c.limit() {
			continue
		}
		if cost := s.cost(c, r); fallback == nil || cost < fallbackCost {
			fallback, fallbackCost = c, cost
		}
	}
	if !r.route.Sticky {
		return fallback, reachable
	}
	bestCost := 0.0
	for _, c := range top {
		if c == nil || c.occupied() >= c.limit() {
			continue
		}
		if cost := s.cost(c, r); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil || bestCost*warmAdvantage > fallbackCost {
		return fallback, reachable
	}

	return best, reachable
}

// eligible reports whether a request may be sent to a server now.
func (s *state) eligible(c *server, r *request) bool {
	return c.usable(s.now) && !s.evacuated.Has(c.Zone) && r.permits(c.Region) && !r.tried(c.ID)
}

// cost is the time until the answer, relative to the usual work of the route.
func (s *state) cost(c *server, r *request) float64 {
	speed := c.speed(s.now)
	usual := s.work(r)
	cost := speed
	if !s.makes(r, c) {
		cost += missed
	}
	if over := c.occupied() - c.Slots; over >= 0 {
		cost += speed * float64(over+1) / float64(max(c.Slots, 1))
	} else {
		cost += 0.2 * float64(c.occupied()) / float64(max(c.Slots, 1))
	}
	if c.grey() {
		cost += 1
	}

	return cost + float64(s.distance(c.Region))/float64(usual)
}

// work returns the usual time that a route's requests take at a server.
func (s *state) work(r *request) time.Duration {
	if m, ok := s.works[r.route.Name]; ok && m.Count() > 0 {
		return max(time.Duration(m.Value()), time.Millisecond)
	}

	return max(time.Duration(untried*float64(r.route.Target)), 10*time.Millisecond)
}

// distance returns the time to a region and back.
func (s *state) distance(region string) time.Duration {
	return s.distances[region]
}
