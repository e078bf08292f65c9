package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHoldShare is the share of a route's target for which a request may wait for a
	// server; refusing later would leave the caller no time to come back.
	maxHoldShare = 0.25
	// firstServerWaitShare is the share of a route's target for which a request waits
	// for the first server of its object: about the time until one of that server's
	// slots is free.
	firstServerWaitShare = 0.12
	// minRetryAfter is the least time after which a refused caller is asked to come back,
	// unless quickRetryJitter applies. A random part of retryAfterJitter is added, so that
	// callers do not return together.
	minRetryAfter    = 80 * time.Millisecond
	retryAfterJitter = 240 * time.Millisecond
	// quickRetryJitter spreads the return of callers that another server may serve at
	// once; it is less than a network round trip between regions.
	quickRetryJitter = 40 * time.Millisecond
)

// queue holds the waiting requests of one service by priority level, and earlier
// requests before later ones.
type queue struct {
	waiting []*request
}

func (q *queue) push(r *request) {
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.route.PriorityLevel, b.route.PriorityLevel), cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.id, b.id))
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
	return r.arrived + time.Duration(firstServerWaitShare*float64(r.route.Target))
}

// holdUntil returns when a queued request that has found no room is refused.
func holdUntil(r *request) time.Duration {
	return min(r.arrived+time.Duration(maxHoldShare*float64(r.route.Target)), r.deadline)
}
