package direct

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
)

const (
	// serverError is the first status with which a server reports its own failure.
	serverError = 500
	// timeoutStatus is a server's answer to a request whose deadline passed there.
	timeoutStatus = 504
)

// attemptEnded learns from the end of an attempt and decides what follows.
func (s *state) attemptEnded(e AttemptEnded) {
	r, ok := s.requests[e.ID]
	if !ok || r.at == nil {
		return
	}
	to := r.at
	s.release(r)
	defer s.dispatch(r.service)
	s.learn(r, to, e)
	if e.Outcome != NotSent {
		r.sent++
	}
	// Only a server's word or an untouched connection shows that it has not run.
	r.unknown = r.unknown || e.Outcome == Unknown || e.Outcome == Answered
	switch {
	case e.Outcome == Answered && (e.Status < serverError || !r.route.Idempotent || e.Status == timeoutStatus):
		s.forget(r)
		s.emit(ReturnAnswer{ID: r.id})
	case e.Outcome == Answered:
		r.answered = true
		s.again(r, ReasonAttemptLost)
	case e.Outcome == NotRun:
		r.shed = true
		s.again(r, ReasonServerShed)
	case e.Outcome == NotSent:
		s.again(r, ReasonServerUnreachable)
	case e.TimedOut:
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: ReasonDeadline, TimedOut: true})
	case r.route.Idempotent:
		s.again(r, ReasonAttemptLost)
	default:
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: ReasonAttemptLost})
	}
}

// again gives a request to another server, if time, budget and intent allow it.
func (s *state) again(r *request, reason Reason) {
	switch {
	case s.now+time.Duration(worthwhile*float64(s.usual(r, secondPlace))) >= r.until && r.sent > 0:
		s.giveUp(r, reason)
	case r.sent >= max(r.route.MaxAttempts, 1), s.suspects.refuses(s.now, r.fingerprint):
		s.giveUp(r, reason)
	case r.sent > 0 && !s.takeRetry(r):
		s.giveUp(r, ReasonRetryBudget)
	default:
		if chosen, reachable := s.choose(r); chosen != nil {
			s.send(r, chosen)
		} else if r.sent == 0 && reachable && s.now < holdUntil(r) {
			s.place(r)
		} else {
			s.giveUp(r, reason)
		}
	}
}

// giveUp ends a request with what is known about it.
func (s *state) giveUp(r *request, reason Reason) {
	switch {
	case r.answered:
		s.forget(r)
		s.emit(ReturnAnswer{ID: r.id})
	case r.unknown:
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: reason})
	default:
		s.refuse(r, reason)
	}
}

func (s *state) takeRetry(r *request) bool {
	n := float64(max(len(s.entries), 1))

	return s.budget(r.service).take(s.now, s.settings.RetryRatio, s.settings.RetryAllowance/n)
}

// learn updates what is known about a server.
func (s *state) learn(r *request, to *server, e AttemptEnded) {
	if e.Outcome == Answered || e.Outcome == Unknown {
		s.stays[r.route.Name] = s.stays[r.route.Name].With(float64(max(s.now-r.sentAt-s.distance(to.Region), 0)), workAlpha)
	}
	if e.DialTook > 0 {
		if old, ok := s.distances[to.Region]; !ok || e.DialTook < old {
			s.distances[to.Region] = e.DialTook
		}
	}
	if load, ok := e.Load.Get(); ok {
		to.slowdown, to.slowdownAt = load.Slowdown, s.now
	}
	s.learnCold(to, e.Cold)
	if e.Outcome == Unknown && !e.TimedOut {
		s.suspects.lose(s.now, r.fingerprint, s.suspects[r.fingerprint].lost+1)
	} else if e.Outcome == Answered {
		s.suspects.clear(r.fingerprint)
	}
	switch {
	case e.OtherInstance:
		to.Leaving = true
		s.emit(LogServerState{Server: to.ID, State: "gone", Cause: "another server has its address"})
	case e.Outcome == NotRun:
		to.avoid = max(to.avoid, s.now+shedPause)
	case e.Outcome == NotSent, e.Outcome == Unknown && !e.TimedOut:
		s.spill.disturb(s.now)
		to.fail(s.now)
		if e.Outcome == NotSent || to.strikes > 1 {
			to.doubtful = true
		}
		s.emit(LogServerState{Server: to.ID, State: "avoided", Cause: "an attempt got no answer"})
	case e.Outcome == Answered && e.Status >= serverError && e.Status != timeoutStatus:
		if to.failures = to.failures.With(1, greyAlpha); to.grey() {
			to.avoid = max(to.avoid, s.now+firstBackoff)
		}
	case e.Outcome == Answered:
		to.succeed()
		s.learnPace(r, to)
	}
}

func (s *state) learnPace(r *request, to *server) {
	p := otherPlace
	if r.route.Sticky {
		p = s.placeOf(r, to)
	}
	took := max(s.now-r.sentAt-s.distance(to.Region), 0)
	usual := s.usual(r, p)
	to.pace = to.pace.With(min(float64(took)/float64(usual), longestPace), slowAlpha)
	times := s.workTimes(r)
	times[p] = times[p].With(float64(took), usualPercentile, usualStep)
}

func (s *state) learnCold(to *server, cold option.Option[time.Duration]) {
	if left, ok := cold.Get(); ok {
		to.coldUntil = max(to.coldUntil, s.now+left)
	}
}
