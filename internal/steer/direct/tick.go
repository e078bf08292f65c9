package direct

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeEvery is the least time between two probes of one server by one entry.
	probeEvery = 700 * time.Millisecond
)

// serversKnown takes over the list of servers and keeps what was learned.
func (s *state) serversKnown(list []Server) {
	known := make(map[string]*server, len(list))
	s.byKey = make(map[uint32]*server, len(list))
	s.byService = map[string][]*server{}
	for _, next := range list {
		old, ok := s.servers[next.ID]
		if !ok || old.Started != next.Started || old.Address != next.Address {
			fresh := newServer(s.now, next)
			if ok {
				// A server that is back under its identity has one rate while it is cold.
				fresh.nextCold = old.nextCold
			}
			old = fresh
		} else {
			leaving := old.Leaving || next.Leaving
			if leaving && !old.Leaving {
				s.spill.disturb(s.now)
			}
			old.Server = next
			old.Leaving = leaving
			old.coldUntil = max(old.coldUntil, s.now+next.Cold)
		}
		known[next.ID] = old
		s.byKey[old.key] = old
		s.byService[next.Service] = append(s.byService[next.Service], old)
	}
	for id := range s.servers {
		if _, ok := known[id]; !ok {
			s.spill.disturb(s.now)
		}
	}
	s.servers = known
	s.countOthers()
	for service := range s.queues {
		s.dispatch(service)
	}
}

// peerReported replaces what is known of another entry VM's requests.
func (s *state) peerReported(e PeerReported) {
	if old, ok := s.peers[e.Peer]; ok {
		s.addOthers(old.Report, -1)
	}
	for fingerprint, lost := range e.Report.Suspects {
		if of, known := s.suspects[fingerprint]; !known || of.lost < lost {
			s.suspects.lose(s.now, fingerprint, lost)
		}
	}
	for _, key := range e.Report.Lost {
		// It may be back before its entry in the store tells so.
		if c, ok := s.byKey[key]; ok && s.intent != nil {
			c.coldUntil = max(c.coldUntil, s.now+s.intent.Services[c.Service].Warmup)
		}
	}
	s.peers[e.Peer] = peerReport{Report: e.Report, at: s.now}
	s.addOthers(e.Report, 1)
	for service, q := range s.queues {
		if len(q.waiting) > 0 {
			s.dispatch(service)
		}
	}
}

func (s *state) addOthers(r Report, sign int) {
	for key, n := range r.InFlight {
		if c, ok := s.byKey[key]; ok {
			c.others += sign * n
		}
	}
}

func (s *state) countOthers() {
	for _, c := range s.servers {
		c.others = 0
	}
	for _, p := range s.peers {
		s.addOthers(p.Report, 1)
	}
}

// tick forgets silent peers, moves the division among the regions and asks
// doubtful servers for their health.
func (s *state) tick() {
	for name, p := range s.peers {
		if s.now-p.at > reportLife {
			s.addOthers(p.Report, -1)
			delete(s.peers, name)
		}
	}
	elapsed := s.now - s.ticked
	s.ticked = s.now
	if elapsed <= 0 {
		return
	}
	s.suspects.forget(s.now)
	s.moveSpreads(elapsed)
	s.probeDoubtful()
	for service := range s.queues {
		s.dispatch(service)
	}
}

func (s *state) moveSpreads(elapsed time.Duration) {
	for service := range s.byService {
		d := s.demand(service)
		if d.slots.Count() > 0 || d.work > 0 {
			d.slots = d.slots.With(float64(d.work)/float64(elapsed), demandAlpha)
		}
		d.work = 0
		slots, demands := s.slotsOf(service), s.demandsOf(service, d)
		s.uses[service] = use(demands, slots)
		sp := entryOf(s.spreads, service, func() *spread { return &spread{} })
		if len(demands) == 0 || sp.parts == nil {
			sp.parts = divide(s.settings.Region, presumedDemands(slots), slots)

			continue
		}
		if goal := divide(s.settings.Region, demands, slots); goal != nil {
			sp.towards(goal, spreadPerSecond*elapsed.Seconds())
		}
	}
}

// slotsOf returns the slots that a service has in each region.
func (s *state) slotsOf(service string) map[string]float64 {
	slots := map[string]float64{}
	for _, c := range s.byService[service] {
		if !c.Leaving && !s.evacuated.Has(c.Zone) && (!c.doubtful || c.strikes < 2) {
			slots[c.Region] += float64(c.Slots)
		}
	}

	return slots
}

// demandsOf returns the slots that each region's callers ask of a service; it is
// empty before the first request.
func (s *state) demandsOf(service string, own *demand) map[string]float64 {
	demands := map[string]float64{}
	if own.slots.Count() > 0 {
		demands[s.settings.Region] = own.slots.Value()
	}
	// The order of a sum of fractions matters to its last digits, and so to tests.
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if n := p.Demand[service]; n > 0 {
			demands[p.Region] += n
		}
	}

	return demands
}

func (s *state) probeDoubtful() {
	if s.intent == nil {
		return
	}
	for _, c := range s.servers {
		if !c.doubtful || c.Leaving || c.probing || s.now < c.avoid || s.now < c.probeAt {
			continue
		}
		c.probing, c.probeAt = true, s.now+probeEvery
		s.emit(Probe{Server: c.Server, Path: s.intent.Services[c.Service].HealthPath})
	}
}

func (s *state) probeEnded(e ProbeEnded) {
	c, ok := s.servers[e.Server]
	if !ok {
		return
	}
	c.probing = false
	if !e.Healthy {
		// The second failure in a row: it is down, not just one connection.
		c.fail(s.now)
		c.lost = s.now + tellLost

		return
	}
	c.doubtful = false
	c.strikes = 0
	s.learnCold(c, e.Cold)
	s.emit(LogServerState{Server: c.ID, State: "usable", Cause: "its health check passed"})
	s.dispatch(c.Service)
}
