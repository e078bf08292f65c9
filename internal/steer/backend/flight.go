package backend

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// SentAttempt describes an attempt that is about to be sent.
type SentAttempt struct {
	Attempt event.AttemptID
	Backend string
	Class   model.Class
	Route   string
}

// flight is an attempt that has not ended.
type flight struct {
	server  *server
	service *service
	removed map[string]*server
	route   string
	sent    time.Duration
	header  bool
	// normal attempts are typical of the service and count in its quantiles.
	normal bool
	// long attempts count against the share of long work.
	long bool
	// held is the number of tokens during the ramp, otherwise 0.
	held float64
}

// Sent records that an attempt goes to a backend server.
func (s State) Sent(now time.Duration, sending SentAttempt, tokens Tokens) State {
	b, ok := s.servers[sending.Backend]
	svc := s.services[b.serviceName()]
	if !ok || svc == nil {
		return s
	}
	f := &flight{
		server:  b,
		service: svc,
		removed: s.removed,
		route:   sending.Route,
		sent:    now,
		normal:  sending.Class <= svc.class,
		long:    sending.Class > svc.class,
	}
	b.cool(now)
	if b.cold {
		b.cold = false
		b.rampFrom = now
	}
	if b.share(now) < 1 {
		f.held = float64(tokens.Held(b.pool))
	}
	s.flights[sending.Attempt] = f
	b.flights = append(b.flights, f)
	b.inFlight++
	b.lastSent = now
	if f.long {
		b.long++
		svc.long++
	} else if sending.Class == model.ClassShort {
		svc.lastShort, svc.sawShort = now, true
	}
	svc.turn++
	b.turn = svc.turn
	b.findWaiting()

	return s
}

func (s *server) serviceName() string {
	if s == nil {
		return ""
	}

	return s.service
}

// MarkLong counts a running attempt as long work from now on. Its age is then
// no sign of a straggler any more; unless a second attempt has proven that the
// request itself is long, it still counts as one slow response.
func (s State) MarkLong(now time.Duration, attempt event.AttemptID, proven bool) State {
	f, ok := s.flights[attempt]
	if !ok || f.long {
		return s
	}
	if !proven && !f.header {
		f.observeAtLeast(now)
	}
	f.long = true
	f.server.long++
	f.service.long++
	f.server.findWaiting()

	return s
}

func (t *table) header(e event.HeaderReceived) {
	f, ok := t.flights[e.Attempt]
	if !ok || f.header {
		return
	}
	f.header = true
	f.server.succeed()
	f.observe(e.Time())
	if f.normal {
		f.service.header.Observe(e.Time(), e.Time()-f.sent)
		f.service.refresh(e.Time())
	}
}

// observe takes the time since the start of the attempt as the server's latency.
func (f *flight) observe(now time.Duration) {
	b := f.server
	b.newest = max(b.newest, f.sent)
	if f.normal && !f.long {
		b.latency = b.latency.With(float64(now-f.sent), latencyWeight)
		b.lastSeen = now
	}
	b.findWaiting()
}

// observeAtLeast takes the time since the start as a lower bound of the
// latency, for an attempt that was given up.
func (f *flight) observeAtLeast(now time.Duration) {
	b := f.server
	if f.normal && float64(now-f.sent) > b.latency.Value() {
		b.latency = b.latency.With(float64(now-f.sent), latencyWeight)
		b.lastSeen = now
	}
}

func (t *table) ended(e event.AttemptEnded) {
	f, ok := t.flights[e.Attempt]
	if !ok {
		return
	}
	delete(t.flights, e.Attempt)
	b, now := f.server, e.Time()
	switch e.Result {
	case event.ResultComplete:
		if !f.header {
			t.flights[e.Attempt] = f
			t.header(event.HeaderReceived{At: e.At, Request: e.Request, Attempt: e.Attempt})
			delete(t.flights, e.Attempt)
		}
		f.complete(now)
	case event.ResultNotSent, event.ResultRefused, event.ResultTruncated:
		b.fail(now, t.random.Float64())
	case event.ResultBroken:
		b.fail(now, t.random.Float64())
		// The process of the backend server is new when it comes back.
		b.cold = true
	case event.ResultTimeout, event.ResultCanceled:
		if !f.header {
			f.observeAtLeast(now)
		}
	}
	f.remove(now)
}

func (f *flight) complete(now time.Duration) {
	d := now - f.sent
	if f.normal && !f.long {
		f.service.total.Observe(now, d)
	}
	f.service.learn(f.route, d)
}

func (f *flight) remove(now time.Duration) {
	b := f.server
	if i := slices.Index(b.flights, f); i >= 0 {
		b.flights = slices.Delete(b.flights, i, i+1)
	}
	b.inFlight--
	if b.inFlight == 0 {
		delete(f.removed, b.name)
	}
	if f.long {
		b.long--
		f.service.long--
	}
	if f.held > 0 {
		b.rest(now, now-f.sent, f.held)
	}
	b.findWaiting()
}
