package caller

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// maxQueueWait bounds the time in the queue, so that a request is refused
	// within 50 ms of its arrival.
	maxQueueWait = 40 * time.Millisecond
	// maxQueueLength bounds the waiting requests of one service. An entry with 20
	// tokens serves 40 requests within maxQueueWait when each takes 20 ms; the rest
	// is a margin.
	maxQueueLength = 64
	// maxReserveTime bounds how long a token is kept for a request whose key is
	// being claimed; a slow store must not take capacity from other requests.
	maxReserveTime = 50 * time.Millisecond
	// shortWaitMemory is how long the share of long work stays limited after short
	// work last waited, so that the limit does not change with each request.
	shortWaitMemory = time.Second
)

// queue holds the waiting requests of one service.
type queue struct {
	// classes holds the requests of each class, the earliest deadline first.
	classes [model.ClassBulk + 1][]*request
	// shortWaitedAt is when short work last waited, or never.
	shortWaitedAt time.Duration
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

// lowestPriority returns the waiting request that is refused first when the queue
// is too long: bulk before long before short, the latest deadline first. It returns
// nil when the queue is empty.
func (q *queue) lowestPriority() *request {
	for _, class := range slices.Backward(q.classes[:]) {
		if len(class) > 0 {
			return class[len(class)-1]
		}
	}

	return nil
}

// dequeue takes a request out of its queue, if it is there.
func (t *requestTable) dequeue(r *request) {
	if q, ok := t.queues[r.Service]; ok {
		q.remove(r)
	}
}

func (t *requestTable) queue(service string) *queue {
	q, ok := t.queues[service]
	if !ok {
		q = &queue{shortWaitedAt: never}
		t.queues[service] = q
		i, _ := slices.BinarySearch(t.serviceNames, service)
		t.serviceNames = slices.Insert(t.serviceNames, i, service)
	}

	return q
}

// serveOrQueue serves a request at once if it can, or puts it into the queue.
func (t *requestTable) serveOrQueue(r *request) {
	r.phase, r.queuedAt = queued, t.now
	q := t.queue(r.Service)
	if t.nothingAhead(q, r) && t.tryServe(r) != mustWait {
		return
	}
	q.add(r)
	if r.class == model.ClassShort {
		q.shortWaitedAt = t.now
	}
	t.setTimer(r)
	t.requestTokens(r.Service)
	if q.len() > maxQueueLength {
		t.refuse(q.lowestPriority(), event.ReasonNoCapacity)
	}
}

// nothingAhead reports whether no request of the same class or a class of higher
// priority waits.
func (t *requestTable) nothingAhead(q *queue, r *request) bool {
	for class := range r.class + 1 {
		if len(q.classes[class]) > 0 {
			return false
		}
	}

	return true
}

// requestTokens asks other entries for the tokens that would help waiting requests
// of a service.
func (t *requestTable) requestTokens(service string) {
	if wanted := t.deps.Backends().LackingTokens(t.now, service, t.deps.Tokens()); len(wanted) > 0 {
		t.deps.RequestTokens(wanted, t.now)
	}
}

// serveQueues serves as many requests of every queue as it can, and asks other
// entries for tokens for the rest.
func (t *requestTable) serveQueues() {
	for _, service := range t.serviceNames {
		if t.queues[service].len() == 0 {
			continue
		}
		t.serveQueue(service)
		if t.queues[service].len() > 0 {
			t.requestTokens(service)
		}
	}
}

// serveQueue serves as many requests of one queue as it can, by class and then by
// deadline, and refuses those that have waited too long.
func (t *requestTable) serveQueue(service string) {
	q, ok := t.queues[service]
	if !ok {
		return
	}
	for class := range q.classes {
		for _, r := range slices.Clone(q.classes[class]) {
			if r.phase != queued {
				continue
			}
			t.refuseOverdue(r)
			if r.phase != queued {
				continue
			}
			if t.tryServe(r) == mustWait && len(r.tried) == 0 && !r.suspect {
				// This request may use any backend server, so the rest of its class
				// would find no token either.
				break
			}
		}
	}
	if len(q.classes[model.ClassShort]) > 0 {
		q.shortWaitedAt = t.now
	}
}

// serveResult is the result of tryServe.
type serveResult int

const (
	// served means that the request was sent or its key is being claimed.
	served serveResult = iota
	// mustWait means that no backend server can take the request now, or that the
	// request is a suspect and must not run yet.
	mustWait
	// refused means that the caller was refused.
	refused
)

// tryServe takes a token for a request and sends the request to the backend server.
// If the idempotency key must be claimed first, it claims the key and reserves the
// token meanwhile.
func (t *requestTable) tryServe(r *request) serveResult {
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
		if t.otherInFlight(r) {
			return mustWait
		}
	}
	name, verdict := t.deps.Backends().Choose(t.backendQuery(r), t.deps.Tokens())
	switch verdict {
	case backend.Busy:
		return mustWait
	case backend.None:
		t.refuse(r, event.ReasonNoBackend)

		return refused
	case backend.Chosen:
	}
	if !t.deps.AcquireToken(name) {
		t.reportViolation("tokens-in-use", "no token for %s", name)

		return mustWait
	}
	t.dequeue(r)
	if r.needsClaim() {
		r.phase, r.reservedBackend = claiming, name
		t.emit(event.ClaimKey{Request: r.id, Key: r.Key})
		t.setTimer(r)

		return served
	}
	t.sendToBackend(r, name, false)

	return served
}

// otherInFlight reports whether other requests of the same fingerprint are in
// flight. A suspect waits for them, so that it runs alone.
func (t *requestTable) otherInFlight(r *request) bool {
	inFlightCount := t.suspects.inFlightCount(r.Fingerprint)
	if r.countedInFlight {
		inFlightCount--
	}

	return inFlightCount > 0
}

// backendQuery returns the query that chooses a backend server for a request.
func (t *requestTable) backendQuery(r *request) backend.Query {
	q := t.queue(r.Service)
	waited := t.now - r.queuedAt
	avoid := r.tried
	if waited >= maxQueueWait/2 {
		// No other backend server became free, so a server that was tried before is
		// better than none.
		avoid = nil
	}

	return backend.Query{
		Now:        t.now,
		Service:    r.Service,
		Class:      r.class,
		Avoid:      avoid,
		Waited:     waited,
		ShortWaits: q.shortWaitedAt != never && t.now-q.shortWaitedAt < shortWaitMemory,
	}
}

// releaseReserved gives back the token that was reserved for a request during its
// claim.
func (t *requestTable) releaseReserved(r *request) {
	if r.reservedBackend == "" {
		return
	}
	t.deps.ReleaseToken(r.reservedBackend)
	r.reservedBackend = ""
	t.serveQueue(r.Service)
}
