package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/status"
)

// fetchAnswerTimeout bounds the time to fetch a held answer from another entry VM.
const fetchAnswerTimeout = 2 * time.Second

// defaultRetryAfter is the value of Retry-After when event.Refuse has no RetryAfter.
const defaultRetryAfter = time.Second

// refuse answers the caller in place of a backend server. A duplicate gets the answer
// that is held for its key. Other requests, and duplicates without a held answer, get a
// refusal.
func (x *exchange) refuse(ctx context.Context, e event.Refuse) {
	if e.Outcome == event.OutcomeDuplicate && x.serveHeldAnswer(ctx, e.Holder) {
		return
	}
	x.writeRefusal(x.w, e)
}

// serveHeldAnswer writes the answer that is held for the request's key. It looks in this
// entry VM first, then asks holder, the entry VM that claimed the key. It returns false
// when neither holds the answer.
func (x *exchange) serveHeldAnswer(ctx context.Context, holder event.Member) bool {
	if answer, ok := x.answers.get(x.key, x.fingerprint); ok {
		answer.write(x.w)

		return true
	}
	if x.fetcher == nil || holder.VM == "" || holder == x.self.Member {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchAnswerTimeout)
	defer cancel()
	answer, ok := x.fetcher.FetchAnswer(ctx, holder, x.key, x.fingerprint)
	// An entry VM of an earlier version also holds the refusals that the reducer withholds.
	if !ok || status.SaysNotRun(answer.Status) {
		return false
	}
	answer.write(x.w)

	return true
}

// writeRefusal writes a response with the outcome and the reason as headers and as one
// line of text. Status 503 comes with Retry-After in whole seconds, rounded up.
func (h *RequestHandler) writeRefusal(w http.ResponseWriter, e event.Refuse) {
	h.metrics.Refused(string(e.Outcome), string(e.Reason))
	header := w.Header()
	header[headerOutcome] = []string{string(e.Outcome)}
	if e.Reason != "" {
		header[headerReason] = []string{string(e.Reason)}
	}
	status := refusalStatus(e.Outcome, e.Reason)
	if status == http.StatusServiceUnavailable {
		after := e.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		seconds := int64((after + time.Second - 1) / time.Second)
		header["Retry-After"] = []string{strconv.FormatInt(seconds, 10)}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	text := string(e.Outcome) + ": " + string(e.Reason) + "\n"
	header["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// refusalStatus returns the HTTP status code of a refusal.
func refusalStatus(outcome event.Outcome, reason event.Reason) int {
	switch outcome {
	case event.OutcomeDuplicate:
		return http.StatusConflict
	case event.OutcomeUnknown:
		if reason == event.ReasonDeadline {
			return http.StatusGatewayTimeout
		}

		return http.StatusBadGateway
	case event.OutcomeNotRun:
	}
	switch reason {
	case event.ReasonUnknownService:
		return http.StatusNotFound
	case event.ReasonKeyMalformed, event.ReasonKeyExpired:
		return http.StatusBadRequest
	case event.ReasonLengthMissing:
		return http.StatusLengthRequired
	default:
		return http.StatusServiceUnavailable
	}
}
