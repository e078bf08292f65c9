package caller

import (
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/status"
)

// sendToBackend sends a request to the named backend server. A token of that server
// must have been acquired before. If no other attempt is in flight, sendToBackend sets
// when the request counts as long work and when its hedge is due.
func (t *requestTable) sendToBackend(r *request, name string, hedge bool) {
	if !t.maySend(r, name) {
		t.deps.ReleaseToken(name)
		t.refuse(r, event.ReasonBackendFailed)

		return
	}
	id := t.startAttempt(r, attempt{backend: name})
	t.deps.Backends().Sent(t.now, backend.SentAttempt{
		Attempt: id, Backend: name, Class: r.class, Route: r.RouteKey,
	}, t.deps.Tokens())
	t.checkTokens(name)
	if !r.countedInFlight {
		r.countedInFlight = true
		t.suspects.addInFlight(r.Fingerprint)
	}
	t.emit(event.SendToBackend{Request: r.id, Attempt: id, Backend: name, Deadline: r.Deadline, Hedge: hedge})
	if len(r.attempts) == 1 {
		r.longAt = t.now + t.deps.Backends().LongAfter(r.Service)
		r.hedgeAt = never
		if t.mayHedge(r) {
			r.hedgeAt = t.now + t.deps.Backends().HedgeDelay(t.now, r.Service)
		}
	}
	t.setTimer(r)
}

// startAttempt records an attempt. The first attempt of a request adds to the
// budget of hedges and retries.
func (t *requestTable) startAttempt(r *request, a attempt) event.AttemptID {
	t.attempts++
	t.inFlight++
	a.id, a.sentAt = t.attempts, t.now
	r.phase = running
	r.attempts = append(r.attempts, a)
	r.tried = append(r.tried, a.backend+a.entry) // one of them is ""
	if r.firstSentAt == never {
		r.firstSentAt = t.now
		t.budget(r.Service).addFirst()

		return a.id
	}
	r.extraAttempts++

	return a.id
}

// spend takes a hedge or retry out of the budget. It is called when the hedge or retry
// is decided and not when its attempt is sent, so that retries in the queue are counted.
func (t *requestTable) spend(service string) {
	b := t.budget(service)
	b.spend()
	if b.exceeded() {
		t.reportViolation("extra-attempts-budget", "service %s: %d extra for %d first attempts", service, b.extraAttempts, b.firstAttempts)
	}
}

// mayHedge reports whether a request may have a second attempt beside the first:
// it is short and idempotent, its body can be sent again, and it is no suspect.
func (t *requestTable) mayHedge(r *request) bool {
	return !t.settings.NoHedging && r.Traits.Idempotent && r.class == model.ClassShort &&
		r.extraAttempts < maxExtraAttempts && r.bodyRepeatable() &&
		!r.suspect && t.suspects.crashes(t.now, r.Fingerprint) == 0
}

// hedge sends a second attempt if budget and tokens allow and no request of the
// service waits for a token. Otherwise the hedge is due again after another
// HedgeDelay.
func (t *requestTable) hedge(r *request) {
	r.hedgeAt = never
	if len(r.attempts) != 1 || !t.mayHedge(r) {
		return
	}
	if t.queue(r.Service).len() == 0 && t.budget(r.Service).available() {
		q := t.backendQuery(r)
		q.Hedge, q.Avoid = true, r.tried
		name, verdict := t.deps.Backends().Choose(q, t.deps.Tokens())
		if verdict == backend.Chosen && t.deps.AcquireToken(name) {
			t.spend(r.Service)
			t.sendToBackend(r, name, true)

			return
		}
	}
	r.hedgeAt = t.now + t.deps.Backends().HedgeDelay(t.now, r.Service)
}

// attemptStarted reports a violation when an attempt starts after its end.
func (t *requestTable) attemptStarted(e event.AttemptStarted) {
	if r, ok := t.requests[e.Request]; ok && r.attemptIndex(e.Attempt) < 0 {
		t.reportViolation("attempt-ids", "attempt %d of request %d started after its end", e.Attempt, e.Request)
	}
}

// headerReceived relays the response whose header came first, unless it is withheld, and
// cancels the other attempts.
func (t *requestTable) headerReceived(e event.HeaderReceived) {
	r, ok := t.requests[e.Request]
	if !ok || r.phase != running {
		return
	}
	// The response of a cancelled attempt may break off, so it is not relayed.
	if i := r.attemptIndex(e.Attempt); i < 0 || r.attempts[i].canceled {
		return
	}
	if !t.withhold(r, e.Status) {
		t.relayResponse(r, e.Attempt)
	}
}

// withhold refuses a request in place of a response whose status would tell the caller that a
// request which must not be repeated has not run. It returns false for any other response. A
// backend server that has not run a request says so in a header, which is ResultRefused.
func (t *requestTable) withhold(r *request, code int) bool {
	if r.Traits.Idempotent || !status.SaysNotRun(code) {
		return false
	}
	r.mayHaveRun = true
	t.refuse(r, event.ReasonUnclearRefusal)

	return true
}

func (t *requestTable) cancel(r *request, i int) {
	if r.attempts[i].canceled {
		return
	}
	r.attempts[i].canceled = true
	t.emit(event.CancelAttempt{Request: r.id, Attempt: r.attempts[i].id})
}

func (t *requestTable) cancelOthers(r *request, keep event.AttemptID) {
	for i := range r.attempts {
		if r.attempts[i].id != keep {
			t.cancel(r, i)
		}
	}
}

// attemptEnded releases the token of an attempt, records its result and decides
// how its request goes on.
func (t *requestTable) attemptEnded(e event.AttemptEnded) {
	r, ok := t.requests[e.Request]
	if !ok {
		return
	}
	i := r.attemptIndex(e.Attempt)
	if i < 0 {
		t.reportViolation("attempt-ids", "attempt %d of request %d ended twice", e.Attempt, e.Request)

		return
	}
	a := r.attempts[i]
	r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
	t.inFlight--
	if a.backend != "" {
		t.deps.ReleaseToken(a.backend)
	} else {
		t.carryTargets.attemptEnded(t.now, a.entry, e.Result)
	}
	t.recordResult(r, a, e)
	switch r.phase {
	case running:
		t.answerOrRetry(r, a, e)
	case answered:
		t.forgetIfDone(r)
	default:
	}
	t.setTimer(r)
	t.serveQueue(r.Service)
}

// recordResult records whether an attempt may have run its request and whether the
// request is a suspect.
func (t *requestTable) recordResult(r *request, a attempt, e event.AttemptEnded) {
	switch e.Result {
	case event.ResultNotSent, event.ResultRefused:
	case event.ResultComplete:
		r.mayHaveRun = true
		if a.backend != "" {
			t.clear(r)
		}
	case event.ResultBroken:
		r.mayHaveRun = true
		// A cancelled attempt counts as well: if the cancellation had ended the
		// connection, the runtime would have reported ResultCanceled.
		if a.backend != "" {
			t.recordCrash(r, a.backend)
		}
	default:
		r.mayHaveRun = true
	}
}

// answerOrRetry relays the response of an ended attempt if the response is
// complete. Otherwise it retries or refuses the request, unless another attempt is
// in flight.
func (t *requestTable) answerOrRetry(r *request, a attempt, e event.AttemptEnded) {
	if e.Result == event.ResultComplete && !a.canceled {
		if !t.withhold(r, e.Status) {
			t.relayResponse(r, e.Attempt)
			t.forgetIfDone(r)
		}

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
	t.serveOrQueue(r)
}

// mayRetry reports whether a failed attempt may be followed by a retry.
func (t *requestTable) mayRetry(r *request, a attempt, e event.AttemptEnded) bool {
	if r.extraAttempts >= maxExtraAttempts || r.suspect || r.disconnected || !t.budget(r.Service).available() {
		return false
	}
	switch e.Result {
	case event.ResultNotSent:
		// A reason would name a cause that stops the next attempt too, such as a
		// full link. At present the runtime sets no reason with ResultNotSent.
		return e.Reason == ""
	case event.ResultRefused:
		return r.bodyRepeatable() && a.backend != ""
	case event.ResultBroken, event.ResultTruncated:
		return r.bodyRepeatable() && r.Traits.Idempotent
	default:
		return false
	}
}

// callerDisconnected cancels the request of a caller that closed its connection. A
// request that runs with a claimed key goes on, because the caller may ask for its
// response again. A request whose key is being claimed, or whose claim is being
// released, waits for the result.
func (t *requestTable) callerDisconnected(e event.CallerDisconnected) {
	r, ok := t.requests[e.ID]
	if !ok || r.disconnected {
		return
	}
	r.disconnected = true
	if r.claimed && r.phase == running || r.phase == claiming || r.phase == releasing {
		return
	}
	if r.phase == queued {
		t.dequeue(r)
		if r.claimed && !r.mayHaveRun {
			t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
			r.claimed = false
		}
	}
	r.phase = answered
	t.cancelOthers(r, 0)
	t.forgetIfDone(r)
}

// claimed sends or refuses a request once the result of claiming its key is known.
func (t *requestTable) claimed(e event.ClaimEnded) {
	r, ok := t.requests[e.ID]
	if !ok {
		return
	}
	if r.reservedBackend != "" {
		t.deps.ReleaseToken(r.reservedBackend)
		r.reservedBackend = ""
	}
	r.claimed = e.Result == event.ClaimGranted
	if r.phase != claiming {
		t.releaseLateClaim(r)

		return
	}
	switch e.Result {
	case event.ClaimGranted:
		t.sendClaimed(r)
	case event.ClaimDuplicate:
		t.sendRefusal(r, event.Refuse{Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed, Holder: e.Holder})
	case event.ClaimUnavailable:
		t.refuse(r, event.ReasonStoreUnavailable)
	}
	t.serveQueue(r.Service)
}

// sendClaimed serves a request whose key was claimed. If the caller has
// disconnected, it releases the claim instead.
func (t *requestTable) sendClaimed(r *request) {
	if r.disconnected {
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		r.claimed = false
		r.phase = answered
		t.forgetIfDone(r)

		return
	}
	r.phase, r.queuedAt = queued, t.now
	if t.tryServe(r) == mustWait {
		t.serveOrQueue(r)
	}
}
