package caller

import (
	"fmt"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

func (t *table) violated(name, format string, args ...any) {
	t.emit(event.ReportViolation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// mayAnswer asserts that a request is answered once.
func (t *table) mayAnswer(r *request) bool {
	if r.phase != answered {
		return true
	}
	t.violated("one-answer", "second answer of request %d", r.id)

	return false
}

// maySend asserts what holds before every send; a send that breaks an invariant
// is not made.
func (t *table) maySend(r *request, backend string) bool {
	switch {
	case r.phase == answered || r.notRun:
		t.violated("send-after-answer", "request %d was answered before its send", r.id)
	case !r.Traits.Idempotent && (r.mayHaveRun || len(r.attempts) > 0):
		t.violated("at-most-once", "second send of the non-idempotent request %d", r.id)
	case r.needsClaim() && backend != "":
		t.violated("claim-before-send", "request %d has no claim", r.id)
	case backend != "" && t.near.Backends().IsLeaving(backend):
		t.violated("leaving-backend", "request %d to %s", r.id, backend)
	default:
		return true
	}

	return false
}

// checkTokens asserts that the work in flight at a backend server is at most
// the tokens held.
func (t *table) checkTokens(name string) {
	inFlight, held := t.near.Backends().InFlight(name), t.near.Tokens().Held("backend/"+name)
	if int64(inFlight) > held {
		t.violated("tokens-in-use", "%d in flight at %s with %d tokens", inFlight, name, held)
	}
}
