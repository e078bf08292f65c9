package backend

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// SentAttempt describes an attempt that is being sent to a backend server.
type SentAttempt struct {
	Attempt event.AttemptID
	Backend string
	Class   model.Class
	// Route groups requests that are expected to run for about the same time.
	Route string
}

// runningAttempt is an attempt at a backend server that has not ended.
type runningAttempt struct {
	server  *server
	service *service
	removed map[string]*server // the map serverTable.removed
	route   string
	sentAt  time.Duration
	header  bool // the response header was received
	// normal is true when the request's class is not longer than the service's
	// class. Only normal attempts count in the service's percentiles.
	normal bool
	// long is true for long work, which server.admits and service.admitsLong limit.
	long bool
	// rampTokens is the number of the server's tokens that the entry held when it
	// sent the attempt. It is 0 if the server was not ramping up then.
	rampTokens float64
}

// Sent records that an attempt goes to a backend server.
func (s State) Sent(now time.Duration, attempt SentAttempt, tokens Tokens) State {
	b, ok := s.servers[attempt.Backend]
	svc := s.services[b.serviceName()]
	if !ok || svc == nil {
		return s
	}
	running := &runningAttempt{
		server:  b,
		service: svc,
		removed: s.removed,
		route:   attempt.Route,
		sentAt:  now,
		normal:  attempt.Class <= svc.class,
		long:    attempt.Class > svc.class,
	}
	b.markColdIfIdle(now)
	if b.cold {
		b.cold = false
		b.rampStartedAt = now
	}
	if b.usableShare(now) < 1 {
		running.rampTokens = float64(tokens.Held(b.pool))
	}
	s.attempts[attempt.Attempt] = running
	b.attempts = append(b.attempts, running)
	b.inFlight++
	b.lastSentAt = now
	if running.long {
		b.long++
		svc.long++
	} else if attempt.Class == model.ClassShort {
		svc.lastShortAt, svc.seenShort = now, true
	}
	svc.attemptNumber++
	b.attemptNumber = svc.attemptNumber
	b.updateWaitingSince()

	return s
}

// serviceName returns the name of the server's service, or "" when s is nil.
func (s *server) serviceName() string {
	if s == nil {
		return ""
	}

	return s.service
}

// MarkLong counts a running attempt as long work from now on, so that the
// attempt's age alone no longer makes its server a straggler. requestIsLong is
// true when a second attempt has shown that the request is slow, not the server.
// If requestIsLong is false and the attempt has no header yet, observeMinLatency
// counts the attempt's age once.
func (s State) MarkLong(now time.Duration, attempt event.AttemptID, requestIsLong bool) State {
	a, ok := s.attempts[attempt]
	if !ok || a.long {
		return s
	}
	if !requestIsLong && !a.header {
		a.observeMinLatency(now)
	}
	a.long = true
	a.server.long++
	a.service.long++
	a.server.updateWaitingSince()

	return s
}

// header records that the response header of an attempt was received.
func (t *serverTable) header(e event.HeaderReceived) {
	a, ok := t.attempts[e.Attempt]
	if !ok || a.header {
		return
	}
	a.header = true
	a.server.recordSuccess()
	a.observeLatency(e.Time())
	if a.normal {
		a.service.header.Observe(e.Time(), e.Time()-a.sentAt)
		a.service.refreshPercentiles(e.Time())
	}
}

// observeLatency adds the attempt's age to the server's mean latency if the
// attempt is normal and not long. In any case, attempts that were sent to the
// server before this one count as overtaken from now on.
func (a *runningAttempt) observeLatency(now time.Duration) {
	b := a.server
	b.overtakenBefore = max(b.overtakenBefore, a.sentAt)
	if a.normal && !a.long {
		b.latency = b.latency.With(float64(now-a.sentAt), latencyWeight)
		b.lastObservedAt = now
	}
	b.updateWaitingSince()
}

// observeMinLatency adds the attempt's age to the server's mean latency if the
// attempt is normal and its age is above the mean. The attempt has no header, so
// its age is only a lower bound of its latency.
func (a *runningAttempt) observeMinLatency(now time.Duration) {
	b := a.server
	if a.normal && float64(now-a.sentAt) > b.latency.Value() {
		b.latency = b.latency.With(float64(now-a.sentAt), latencyWeight)
		b.lastObservedAt = now
	}
}

// attemptEnded records the result of an attempt and removes it.
func (t *serverTable) attemptEnded(e event.AttemptEnded) {
	a, ok := t.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(t.attempts, e.Attempt)
	b, now := a.server, e.Time()
	switch e.Result {
	case event.ResultComplete:
		if !a.header {
			t.attempts[e.Attempt] = a
			t.header(event.HeaderReceived{At: e.At, Request: e.Request, Attempt: e.Attempt})
			delete(t.attempts, e.Attempt)
		}
		a.recordComplete(now)
	case event.ResultNotSent, event.ResultRefused, event.ResultTruncated:
		b.recordFailure(now, t.random.Float64())
	case event.ResultBroken:
		b.recordFailure(now, t.random.Float64())
		// The backend server is presumed to come back as a new process with cold
		// caches.
		b.cold = true
	case event.ResultTimeout, event.ResultCanceled:
		if !a.header {
			a.observeMinLatency(now)
		}
	}
	a.remove(now)
}

// recordComplete records the duration of a complete response.
func (a *runningAttempt) recordComplete(now time.Duration) {
	d := now - a.sentAt
	if a.normal && !a.long {
		a.service.total.Observe(now, d)
	}
	a.service.recordDuration(a.route, d)
}

// remove removes the attempt from the counts of its server and service.
func (a *runningAttempt) remove(now time.Duration) {
	b := a.server
	if i := slices.Index(b.attempts, a); i >= 0 {
		b.attempts = slices.Delete(b.attempts, i, i+1)
	}
	b.inFlight--
	if b.inFlight == 0 {
		delete(a.removed, b.name)
	}
	if a.long {
		b.long--
		a.service.long--
	}
	if a.rampTokens > 0 {
		b.pauseAfter(now, now-a.sentAt, a.rampTokens)
	}
	b.updateWaitingSince()
}
