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
	phaseRunning phase = iota
	// phaseHeader means that the response header is here and the body unread.
	phaseHeader
	phaseRelaying
	phaseEnded
)

// attempt is one sending of a request; its fields are guarded by the exchange.
type attempt struct {
	id       event.AttemptID
	ctx      context.Context
	cancel   context.CancelFunc
	target   target
	deadline time.Duration
	phase    phase
	canceled bool
	response *http.Response
	trip     Trip
	// unwatch ends the watch that cuts off the reading of a streamed body.
	unwatch func() bool
}

// target is where an attempt goes.
type target struct {
	backend string
	entry   event.Member
	// region serves the request.
	region  string
	address string
	carry   bool
}

// Trip tells what became of the bytes of a request.
type Trip interface {
	// Sent returns whether a byte of the request reached the connection.
	Sent() bool
	// Abort gives up an exchange that is not complete. The channel is closed once
	// the peer cannot run the request any more; it is nil when that is known now.
	Abort() <-chan struct{}
}

// Sender sends requests to backend servers or entry VMs. It calls first before
// the first byte of a request is written. The function cancel ends the context
// of the request.
type Sender interface {
	Send(req *http.Request, first, cancel func()) (*http.Response, Trip, error)
}

// run sends the request and reports a response header or the end of the attempt.
func (x *exchange) run(a *attempt) {
	resp, trip, err := x.send(a)
	a.trip = trip
	if err != nil {
		result := x.failure(a, trip)
		x.endAttempt(a, result, 0, "")

		return
	}
	if refused, reason := refusal(resp); refused {
		_, _ = io.CopyN(io.Discard, resp.Body, fingerprinted)
		_ = resp.Body.Close()
		x.endAttempt(a, event.ResultRefused, resp.StatusCode, reason)

		return
	}
	if !x.setResponse(a, resp) {
		_ = resp.Body.Close()
		x.endAttempt(a, event.ResultCanceled, resp.StatusCode, "")

		return
	}
	x.steering.Apply(event.HeaderReceived{At: x.at(), Request: x.id, Attempt: a.id, Status: resp.StatusCode})
}

// send sends the request once.
func (x *exchange) send(a *attempt) (*http.Response, Trip, error) {
	if a.target.address == "" {
		return nil, nil, errNoAddress
	}
	if a.target.carry && a.target.region != x.self.Region {
		if err := x.paceHeader(a); err != nil {
			return nil, nil, err
		}
	}
	sender := x.backends
	if a.target.carry {
		sender = x.entries
	}
	first := func() {
		x.steering.Apply(event.AttemptStarted{At: x.at(), Request: x.id, Attempt: a.id})
	}

	return sender.Send(x.outbound(a), first, a.cancel)
}

var errNoAddress = errors.New("address of the target is not known")

// failure classifies the end of an attempt without a response header.
func (x *exchange) failure(a *attempt, trip Trip) event.Result {
	x.mu.Lock()
	canceled := a.canceled
	x.mu.Unlock()
	switch {
	case canceled || x.callerGone():
		return event.ResultCanceled
	case trip == nil || !trip.Sent():
		return event.ResultNotSent
	case x.steering.Now() >= a.deadline || errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return event.ResultTimeout
	default:
		return event.ResultBroken
	}
}

// refusal returns whether the response declares that the request was not run.
func refusal(resp *http.Response) (bool, event.Reason) {
	if resp.StatusCode < http.StatusBadRequest || resp.Header.Get(headerOutcome) != string(event.OutcomeNotRun) {
		return false, ""
	}

	return true, event.Reason(resp.Header.Get(headerReason))
}

// setResponse stores the response unless the attempt was cancelled meanwhile.
func (x *exchange) setResponse(a *attempt, resp *http.Response) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.canceled || x.closed {
		return false
	}
	a.response, a.phase = resp, phaseHeader

	return true
}

// endAttempt reports the end of an attempt once.
func (x *exchange) endAttempt(a *attempt, result event.Result, status int, reason event.Reason) {
	x.mu.Lock()
	ended := a.phase == phaseEnded
	a.phase = phaseEnded
	x.mu.Unlock()
	if result == event.ResultComplete {
		a.unwatch()
	}
	a.cancel()
	if ended {
		return
	}
	tell := func() {
		x.steering.Apply(event.AttemptEnded{
			At: x.at(), Request: x.id, Attempt: a.id, Result: result, Status: status, Reason: reason,
		})
	}
	if result == event.ResultCanceled || result == event.ResultTimeout || result == event.ResultTruncated {
		if gone := gone(a.trip); gone != nil {
			// The token stays in use while the backend server may run the request.
			go func() {
				<-gone
				tell()
			}()

			return
		}
	}
	tell()
}

func gone(trip Trip) <-chan struct{} {
	if trip == nil {
		return nil
	}

	return trip.Abort()
}

// giveUp ends an attempt whose response header is here but not needed.
func (x *exchange) giveUp(a *attempt) {
	_ = a.response.Body.Close()
	x.endAttempt(a, event.ResultCanceled, a.response.StatusCode, "")
}
