package direct

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the least time after which a refused caller is asked to come back,
	// unless quickRetryJitter applies. A random part of retryAfterJitter is added, so that
	// callers do not return together.
	minRetryAfter    = 80 * time.Millisecond
	retryAfterJitter = 240 * time.Millisecond
	// quickRetryJitter spreads the return of callers that are asked to come back at once,
	// because another server may serve them. It is less than a network round trip between
	// regions.
	quickRetryJitter = 40 * time.Millisecond
	// retryAfterShare is the share of the time until the deadline that a refused caller is
	// asked to wait when slots are scarce. Callers wait for at most a third of the time
	// until the deadline.
	retryAfterShare = 0.3
	// scarceDemandRatio is the demand for a service, relative to its slots, above which
	// slots are scarce.
	scarceDemandRatio = 0.6
)

// retryAfter returns how long a refused caller should wait. The wait is short if a
// server or the retry budget refused the request, or if the caller should go to another
// entry VM.
func (s *state) retryAfter(r *request, reason Reason) time.Duration {
	switch reason {
	case ReasonStopping, ReasonServerShed, ReasonRetryBudget:
		return time.Millisecond + time.Duration(s.random.Float64()*float64(quickRetryJitter))
	}
	jitter := time.Duration(s.random.Float64() * float64(retryAfterJitter))
	if reason == ReasonNoServer {
		// Before a server returns, the caller would be refused again.
		if at := s.eligibleAt(r); at > s.now && at < math.MaxInt64 {
			return max(at-s.now, minRetryAfter) + jitter
		}
	}
	if s.demandRatios[r.service] <= scarceDemandRatio {
		return minRetryAfter + jitter
	}

	return max(minRetryAfter, time.Duration(retryAfterShare*float64(r.deadline-s.now))) + jitter/4
}
