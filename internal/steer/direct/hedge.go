package direct

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// This file decides when a request that may be repeated is sent to a second server while the
// first still works at it: a hedge. The first complete answer wins. Hedges are for single
// answers that are far later than the rest, so none is sent when many are late: then the
// servers have too much work, and more work helps nobody.

const (
	// latePercentile is the percentile of the measured times of a route and rank after which
	// an attempt is late. lateStep is the step argument of ewma.Percentile.With.
	latePercentile = 95
	lateStep       = 0.04
	// minLateAnswers is the number of answers from which on latePercentile is used.
	minLateAnswers = 50
	// hedgeWindow is the window for which the operators state a share of hedges.
	hedgeWindow = 10 * time.Second
	// hedgeRetryPart is the part of the retry budget that hedges may use. The rest is for
	// requests that have no server.
	hedgeRetryPart = 0.5
	// lateAlpha is the weight of one attempt in the share of late attempts of a service, and
	// maxLateShare the share from which on the service as a whole counts as slow. One attempt
	// in twenty is late by definition; four late ones in a row reach maxLateShare.
	lateAlpha    = 0.05
	maxLateShare = 0.2
	// wonAlpha is the weight of one hedge in the share of a route's hedges that were answered
	// first, which begins at firstWonShare. Below minWonShare the late requests of the route
	// take as long at any server, and one hedge in each hedgeWindow shows whether they still do.
	wonAlpha      = 0.05
	firstWonShare = 0.3
	minWonShare   = 0.05
	// maxHedgePrice is the slot price above which slots are scarce: then a hedge would make
	// others wait for longer than it takes itself.
	maxHedgePrice = 1.0
)

// HedgeShares bounds the extra work of hedges, as hedges relative to requests. In each
// hedgeWindow an entry VM sends at most share x requests + 1 hedges for a service. Without
// any share there are no hedges.
type HedgeShares struct {
	// Default holds for the services that are not in ByService.
	Default   float64
	ByService map[string]float64
}

func (h HedgeShares) of(service string) float64 {
	if share, ok := h.ByService[service]; ok {
		return share
	}

	return h.Default
}

// Late says why a hedge was sent.
type Late struct {
	// After is the time after which the first attempt was late. Share is the share of the
	// service's latest attempts that were late, and DemandRatio the demand for the service
	// relative to its slots.
	After              time.Duration
	Share, DemandRatio float64
}

// hedges counts the requests and hedges for one service.
type hedges struct {
	budget retryBudget
	// roundUp is added to the bound before it is rounded down. It differs among entry VMs,
	// so that many with few requests each send the stated share of hedges together.
	roundUp float64
	// lateShare is the share of the latest attempts that were late.
	lateShare float64
}

// hedgesOf returns the counts for a service, nil if operators allow no hedges for it.
func (s *state) hedgesOf(service string) *hedges {
	if s.settings.HedgeShares.of(service) <= 0 {
		return nil
	}

	return getOrCreate(s.hedges, service, func() *hedges {
		return &hedges{budget: retryBudget{bucketWidth: hedgeWindow / budgetBuckets}, roundUp: fraction(rendezvous.Weight(service, s.settings.Name))}
	})
}

// moveShare returns a share after one more attempt, which counts for it or not.
func moveShare(share float64, counts bool, alpha float64) float64 {
	if counts {
		return share + alpha*(1-share)
	}

	return share - alpha*share
}

// recordLate records whether an attempt was late.
func (h *hedges) recordLate(late bool) {
	h.lateShare = moveShare(h.lateShare, late, lateAlpha)
}

// hedgeTrial says whether the hedges of a route are worth their work.
type hedgeTrial struct {
	// wonShare is the share of the hedges that were answered first. nextAt is when the next
	// one may be sent although few were.
	wonShare float64
	nextAt   time.Duration
}

func (s *state) hedgeTrial(r *request) *hedgeTrial {
	return getOrCreate(s.hedgeTrials, r.route.Name, func() *hedgeTrial { return &hedgeTrial{wonShare: firstWonShare} })
}

// recordHedge records whether the hedge of a request was answered first.
func (s *state) recordHedge(r *request, won bool) {
	trial := s.hedgeTrial(r)
	trial.wonShare = moveShare(trial.wonShare, won, wonAlpha)
}

// lateAt returns when the first attempt of a request is late, 0 if it gets no hedge then.
func (s *state) lateAt(r *request, srv *server) time.Duration {
	// A hedge would run a customer's request twice on one token of its limit.
	if !r.route.Idempotent || r.customer.Limit.IsSet() || r.route.MaxAttempts < 2 || len(r.triedServers) > 0 || s.hedgesOf(r.service) == nil {
		return 0
	}
	late := s.typicalTimes(r).lateByRank[s.timesRank(r, srv)]
	if late.Count() < minLateAnswers {
		return 0
	}
	after := max(time.Duration(late.Value()), minProcessingTime) + s.roundTrip(srv.Region)
	if !s.fits(r, after+s.typicalTime(r, secondRank)) {
		return 0
	}

	return s.now + after
}

// hedgeDue sends a request whose first attempt is late to a second server, if the limits and
// the servers allow it.
func (s *state) hedgeDue(id RequestID) {
	r, ok := s.requests[id]
	if !ok || len(r.inFlight) != 1 || r.inFlight[0].lateAt == 0 || s.now < r.inFlight[0].lateAt {
		return
	}
	h := s.hedgesOf(r.service)
	if h == nil {
		return
	}
	first := &r.inFlight[0]
	after := first.lateAt - first.sentAt
	first.lateAt = 0
	h.recordLate(true)
	if !s.mayHedge(r, h) {
		return
	}
	trial := s.hedgeTrial(r)
	if trial.wonShare < minWonShare && s.now < trial.nextAt {
		return
	}
	srv := s.hedgeServer(r)
	share := s.settings.HedgeShares.of(r.service)
	if srv == nil || !h.budget.fits(s.now, share, h.roundUp) || !s.takeRetry(r, hedgeRetryPart) {
		return
	}
	h.budget.countRetry(s.now)
	trial.nextAt = s.now + hedgeWindow
	s.sendHedge(r, srv, Late{After: after, Share: h.lateShare, DemandRatio: s.demandRatios[r.service]})
}

// mayHedge reports whether a request may be sent to a second server now, if there is one that
// takes it.
func (s *state) mayHedge(r *request, h *hedges) bool {
	_, isStopping := s.answerBy.Get()
	waiting := s.queues[r.service] != nil && len(s.queues[r.service].waiting) > 0

	return !isStopping && !waiting && h.lateShare < maxLateShare && s.slotPrices[r.service] <= maxHedgePrice &&
		s.suspects[r.fingerprint].lossesAt(s.now) == 0
}

// hedgeServer returns the server for a hedge, nil if none is good enough: a hedge does not
// wait for a slot, is no trial, and leaves its region only as far as others may.
func (s *state) hedgeServer(r *request) *server {
	srv := s.choose(r).server
	if srv == nil || !s.fits(r, r.wait+r.answerTime) || srv.isCold(s.now) || srv.needsTrial || srv.failsOften() {
		return nil
	}
	if srv.ownPortions+srv.peerPortions+s.slotPortions(r, srv) > srv.Slots*portionsPerSlot {
		return nil
	}
	if r.assignedRegion != "" && srv.Region != r.assignedRegion && !s.spillover.allowed(s.now, s.settings.MaxShift) {
		return nil
	}

	return srv
}

// cancelOthers ends the attempts of a request that was answered by another server.
func (s *state) cancelOthers(r *request) {
	for _, a := range r.inFlight {
		s.emit(Cancel{ID: r.id, Hedge: a.hedge})
		s.recordCancelled(r, a)
	}
	s.release(r, true)
}

// recordCancelled learns from an attempt that was cancelled. How long it has taken so far is
// less than its answer would have taken, so it counts as a time where it is above the
// estimate: an estimate only asks whether a time is above it. Without that, late answers would
// be missing from the estimates, and a slow server would keep its good name.
func (s *state) recordCancelled(r *request, a attempt) {
	took := float64(s.now - a.sentAt - s.roundTrip(a.server.Region))
	if took <= 0 {
		return
	}
	s.residenceTimes[r.route.Name] = s.residenceTimes[r.route.Name].With(took, residenceAlpha)
	k, times := s.timesRank(r, a.server), s.typicalTimes(r)
	if typicalTime := float64(s.typicalTime(r, k)); typicalTime > 0 {
		if sample := min(took/typicalTime, maxSlowdownSample); sample > max(a.server.measuredSlowdown.Value(), 1) {
			a.server.measuredSlowdown = a.server.measuredSlowdown.With(sample, slowdownAlpha)
		}
	}
	if took > times.byRank[k].Value() {
		times.byRank[k] = times.byRank[k].With(took, typicalPercentile, typicalStep)
	}
	if took > times.lateByRank[k].Value() {
		times.lateByRank[k] = times.lateByRank[k].With(took, latePercentile, lateStep)
	}
}
