package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// retryAfter is the hint for callers that are refused for want of capacity;
	// the header has a resolution of one second.
	retryAfter = time.Second
	// releaseWait bounds how long the release of a claim delays a refusal.
	releaseWait = 2 * time.Second
)

// relay gives the caller the response of an attempt.
func (t *table) relay(r *request, id event.AttemptID) {
	if !t.mayAnswer(r) {
		return
	}
	r.phase, r.relayed = answered, id
	r.hedgeAt = never
	t.cancelOthers(r, id)
	t.emit(event.RelayResponse{Request: r.id, Attempt: id})
}

// refuse tells the caller that no backend server answers; the outcome follows
// from what is known of the attempts.
func (t *table) refuse(r *request, reason event.Reason) {
	if r.phase == queued {
		t.unqueue(r)
	}
	refusal := event.Refuse{Outcome: event.OutcomeNotRun, Reason: reason, RetryAfter: t.retryAfter(r, reason)}
	if r.mayHaveRun || len(r.attempts) > 0 {
		refusal.Outcome = event.OutcomeUnknown
		refusal.RetryAfter = 0
	}
	if r.claimed && refusal.Outcome == event.OutcomeNotRun {
		r.phase, r.refusal = releasing, refusal
		r.refuseBy = t.now + releaseWait
		r.claimed = false
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		t.schedule(r)

		return
	}
	t.answer(r, refusal)
}

// tell sends the refusal that waited for the release of a claim.
func (t *table) tell(r *request) {
	t.answer(r, r.refusal)
}

func (t *table) released(e event.ClaimReleased) {
	if r, ok := t.requests[e.ID]; ok && r.phase == releasing {
		t.tell(r)
	}
}

// answer refuses a request and gives up what still runs.
func (t *table) answer(r *request, refusal event.Refuse) {
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
		// The claim may still be granted; lateClaim gives it back.
		return
	}
	t.finish(r)
}

// lateClaim gives back a claim whose request was refused in the meantime.
func (t *table) lateClaim(r *request) {
	if r.claimed {
		t.emit(event.ReleaseClaim{Request: r.id, Key: r.Key})
		r.claimed = false
	}
	t.finish(r)
}

// finish forgets an answered request that has no attempt left.
func (t *table) finish(r *request) {
	if len(r.attempts) > 0 {
		return
	}
	if r.crowd {
		r.crowd = false
		t.suspects.leave(r.Fingerprint)
	}
	if r.claimed {
		t.near.Finish(r.id)
	}
	delete(t.requests, r.id)
}

func (t *table) retryAfter(r *request, reason event.Reason) time.Duration {
	switch reason {
	case event.ReasonSuspect:
		return t.suspects.remaining(t.now, r.Fingerprint)
	case event.ReasonUnknownService, event.ReasonKeyMalformed, event.ReasonKeyExpired:
		return 0
	default:
		return retryAfter
	}
}
