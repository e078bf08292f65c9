package direct

import (
	"slices"
	"time"
)

const (
	// probeInterval is the least time between two probes of a server by the same entry VM.
	probeInterval = 700 * time.Millisecond
)

// serversChanged replaces the list of servers. It keeps what is known of each server
// that has not restarted.
func (s *state) serversChanged(list []Server) {
	byID := make(map[string]*server, len(list))
	s.byKey = make(map[uint32]*server, len(list))
	s.byService = map[string][]*server{}
	s.byRegion = map[serviceRegion][]*server{}
	for _, listed := range list {
		srv, ok := s.servers[listed.ID]
		if known, wasListed := s.unlisted[incarnationOf(listed)]; !ok && wasListed {
			srv, ok = known, true
		}
		if !ok || srv.StartedUnixMS != listed.StartedUnixMS || srv.Address != listed.Address {
			added := newServer(s.now, listed)
			if _, leaving := s.leavingElsewhere[added.incarnation]; leaving {
				added.saidLeaving, added.Leaving = true, true
			}
			if ok {
				// The rate limit of a cold server also holds across a restart under the same ID.
				added.nextColdSendAt = srv.nextColdSendAt
			}
			srv = added
		} else {
			leaving := srv.Leaving || listed.Leaving
			if leaving && !srv.Leaving {
				s.spillover.liftLimit(s.now + s.settings.FaultTime)
			}
			srv.Server = listed
			srv.Leaving = leaving
			srv.coldUntil = max(srv.coldUntil, s.now+listed.ColdFor)
		}
		srv.turns.refusals = getOrCreate(s.refusals, listed.Service, func() *refusals { return &refusals{} })
		delete(s.unlisted, srv.incarnation)
		byID[listed.ID] = srv
		s.byKey[srv.key] = srv
		s.byService[listed.Service] = append(s.byService[listed.Service], srv)
		inRegion := serviceRegion{listed.Service, listed.Region}
		s.byRegion[inRegion] = append(s.byRegion[inRegion], srv)
	}
	for id, srv := range s.servers {
		if _, ok := byID[id]; !ok {
			s.spillover.liftLimit(s.now + s.settings.FaultTime)
			// The result of a probe in flight finds no server.
			srv.unlistedAt, srv.probing = s.now, false
			s.unlisted[srv.incarnation] = srv
		}
	}
	s.servers = byID
	s.outside = make(map[serviceRegion][]*server, len(s.byRegion))
	for key := range s.byRegion {
		s.outside[key] = slices.DeleteFunc(slices.Clone(s.byService[key.service]), func(srv *server) bool { return srv.Region == key.region })
	}
	s.recountPeerPortions()
	for _, service := range sortedKeys(s.queues) {
		s.dispatchQueued(service)
	}
}

// peerReported replaces the last report from a source, and takes over the suspects and
// lost servers of the new report.
func (s *state) peerReported(e PeerReported) {
	if old, ok := s.peers[e.Peer]; ok {
		s.addPeerPortions(old.Report, -1)
	}
	for fingerprint, lost := range e.Report.Suspects {
		for _, incarnation := range lost {
			s.suspects.recordLoss(s.now, fingerprint, incarnation, false)
		}
	}
	for _, incarnation := range e.Report.Leaving {
		s.recordLeavingElsewhere(incarnation)
	}
	for _, key := range e.Report.Lost {
		// The server may be back, and cold, before the store lists its restart.
		if srv, ok := s.byKey[key]; ok && s.intent != nil {
			srv.coldUntil = max(srv.coldUntil, s.now+s.intent.Services[srv.Service].Warmup)
		}
	}
	s.contenders = nil
	s.peers[e.Peer] = peerReport{Report: e.Report, receivedAt: s.now}
	s.addPeerPortions(e.Report, 1)
	for _, service := range sortedKeys(s.queues) {
		if len(s.queues[service].waiting) > 0 {
			s.dispatchFreed(service)
		}
	}
}

// addPeerPortions adds the InFlight counts of a report to the peerPortions of the
// servers. With sign -1 it subtracts them.
func (s *state) addPeerPortions(r Report, sign int) {
	for key, n := range r.InFlight {
		if srv, ok := s.byKey[key]; ok {
			srv.peerPortions += sign * n
		}
	}
}

// recountPeerPortions computes peerPortions again from all reports.
func (s *state) recountPeerPortions() {
	for _, srv := range s.servers {
		srv.peerPortions = 0
	}
	for _, p := range s.peers {
		s.addPeerPortions(p.Report, 1)
	}
}

// tick removes expired reports and suspects, updates the divisions among the regions,
// and sends due probes and queued requests.
func (s *state) tick() {
	for name, p := range s.peers {
		if s.now-p.receivedAt > reportTTL {
			s.addPeerPortions(p.Report, -1)
			delete(s.peers, name)
			s.contenders = nil
		}
	}
	elapsed := s.now - s.lastTick
	s.lastTick = s.now
	if elapsed <= 0 {
		return
	}
	s.suspects.removeExpired(s.now)
	s.removeExpiredNotices()
	s.updateDivisions(elapsed)
	s.sendProbes()
	for _, service := range sortedKeys(s.queues) {
		s.dispatchQueued(service)
	}
	s.tellOwnPortions()
}

// updateDivisions updates the mean demand for each service, its demand ratio and the
// division of its requests among the regions.
func (s *state) updateDivisions(elapsed time.Duration) {
	for service := range s.byService {
		d := s.demand(service)
		if d.slots.Count() > 0 || d.requestedSlotTime > 0 {
			d.slots = d.slots.With(float64(d.requestedSlotTime)/float64(elapsed), demandAlpha)
		}
		d.requestedSlotTime = 0
		slots, demands := s.slotsByRegion(service), s.demandByRegion(service, d)
		s.demandRatios[service] = demandRatio(demands, slots)
		s.ownShares[service] = s.ownShare(service)
		s.queue(service).updateDemands(elapsed, s.demandRatios[service])
		s.slotPrices[service] = slotPrice(s.demandRatios[service], slots)
		div := getOrCreate(s.divisions, service, func() *division { return &division{} })
		if demands[s.settings.Region] <= 0 || div.shares == nil {
			div.shares = divide(s.settings.Region, assumedDemands(slots), slots)

			continue
		}
		if goal := divide(s.settings.Region, demands, slots); goal != nil {
			div.moveTowards(goal, divisionChange(s.settings.MaxShift, elapsed))
		}
	}
}

// slotsByRegion returns the slots of a service in each region. Servers that are
// leaving, paused, evacuated or down do not count.
func (s *state) slotsByRegion(service string) map[string]float64 {
	slots := map[string]float64{}
	for _, srv := range s.byService[service] {
		if !srv.Leaving && s.now >= srv.pausedUntil && !s.evacuatedZones.Has(srv.Zone) && (!srv.needsProbe || srv.consecutiveFailures < 2) {
			slots[srv.Region] += float64(srv.Slots)
		}
	}

	return slots
}

// demandByRegion returns the slots of a service that the requests of each region's callers
// need. A region's demand is missing until its entry VMs know how long a request takes.
func (s *state) demandByRegion(service string, own *demand) map[string]float64 {
	demands := map[string]float64{}
	if own.slots.Count() > 0 {
		demands[s.settings.Region] = own.slots.Value()
	}
	// A fixed order keeps the rounding of the sum, and so the tests, reproducible.
	for _, name := range sortedKeys(s.peers) {
		p := s.peers[name]
		if n := p.Demand[service]; n > 0 {
			demands[p.Region] += n
		}
	}

	return demands
}

// sendProbes sends a probe to each server that needs one and whose backoff has passed. Where
// the service has no health path, the backoff alone ends.
func (s *state) sendProbes() {
	if s.intent == nil {
		return
	}
	for _, service := range sortedKeys(s.byService) {
		for _, srv := range s.byService[service] {
			if !srv.needsProbe || srv.Leaving || srv.probing || s.now < max(srv.avoidUntil, srv.pausedUntil, srv.nextProbeAt) {
				continue
			}
			path := s.intent.Services[service].HealthPath
			if path == "" {
				srv.needsProbe = false
				s.emit(LogServerState{Server: srv.ID, State: "usable", Cause: "its service has no health path"})
				s.dispatchQueued(service)

				continue
			}
			srv.probing, srv.nextProbeAt = true, s.now+probeInterval
			s.emit(Probe{Server: srv.Server, Path: path})
		}
	}
}

// probeEnded lets a healthy server get requests again, and reports an unhealthy server
// as lost.
func (s *state) probeEnded(e ProbeEnded) {
	srv, ok := s.servers[e.Server]
	if !ok {
		return
	}
	srv.probing = false
	s.recordNotice(srv, e.Leaving, e.PauseFor)
	if !e.Healthy {
		// This failed probe follows a failed attempt: the server is down, not just one
		// connection.
		srv.recordFailure(s.now)
		srv.reportLostUntil = s.now + lostReportFor

		return
	}
	srv.needsProbe = false
	srv.consecutiveFailures = 0
	s.extendCold(srv, e.ColdFor)
	s.emit(LogServerState{Server: srv.ID, State: "usable", Cause: "its health check passed"})
	s.dispatchQueued(srv.Service)
}
