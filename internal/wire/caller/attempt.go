package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// phase is how far an attempt has come.
type phase int

const (
	// phaseRunning means that no response header has been received.
	phaseRunning phase = iota
	// phaseHeaderReceived means that the response header has been received and the body
	// has not been read.
	phaseHeaderReceived
	// phaseRelaying means that the body is being sent to the caller.
	phaseRelaying
	phaseEnded
)

// attempt is one try to send a request and to get the response. The mutex of the exchange
// guards changes of phase, canceled and response.
type attempt struct {
	id     event.AttemptID
	ctx    context.Context
	cancel context.CancelFunc
	target target
	// deadline is a time since the start of the process.
	deadline time.Duration
	phase    phase
	canceled bool
	response *http.Response
	// trip is set when send has returned. It is nil before that, and when send failed
	// without calling a Sender.
	trip Trip
	// stopReadInterrupt undoes what interruptReadAtEnd arranged.
	stopReadInterrupt func() bool
}

// target is the backend server or entry VM that an attempt is sent to.
type target struct {
	// backend is the name of the backend server, or "" when toEntry is true.
	backend string
	// entry is the entry VM when toEntry is true.
	entry event.Member
	// region is the region that serves the request.
	region string
	// address is "host:port", or "" when it is not known.
	address string
	// toEntry is true when the target is an entry VM.
	toEntry bool
}

// Trip is one round trip: a request sent to a backend server or entry VM, with its
// response.
type Trip interface {
	// Sent returns false only when no byte of the request has reached the connection.
	Sent() bool
	// Abort ends a trip that is not complete. The returned channel is closed once the
	// backend server can no longer run the request. A nil channel means that there is
	// nothing to wait for.
	Abort() <-chan struct{}
}

// Sender sends requests to backend servers or entry VMs.
type Sender interface {
	// Send sends the request and returns once the response header is received. It calls
	// onFirstByte before it writes the first byte of the request. It may call cancel,
	// which ends the context of the request. When it returns an error, it returns the
	// Trip too.
	Send(req *http.Request, onFirstByte, cancel func()) (*http.Response, Trip, error)
}

// run sends the request and reports to the reducer that a response header was
// received or that the attempt ended.
func (x *exchange) run(a *attempt) {
	resp, trip, err := x.send(a)
	a.trip = trip
	if err != nil {
		result := x.failureResult(a, trip)
		x.endAttempt(a, result, 0, "")

		return
	}
	if refused, reason := parseRefusal(resp); refused {
		// Reading the rest of a short body lets the connection be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, maxFingerprintedBytes)
		_ = resp.Body.Close()
		x.endAttempt(a, event.ResultRefused, resp.StatusCode, reason)

		return
	}
	if !x.setResponse(a, resp) {
		_ = resp.Body.Close()
		x.endAttempt(a, event.ResultCanceled, resp.StatusCode, "")

		return
	}
	x.reducer.Apply(event.HeaderReceived{At: x.now(), Request: x.id, Attempt: a.id, Status: resp.StatusCode})
}

// send sends the request to the target of the attempt and returns once the response
// header is received. Before a request to another region, it waits until the header may
// be sent over the link. The Trip is nil when the target has no address or that wait
// failed.
func (x *exchange) send(a *attempt) (*http.Response, Trip, error) {
	if a.target.address == "" {
		return nil, nil, errNoAddress
	}
	if a.target.toEntry && a.target.region != x.self.Region {
		if err := x.paceHeader(a); err != nil {
			return nil, nil, err
		}
	}
	sender := x.backendSender
	if a.target.toEntry {
		sender = x.entrySender
	}
	onFirstByte := func() {
		x.reducer.Apply(event.AttemptStarted{At: x.now(), Request: x.id, Attempt: a.id})
	}

	return sender.Send(x.attemptRequest(a), onFirstByte, a.cancel)
}

var errNoAddress = errors.New("address of the target is not known")

// failureResult returns how an attempt without a response header ended.
func (x *exchange) failureResult(a *attempt, trip Trip) event.Result {
	x.mu.Lock()
	canceled := a.canceled
	x.mu.Unlock()
	switch {
	case canceled || x.callerGone():
		return event.ResultCanceled
	case trip == nil || !trip.Sent():
		return event.ResultNotSent
	case x.reducer.Now() >= a.deadline || errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return event.ResultTimeout
	default:
		return event.ResultBroken
	}
}

// parseRefusal returns whether the response declares that the request was not run,
// and the reason.
func parseRefusal(resp *http.Response) (bool, event.Reason) {
	if resp.StatusCode < http.StatusBadRequest || resp.Header.Get(headerOutcome) != string(event.OutcomeNotRun) {
		return false, ""
	}

	return true, event.Reason(resp.Header.Get(headerReason))
}

// setResponse stores the response. It returns false when the attempt was cancelled or the
// exchange was closed before.
func (x *exchange) setResponse(a *attempt, resp *http.Response) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.canceled || x.closed {
		return false
	}
	a.response, a.phase = resp, phaseHeaderReceived

	return true
}

// endAttempt ends an attempt and reports the end to the reducer. Only the first call for
// an attempt reports.
func (x *exchange) endAttempt(a *attempt, result event.Result, status int, reason event.Reason) {
	x.mu.Lock()
	ended := a.phase == phaseEnded
	a.phase = phaseEnded
	x.mu.Unlock()
	if result == event.ResultComplete {
		a.stopReadInterrupt()
	}
	a.cancel()
	if ended {
		return
	}
	report := func() {
		x.reducer.Apply(event.AttemptEnded{
			At: x.now(), Request: x.id, Attempt: a.id, Result: result, Status: status, Reason: reason,
		})
	}
	if result == event.ResultCanceled || result == event.ResultTimeout || result == event.ResultTruncated {
		if runEnded := runEnded(a.trip); runEnded != nil {
			// The end is reported only once the backend server can no longer run the
			// request. Until then, the reducer gives the slot to no other request.
			go func() {
				<-runEnded
				report()
			}()

			return
		}
	}
	report()
}

// runEnded aborts a trip, which may be nil. It returns a channel that is closed once the
// backend server can no longer run the request, or nil when there is nothing to wait for.
func runEnded(trip Trip) <-chan struct{} {
	if trip == nil {
		return nil
	}

	return trip.Abort()
}

// discardResponse ends an attempt whose response header was received but is not
// needed.
func (x *exchange) discardResponse(a *attempt) {
	_ = a.response.Body.Close()
	x.endAttempt(a, event.ResultCanceled, a.response.StatusCode, "")
}
