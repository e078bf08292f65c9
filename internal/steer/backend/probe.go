package backend

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// probeInterval is the time between probes of one backend server from one
	// availability zone; a probe costs the server about 6 ms.
	probeInterval = 2 * time.Second
	// failedProbesUntilDown is the number of failed probes in a row after which a
	// server is down. A single probe may fail because a straggler answers late.
	failedProbesUntilDown = 2
	// maxReportPeers is the largest number of entries to which a load report with an
	// unchanged leaving mark is sent. A report of a changed leaving mark or
	// reachability is sent to every live entry of the availability zone.
	maxReportPeers = 4
)

// assignProbes decides by rendezvous hash which backend servers this entry
// probes for its availability zone.
func (t *serverTable) assignProbes() {
	for _, s := range t.ordered {
		s.probeHere = true
		ownWeight := rendezvous.Weight(s.name, t.settings.Self.VM)
		for _, peer := range t.peers {
			if rendezvous.Weight(s.name, peer.Member.VM) > ownWeight {
				s.probeHere = false

				break
			}
		}
	}
	t.nextProbe = 0
}

// startProbes returns the probes that are due.
func (t *serverTable) startProbes(now time.Duration) []event.Effect {
	if now < t.nextProbe {
		return nil
	}
	t.nextProbe = now + probeInterval
	var effects []event.Effect
	for _, s := range t.ordered {
		if !s.probeHere {
			continue
		}
		if now >= s.nextProbe {
			s.nextProbe = now + probeInterval
			effects = append(effects, event.ProbeBackend{Backend: s.name})
		}
		t.nextProbe = min(t.nextProbe, s.nextProbe)
	}

	return effects
}

// probeEnded records the result of a probe and tells the peers when the server
// went down or came back.
func (t *serverTable) probeEnded(e event.ProbeEnded) []event.Effect {
	s, ok := t.servers[e.Backend]
	if !ok {
		return nil
	}
	if t.setReachable(e.Time(), s, e.OK) {
		return t.sendReport(&peerpb.BackendReport{Backend: s.name, Reachable: e.OK, Leaving: s.marks.loadReport}, true)
	}

	return nil
}

// setReachable records the result of a probe, or the reachability that another entry
// reported, and reports whether the server went down or came back.
func (t *serverTable) setReachable(now time.Duration, s *server, ok bool) bool {
	if ok {
		s.probeFailures = 0
		changed := s.down
		s.down = false

		return changed
	}
	s.probeFailures++
	if s.probeFailures < failedProbesUntilDown || s.down {
		return false
	}
	s.down, s.cold = true, true
	s.downUntil = now + maxBackoff
	s.recordFailure(now, t.random.Float64())

	return true
}

// loadReported records a server's load report and sends the report to peers.
func (t *serverTable) loadReported(e event.LoadReported) []event.Effect {
	s, ok := t.servers[e.Backend]
	if !ok {
		return nil
	}
	changed := s.marks.loadReport != e.Leaving
	s.recordLoadReport(e.Time(), e.InFlight, e.Leaving)

	return t.sendReport(&peerpb.BackendReport{
		Backend:   s.name,
		Reachable: !s.down,
		InFlight:  uint32(max(0, e.InFlight)),
		Slots:     uint32(max(0, e.Slots)),
		Leaving:   e.Leaving,
	}, changed)
}

// recordLoadReport records the in-flight count and the leaving mark of a report.
func (s *server) recordLoadReport(now time.Duration, inFlight int, leaving bool) {
	s.marks.loadReport = leaving
	s.loadReport = loadReport{at: now, valid: true, inFlight: inFlight, ownInFlight: s.inFlight}
}

// sendReport sends a report to other live entries of this availability zone: to all
// of them if changed is true, otherwise to at most maxReportPeers.
func (t *serverTable) sendReport(report *peerpb.BackendReport, changed bool) []event.Effect {
	peers := t.peers
	if !changed && len(peers) > maxReportPeers {
		peers = peers[:maxReportPeers]
	}
	message := &peerpb.Message{Kind: &peerpb.Message_BackendReports{
		BackendReports: &peerpb.BackendReports{Reports: []*peerpb.BackendReport{report}},
	}}
	effects := make([]event.Effect, 0, len(peers))
	for _, peer := range peers {
		effects = append(effects, event.SendToPeer{
			To: peer.Member, Address: peer.PeerAddress, Messages: []*peerpb.Message{message},
		})
	}

	return effects
}

// backendReportsReceived records the reports of another entry.
func (t *serverTable) backendReportsReceived(now time.Duration, reports *peerpb.BackendReports) {
	for _, r := range reports.GetReports() {
		s, ok := t.servers[r.GetBackend()]
		if !ok {
			continue
		}
		if !r.GetReachable() && !s.down {
			// The sender has counted the failed probes, so its report alone makes the
			// server down.
			s.probeFailures = failedProbesUntilDown - 1
		}
		t.setReachable(now, s, r.GetReachable())
		s.recordLoadReport(now, int(r.GetInFlight()), r.GetLeaving())
	}
}
