package direct

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the waiting requests of one service, ordered by priority level and then
// by time of arrival.
type queue struct {
	waiting []*request
	// busySince is the time from which on the queue has never been empty.
	busySince time.Duration
}

func compareRequests(a, b *request) int {
	return cmp.Or(cmp.Compare(a.route.PriorityLevel, b.route.PriorityLevel), cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
}

func (q *queue) push(now time.Duration, r *request) {
	if len(q.waiting) == 0 {
		q.busySince = now
	}
	at, _ := slices.BinarySearchFunc(q.waiting, r, compareRequests)
	q.waiting = slices.Insert(q.waiting, at, r)
	r.queued = true
}

func (q *queue) remove(r *request) {
	if at := slices.Index(q.waiting, r); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	r.queued = false
}
