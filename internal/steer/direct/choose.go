package direct

import (
	"cmp"
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
	// typicalPercentile is the percentile of a route's processing times that counts as the
	// typical time: it is as likely that a request takes longer as that it does not.
	// typicalStep is the step argument of ewma.Percentile.With.
	typicalPercentile = 50
	typicalStep       = 0.04
	// minProcessingTime keeps estimates above the inaccuracy of the clock.
	minProcessingTime = 5 * time.Millisecond
	// failureCostFactor is the cost added for a server that fails many requests, as a
	// multiple of the processing time: the request may have to be repeated.
	failureCostFactor = 1.0
)

// typicalTimes are the typical processing times of a route's requests in nanoseconds,
// by the server's rank for the object.
type typicalTimes struct {
	byRank [rankCount]ewma.Percentile
	// lateByRank holds the times after which an attempt is late.
	lateByRank [rankCount]ewma.Percentile
	// lastSentAt is when a request of the route was last sent.
	lastSentAt time.Duration
}

// atRank returns the typical time at rank k. If rank k has had no responses, it returns
// the time at the next rank that has had some, else that at the nearest rank before. It
// returns 0 if there is none.
func (t *typicalTimes) atRank(k rank) time.Duration {
	for _, other := range []rank{k, k + 1, k + 2, k - 1, k - 2} {
		if other >= 0 && other < rankCount && t.byRank[other].Count() > 0 {
			return max(time.Duration(t.byRank[other].Value()), minProcessingTime)
		}
	}

	return 0
}

// candidate is a server that may get a request.
type candidate struct {
	server *server
	// hasRoom is true when the server takes the request now. inTime is true when the
	// response is expected before the request's deadline.
	hasRoom, inTime bool
	// wait is the expected time until the request gets a slot, answerTime that from then to
	// the response.
	wait, answerTime time.Duration
	// cost is the sum of both and of the time that other requests wait for the slot.
	cost time.Duration
}

// isBetter reports whether a request should rather go to c than to another candidate.
func (c candidate) isBetter(other candidate) bool {
	if other.server == nil || c.server == nil || c.inTime != other.inTime {
		return c.server != nil && (other.server == nil || c.inTime)
	}

	if c.cost == other.cost {
		return c.hasRoom && !other.hasRoom
	}

	return c.cost < other.cost
}

// choice says where a request may go.
type choice struct {
	// server takes the request now; nil if none does.
	server *server
	// eligible is true when some server is eligible, whether or not it has room. awaited is
	// then the server for which the request should wait.
	eligible bool
	awaited  *server
}

// choose returns the server for a request. It prefers the region that the division
// assigns. While no server there has room, the request goes to another region if that is
// expected to cost less than to wait.
func (s *state) choose(r *request) choice {
	ownRegion := s.settings.Region
	assigned, hasRegion := ownRegion, true
	if d := s.divisions[r.service]; d != nil {
		assigned, hasRegion = d.regionAt(r.divisionPoint, ownRegion, r.permits)
	}
	r.assignedRegion = ""
	known := s.knownOf(r)
	var best candidate
	if hasRegion {
		r.assignedRegion = assigned
		best, r.nearest = s.pickServer(r, known, true, s.byRegion[serviceRegion{r.service, assigned}])
	}
	if best.server == nil || (!best.hasRoom || !best.inTime) && s.spillover.allowed(s.now, s.settings.MaxShift) {
		// The division keeps the object in its assigned region, if a server there may get it.
		others := s.byService[r.service]
		if list, ok := s.outside[serviceRegion{r.service, assigned}]; ok && hasRegion {
			others = list
		}
		other, _ := s.pickServer(r, known, best.server == nil, others)
		if best.server == nil || other.hasRoom && other.isBetter(best) {
			best = other
		}
	}
	if best.server == nil {
		r.wait, r.answerTime = s.eligibleAt(r)-s.now, s.typicalTime(r, firstRank)

		return choice{}
	}
	r.wait, r.answerTime = best.wait, best.answerTime
	if best.hasRoom && (best.inTime || s.trialDue(r)) {
		return choice{server: best.server, eligible: true}
	}

	return choice{eligible: true, awaited: best.server}
}

// trialDue reports whether a request is sent although it will probably miss its deadline.
// One in each typical processing time shows whether the servers have become faster.
func (s *state) trialDue(r *request) bool {
	return r.attempts == 0 && s.now < r.deadline && s.now-s.typicalTimes(r).lastSentAt >= s.typicalTime(r, firstRank)
}

// known is what the choice of a server for a request needs of its route and service.
type known struct {
	// typicalTimes are by rank.
	typicalTimes  [rankCount]time.Duration
	residenceTime time.Duration
	slotPrice     float64
	ownShare      float64
}

func (s *state) knownOf(r *request) known {
	k := known{residenceTime: s.residenceTime(r), slotPrice: s.slotPrices[r.service], ownShare: cmp.Or(s.ownShares[r.service], 1)}
	for i := range rankCount {
		k.typicalTimes[i] = s.typicalTime(r, i)
	}

	return k
}

// pickServer returns the best candidate for a request among some servers. mayKnow is false if
// none of them knows the object of the request. The first two by rank are nearest.
func (s *state) pickServer(r *request, known known, mayKnow bool, servers []*server) (best candidate, nearest [2]*server) {
	var first, second *server
	var firstWeight, secondWeight uint64
	for _, srv := range servers {
		if !s.eligible(srv, r) {
			continue
		}
		if w := rendezvous.Mix(srv.hash ^ r.objectHash); first == nil || w > firstWeight {
			first, second, firstWeight, secondWeight = srv, first, w, firstWeight
		} else if second == nil || w > secondWeight {
			second, secondWeight = srv, w
		}
	}
	consider := func(srv *server, k rank) {
		if !mayKnow {
			k = otherRank
		}
		if c := s.candidate(r, srv, known, k); c.isBetter(best) && s.isWorthSlot(r, c, known, k) {
			best = c
		}
	}
	nearest = [2]*server{first, second}
	if first == nil {
		return best, nearest
	}
	consider(first, firstRank)
	if second != nil {
		consider(second, secondRank)
	}
	if best.server == first && best.hasRoom && best.inTime {
		return best, nearest
	}
	if r.route.Sticky && !s.fits(r, time.Duration(known.slotPrice*minSlowdown*float64(known.typicalTimes[otherRank]))) {
		// No server of another rank is worth its slot.
		return best, nearest
	}
	for _, srv := range servers {
		if srv != first && srv != second && s.hasRoom(srv) && s.eligible(srv, r) {
			consider(srv, otherRank)
		}
	}

	return best, nearest
}

// candidate returns a server as a candidate for a request.
func (s *state) candidate(r *request, srv *server, known known, k rank) candidate {
	slowdown := srv.slowdown(s.now)
	processing := time.Duration(slowdown * float64(known.typicalTimes[k]))
	c := candidate{server: srv, hasRoom: s.hasRoom(srv) && s.takesBody(r, srv), answerTime: s.roundTrip(srv.Region) + processing}
	c.wait = s.waitAt(r, srv, known, c.hasRoom, slowdown)
	c.inTime = s.fits(r, c.wait+c.answerTime)
	c.cost = c.wait + c.answerTime + time.Duration(known.slotPrice*float64(processing))
	if srv.failsOften() {
		c.cost += time.Duration(failureCostFactor * float64(processing))
	}

	return c
}

// isWorthSlot reports whether a request may take a slot of a candidate of rank k. On a server
// that does not know the object it must cost the callers of other requests less time than
// its own caller has left.
func (s *state) isWorthSlot(r *request, c candidate, known known, k rank) bool {
	processing := time.Duration(c.server.slowdown(s.now) * float64(known.typicalTimes[k]))

	return !r.route.Sticky || k != otherRank || s.fits(r, time.Duration(known.slotPrice*float64(processing)))
}

// hasRoom reports whether a server takes another request now.
func (s *state) hasRoom(srv *server) bool {
	return !srv.isFull() && (!s.takesTurns || s.mayTakeSlot(srv)) && srv.inFlight < s.maxConnections(srv.Service)
}

// slotPrice returns how long other requests wait in all for each second that a request
// spends in a slot, as in a queue with one server (M/M/1): use / (1 - use). At least one
// slot counts as free.
func slotPrice(demandRatio float64, slots map[string]float64) float64 {
	total := 1.0
	for _, n := range slots {
		total += n
	}
	use := min(demandRatio, 1)

	return use / max(1-use, 1/total)
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

// typicalTime returns the typical processing time of a route's requests at a rank, 0 before
// the first response.
func (s *state) typicalTime(r *request, k rank) time.Duration {
	if !r.route.Sticky {
		k = otherRank
	}

	return s.typicalTimes(r).atRank(k)
}

// timesRank returns the rank at which the times of a request at a server are measured.
func (s *state) timesRank(r *request, srv *server) rank {
	if !r.route.Sticky {
		return otherRank
	}

	return s.rankOf(r, srv)
}

// typicalTimes returns the typical processing times of a request's route.
func (s *state) typicalTimes(r *request) *typicalTimes {
	return getOrCreate(s.typicalByRoute, r.route.Name, func() *typicalTimes { return &typicalTimes{} })
}

// residenceTime returns the mean time that a route's requests spend at a server, which
// serves as their time in a slot; 0 before the first response.
func (s *state) residenceTime(r *request) time.Duration {
	return time.Duration(s.residenceTimes[r.route.Name].Value())
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
