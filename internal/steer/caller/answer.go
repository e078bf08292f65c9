package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// retryAfter is the usual Retry-After hint; the header has a resolution of one
	// second.
	retryAfter = time.Second
	// maxReleaseWait bounds how long a refusal waits for the release of a claim.
	maxReleaseWait = 2 * time.Second
)

// relayResponse answers a request with the response of an attempt and cancels the
// other attempts.
func (t *requestTable) relayResponse(r *request, id event.AttemptID) {
	if !t.mayAnswer(r) {
		return
	}
	r.phase, r.relayedAttempt = answered, id
	r.hedgeAt = never
	t.cancelOthers(r, id)
	t.emit(event.RelayResponse{Request: r.id, Attempt: id})
}

// refuse answers a request without a response of a backend server. The outcome is
// not-run if no attempt can have run the request, otherwise unknown. If the outcome
// is not-run and the key is claimed, the refusal waits until the claim is released,
// at most for maxReleaseWait.
func (t *requestTable) refuse(r *request, reason event.Reason) {
	if r.phase == queued {
		t.dequeue(r)
	}
	refusal := event.Refuse{Outcome: event.OutcomeNotRun, Reason: reason, RetryAfter: t.retryAfter(r, reason)}
	if r.mayHaveRun || len(r.attempts) > 0 {
		refusal.Outcome = event.OutcomeUnknown
		refusal.RetryAfter = 0
	}
	if r.claimed && refusal.Outcome == event.OutcomeNotRun {
		r.phase, r.refusal = releasing, refusal
		r.refuseBy = t.now + maxReleaseWait
		r.claimed = false
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		t.setTimer(r)

		return
	}
	t.sendRefusal(r, refusal)
}

// sendDelayedRefusal sends the refusal that waited for the release of a claim.
func (t *requestTable) sendDelayedRefusal(r *request) {
	t.sendRefusal(r, r.refusal)
}

// claimReleaseEnded sends the refusal that waited for the release of a claim, also
// when the release failed.
func (t *requestTable) claimReleaseEnded(e event.ClaimReleaseEnded) {
	if r, ok := t.requests[e.ID]; ok && r.phase == releasing {
		t.sendDelayedRefusal(r)
	}
}

// sendRefusal answers a request with a refusal and cancels its attempts.
func (t *requestTable) sendRefusal(r *request, refusal event.Refuse) {
	if !t.mayAnswer(r) {
		return
	}
	claiming := r.phase == claiming && refusal.Outcome == event.OutcomeNotRun && refusal.Reason == event.ReasonDeadline
	refusal.Request = r.id
	r.phase = answered
	r.notRun = refusal.Outcome == event.OutcomeNotRun
	r.hedgeAt = never
	t.cancelOthers(r, 0)
	t.emit(refusal)
	if claiming {
		// The deadline passed before the result of the claim came. If the claim is
		// granted after all, releaseLateClaim releases it.
		return
	}
	t.forgetIfDone(r)
}

// releaseLateClaim handles the result of a claim that came after the request was
// answered: it releases the claim if it was granted, and forgets the request.
func (t *requestTable) releaseLateClaim(r *request) {
	if r.claimed {
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		r.claimed = false
	}
	t.forgetIfDone(r)
}

// forgetIfDone forgets an answered request once it has no attempt left.
func (t *requestTable) forgetIfDone(r *request) {
	if len(r.attempts) > 0 {
		return
	}
	if r.countedInFlight {
		r.countedInFlight = false
		t.suspects.removeInFlight(r.Fingerprint)
	}
	if r.claimed {
		t.deps.Finish(r.id)
	}
	delete(t.requests, r.id)
}

// retryAfter returns the Retry-After hint for a refusal, or 0 where sending the
// request again later is of no use.
func (t *requestTable) retryAfter(r *request, reason event.Reason) time.Duration {
	switch reason {
	case event.ReasonSuspect:
		return t.suspects.remaining(t.now, r.Fingerprint)
	case event.ReasonUnknownService, event.ReasonKeyMalformed, event.ReasonKeyExpired:
		return 0
	default:
		return retryAfter
	}
}
