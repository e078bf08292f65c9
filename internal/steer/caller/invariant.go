package caller

import (
	"fmt"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

func (t *requestTable) reportViolation(name, format string, args ...any) {
	t.emit(event.ReportViolation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// mayAnswer reports whether a request may be answered; a second answer is a
// violation and is not sent.
func (t *requestTable) mayAnswer(r *request) bool {
	if r.phase != answered {
		return true
	}
	t.reportViolation("one-answer", "second answer of request %d", r.id)

	return false
}

// maySend reports whether an attempt may be sent. An attempt that would break an
// invariant is reported as a violation and must not be sent. The parameter backend is
// "" when the request is carried.
func (t *requestTable) maySend(r *request, backend string) bool {
	switch {
	case r.phase == answered || r.notRun:
		t.reportViolation("send-after-answer", "request %d was answered before its send", r.id)
	case !r.Traits.Idempotent && (r.mayHaveRun || len(r.attempts) > 0):
		t.reportViolation("at-most-once", "second send of the non-idempotent request %d", r.id)
	case r.needsClaim() && backend != "":
		t.reportViolation("claim-before-send", "request %d has no claim", r.id)
	case backend != "" && t.deps.Backends().IsLeaving(backend):
		t.reportViolation("leaving-backend", "request %d to %s", r.id, backend)
	default:
		return true
	}

	return false
}

// checkTokens reports a violation when more attempts are in flight at a backend
// server than this entry holds tokens of that server.
func (t *requestTable) checkTokens(name string) {
	inFlight, held := t.deps.Backends().InFlight(name), t.deps.Tokens().Held("backend/"+name)
	if int64(inFlight) > held {
		t.reportViolation("tokens-in-use", "%d in flight at %s with %d tokens", inFlight, name, held)
	}
}
