package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/fair"
)

// queue holds the waiting requests of one service.
type queue struct {
	// waiting is sorted by priority level and then by time of arrival.
	waiting []*request
	// busySince is the time from which on the queue has never been empty.
	busySince time.Duration
	// isFair is true while the configuration has customers. They then share the slots by
	// their weights, and order holds the requests as they should be served, nil when that
	// has to be worked out again.
	isFair bool
	shares fair.Shares
	order  []*request
	// arriving is a request that does not wait yet, and arrivingOrder the order with it.
	arriving      *request
	arrivingOrder []*request
	// demands holds what the requests of each customer need.
	demands map[customerKey]*customerDemand
	// hasExcess is true while some customer is in excess.
	hasExcess bool
}

func newQueue(isFair bool) *queue {
	return &queue{isFair: isFair, demands: map[customerKey]*customerDemand{}}
}

func classOf(r *request) fair.Class {
	return fair.Class{Customer: r.customer.PriorityLevel, Route: r.route.PriorityLevel}
}

func compareRequests(a, b *request) int {
	return cmp.Or(classOf(a).Compare(classOf(b)), cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
}

// push adds a request.
func (q *queue) push(now time.Duration, r *request) {
	if len(q.waiting) == 0 {
		q.busySince = now
	}
	at, _ := slices.BinarySearchFunc(q.waiting, r, compareRequests)
	q.waiting = slices.Insert(q.waiting, at, r)
	r.queued = true
	if q.isFair {
		q.account(r)
	}
}

// account takes a waiting request into the accounts of its customer.
func (q *queue) account(r *request) {
	order := q.arrivingOrder
	if q.arriving != r {
		order = nil
	}
	q.shares.Push(r.share)
	q.reorder()
	q.order = order
}

func (q *queue) remove(r *request) {
	if at := slices.Index(q.waiting, r); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.reorder()
		q.shares.Remove(r.share)
	}
	r.queued = false
}

// begin notes that an attempt takes a slot. It returns the period in which it does.
func (q *queue) begin(share fair.Item) fair.Period {
	if !q.isFair {
		return 0
	}
	q.reorder()

	return q.shares.Serve(share)
}

// end notes that an attempt leaves its slot, and whether a server may have worked for it.
func (q *queue) end(share fair.Item, period fair.Period, served bool) {
	if q.isFair {
		q.shares.Finish(share, period, served)
		q.reorder()
	}
}

// reorder lets the order be worked out again.
func (q *queue) reorder() {
	q.order, q.arriving, q.arrivingOrder = nil, nil, nil
}

// inOrder returns the waiting requests in the order in which they should be served. The
// caller must not change them.
func (q *queue) inOrder() []*request {
	if !q.isFair {
		return q.waiting
	}
	if q.order == nil {
		q.order = q.fairOrder(q.waiting)
	}

	return q.order
}

func (q *queue) fairOrder(waiting []*request) []*request {
	items := make([]fair.Item, len(waiting))
	for i, r := range waiting {
		items[i] = r.share
	}
	out := make([]*request, len(waiting))
	for i, at := range q.shares.Order(items) {
		out[i] = waiting[at]
	}

	return out
}

// before returns the waiting requests that come before one that does not wait yet.
func (q *queue) before(r *request) []*request {
	at, _ := slices.BinarySearchFunc(q.waiting, r, compareRequests)
	if !q.isFair || len(q.waiting) == 0 {
		return q.waiting[:at]
	}
	if q.arriving != r {
		q.arriving, q.arrivingOrder = r, q.fairOrder(slices.Insert(slices.Clone(q.waiting), at, r))
	}

	return q.arrivingOrder[:slices.Index(q.arrivingOrder, r)]
}

// setFair says whether customers share the slots. Waiting requests are accounted for from
// then on.
func (q *queue) setFair(isFair bool) {
	if isFair == q.isFair {
		return
	}
	*q = queue{waiting: q.waiting, busySince: q.busySince, isFair: isFair, demands: map[customerKey]*customerDemand{}}
	if isFair {
		for _, r := range q.waiting {
			q.account(r)
		}
	}
}
