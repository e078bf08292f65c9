package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// phase is the state of a request.
type phase int

const (
	// queued requests wait for a token of a backend server.
	queued phase = iota
	// claiming requests wait for the result of claiming their idempotency key.
	claiming
	// running requests have an attempt and no response yet.
	running
	// releasing requests are refused as soon as the release of their claim ends.
	releasing
	// answered requests have a response or refusal, or their caller disconnected;
	// they wait for the end of their attempts.
	answered
)

// request is one request in progress.
type request struct {
	event.RequestArrived
	id event.RequestID
	// class is the declared class of work, or long once the route or the request
	// proved to be long.
	class model.Class
	phase phase
	// attempts holds the attempts that have not ended, the oldest first.
	attempts []attempt
	// tried names the backend servers or entry VMs that the request was sent to.
	tried []string
	// firstSentAt is when the first attempt was sent, or never.
	firstSentAt time.Duration
	// extraAttempts counts the hedges and retries that were sent.
	extraAttempts int
	// mayHaveRun is true once an attempt that may have run the request has ended.
	mayHaveRun bool
	// claimed is true while this entry holds the claim of the idempotency key.
	claimed bool
	// reservedBackend is the backend server whose token is kept during the claim,
	// or "".
	reservedBackend string
	queuedAt        time.Duration
	// hedgeAt is when a hedge is due, or never.
	hedgeAt time.Duration
	// longAt is when the running request counts as long work, or never.
	longAt time.Duration
	// refuseBy is the latest time to answer with refusal, in the phase releasing.
	refuseBy time.Duration
	// timerAt is the time of the timer in force, or never.
	timerAt time.Duration
	// refusal is the answer to send after the release of the claim.
	refusal event.Refuse
	// suspect is true for a request that may crash backend servers: a request with
	// its fingerprint was in flight when the connection to its backend server broke.
	suspect bool
	// disconnected is true once the caller closed its connection.
	disconnected bool
	// countedInFlight is true while the request is counted in suspects.inFlight.
	countedInFlight bool
	// relayedAttempt is the attempt whose response the caller receives, or 0.
	relayedAttempt event.AttemptID
	// region is the region that the request was carried to, or "".
	region string
	// notRun is true once the caller was told that the request was not run.
	notRun bool
}

// attempt is one sending of a request to a backend server or entry that has not
// ended.
type attempt struct {
	id event.AttemptID
	// backend is the backend server, or "" when the request was carried.
	backend string
	// entry is the VM of the entry that the request was carried to, or "".
	entry  string
	sentAt time.Duration
	// canceled is true once the runtime was told to cancel the attempt.
	canceled bool
}

func newRequest(e event.RequestArrived) *request {
	return &request{
		RequestArrived: e,
		id:             e.ID,
		class:          e.Traits.Class,
		firstSentAt:    never,
		hedgeAt:        never,
		longAt:         never,
		timerAt:        never,
	}
}

// nextDue returns the next time at which something is due for the request, or
// never.
func (r *request) nextDue() time.Duration {
	switch r.phase {
	case queued:
		return min(r.queuedAt+maxQueueWait, r.Deadline)
	case claiming:
		if r.reservedBackend != "" {
			return min(r.queuedAt+maxReserveTime, r.Deadline)
		}

		return r.Deadline
	case running:
		return earliest(r.Deadline, r.hedgeAt, r.longAt)
	case releasing:
		return r.refuseBy
	default:
		return r.longAt
	}
}

func earliest(times ...time.Duration) time.Duration {
	out := never
	for _, t := range times {
		if t != never && (out == never || t < out) {
			out = t
		}
	}

	return out
}

// bodyRepeatable reports whether the body can be sent again: it is held whole or
// empty.
func (r *request) bodyRepeatable() bool {
	return r.Replayable || r.BodyBytes == 0
}

// needsClaim reports whether the idempotency key must be claimed before the
// request is sent.
func (r *request) needsClaim() bool {
	return r.Key != "" && !r.Traits.Idempotent && !r.claimed
}

// attemptIndex returns the index of an attempt, or -1 when it has ended.
func (r *request) attemptIndex(id event.AttemptID) int {
	for i := range r.attempts {
		if r.attempts[i].id == id {
			return i
		}
	}

	return -1
}

// handleDue does what is due for a request.
func (t *requestTable) handleDue(r *request) {
	switch r.phase {
	case queued:
		t.refuseOverdue(r)
	case claiming:
		if t.now >= r.Deadline {
			t.releaseReserved(r)
			t.refuse(r, event.ReasonDeadline)

			return
		}
		if t.now >= r.queuedAt+maxReserveTime {
			t.releaseReserved(r)
		}
	case running:
		t.handleRunningDue(r)
	case releasing:
		if t.now >= r.refuseBy {
			t.sendDelayedRefusal(r)
		}
	case answered:
		t.markLong(r)
	}
}

// refuseOverdue refuses a queued request whose deadline has passed or that has
// waited for maxQueueWait.
func (t *requestTable) refuseOverdue(r *request) {
	switch {
	case t.now >= r.Deadline:
		t.refuse(r, event.ReasonDeadline)
	case t.now >= r.queuedAt+maxQueueWait:
		t.refuse(r, event.ReasonQueueTimeout)
	}
}

// handleRunningDue refuses a request at its deadline, counts it as long work or
// sends its hedge.
func (t *requestTable) handleRunningDue(r *request) {
	if t.now >= r.Deadline {
		t.refuse(r, event.ReasonDeadline)

		return
	}
	t.markLong(r)
	if r.hedgeAt != never && t.now >= r.hedgeAt {
		t.hedge(r)
	}
}

// markLong counts a request as long work once it has run for LongAfter, and cancels
// its hedge if no response has begun. If the hedge has run for a third of
// LongAfter, the delay is attributed to the request and not to the backend servers.
func (t *requestTable) markLong(r *request) {
	if r.longAt == never || t.now < r.longAt {
		return
	}
	r.longAt, r.hedgeAt = never, never
	if r.class == model.ClassShort {
		r.class = model.ClassLong
	}
	requestIsLong := len(r.attempts) > 1 && 3*(t.now-r.attempts[1].sentAt) >= t.deps.Backends().LongAfter(r.Service)
	for i := range r.attempts {
		t.deps.Backends().MarkLong(t.now, r.attempts[i].id, requestIsLong)
	}
	if r.phase == running && len(r.attempts) > 1 {
		t.cancel(r, len(r.attempts)-1)
	}
}
