package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdShare is the part of a route's target that a request may wait for a
	// server; refusing later would leave the caller no time to come back.
	holdShare = 0.25
	// firstShare is the part of a route's target that a request waits for the first
	// server of its object: about the time until one of that server's slots is free.
	firstShare = 0.12
	// returnBase and returnSpread bound the time after which a refused caller is
	// asked to come back; the spread keeps callers from returning together.
	returnBase   = 80 * time.Millisecond
	returnSpread = 240 * time.Millisecond
	// quickReturn spreads the return of callers that another server may serve at once:
	// less than a network round trip between regions.
	quickReturn = 40 * time.Millisecond
)

// queue holds the waiting requests of one service, urgent routes first and
// earlier requests before later ones.
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

// firstUntil returns when a request no longer waits for the first server of its object.
func firstUntil(r *request) time.Duration {
	return r.arrived + time.Duration(firstShare*float64(r.route.Target))
}

// holdUntil returns when a request that finds no room is refused.
func holdUntil(r *request) time.Duration {
	return min(r.arrived+time.Duration(holdShare*float64(r.route.Target)), r.until)
}
