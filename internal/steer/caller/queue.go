package caller

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// maxWait bounds the time in the queue, so that a request is refused within
	// 50 ms of its arrival.
	maxWait = 40 * time.Millisecond
	// maxQueue bounds the requests of one service that wait: about what an entry
	// with 20 tokens of 20 ms serves within maxWait, and as much again.
	maxQueue = 64
	// maxReserve bounds how long a claim keeps a token that it does not use yet;
	// a slow store must not take capacity from other requests.
	maxReserve = 50 * time.Millisecond
	// shortMemory is how long waiting short work bounds long work after the last
	// wait, so that the bound does not come and go with each request.
	shortMemory = time.Second
)

// queue holds the waiting requests of one service by class, each class in the
// order of deadlines.
type queue struct {
	classes [model.ClassBulk + 1][]*request
	// shortWaited is when short work last waited, or never.
	shortWaited time.Duration
}

func (q *queue) len() int {
	n := 0
	for _, class := range q.classes {
		n += len(class)
	}

	return n
}

func (q *queue) add(r *request) {
	class := q.classes[r.class]
	i, _ := slices.BinarySearchFunc(class, r, byDeadline)
	q.classes[r.class] = slices.Insert(class, i, r)
}

func byDeadline(a, b *request) int {
	if a.Deadline != b.Deadline {
		return int(min(max(a.Deadline-b.Deadline, -1), 1))
	}

	return int(min(max(int64(a.id)-int64(b.id), -1), 1))
}

func (q *queue) remove(r *request) {
	class := q.classes[r.class]
	if i := slices.Index(class, r); i >= 0 {
		q.classes[r.class] = slices.Delete(class, i, i+1)
	}
}

// last returns the waiting request of the lowest value: bulk before long before
// short, the latest deadline first.
func (q *queue) last() *request {
	for _, class := range slices.Backward(q.classes[:]) {
		if len(class) > 0 {
			return class[len(class)-1]
		}
	}

	return nil
}

// unqueue takes a request out of its queue, if it is there.
func (t *table) unqueue(r *request) {
	if q, ok := t.queues[r.Service]; ok {
		q.remove(r)
	}
}

func (t *table) queue(service string) *queue {
	q, ok := t.queues[service]
	if !ok {
		q = &queue{shortWaited: never}
		t.queues[service] = q
		i, _ := slices.BinarySearch(t.services, service)
		t.services = slices.Insert(t.services, i, service)
	}

	return q
}

// enqueue makes a request wait for a token, if it must.
func (t *table) enqueue(r *request) {
	r.phase, r.queuedAt = queued, t.now
	q := t.queue(r.Service)
	if t.mayPass(q, r) && t.try(r) != waits {
		return
	}
	q.add(r)
	if r.class == model.ClassShort {
		q.shortWaited = t.now
	}
	t.schedule(r)
	t.ask(r.Service)
	if q.len() > maxQueue {
		t.refuse(q.last(), event.ReasonNoCapacity)
	}
}

// mayPass reports whether no request of equal or higher value waits already.
func (t *table) mayPass(q *queue, r *request) bool {
	for class := range r.class + 1 {
		if len(q.classes[class]) > 0 {
			return false
		}
	}

	return true
}

// ask asks other entries for tokens.
func (t *table) ask(service string) {
	if wanted := t.near.Backends().Wanted(t.now, service, t.near.Tokens()); len(wanted) > 0 {
		t.near.RequestTokens(wanted, t.now)
	}
}

// pumpAll serves what can be served of every queue.
func (t *table) pumpAll() {
	for _, service := range t.services {
		if t.queues[service].len() == 0 {
			continue
		}
		t.pump(service)
		if t.queues[service].len() > 0 {
			t.ask(service)
		}
	}
}

// pump serves what can be served of one queue, in the order of value.
func (t *table) pump(service string) {
	q, ok := t.queues[service]
	if !ok {
		return
	}
	for class := range q.classes {
		for _, r := range slices.Clone(q.classes[class]) {
			if r.phase != queued {
				continue
			}
			t.checkQueued(r)
			if r.phase != queued {
				continue
			}
			if t.try(r) == waits && len(r.tried) == 0 && !r.suspect {
				// Those behind it need a token just the same.
				break
			}
		}
	}
	if len(q.classes[model.ClassShort]) > 0 {
		q.shortWaited = t.now
	}
}

// trial is the result of an attempt to serve a waiting request.
type trial int

const (
	served trial = iota
	waits
	refused
)

// try sends a waiting request to a backend server or claims its key.
func (t *table) try(r *request) trial {
	if t.now >= r.Deadline {
		t.refuse(r, event.ReasonDeadline)

		return refused
	}
	switch crashes := t.suspects.crashes(t.now, r.Fingerprint); {
	case crashes >= maxCrashes:
		t.refuse(r, event.ReasonSuspect)

		return refused
	case crashes > 0:
		r.suspect = true
		if t.othersRun(r) {
			return waits
		}
	}
	name, verdict := t.near.Backends().Choose(t.query(r), t.near.Tokens())
	switch verdict {
	case backend.Busy:
		return waits
	case backend.None:
		t.refuse(r, event.ReasonNoBackend)

		return refused
	case backend.Chosen:
	}
	if !t.near.AcquireToken(name) {
		t.violated("tokens-in-use", "no token for %s", name)

		return waits
	}
	t.unqueue(r)
	if r.needsClaim() {
		r.phase, r.reserved = claiming, name
		t.emit(event.ClaimKey{Request: r.id, Key: r.Key})
		t.schedule(r)

		return served
	}
	t.send(r, name, false)

	return served
}

// othersRun reports whether other requests of the same fingerprint are in flight.
func (t *table) othersRun(r *request) bool {
	running := t.suspects.running(r.Fingerprint)
	if r.crowd {
		running--
	}

	return running > 0
}

func (t *table) query(r *request) backend.Query {
	q := t.queue(r.Service)
	waited := t.now - r.queuedAt
	avoid := r.tried
	if waited >= maxWait/2 {
		// No other backend server became free.
		avoid = nil
	}

	return backend.Query{
		Now:        t.now,
		Service:    r.Service,
		Class:      r.class,
		Avoid:      avoid,
		Waited:     waited,
		ShortWaits: q.shortWaited != never && t.now-q.shortWaited < shortMemory,
	}
}

func (t *table) unreserve(r *request) {
	if r.reserved == "" {
		return
	}
	t.near.ReleaseToken(r.reserved)
	r.reserved = ""
	t.pump(r.Service)
}
