package caller

import (
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// send starts an attempt at a backend server whose token is acquired.
func (t *table) send(r *request, name string, hedge bool) {
	if !t.maySend(r, name) {
		t.near.ReleaseToken(name)
		t.refuse(r, event.ReasonBackendFailed)

		return
	}
	id := t.begin(r, attempt{backend: name})
	t.near.Backends().Sent(t.now, backend.Sending{
		Attempt: id, Backend: name, Class: r.class, Route: r.RouteKey,
	}, t.near.Tokens())
	t.checkTokens(name)
	if !r.crowd {
		r.crowd = true
		t.suspects.enter(r.Fingerprint)
	}
	t.emit(event.SendToBackend{Request: r.id, Attempt: id, Backend: name, Deadline: r.Deadline, Hedge: hedge})
	if len(r.attempts) == 1 {
		r.longAt = t.now + t.near.Backends().LongAfter(r.Service)
		r.hedgeAt = never
		if t.mayHedge(r) {
			r.hedgeAt = t.now + t.near.Backends().HedgeDelay(t.now, r.Service)
		}
	}
	t.schedule(r)
}

// begin records an attempt and counts it in the budget.
func (t *table) begin(r *request, a attempt) event.AttemptID {
	t.attempts++
	t.inFlight++
	a.id, a.sent = t.attempts, t.now
	r.phase = running
	r.attempts = append(r.attempts, a)
	r.tried = append(r.tried, a.backend+a.entry)
	if r.first == never {
		r.first = t.now
		t.budget(r.Service).earn()

		return a.id
	}
	r.extra++

	return a.id
}

// spend takes a hedge or retry out of the budget when it is decided, so that
// those still in the queue are counted.
func (t *table) spend(service string) {
	b := t.budget(service)
	b.spend()
	if b.exceeded() {
		t.violated("extra-attempts-budget", "service %s: %d extra for %d first attempts", service, b.extra, b.first)
	}
}

// mayHedge reports whether a second attempt may run beside the first.
func (t *table) mayHedge(r *request) bool {
	return !t.settings.NoHedging && r.Traits.Idempotent && r.class == model.ClassShort &&
		r.extra < maxExtra && r.repeatable() &&
		!r.suspect && t.suspects.crashes(t.now, r.Fingerprint) == 0
}

// hedge sends a second attempt if budget and tokens allow; otherwise it looks
// again after the same delay.
func (t *table) hedge(r *request) {
	r.hedgeAt = never
	if len(r.attempts) != 1 || !t.mayHedge(r) {
		return
	}
	if t.queue(r.Service).len() == 0 && t.budget(r.Service).has() {
		q := t.query(r)
		q.Hedge, q.Avoid = true, r.tried
		name, verdict := t.near.Backends().Choose(q, t.near.Tokens())
		if verdict == backend.Chosen && t.near.AcquireToken(name) {
			t.spend(r.Service)
			t.send(r, name, true)

			return
		}
	}
	r.hedgeAt = t.now + t.near.Backends().HedgeDelay(t.now, r.Service)
}

func (t *table) started(e event.AttemptStarted) {
	if r, ok := t.requests[e.Request]; ok && r.find(e.Attempt) < 0 {
		t.violated("attempt-ids", "attempt %d of request %d started after its end", e.Attempt, e.Request)
	}
}

// header relays the first response and gives the other attempts up.
func (t *table) header(e event.HeaderReceived) {
	r, ok := t.requests[e.Request]
	if !ok || r.phase != running {
		return
	}
	// The stream of a cancelled attempt may break off, so it is not relayed.
	if i := r.find(e.Attempt); i < 0 || r.attempts[i].canceled {
		return
	}
	t.relay(r, e.Attempt)
}

func (t *table) cancel(r *request, i int) {
	if r.attempts[i].canceled {
		return
	}
	r.attempts[i].canceled = true
	t.emit(event.CancelAttempt{Request: r.id, Attempt: r.attempts[i].id})
}

func (t *table) cancelOthers(r *request, keep event.AttemptID) {
	for i := range r.attempts {
		if r.attempts[i].id != keep {
			t.cancel(r, i)
		}
	}
}

// ended gives the token back and decides what follows.
func (t *table) ended(e event.AttemptEnded) {
	r, ok := t.requests[e.Request]
	if !ok {
		return
	}
	i := r.find(e.Attempt)
	if i < 0 {
		t.violated("attempt-ids", "attempt %d of request %d ended twice", e.Attempt, e.Request)

		return
	}
	a := r.attempts[i]
	r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
	t.inFlight--
	if a.backend != "" {
		t.near.ReleaseToken(a.backend)
	} else {
		t.carries.ended(t.now, a.entry, e.Result)
	}
	t.judge(r, a, e)
	switch r.phase {
	case running:
		t.follow(r, a, e)
	case answered:
		t.finish(r)
	default:
	}
	t.schedule(r)
	t.pump(r.Service)
}

// judge learns from the end of an attempt.
func (t *table) judge(r *request, a attempt, e event.AttemptEnded) {
	switch e.Result {
	case event.ResultNotSent, event.ResultRefused:
	case event.ResultComplete:
		r.mayHaveRun = true
		if a.backend != "" {
			t.clear(r)
		}
	case event.ResultBroken:
		r.mayHaveRun = true
		// A cancelled attempt counts as well: the runtime reports ResultCanceled
		// when the cancellation ended the connection.
		if a.backend != "" {
			t.crashed(r, a.backend)
		}
	default:
		r.mayHaveRun = true
	}
}

// follow decides what happens to a request without an answer after one of its
// attempts has ended.
func (t *table) follow(r *request, a attempt, e event.AttemptEnded) {
	if e.Result == event.ResultComplete && !a.canceled {
		t.relay(r, e.Attempt)
		t.finish(r)

		return
	}
	if len(r.attempts) > 0 {
		return
	}
	reason := e.Reason
	if reason == "" {
		reason = event.ReasonBackendFailed
	}
	if e.Result == event.ResultTimeout || t.now >= r.Deadline {
		reason = event.ReasonDeadline
	}
	if reason == event.ReasonDeadline || !t.mayRetry(r, a, e) {
		t.refuse(r, reason)

		return
	}
	t.spend(r.Service)
	if a.entry != "" {
		t.carry(r, "")

		return
	}
	t.enqueue(r)
}

// mayRetry reports whether a failed attempt may be followed by another one.
func (t *table) mayRetry(r *request, a attempt, e event.AttemptEnded) bool {
	if r.extra >= maxExtra || r.suspect || r.callerGone || !t.budget(r.Service).has() {
		return false
	}
	switch e.Result {
	case event.ResultNotSent:
		// A limit of the link would meet the next attempt just the same.
		return e.Reason == ""
	case event.ResultRefused:
		return r.repeatable() && a.backend != ""
	case event.ResultBroken, event.ResultTruncated:
		return r.repeatable() && r.Traits.Idempotent
	default:
		return false
	}
}

// gone ends the work for a caller that closed its connection. A request with a
// claimed key goes on, because the caller may ask for its response again.
func (t *table) gone(e event.CallerDisconnected) {
	r, ok := t.requests[e.ID]
	if !ok || r.callerGone {
		return
	}
	r.callerGone = true
	if r.claimed && r.phase == running || r.phase == claiming || r.phase == releasing {
		return
	}
	if r.phase == queued {
		t.unqueue(r)
		if r.claimed && !r.mayHaveRun {
			t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
			r.claimed = false
		}
	}
	r.phase = answered
	t.cancelOthers(r, 0)
	t.finish(r)
}

// claimed continues a request whose claim has ended.
func (t *table) claimed(e event.ClaimEnded) {
	r, ok := t.requests[e.ID]
	if !ok {
		return
	}
	if r.reserved != "" {
		t.near.ReleaseToken(r.reserved)
		r.reserved = ""
	}
	r.claimed = e.Result == event.ClaimGranted
	if r.phase != claiming {
		t.lateClaim(r)

		return
	}
	switch e.Result {
	case event.ClaimGranted:
		t.afterClaim(r)
	case event.ClaimDuplicate:
		t.answer(r, event.Refuse{Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed, Holder: e.Holder})
	case event.ClaimUnavailable:
		t.refuse(r, event.ReasonStoreUnavailable)
	}
	t.pump(r.Service)
}

// afterClaim sends a request with the token that was reserved for it, unless
// its caller has gone.
func (t *table) afterClaim(r *request) {
	if r.callerGone {
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		r.claimed = false
		r.phase = answered
		t.finish(r)

		return
	}
	r.phase, r.queuedAt = queued, t.now
	if t.try(r) == waits {
		t.enqueue(r)
	}
}
