package direct

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// attempt is an attempt of a request at a server.
type attempt struct {
	send steer.Send
	// ctx ends at the deadline, when cancel is called, and when a stop breaks off the
	// attempts, unless detach was called before.
	ctx    context.Context //nolint:containedctx // The rest of a streamed response is read under it.
	cancel context.CancelFunc
	detach func() bool
	// result is set when the attempt has ended.
	result http1.Result
	// cancelled is true after an effect Cancel.
	cancelled bool
}

// startAttempt sends the request to a server. It returns true when the request has ended
// meanwhile: the caller left, or a streamed response was forwarded. If the attempt may get
// company, it returns at once, and the attempt arrives at r.ended when it has ended.
func (r *activeRequest) startAttempt(send steer.Send) bool {
	a := &attempt{send: send}
	a.ctx, a.cancel = context.WithTimeout(context.Background(), send.Deadline-r.clock.Now())
	a.detach = context.AfterFunc(r.attemptsCtx, a.cancel)
	if send.Hedge {
		r.metrics.Hedge(send.Server.Service, "sent")
		r.log.Info("request hedged", r.fields(zap.String("hedge-server", send.Server.ID), zap.String("hedge-zone", send.Server.Zone),
			zap.Duration("late-after", send.Late.After), zap.Float64("late-share", send.Late.Share), zap.Float64("use", send.Late.DemandRatio))...)
	}
	r.lastSend = send
	r.attempts = append(r.attempts, a)
	if send.LateAt == 0 && !send.Hedge {
		r.exchange.OnCallerLeft(a.cancel)
		r.do(a)
		r.exchange.OnCallerLeft(nil)
		select {
		case <-r.exchange.CallerLeft():
			r.callerLeft()

			return true
		default:
			return r.attemptEnded(a)
		}
	}
	if r.ended == nil {
		r.ended = make(chan *attempt)
	}
	r.running++
	go func() {
		r.do(a)
		r.ended <- a
	}()

	return false
}

func (r *activeRequest) do(a *attempt) {
	a.result = r.pool.Do(a.ctx, http1.Target{Instance: a.send.Server.ID, Address: a.send.Server.Address}, r.exchange.Request)
}

// cancelAttempt ends an attempt because another has been answered.
func (r *activeRequest) cancelAttempt(hedge bool) {
	for _, a := range r.attempts {
		if a.send.Hedge == hedge {
			a.cancelled = true
			a.cancel()
		}
	}
}

// closeAttempts ends all attempts, waits for those in flight and gives back their memory.
func (r *activeRequest) closeAttempts() {
	for _, a := range r.attempts {
		a.cancel()
		a.detach()
	}
	for ; r.running > 0; r.running-- {
		<-r.ended
	}
	for _, a := range r.attempts {
		if a.result.Response.Rest != nil {
			_ = a.result.Response.Rest.Close()
		}
		a.result.Release()
	}
}

// attemptEnded reports the result of an attempt to the reducer, unless the reducer has
// cancelled it. It returns true when the request has ended, because a streamed response was
// forwarded.
func (r *activeRequest) attemptEnded(a *attempt) bool {
	if a.cancelled {
		return false
	}
	// The end of a stop says nothing about the server, like the deadline.
	a.result.TimedOut = a.result.TimedOut || a.result.Err != nil && r.attemptsCtx.Err() != nil
	result := a.result
	r.lastSend = a.send
	if result.Outcome == http1.Answered {
		if r.lastResponse != nil && r.lastResponse.Rest != nil {
			_ = r.lastResponse.Rest.Close()
		}
		r.lastResponse, r.answeredByHedge = &result.Response, a.send.Hedge
	}
	if result.Outcome != http1.Answered || result.Response.Status >= http.StatusInternalServerError {
		fields := []zap.Field{
			zap.String("address", a.send.Server.Address), zap.Stringer("outcome", result.Outcome),
			zap.Int("status", result.Response.Status), zap.Bool("timed-out", result.TimedOut), zap.Error(result.Err),
		}
		if load, ok := result.Load.Get(); ok {
			fields = append(fields, zap.Int("running", load.RunningRequests), zap.Int("waiting", load.WaitingRequests), zap.Int("slots", load.Slots))
		}
		r.log.Info("attempt failed", r.fields(fields...)...)
	}
	r.apply(attemptEnded(r.eventTime(), r.id, a.send.Hedge, result))
	if result.Response.Rest != nil {
		a.detach()

		return r.stream()
	}

	return false
}

// stream handles a response that is too long to be held in memory. If the next effect
// is ReturnResponse, stream forwards the response to the caller and returns true. If it
// is another effect, stream closes the response, leaves the effect to run and returns
// false. It also returns false, and keeps the response, while another attempt is in flight.
func (r *activeRequest) stream() bool {
	for {
		select {
		case effect := <-r.effects:
			switch e := effect.(type) {
			case steer.Cancel:
				r.cancelAttempt(e.Hedge)
			case steer.ReturnResponse:
				r.returnResponse()

				return true
			default:
				_ = r.lastResponse.Rest.Close()
				r.effects <- effect

				return false
			}
		default:
			return false
		}
	}
}

// returnResponse sends the caller the newest response.
func (r *activeRequest) returnResponse() {
	if r.answeredByHedge {
		r.metrics.Hedge(r.lastSend.Server.Service, "won")
	}
	r.finish("answered", r.lastResponse.Status)
	r.exchange.Respond(*r.lastResponse)
}

// attemptEnded returns the reducer's event for the result of an attempt.
func attemptEnded(at steer.At, id steer.RequestID, hedge bool, r http1.Result) steer.AttemptEnded {
	out := steer.AttemptEnded{
		At: at, ID: id, Hedge: hedge, Outcome: steer.Outcome(r.Outcome), Status: r.Response.Status,
		ColdFor: r.ColdFor, OtherInstance: r.OtherInstance, TimedOut: r.TimedOut, DialTook: r.DialTook,
		Leaving: r.Leaving, PauseFor: r.PauseFor,
	}
	if load, ok := r.Load.Get(); ok {
		out.Load = option.Some(steer.Load{RunningRequests: load.RunningRequests, WaitingRequests: load.WaitingRequests, Slowdown: load.Slowdown})
	}

	return out
}
