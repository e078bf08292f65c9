package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// exchange is one request of a caller with its attempts and its response. The HTTP
// server's goroutine for the request runs one attempt at a time and relays the response.
// An attempt that starts while that goroutine runs another attempt gets a goroutine of
// its own.
type exchange struct {
	*RequestHandler

	w http.ResponseWriter
	r *http.Request
	// ctx ends when the caller disconnects, unless atMostOnce is true and the body is
	// held as a whole.
	ctx         context.Context
	body        *body
	id          event.RequestID
	service     model.Service
	class       model.Class
	fingerprint uint64
	// key is the idempotency key, or "" when the request has none.
	key string
	// atMostOnce is true for a request with an idempotency key on a route that is not
	// idempotent. Its answer is held for duplicates. If its body is held as a whole, the
	// request runs to its end even when the caller is gone, because the caller will send
	// it again.
	atMostOnce bool
	// callerRegion is the region of the entry VM that received the request from the
	// caller.
	callerRegion string
	// carried is true when another entry VM sent the request here.
	carried bool

	mu sync.Mutex
	// effectReady holds an element when pendingEffects may not be empty.
	effectReady    chan struct{}
	pendingEffects []event.Effect
	attempts       []*attempt
	// runningInline is true while the HTTP server's goroutine has an attempt to run.
	runningInline bool
	// closed is true once the response has ended; later attempts are cancelled.
	closed bool
}

// Deliver implements Sink.
func (x *exchange) Deliver(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		x.startAttempt(e.Attempt, e.Deadline, x.backendTarget(e.Backend))
	case event.CarryToEntry:
		x.startAttempt(e.Attempt, e.Deadline, x.entryTarget(e))
	case event.CancelAttempt:
		x.cancelAttempt(e.Attempt)
	case event.Refuse:
		x.cancelAll()
		x.enqueue(effect)
	case event.RelayResponse:
		x.enqueue(effect)
	}
}

// startAttempt runs an attempt in the HTTP server's goroutine or, when that goroutine has
// another attempt to run, in a new goroutine.
func (x *exchange) startAttempt(id event.AttemptID, deadline time.Duration, to target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithTimeout(x.ctx, deadline-x.reducer.Now())
	a := &attempt{id: id, ctx: ctx, cancel: cancel, target: to, deadline: deadline, phase: phaseRunning}
	if x.closed {
		a.canceled = true
		cancel()
		go x.endAttempt(a, event.ResultCanceled, 0, "")

		return
	}
	x.interruptReadAtEnd(a)
	x.attempts = append(x.attempts, a)
	if x.runningInline {
		go x.run(a)

		return
	}
	x.runningInline = true
	// This stands for a CarryToEntry as well: serve passes only the attempt's ID to
	// runInline, which finds the target in the attempt.
	x.pendingEffects = append(x.pendingEffects, event.SendToBackend{Attempt: id})
	x.signal()
}

// interruptReadAtEnd arranges that the end of the attempt's context interrupts reads of a
// streamed body from the caller.
func (x *exchange) interruptReadAtEnd(a *attempt) {
	a.stopReadInterrupt = func() bool { return true }
	if x.body.replayable() {
		return
	}
	control := http.NewResponseController(x.w)
	a.stopReadInterrupt = context.AfterFunc(a.ctx, func() {
		if x.body.streamTaken.Load() {
			_ = control.SetReadDeadline(time.Unix(1, 0))
		}
	})
}

// enqueue adds an effect for the HTTP server's goroutine.
func (x *exchange) enqueue(effect event.Effect) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pendingEffects = append(x.pendingEffects, effect)
	x.signal()
}

// signal wakes the HTTP server's goroutine.
func (x *exchange) signal() {
	select {
	case x.effectReady <- struct{}{}:
	default:
	}
}

func (x *exchange) cancelAttempt(id event.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a := x.findAttempt(id); a != nil {
		x.cancelLocked(a)
	}
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.attempts {
		x.cancelLocked(a)
	}
}

// cancelLocked cancels an attempt; x.mu is held.
func (x *exchange) cancelLocked(a *attempt) {
	if a.canceled || a.phase == phaseEnded {
		return
	}
	a.canceled = true
	a.cancel()
	if a.phase == phaseHeaderReceived {
		go x.discardResponse(a)
	}
}

// findAttempt returns the attempt with the ID, or nil when there is none; x.mu is held.
func (x *exchange) findAttempt(id event.AttemptID) *attempt {
	for _, a := range x.attempts {
		if a.id == id {
			return a
		}
	}

	return nil
}

// nextEffect waits for the next effect for the HTTP server's goroutine. It returns nil
// when x.ctx ends first.
func (x *exchange) nextEffect() event.Effect {
	for {
		if effect := x.dequeue(); effect != nil {
			return effect
		}
		select {
		case <-x.effectReady:
		case <-x.ctx.Done():
			return nil
		}
	}
}

// dequeue returns the first pending effect, or nil.
func (x *exchange) dequeue() event.Effect {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.pendingEffects) == 0 {
		return nil
	}
	effect := x.pendingEffects[0]
	x.pendingEffects = x.pendingEffects[1:]

	return effect
}

// serve carries out effects until the response is written or the caller is gone. It
// panics with http.ErrAbortHandler when the response cannot be completed.
func (x *exchange) serve(ctx context.Context) {
	defer x.close()
	for {
		switch e := x.nextEffect().(type) {
		case event.SendToBackend:
			x.runInline(e.Attempt)
		case event.RelayResponse:
			x.relay(e.Attempt)

			return
		case event.Refuse:
			x.refuse(ctx, e)

			return
		case nil:
			x.reducer.Apply(event.CallerDisconnected{At: x.now(), ID: x.id})

			return
		}
		if x.callerGone() {
			x.reducer.Apply(event.CallerDisconnected{At: x.now(), ID: x.id})
			x.abortResponse()
		}
	}
}

// runInline runs an attempt in the HTTP server's goroutine.
func (x *exchange) runInline(id event.AttemptID) {
	x.mu.Lock()
	a := x.findAttempt(id)
	x.mu.Unlock()
	x.run(a)
	x.mu.Lock()
	x.runningInline = false
	x.mu.Unlock()
}

// close cancels the attempts that have not ended and ends the delivery of effects.
func (x *exchange) close() {
	x.mu.Lock()
	x.closed = true
	for _, a := range x.attempts {
		x.cancelLocked(a)
	}
	// Attempts that are still pending for this goroutine have not begun; nothing else
	// reports their end.
	for _, effect := range x.pendingEffects {
		if e, ok := effect.(event.SendToBackend); ok {
			if a := x.findAttempt(e.Attempt); a != nil {
				go x.endAttempt(a, event.ResultCanceled, 0, "")
			}
		}
	}
	x.mu.Unlock()
	x.reducer.CloseRequest(x.id)
	if x.atMostOnce {
		x.answers.endRequest(x.key)
	}
}

// callerGone returns whether the caller is gone and the request has to end because of
// that.
func (x *exchange) callerGone() bool {
	return x.ctx.Err() != nil || x.body.readFailed.Load()
}

// abortResponse breaks the response off, so that the caller cannot mistake it for a
// complete one.
func (x *exchange) abortResponse() {
	panic(http.ErrAbortHandler)
}

// now returns the time for an event.
func (x *exchange) now() event.At {
	return event.At(x.reducer.Now())
}
