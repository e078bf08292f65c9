package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// exchange is one request of a caller with its attempts. The goroutine of the
// listener runs the first attempt and relays the response; only attempts beside
// it have goroutines of their own.
type exchange struct {
	*RequestHandler

	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	body        *body
	id          event.RequestID
	service     model.Service
	class       model.Class
	fingerprint uint64
	// key is the idempotency key; keyed is true when the request must run at
	// most once, so that its answer is held for a duplicate. Such a request runs
	// to its end even when its caller is gone, for the caller will send it again.
	key          string
	keyed        bool
	callerRegion string
	carried      bool

	mu       sync.Mutex
	wake     chan struct{}
	pending  []event.Effect
	attempts []*attempt
	// inline is true while the listener's goroutine has an attempt to run.
	inline bool
	closed bool
}

// Deliver implements Sink.
func (x *exchange) Deliver(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		x.start(e.Attempt, e.Deadline, x.backendTarget(e.Backend))
	case event.CarryToEntry:
		x.start(e.Attempt, e.Deadline, x.entryTarget(e))
	case event.CancelAttempt:
		x.cancelAttempt(e.Attempt)
	case event.Refuse:
		x.cancelAll()
		x.push(effect)
	case event.RelayResponse:
		x.push(effect)
	}
}

func (x *exchange) start(id event.AttemptID, deadline time.Duration, to target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithTimeout(x.ctx, deadline-x.steering.Now())
	a := &attempt{id: id, ctx: ctx, cancel: cancel, target: to, deadline: deadline, phase: phaseRunning}
	if x.closed {
		a.canceled = true
		cancel()
		go x.endAttempt(a, event.ResultCanceled, 0, "")

		return
	}
	x.watchReading(a)
	x.attempts = append(x.attempts, a)
	if x.inline {
		go x.run(a)

		return
	}
	x.inline = true
	x.pending = append(x.pending, event.SendToBackend{Attempt: id})
	x.signal()
}

// watchReading unblocks the reading of a streamed body when the attempt that
// reads it ends early.
func (x *exchange) watchReading(a *attempt) {
	a.unwatch = func() bool { return true }
	if x.body.replayable() {
		return
	}
	control := http.NewResponseController(x.w)
	a.unwatch = context.AfterFunc(a.ctx, func() {
		if x.body.used.Load() {
			_ = control.SetReadDeadline(time.Unix(1, 0))
		}
	})
}

func (x *exchange) push(effect event.Effect) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pending = append(x.pending, effect)
	x.signal()
}

func (x *exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *exchange) cancelAttempt(id event.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a := x.find(id); a != nil {
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

func (x *exchange) cancelLocked(a *attempt) {
	if a.canceled || a.phase == phaseEnded {
		return
	}
	a.canceled = true
	a.cancel()
	if a.phase == phaseHeader {
		go x.giveUp(a)
	}
}

func (x *exchange) find(id event.AttemptID) *attempt {
	for _, a := range x.attempts {
		if a.id == id {
			return a
		}
	}

	return nil
}

// next returns the next effect for the listener's goroutine, or nil when the
// caller is gone.
func (x *exchange) next() event.Effect {
	for {
		if effect := x.pop(); effect != nil {
			return effect
		}
		select {
		case <-x.wake:
		case <-x.ctx.Done():
			return nil
		}
	}
}

func (x *exchange) pop() event.Effect {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.pending) == 0 {
		return nil
	}
	effect := x.pending[0]
	x.pending = x.pending[1:]

	return effect
}

// serve runs the exchange to its end; the response is written when it returns.
func (x *exchange) serve(ctx context.Context) {
	defer x.close()
	for {
		switch e := x.next().(type) {
		case event.SendToBackend:
			x.runInline(e.Attempt)
		case event.RelayResponse:
			x.relay(e.Attempt)

			return
		case event.Refuse:
			x.refuse(ctx, e)

			return
		case nil:
			x.steering.Apply(event.CallerDisconnected{At: x.at(), ID: x.id})

			return
		}
		if x.callerGone() {
			x.steering.Apply(event.CallerDisconnected{At: x.at(), ID: x.id})
			x.abort()
		}
	}
}

func (x *exchange) runInline(id event.AttemptID) {
	x.mu.Lock()
	a := x.find(id)
	x.mu.Unlock()
	x.run(a)
	x.mu.Lock()
	x.inline = false
	x.mu.Unlock()
}

// close ends all attempts that are left and the delivery of effects.
func (x *exchange) close() {
	x.mu.Lock()
	x.closed = true
	for _, a := range x.attempts {
		x.cancelLocked(a)
	}
	// An attempt that was meant for this goroutine has not begun.
	for _, effect := range x.pending {
		if e, ok := effect.(event.SendToBackend); ok {
			if a := x.find(e.Attempt); a != nil {
				go x.endAttempt(a, event.ResultCanceled, 0, "")
			}
		}
	}
	x.mu.Unlock()
	x.steering.CloseRequest(x.id)
	if x.keyed {
		x.answers.drop(x.key)
	}
}

// callerGone returns whether the caller is gone and its request with it.
func (x *exchange) callerGone() bool {
	return x.ctx.Err() != nil || x.body.failed.Load()
}

// abort ends the response without a clean end, so that the caller cannot
// mistake it for a complete one.
func (x *exchange) abort() {
	panic(http.ErrAbortHandler)
}

func (x *exchange) at() event.At {
	return event.At(x.steering.Now())
}
