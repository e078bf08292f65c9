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
		d.tick(elapsed)
		slots, demands := s.slotsByRegion(service), s.demandByRegion(service, d)
		s.demandRatios[service] = demandRatio(demands, slots)
		s.ownShares[service] = s.ownShare(service)
		s.queue(service).updateDemands(elapsed, s.demandRatios[service])
		s.slotPrices[service] = slotPrice(s.demandRatios[service], slots)
		div := getOrCreate(s.divisions, service, func() *division { return &division{} })
		own := s.settings.Region
		if demands[own] <= 0 || div.shares == nil {
			div.shares = divide(own, assumedDemands(slots), slots, nil, 1)
		}
		if demands[own] <= 0 {
			div.joined = div.joined || s.hearsOwnRegion()

			continue
		}
		if !div.joined && d.slots.Count() == 0 {
			// The first requests of an entry VM that starts go where those of the others go.
			div.shares = s.regionGoal(service, div.shares)
		}
		div.joined = true
		worthwhile := s.worthwhileShare(service, d)
		if peak := d.holdPeak(demands[own], elapsed, s.networkTime()); s.demandRatios[service] < worthwhile {
			demands[own] = peak
		}
		div.demands, div.bound = demands, worthwhile
		if div.goal = divide(own, demands, slots, div.shares, worthwhile); div.goal != nil {
			div.moveTowards(s.regionGoal(service, div.goal), divisionChange(s.settings.MaxShift, elapsed))
		}
	}
}

// hearsOwnRegion reports whether another entry VM of the own region has reported.
func (s *state) hearsOwnRegion() bool {
	for _, p := range s.peers {
		if p.Region == s.settings.Region {
			return true
		}
	}

	return false
}

// ownGoal returns the shares of a service's requests that this entry VM would choose alone,
// nil while it knows none.
func (s *state) ownGoal(service string) map[string]float64 {
	if d, ok := s.divisions[service]; ok {
		return d.goal
	}

	return nil
}

// regionGoal returns the mean of the goals of the own region's entry VMs, weighted by their
// callers' demand; ownGoal is that of this entry VM. They measure different times, and would
// otherwise send the requests for one object to several regions. While another one still
// names a region that has no servers, regionGoal returns ownGoal.
func (s *state) regionGoal(service string, ownGoal map[string]float64) map[string]float64 {
	own := s.settings.Region
	var total float64
	if d := s.demand(service); d.slots.Count() > 0 {
		total = d.slots.Value()
	}
	goal := make(map[string]float64, len(ownGoal))
	for region, share := range ownGoal {
		goal[region] = share * total
	}
	for _, name := range sortedKeys(s.peers) {
		p := s.peers[name]
		if p.Region != own || p.Demand[service] <= 0 {
			continue
		}
		total += p.Demand[service]
		goal[own] += p.Demand[service]
		for _, region := range sortedKeys(p.Away[service]) {
			slots := p.Away[service][region]
			if _, ok := ownGoal[region]; !ok {
				return ownGoal
			}
			goal[region] += slots
			goal[own] -= slots
		}
	}
	if total <= 0 || goal[own] < 0 {
		return ownGoal
	}
	for region := range goal {
		goal[region] /= total
	}

	return goal
}

// networkTime returns by how much longer the network time to the nearest other region and back
// is than to servers of the own region, 0 while it is not known.
func (s *state) networkTime() time.Duration {
	own, nearest := s.settings.Region, time.Duration(0)
	for region, roundTrip := range s.roundTrips {
		if t := roundTrip - s.roundTrips[own]; region != own && (nearest == 0 || t < nearest) {
			nearest = t
		}
	}

	return max(nearest, 0)
}

// worthwhileShare returns the share of the slots of a service that can be in use in one
// region while it is not worth the network time to send requests to another.
func (s *state) worthwhileShare(service string, d *demand) float64 {
	if !d.sticky {
		return 1
	}
	slots := 0
	for _, srv := range s.byService[service] {
		slots += srv.Slots
	}

	return worthwhileShare(float64(slots)/float64(max(len(s.byService[service]), 1)), time.Duration(d.requestTime.Value()), s.networkTime())
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

// sendProbes sends a probe to each server that needs one and whose backoff has passed.
func (s *state) sendProbes() {
	if s.intent == nil {
		return
	}
	for _, service := range sortedKeys(s.byService) {
		for _, srv := range s.byService[service] {
			if !srv.needsProbe || srv.Leaving || srv.probing || s.now < max(srv.avoidUntil, srv.pausedUntil, srv.nextProbeAt) {
				continue
			}
			srv.probing, srv.nextProbeAt = true, s.now+probeInterval
			s.emit(Probe{Server: srv.Server, Path: s.intent.Services[service].HealthPath})
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
