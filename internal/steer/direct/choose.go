package direct

import (
	"math"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// rank is the position of a server in the rendezvous hash order for the object of a
// request. Requests for an object go to the first servers in this order. The first
// servers have usually handled the object recently, and so process its requests faster.
type rank int

// Ranks of a server; otherRank covers all positions after the second.
const (
	firstRank rank = iota
	secondRank
	otherRank
	rankCount
)

const (
	// maxAssumedTimeShare bounds the processing time that is assumed for a server that
	// knows the object, as a share of the route's target. The bound matters when all
	// servers have forgotten all objects, so that every response is late. Without the
	// bound no request would seem able to meet its target, all requests would be refused
	// at high demand, and no server would come to know an object again.
	maxAssumedTimeShare = 0.6
	// typicalPercentile is the percentile of a route's processing times that counts as the
	// typical time. Long-running requests, requests for forgotten objects and requests at
	// slow servers take longer than that. typicalStep is the step argument of ewma.Percentile.With.
	typicalPercentile = 30
	typicalStep       = 0.04
	// minProcessingTime keeps estimates above the inaccuracy of the clock.
	minProcessingTime = 5 * time.Millisecond
	// slotCostFactor is the cost of a second in a slot when all slots are in demand. The
	// cost is measured in seconds of the caller's waiting time.
	slotCostFactor = 1.0
	// failureCostFactor is the cost added for a server that fails many requests, as a
	// multiple of the processing time.
	failureCostFactor = 1.0
	// scarceDemandRatio is the demand for a service, relative to its slots, above which
	// requests go only to servers that know their objects. On another server a request
	// would hold a slot several times as long and make that server forget one of its
	// objects.
	scarceDemandRatio = 0.6
)

// typicalTimes are the typical processing times of a route's requests in nanoseconds,
// by the server's rank for the object.
type typicalTimes [rankCount]ewma.Percentile

// atRank returns the typical time at rank k. If rank k has had no responses, it returns
// the time at the next rank that has had some. If there is none, it returns
// maxAssumedTimeShare of the target.
func (t *typicalTimes) atRank(k rank, target time.Duration) time.Duration {
	for ; k < rankCount; k++ {
		if t[k].Count() > 0 {
			return max(time.Duration(t[k].Value()), minProcessingTime)
		}
	}

	return max(time.Duration(maxAssumedTimeShare*float64(target)), minProcessingTime)
}

// candidate is a server that would take a request, and the cost of sending the request
// there.
type candidate struct {
	server *server
	rank   rank
	cost   time.Duration
}

// choose returns the server for a request, or nil when no server takes the request now.
// It prefers a server that meets the target, first in the region that the division
// assigns. anyEligible is true when some server is eligible, whether or not it has
// room.
func (s *state) choose(r *request) (chosen *server, anyEligible bool) {
	ownRegion := s.settings.Region
	assigned, hasRegion := ownRegion, true
	if d := s.divisions[r.service]; d != nil {
		assigned, hasRegion = d.regionAt(r.divisionPoint, ownRegion, r.permits)
	}
	r.foundRoom, r.assignedRegion = false, ""
	if hasRegion {
		r.assignedRegion = assigned
	}
	var best candidate
	if hasRegion {
		best, anyEligible = s.pickServer(r, func(srv *server) bool { return srv.Region == assigned })
		if best.server != nil && s.meetsTarget(r, best.server, best.rank) {
			return best.server, true
		}
		if anyEligible && (s.waitsForRoom(r) || !s.spillover.allowed(s.now)) {
			return best.server, true
		}
	}
	other, otherEligible := s.pickServer(r, func(srv *server) bool { return !hasRegion || srv.Region != assigned })
	if best.server == nil || other.server != nil && s.meetsTarget(r, other.server, other.rank) {
		best = other
	}

	return best.server, anyEligible || otherEligible
}

// waitsForRoom reports whether a request should wait for room on the servers that know
// its object instead of going to another region.
func (s *state) waitsForRoom(r *request) bool {
	return r.route.Sticky && s.canMeetTarget(r) && (s.now < firstServerWaitUntil(r) || s.now < holdUntil(r) && s.slotsScarce(r.service))
}

// waitsForFirstServer reports whether a request waits for a slot of the first server by
// rank instead of going to the second server, which often does not know the object.
func (s *state) waitsForFirstServer(r *request, first *server) bool {
	return r.route.Sticky && first.isFull() && s.canMeetTarget(r) && s.now < firstServerWaitUntil(r)
}

// pickServer returns the cheapest server that takes a request now. It considers the
// servers of the request's service for which fits returns true. anyEligible is true
// when one of these servers is eligible, whether or not it has room.
func (s *state) pickServer(r *request, fits func(*server) bool) (best candidate, anyEligible bool) {
	var first, second *server
	var firstWeight, secondWeight uint64
	for _, srv := range s.byService[r.service] {
		if !fits(srv) || !s.eligible(srv, r) {
			continue
		}
		anyEligible = true
		if w := rendezvous.Mix(srv.hash ^ r.objectHash); first == nil || w > firstWeight {
			first, second, firstWeight, secondWeight = srv, first, w, firstWeight
		} else if second == nil || w > secondWeight {
			second, secondWeight = srv, w
		}
	}
	consider := func(srv *server, k rank) {
		if cost, ok := s.cost(r, srv, k); ok && (best.server == nil || cost < best.cost) {
			best = candidate{server: srv, rank: k, cost: cost}
		}
	}
	if first != nil {
		consider(first, firstRank)
	}
	if second != nil && (best.server != nil || !s.waitsForFirstServer(r, first)) {
		consider(second, secondRank)
	}
	if best.server != nil && best.rank == firstRank || r.route.Sticky && s.slotsScarce(r.service) {
		return best, anyEligible
	}
	for _, srv := range s.byService[r.service] {
		if srv != first && srv != second && fits(srv) && s.eligible(srv, r) {
			consider(srv, otherRank)
		}
	}

	return best, anyEligible
}

// cost returns the expected time until the response of a server, plus additions for the
// use of a slot, for a server without free slots and for a server that fails often. It
// returns false when the server does not take the request now.
func (s *state) cost(r *request, srv *server, k rank) (time.Duration, bool) {
	if srv.isFull() || srv.inFlight >= s.maxConnections(r.service) {
		return 0, false
	}
	r.foundRoom = true
	if !s.meetsTarget(r, srv, k) && !s.admitsLate(r, srv) {
		return 0, false
	}
	processing := s.processingTime(r, srv, k)
	cost := s.roundTrip(srv.Region) + processing + time.Duration(slotCostFactor*min(s.demandRatios[r.service], 1)*float64(processing))
	if excess := srv.occupied() - float64(srv.Slots) + 1; excess > 0 {
		cost += time.Duration(float64(processing) * excess / float64(max(srv.Slots, 1)))
	}
	if srv.failsOften() {
		cost += time.Duration(failureCostFactor * float64(processing))
	}

	return cost, true
}

// maxConnections returns how many connections to one server of a service this entry VM
// may use at a time: its part of half the operators' limit. The other half is left for
// idle connections.
func (s *state) maxConnections(service string) int {
	limit := 0
	if s.intent != nil {
		limit = s.intent.Services[service].MaxConnections
	}
	if limit <= 0 {
		return math.MaxInt
	}

	return max(limit/(2*max(len(s.entryVMNames), 1)), 1)
}

// eligible reports whether a request may be sent to a server now, whether or not the
// server has room.
func (s *state) eligible(srv *server, r *request) bool {
	return srv.isUsable(s.now) && (!srv.isCold(s.now) || s.hasColdRate(srv)) && !s.evacuatedZones.Has(srv.Zone) && r.permits(srv.Region) && !r.tried(srv.ID)
}

// processingTime returns the time that a request is expected to take at a server now.
func (s *state) processingTime(r *request, srv *server, k rank) time.Duration {
	return time.Duration(srv.slowdown(s.now) * float64(s.typicalTime(r, k)))
}

// typicalTime returns the typical processing time of a route's requests at a rank.
func (s *state) typicalTime(r *request, k rank) time.Duration {
	if !r.route.Sticky {
		k = otherRank
	}

	typicalTime := s.typicalTimes(r).atRank(k, r.route.Target)
	if k == firstRank {
		typicalTime = min(typicalTime, time.Duration(maxAssumedTimeShare*float64(r.route.Target)))
	}

	return typicalTime
}

// typicalTimes returns the typical processing times of a request's route.
func (s *state) typicalTimes(r *request) *typicalTimes {
	return getOrCreate(s.typicalByRoute, r.route.Name, func() *typicalTimes { return &typicalTimes{} })
}

// residenceTime returns the mean time that a route's requests spend at a server, which
// serves as their time in a slot. Before the first response it returns the target. No
// server knows any object then, and a shorter time would spread the requests over
// servers that forget the objects again.
func (s *state) residenceTime(r *request) time.Duration {
	if m, ok := s.residenceTimes[r.route.Name]; ok && m.Count() > 0 {
		return time.Duration(m.Value())
	}

	return r.route.Target
}

// slotsScarce reports whether requests for a service should go only to servers that
// know their objects: the demand ratio exceeds scarceDemandRatio, or the pressure is
// high.
func (s *state) slotsScarce(service string) bool {
	return s.demandRatios[service] > scarceDemandRatio || s.pressure(service).isHigh()
}

// roundTrip returns the network time to a region and back, 0 while it is not known.
func (s *state) roundTrip(region string) time.Duration {
	return s.roundTrips[region]
}

// rankOf returns the rank of a server for the object of a request, among the servers of
// the server's own region.
func (s *state) rankOf(r *request, srv *server) rank {
	weight := rendezvous.Mix(srv.hash ^ r.objectHash)
	k := firstRank
	for _, other := range s.byService[r.service] {
		if other != srv && other.Region == srv.Region && !other.Leaving && rendezvous.Mix(other.hash^r.objectHash) > weight {
			if k++; k == otherRank {
				break
			}
		}
	}

	return k
}
