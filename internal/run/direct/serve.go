package direct

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// defaultPatience is how long a caller is assumed to wait that does not say.
	defaultPatience = 30 * time.Second
	// startingRetry is when a caller should come back to an entry VM that knows no
	// configuration yet.
	startingRetry = 300 * time.Millisecond
	// effectsAhead is the most effects that wait for one exchange: it gets the
	// next one only after it has reported the end of the one before.
	effectsAhead = 4
)

// exchange is one request on its way.
type exchange struct {
	*Process

	x       *http1.Exchange
	id      steer.RequestID
	route   string
	arrived time.Duration
	effects chan steer.Effect
	version uint64
	// sent is the newest decision to send, and attempts counts them.
	sent     steer.Send
	attempts int
	// last is the newest complete answer of a server.
	last *http1.Response
}

// Serve implements http1.Handler.
func (p *Process) Serve(x *http1.Exchange) {
	if n := int64(len(x.Body)); n > 0 {
		defer p.held.Add(-n)
		if p.held.Add(n) > p.settings.MaxBufferedBodyBytes {
			p.refuse(x, steer.ReasonMemory, startingRetry)

			return
		}
	}
	in := p.intent.Load()
	if in == nil {
		p.refuse(x, steer.ReasonNoConfiguration, startingRetry)

		return
	}
	route, ok := in.Match(x.Host, x.Target)
	if !ok {
		p.log.Info("request refused", zap.String("request", x.ID), zap.String("reason", string(steer.ReasonUnknownRoute)),
			zap.String("host", x.Host), zap.String("target", x.Target), zap.Uint64("version", in.Version))
		x.Respond(answer(http.StatusNotFound, x.ID, p.deployment.Names()))

		return
	}
	now := p.clock.Now()
	patience := x.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	e := &exchange{Process: p, x: x, route: route.Name, version: in.Version, arrived: now, effects: make(chan steer.Effect, effectsAhead)}
	p.mu.Lock()
	p.lastID++
	e.id = p.lastID
	p.waiting[e.id] = e.effects
	p.reduce(steer.RequestArrived{
		At: steer.At(now), ID: e.id, Route: route, Object: x.Object, Deadline: now + patience, Patience: x.Patience,
		Fingerprint: xxhash.Sum64String(x.Method + x.Host + x.Target + string(x.Body)),
	})
	p.mu.Unlock()
	e.run()
	p.mu.Lock()
	delete(p.waiting, e.id)
	p.mu.Unlock()
}

// run carries out the effects for one request until it is answered.
func (e *exchange) run() {
	var holding <-chan time.Time
	for {
		select {
		case effect := <-e.effects:
			holding = nil
			switch f := effect.(type) {
			case steer.Send:
				e.sent = f
				e.attempts++
				if e.attempt(f) {
					return
				}
			case steer.Hold:
				holding = time.After(f.Until - e.clock.Now())
			case steer.Refuse:
				e.refuse(e.x, f.Reason, f.RetryAfter, e.fields(
					zap.Float64("use", f.DemandRatio), zap.Float64("pressure", f.Pressure), zap.Duration("left", f.Left))[1:]...)

				return
			case steer.ReturnAnswer:
				e.finish("answered", e.last.Status)
				e.x.Respond(*e.last)

				return
			case steer.Fail:
				e.fail(f)

				return
			}
		case <-holding:
			holding = nil
			e.apply(steer.HoldExpired{At: e.at(), ID: e.id})
		case <-e.x.Gone():
			e.leave()

			return
		}
	}
}

// leave forgets a request whose caller is gone.
func (e *exchange) leave() {
	e.apply(steer.CallerLeft{At: e.at(), ID: e.id})
	e.finish("caller-left", 0)
	e.x.Abort()
}

// attempt sends the request to a server and reports the end; it returns true
// when the caller left meanwhile.
func (e *exchange) attempt(f steer.Send) bool {
	ctx, cancel := context.WithTimeout(context.Background(), f.Deadline-e.clock.Now())
	defer cancel()
	e.x.OnGone(cancel)
	result := e.pool.Do(ctx, http1.Target{Instance: f.Server.ID, Address: f.Server.Address}, e.x.Request)
	e.x.OnGone(nil)
	select {
	case <-e.x.Gone():
		if result.Response.Rest != nil {
			_ = result.Response.Rest.Close()
		}
		e.leave()

		return true
	default:
	}
	if result.Outcome == http1.Answered {
		if e.last != nil && e.last.Rest != nil {
			_ = e.last.Rest.Close()
		}
		e.last = &result.Response
	}
	if result.Outcome != http1.Answered || result.Response.Status >= http.StatusInternalServerError {
		e.log.Info("attempt failed", e.fields(zap.String("address", f.Server.Address), zap.Stringer("outcome", result.Outcome),
			zap.Int("status", result.Response.Status), zap.Bool("timed-out", result.TimedOut), zap.Error(result.Err))...)
	}
	e.apply(ended(e.at(), e.id, result))
	// A streamed answer needs its context until it is relayed.
	if result.Response.Rest != nil {
		return e.stream()
	}

	return false
}

// stream relays an answer that is too long to be held.
func (e *exchange) stream() bool {
	select {
	case effect := <-e.effects:
		if _, ok := effect.(steer.ReturnAnswer); ok {
			e.finish("answered", e.last.Status)
			e.x.Respond(*e.last)

			return true
		}
		_ = e.last.Rest.Close()
		e.effects <- effect
	default:
	}

	return false
}

func ended(at steer.At, id steer.RequestID, r http1.Result) steer.AttemptEnded {
	out := steer.AttemptEnded{
		At: at, ID: id, Outcome: steer.Outcome(r.Outcome), Status: r.Response.Status,
		Cold: r.Cold, OtherInstance: r.OtherInstance, TimedOut: r.TimedOut, DialTook: r.DialTook,
	}
	if load, ok := r.Load.Get(); ok {
		out.Load = option.Some(steer.Load{Running: load.Running, Waiting: load.Waiting, Slowdown: load.Slowdown})
	}

	return out
}

// finish counts and logs a request that ended.
func (e *exchange) finish(outcome string, status int) {
	took := e.clock.Now() - e.arrived
	e.metrics.Served(e.route+"/"+outcome, took)
	e.log.Info("request ended", e.fields(zap.String("outcome", outcome), zap.Int("status", status))...)
}

// fields are what decided about the request.
func (e *exchange) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", e.x.ID), zap.String("route", e.route), zap.Uint64("version", e.version),
		zap.Duration("took", e.clock.Now()-e.arrived), zap.Int("attempts", e.attempts),
		zap.String("server", e.sent.Server.ID), zap.String("zone", e.sent.Server.Zone),
		zap.Float64("occupied", e.sent.Occupied), zap.Int("limit", e.sent.Limit),
	}, more...)
}

// refuse tells a caller that its request has not run and when to come back.
func (p *Process) refuse(x *http1.Exchange, reason steer.Reason, after time.Duration, inputs ...zap.Field) {
	p.metrics.Refused("not-run", string(reason))
	p.log.Info("request refused", append([]zap.Field{
		zap.String("request", x.ID), zap.String("reason", string(reason)), zap.Duration("retry-after", after),
	}, inputs...)...)
	r := answer(http.StatusServiceUnavailable, x.ID, p.deployment.Names())
	r.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	x.Respond(r)
}

// fail tells the caller that it is not known whether its request has run.
func (e *exchange) fail(f steer.Fail) {
	status := http.StatusBadGateway
	if f.TimedOut {
		status = http.StatusGatewayTimeout
	}
	e.metrics.Refused("unknown", string(f.Reason))
	e.log.Info("request failed", e.fields(zap.String("reason", string(f.Reason)), zap.Int("status", status))...)
	e.x.Respond(answer(status, e.x.ID, e.deployment.Names()))
}

// answer returns an answer of the system's own.
func answer(status int, id string, names http1.Names) http1.Response {
	r := http1.Response{Status: status, Header: http.Header{}}
	if id != "" {
		r.Header.Set(names.RequestID, id)
	}

	return r
}
