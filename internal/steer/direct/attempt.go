package direct

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/status"
)

const (
	// minServerErrorStatus is the lowest status with which a server reports its own failure.
	minServerErrorStatus = 500
	// statusGatewayTimeout is the status for a request whose deadline passed at the server.
	statusGatewayTimeout = 504
)

// attemptEnded records the outcome of an attempt and responds, retries or gives up.
func (s *state) attemptEnded(e AttemptEnded) {
	r, ok := s.requests[e.ID]
	if !ok {
		return
	}
	a, ok := s.releaseAttempt(r, e.Hedge, e.Outcome == Unknown || e.Outcome == Answered)
	if !ok {
		return
	}
	defer s.dispatchFreed(r.service)
	s.recordOutcome(r, a, e)
	if e.Outcome != NotSent {
		r.attempts++
	}
	// After NotRun and NotSent the request has surely not run in this attempt: the server
	// said so or received nothing.
	r.mayHaveRun = r.mayHaveRun || e.Outcome == Unknown || e.Outcome == Answered
	if len(r.inFlight) > 0 {
		if e.Outcome == Answered && e.Status < minServerErrorStatus {
			s.recordHedge(r, e.Hedge)
			s.cancelOthers(r)
		} else {
			// The other server may still answer.
			r.hasErrorResponse = r.hasErrorResponse || e.Outcome == Answered
			r.wasShed = r.wasShed || e.Outcome == NotRun

			return
		}
	}
	switch {
	case e.Outcome == Answered && !r.route.Idempotent && status.SaysNotRun(e.Status):
		// The server did not state it. A caller who believed it would send the request again.
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: ReasonUnclearRefusal, WithheldStatus: e.Status})
	case e.Outcome == Answered && (e.Status < minServerErrorStatus || !r.route.Idempotent || e.Status == statusGatewayTimeout):
		s.forget(r)
		s.emit(ReturnResponse{ID: r.id})
	case e.Outcome == Answered:
		r.hasErrorResponse = true
		s.retry(r, ReasonAttemptLost)
	case e.Outcome == NotRun:
		r.wasShed = true
		s.retry(r, ReasonServerShed)
	case e.Outcome == NotSent:
		s.retry(r, ReasonServerUnreachable)
	case e.TimedOut:
		reason := ReasonDeadline
		if s.now < r.deadline {
			reason = ReasonStopping
		}
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: reason, TimedOut: true})
	case r.route.Idempotent:
		s.retry(r, ReasonAttemptLost)
	default:
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: ReasonAttemptLost})
	}
}

// retry sends a request to another server, or lets it wait for one. It gives the request
// up if a planned stop, the route's MaxAttempts, the request's content or the retry budget
// forbids another attempt, or if no answer is expected in time. A request whose attempts
// all ended as NotSent needs no budget.
func (s *state) retry(r *request, reason Reason) {
	switch {
	case !s.mayStart(r):
		s.giveUp(r, ReasonStopping)
	case r.attempts >= max(r.route.MaxAttempts, 1), s.suspects.refuses(s.now, r.fingerprint):
		s.giveUp(r, reason)
	default:
		s.place(r, reason)
	}
}

// giveUp ends a request. It returns a server's error response if there is one, and
// otherwise says whether the request may have run.
func (s *state) giveUp(r *request, reason Reason) {
	switch {
	case r.hasErrorResponse:
		s.forget(r)
		s.emit(ReturnResponse{ID: r.id})
	case r.mayHaveRun:
		s.forget(r)
		s.emit(Fail{ID: r.id, Reason: reason})
	default:
		s.refuse(r, reason)
	}
}

// takeRetry takes a retry from the budget of the service. It returns false if a part of the
// budget is used up.
func (s *state) takeRetry(r *request, part float64) bool {
	n := float64(max(len(s.entryVMNames), 1))

	return s.retryBudget(r.service).allowRetry(s.now, part*s.settings.RetryRatio, part*s.settings.RetryAllowance/n)
}

// recordOutcome updates what is known about the server, the route and the request's
// content.
func (s *state) recordOutcome(r *request, a attempt, e AttemptEnded) {
	srv := a.server
	if e.Outcome == Answered || e.Outcome == Unknown {
		s.residenceTimes[r.route.Name] = s.residenceTimes[r.route.Name].With(float64(max(s.now-a.sentAt-s.roundTrip(srv.Region), 0)), residenceAlpha)
	}
	if e.DialTook > 0 {
		if old, ok := s.roundTrips[srv.Region]; !ok || e.DialTook < old {
			s.roundTrips[srv.Region] = e.DialTook
		}
	}
	if load, ok := e.Load.Get(); ok {
		srv.reportedSlowdown, srv.slowdownReportedAt = load.Slowdown, s.now
	}
	s.countRefusal(srv, e)
	s.extendCold(srv, e.ColdFor)
	s.recordNotice(srv, e.Leaving, e.PauseFor)
	if e.Outcome == Unknown && !e.TimedOut && !e.OtherInstance {
		s.suspects.recordLoss(s.now, r.fingerprint, srv.incarnation, true)
	} else if e.Outcome == Answered {
		s.suspects.clear(r.fingerprint)
	}
	switch {
	case e.OtherInstance:
		srv.Leaving = true
		s.emit(LogServerState{Server: srv.ID, State: "gone", Cause: "another server has its address"})
	case e.Outcome == NotRun && e.showsFreeSlots(srv):
		srv.recordRefusal(s.now)
	case e.Outcome == NotRun:
		// By then the server has probably completed one of its requests.
		pause := time.Duration(srv.slowdown(s.now) * float64(s.residenceTime(r)) / float64(max(srv.Slots, 1)))
		srv.avoidUntil = max(srv.avoidUntil, s.now+max(pause, minProcessingTime))
	case e.Outcome == NotSent, e.Outcome == Unknown && !e.TimedOut:
		s.spillover.liftLimit(s.now + s.settings.FaultTime)
		srv.recordFailure(s.now)
		if e.Outcome == NotSent || srv.consecutiveFailures > 1 {
			srv.needsProbe = true
		}
		s.emit(LogServerState{Server: srv.ID, State: "avoided", Cause: "an attempt got no answer"})
	case e.Outcome == Answered && e.Status >= minServerErrorStatus && e.Status != statusGatewayTimeout:
		if srv.failureShare = srv.failureShare.With(1, failureAlpha); srv.failsOften() {
			srv.avoidUntil = max(srv.avoidUntil, s.now+minBackoff)
		}
	case e.Outcome == Answered:
		srv.recordSuccess()
		// A request that was sent before the pause says nothing about what the server takes now.
		srv.needsTrial = srv.needsTrial && a.sentAt < srv.pausedUntil
		s.recordProcessingTime(r, a)
	}
}

// showsFreeSlots reports whether the server said in the response that it has free slots.
func (e AttemptEnded) showsFreeSlots(srv *server) bool {
	load, ok := e.Load.Get()

	return ok && load.RunningRequests < srv.Slots && load.WaitingRequests == 0
}

// recordProcessingTime compares the time of a response with the typical time of its
// route and rank. Then it updates the typical time.
func (s *state) recordProcessingTime(r *request, a attempt) {
	srv, k := a.server, s.timesRank(r, a.server)
	took := max(s.now-a.sentAt-s.roundTrip(srv.Region), 0)
	if typicalTime := s.typicalTime(r, k); typicalTime > 0 {
		srv.measuredSlowdown = srv.measuredSlowdown.With(min(float64(took)/float64(typicalTime), maxSlowdownSample), slowdownAlpha)
	}
	times := s.typicalTimes(r)
	times.byRank[k] = times.byRank[k].With(float64(took), typicalPercentile, typicalStep)
	times.lateByRank[k] = times.lateByRank[k].With(float64(took), latePercentile, lateStep)
	if h := s.hedgesOf(r.service); h != nil && a.lateAt > 0 {
		h.recordLate(s.now > a.lateAt)
	}
}

// extendCold prolongs the cold time of a server if the server says how long it stays
// cold.
func (s *state) extendCold(srv *server, cold option.Option[time.Duration]) {
	if coldFor, ok := cold.Get(); ok {
		srv.coldUntil = max(srv.coldUntil, s.now+coldFor)
	}
}
