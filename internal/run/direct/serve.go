package direct

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// unstatedPatience is how long a caller is assumed to wait if neither its request nor
	// the route says so.
	unstatedPatience = 30 * time.Second
	// maxPendingEffects is the capacity of a request's channel of effects, so that
	// delivery never blocks: at most a Hold and the effect that ends it are pending.
	maxPendingEffects = 4
)

// activeRequest is a caller's request until it is answered.
type activeRequest struct {
	*Process

	exchange *http1.Exchange
	id       steer.RequestID
	route    string
	// customer is the name of the customer, or "".
	customer      string
	arrivedAt     time.Duration
	effects       chan steer.Effect
	configVersion uint64
	// attempts are all attempts. Those of which running counts have not arrived at ended yet.
	attempts []*attempt
	running  int
	ended    chan *attempt
	// lastSend is the decision for the attempt that began or ended last.
	lastSend steer.Send
	// lastResponse is the newest complete response of a server. answeredByHedge is true if
	// it is that of a hedge.
	lastResponse    *http1.Response
	answeredByHedge bool
	// holdTimer and lateTimer fire when HoldExpired and HedgeDue are due; nil if they are not.
	holdTimer, lateTimer <-chan time.Time
	// notRun is true when the request was refused: no backend server has run it.
	notRun bool
}

// Serve implements http1.Handler. It returns when the request is answered or its caller
// has left.
func (p *Process) Serve(exchange *http1.Exchange) {
	if exchange.BodyRefused {
		p.refuse(exchange, steer.ReasonMemory, p.retryAfter())

		return
	}
	current := p.intent.Load()
	if current == nil {
		p.refuse(exchange, steer.ReasonNoConfiguration, p.retryAfter())

		return
	}
	route, ok := current.Match(exchange.Host, exchange.Target)
	if !ok {
		p.log.Info("request refused", zap.String("request", exchange.ID), zap.String("reason", string(steer.ReasonUnknownRoute)),
			zap.String("host", exchange.Host), zap.String("target", pathOf(exchange.Target)), zap.Uint64("version", current.Version))
		exchange.Respond(newResponse(http.StatusNotFound, exchange.ID, p.deployment.Names()))

		return
	}
	customer, denied := p.identifyCustomer(exchange, current, route)
	if denied != nil {
		p.deny(exchange, *denied)

		return
	}
	if customer.Name != "" {
		p.metrics.CustomerRequest(customer.Name, false)
	}
	p.noteRequest()
	// The reducer applies the route's timeout as well.
	patience := cmp.Or(exchange.Patience, route.Timeout, unstatedPatience)
	arrivedAt := p.clock.Now()
	giveBack, denied := p.takeQuota(exchange, customer, patience)
	if denied != nil {
		select {
		case <-exchange.CallerLeft():
			exchange.Abort()
		default:
			p.denyCustomer(exchange, customer.Name, *denied, customerFields(customer.Name)...)
		}

		return
	}
	now := p.clock.Now()
	patience -= now - arrivedAt
	r := &activeRequest{Process: p, exchange: exchange, route: route.Name, customer: customer.Name, configVersion: current.Version, arrivedAt: now, effects: make(chan steer.Effect, maxPendingEffects)}
	p.mu.Lock()
	p.lastID++
	r.id = p.lastID
	p.effectChans[r.id] = r.effects
	p.reduce(steer.RequestArrived{
		At: steer.At(now), ID: r.id, Route: route, Customer: customer, Object: exchange.Object, BodyBytes: len(exchange.Body), Deadline: now + patience,
		Fingerprint: xxhash.Sum64String(exchange.Method + exchange.Host + exchange.Target + string(exchange.Body)),
	})
	p.mu.Unlock()
	r.run()
	if r.notRun {
		giveBack()
	}
	p.mu.Lock()
	delete(p.effectChans, r.id)
	p.mu.Unlock()
}

// retryAfter returns the Retry-After of refusals that the reducer does not decide: there is
// no configuration yet, or no memory for the body. By then the tables have been read again
// and most bodies of now are gone; a random part more spreads the callers.
func (p *Process) retryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.settings.TableMaxAge + time.Duration(rand.Float64()*float64(p.settings.TableMaxAge)) //nolint:gosec // Spreads callers.
}

// run performs the reducer's effects for the request until it is answered or its caller
// has left.
func (r *activeRequest) run() {
	defer r.closeAttempts()
	for {
		select {
		case effect := <-r.effects:
			// An effect that is pending may cancel an attempt that has ended, too.
			if r.perform(effect) {
				return
			}

			continue
		default:
		}
		select {
		case effect := <-r.effects:
			if r.perform(effect) {
				return
			}
		case a := <-r.ended:
			r.running--
			if r.attemptEnded(a) {
				return
			}
		case <-r.holdTimer:
			r.holdTimer = nil
			r.apply(steer.HoldExpired{At: r.eventTime(), ID: r.id})
		case <-r.lateTimer:
			r.lateTimer = nil
			r.apply(steer.HedgeDue{At: r.eventTime(), ID: r.id})
		case <-r.exchange.CallerLeft():
			r.callerLeft()

			return
		}
	}
}

// perform performs an effect. It returns true when the request has ended.
func (r *activeRequest) perform(effect steer.Effect) bool {
	r.holdTimer = nil
	switch e := effect.(type) {
	case steer.Send:
		if e.LateAt > 0 {
			r.lateTimer = time.After(e.LateAt - r.clock.Now())
		}

		return r.startAttempt(e)
	case steer.Cancel:
		r.cancelAttempt(e.Hedge)

		return false
	case steer.Hold:
		r.holdTimer = time.After(e.Until - r.clock.Now())

		return false
	case steer.Refuse:
		r.notRun = true
		r.denyCustomer(r.exchange, r.customer, denial{status: http.StatusServiceUnavailable, reason: e.Reason, retryAfter: e.RetryAfter}, r.fields(
			zap.Float64("use", e.DemandRatio), zap.Duration("wait", e.Wait), zap.Duration("work", e.AnswerTime), zap.Duration("left", e.TimeLeft))[1:]...)
	case steer.ReturnResponse:
		r.returnResponse()
	case steer.Fail:
		r.fail(e)
	}

	return true
}

// callerLeft ends a request whose caller has left.
func (r *activeRequest) callerLeft() {
	for _, a := range r.attempts {
		a.cancel()
	}
	r.apply(steer.CallerLeft{At: r.eventTime(), ID: r.id})
	r.finish("caller-left", 0)
	r.exchange.Abort()
}

// finish records the duration of a request that ended, and logs it.
func (r *activeRequest) finish(outcome string, status int) {
	took := r.clock.Now() - r.arrivedAt
	r.metrics.Served(r.route+"/"+outcome, took)
	r.log.Info("request ended", r.fields(zap.String("outcome", outcome), zap.Int("status", status))...)
}

// fields returns the log fields that describe the request and the newest decision to send
// it, followed by more.
func (r *activeRequest) fields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", r.exchange.ID), zap.String("route", r.route), zap.Uint64("version", r.configVersion),
		zap.Duration("took", r.clock.Now()-r.arrivedAt), zap.Int("attempts", len(r.attempts)),
		zap.String("server", r.lastSend.Server.ID), zap.String("zone", r.lastSend.Server.Zone),
		zap.Float64("occupied", r.lastSend.OccupiedSlots), zap.Int("limit", r.lastSend.SlotLimit),
	}

	return append(append(fields, customerFields(r.customer)...), more...)
}

// customerFields returns the log field that names a customer, if there is one.
func customerFields(customer string) []zap.Field {
	if customer == "" {
		return nil
	}

	return []zap.Field{zap.String("customer", customer)}
}

// pathOf returns a target without its query, which may hold what callers keep secret.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")

	return path
}

// refuse tells a caller that its request has not run, and to retry after retryAfter.
// The inputs are log fields that explain the decision; the request's ID is not among
// them.
func (p *Process) refuse(exchange *http1.Exchange, reason steer.Reason, retryAfter time.Duration, inputs ...zap.Field) {
	p.deny(exchange, denial{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}, inputs...)
}

// deny answers a request that has not run with the status of a denial. Only a denial that may
// pass says when to retry.
func (p *Process) deny(exchange *http1.Exchange, d denial, inputs ...zap.Field) {
	p.metrics.Refused("not-run", string(d.reason))
	p.log.Info("request refused", append([]zap.Field{
		zap.String("request", exchange.ID), zap.String("reason", string(d.reason)), zap.Duration("retry-after", d.retryAfter),
	}, inputs...)...)
	r := newResponse(d.status, exchange.ID, p.deployment.Names())
	if d.status == http.StatusUnauthorized {
		r.Header.Set("Www-Authenticate", "Bearer")
	}
	if d.retryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(d.retryAfter.Seconds(), 'f', 3, 64))
	}
	exchange.Respond(r)
}

// denyCustomer is deny for a request whose customer is known, or "" if it has none.
func (p *Process) denyCustomer(exchange *http1.Exchange, customer string, d denial, inputs ...zap.Field) {
	if customer != "" {
		p.metrics.CustomerRequest(customer, true)
	}
	p.deny(exchange, d, inputs...)
}

// fail tells the caller that it is unknown whether its request has run: 504 when the
// attempt timed out, else 502.
func (r *activeRequest) fail(failure steer.Fail) {
	status := http.StatusBadGateway
	if failure.TimedOut {
		status = http.StatusGatewayTimeout
	}
	r.metrics.Refused("unknown", string(failure.Reason))
	fields := r.fields(zap.String("reason", string(failure.Reason)), zap.Int("status", status))
	if failure.WithheldStatus != 0 {
		fields = append(fields, zap.Int("withheld-status", failure.WithheldStatus))
	}
	r.log.Info("request failed", fields...)
	r.exchange.Respond(newResponse(status, r.exchange.ID, r.deployment.Names()))
}

// logDiscarded logs bytes of a caller that are not taken as a request.
func (p *Process) logDiscarded(d http1.Discarded) {
	p.log.Info("bytes of a caller discarded", zap.Stringer("caller", d.Caller), zap.Int64("bytes", d.Bytes), zap.Int("requests", d.Requests),
		zap.Bool("close-announced", d.CloseAnnounced), zap.Bool("sending-closed", d.SendingClosed))
}

// newResponse returns a response that the entry VM generates itself, without a body.
func newResponse(status int, id string, names http1.Names) http1.Response {
	r := http1.Response{Status: status, Header: http.Header{}}
	if id != "" {
		r.Header.Set(names.RequestID, id)
	}

	return r
}
