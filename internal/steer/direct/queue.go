package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHoldShare is the longest time that a request may wait for a server, as a share of
	// the route's target. A later refusal would leave the caller no time to come back.
	maxHoldShare = 0.25
	// firstServerWaitShare is the longest time that a request waits for the first server
	// of its object, as a share of the route's target. It is about the time until one of
	// that server's slots becomes free.
	firstServerWaitShare = 0.12
	// minRetryAfter is the least time after which a refused caller is asked to come back,
	// unless quickRetryJitter applies. A random part of retryAfterJitter is added, so that
	// callers do not return together.
	minRetryAfter    = 80 * time.Millisecond
	retryAfterJitter = 240 * time.Millisecond
	// quickRetryJitter spreads the return of callers that are asked to come back at once,
	// because another server may serve them. It is less than a network round trip between
	// regions.
	quickRetryJitter = 40 * time.Millisecond
)

// queue holds the waiting requests of one service, ordered by priority level and then
// by time of arrival.
type queue struct {
	waiting []*request
}

func (q *queue) push(r *request) {
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.route.PriorityLevel, b.route.PriorityLevel), cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
	})
	q.waiting = slices.Insert(q.waiting, at, r)
	r.queued = true
}

func (q *queue) remove(r *request) {
	if at := slices.Index(q.waiting, r); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	r.queued = false
}

// firstServerWaitUntil returns when a request stops waiting for the first server of
// its object.
func firstServerWaitUntil(r *request) time.Duration {
	return r.arrivedAt + time.Duration(firstServerWaitShare*float64(r.route.Target))
}

// holdUntil returns when a queued request is refused if it has found no room.
func holdUntil(r *request) time.Duration {
	return min(r.arrivedAt+time.Duration(maxHoldShare*float64(r.route.Target)), r.deadline)
}
