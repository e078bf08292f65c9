package direct

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

// This file handles overload. A refused caller comes back later, when its response is
// worth only a fraction of a response within the target. So requests that can still
// meet their target go first. Late requests get the slots that are left.

const (
	// callerRoundTrip is the assumed network time from a caller to its entry VM and back.
	callerRoundTrip = 14 * time.Millisecond
	// pressureAlpha is the weight of one request in the pressure on a service. The mean
	// covers about the last 50 requests.
	pressureAlpha = 0.02
	// highPressure is the pressure above which slots count as scarce and refused callers
	// are asked to wait longer.
	highPressure = 0.03
	// lateLoadFactor limits how far a server is filled with requests that will miss their
	// target. A server takes such a request only while the fraction of its slots in use,
	// by any requests, is below lateLoadFactor x (1 - the demand ratio of the service). The
	// factor is above 1, because the demand is not spread evenly over the servers.
	lateLoadFactor = 1.5
	// retryAfterShare is the share of the time until the deadline that a refused caller is
	// asked to wait under high pressure. Callers wait for at most a third of the time
	// until the deadline.
	retryAfterShare = 0.3
)

// pressure is the share of the requests for a service that found no room at once on any
// server considered for them. Only requests that could still meet their target count.
type pressure struct {
	share ewma.Mean
}

// observe records whether a request found room.
func (p *pressure) observe(foundRoom bool) {
	missed := 1.0
	if foundRoom {
		missed = 0
	}
	p.share = p.share.With(missed, pressureAlpha)
}

func (p *pressure) isHigh() bool {
	return p.share.Value() > highPressure
}

// meetsTarget reports whether the response of a server is expected within the target.
func (s *state) meetsTarget(r *request, srv *server, k rank) bool {
	duration := s.roundTrip(srv.Region) + s.processingTime(r, srv, k)

	return s.now+duration <= r.targetDeadline
}

// canMeetTarget reports whether a request can still meet its target, on a server
// that knows its object.
func (s *state) canMeetTarget(r *request) bool {
	return s.now+s.typicalTime(r, firstRank) <= r.targetDeadline
}

// admitsLate reports whether a server takes a request that will miss its target. The
// higher the demand ratio of the service, the fewer slots of the server may be in use.
func (s *state) admitsLate(r *request, srv *server) bool {
	if s.demandRatios[r.service] > scarceDemandRatio {
		return false
	}
	free := min(lateLoadFactor*(1-s.demandRatios[r.service]), 1)

	return srv.occupied() < free*float64(srv.Slots)
}

// retryAfter returns how long a refused caller should wait. The wait is short if a
// server or the retry budget refused a request that can still meet its target, or if the
// caller should go to another entry VM.
func (s *state) retryAfter(r *request, reason Reason) time.Duration {
	if reason == ReasonStopping || (reason == ReasonServerShed || reason == ReasonRetryBudget) && s.canMeetTarget(r) {
		return time.Millisecond + time.Duration(s.random.Float64()*float64(quickRetryJitter))
	}
	jitter := time.Duration(s.random.Float64() * float64(retryAfterJitter))
	if reason == ReasonNoServer {
		// Before a server returns, the caller would be refused again.
		if at := s.earliestReturn(r); at > s.now && at < r.deadline {
			return max(at-s.now, minRetryAfter) + jitter
		}
	}
	if !s.pressure(r.service).isHigh() {
		return minRetryAfter + jitter
	}

	return max(minRetryAfter, time.Duration(retryAfterShare*float64(r.deadline-s.now))) + jitter/4
}

func (s *state) pressure(service string) *pressure {
	return getOrCreate(s.pressures, service, func() *pressure { return &pressure{} })
}
