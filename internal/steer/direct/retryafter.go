package direct

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After, which has a resolution of a millisecond.
	minRetryAfter = time.Millisecond
	// reportPause is the time between two reports of other entry VMs. A caller that is
	// refused for want of room finds the same room until the next report.
	reportPause = 100 * time.Millisecond
)

// retryAfter returns how long a refused caller should wait: until room for its request is
// expected, and a random time more, so that callers do not return together. If room is
// expected in time, the caller is not asked to wait until no time is left for the work.
func (s *state) retryAfter(r *request, reason Reason) time.Duration {
	room, spread := s.roomAfter(r, reason)
	if latest := r.deadline - s.now - r.answerTime; latest > room {
		spread = min(spread, latest-room)
	}

	return max(room+time.Duration(s.random.Float64()*float64(spread)), minRetryAfter)
}

// roomAfter returns how long it will probably take until there is room for a request, and
// over what time the return of the refused callers is spread.
func (s *state) roomAfter(r *request, reason Reason) (room, spread time.Duration) {
	// By Little's law, the requests in slots are worked off in one residence time, and the
	// queued ones at the same rate.
	held := max(float64(s.heldPortions[r.service])/portionsPerSlot, 1)
	nextSlot := time.Duration(float64(s.residenceTime(r)) / held)
	backlog := max(s.residenceTime(r)+time.Duration(len(s.queue(r.service).waiting))*nextSlot, reportPause)
	if reason == ReasonStopping || reason == ReasonServerShed || reason == ReasonServerUnreachable || reason == ReasonRetryBudget {
		// Another entry VM or server may have room at once.
		return nextSlot, nextSlot
	}
	if at := s.eligibleAt(r); reason == ReasonNoServer && at < math.MaxInt64 {
		return max(at-s.now, reportPause), backlog
	}

	return backlog, backlog
}
