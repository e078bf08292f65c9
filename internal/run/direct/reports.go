package direct

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/steer/relay"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

const (
	// baseReportInterval is the interval of reports and digests in regions of up to
	// maxSmallRegion entry VMs. In larger regions the interval is twice as long,
	// because each report changes the sum of the region less.
	baseReportInterval = 50 * time.Millisecond
	maxSmallRegion     = 16
	// otherRegionsEvery limits the digests to other regions: in a region of more than
	// maxSmallRegion entry VMs, only one of otherRegionsEvery digests also goes there.
	otherRegionsEvery = 3
	// In a region of more than maxSmallRegion entry VMs, an idle one sends only one of
	// idleReportsEvery reports. The relay sends it the counts of requests in flight only
	// when it is no longer idle, the other sums in one of idleSummaryEvery digests and at
	// most every idleForwardInterval for another region, and between them only the state of
	// the tables, which also shows that the relay is running.
	idleReportsEvery    = 3
	idleSummaryEvery    = 8
	idleForwardInterval = 700 * time.Millisecond
	// idleAfter is the time without a request from a caller after which an entry VM is
	// idle. Its next request ends that at once.
	idleAfter = 2 * time.Second
	// maxReportAge is the age from which digests no longer include a report.
	maxReportAge = 800 * time.Millisecond
	// maxSentLoads is the number of own reports whose loads are kept. A digest never lags
	// that many reports behind.
	maxSentLoads = 32
)

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	gossip.Report

	receivedAt time.Duration
}

// sentLoads is a ring buffer of the loads in the newest own reports. The field sequence
// is the sequence number of the newest report, and first that before the first one.
type sentLoads struct {
	first    uint32
	sequence uint32
	loads    [maxSentLoads]steer.Report
}

// add stores the load of the next own report and returns its sequence number.
func (s *sentLoads) add(r steer.Report) uint32 {
	s.sequence++
	s.loads[s.sequence%maxSentLoads] = r

	return s.sequence
}

// at returns the load of the own report with the given sequence number, and whether
// that load is still kept.
func (s *sentLoads) at(sequence uint32) (steer.Report, bool) {
	known := sequence > s.first && sequence <= s.sequence && s.sequence-sequence < maxSentLoads

	return s.loads[sequence%maxSentLoads], known
}

// reportLoop sends reports at intervals until ctx ends, and digests while this entry VM is
// the relay of its region.
func (p *Process) reportLoop(ctx context.Context) {
	var lastReport time.Duration
	reports, digests := 0, 0
	for now := range p.clock.Subscribe(ctx, baseReportInterval) {
		size := p.peers.regionSize()
		if now-lastReport < minReportInterval(size) {
			continue
		}
		lastReport = now
		reports++
		if size > maxSmallRegion && reports%idleReportsEvery != 0 && p.isIdle() && !p.isRelay() {
			continue
		}
		if !p.sendReport() {
			continue
		}
		digests++
		scopeForIdle := gossip.ScopeTables
		if digests%idleSummaryEvery == 0 {
			scopeForIdle = gossip.ScopeSummary
		}
		p.sendDigest(size <= maxSmallRegion || digests%otherRegionsEvery == 0, scopeForIdle)
	}
}

// minReportInterval returns the shortest time between two reports in a region whose
// number of entry VMs is size. 0 means a report at every tick.
func minReportInterval(size int) time.Duration {
	if size > maxSmallRegion {
		// Allows for ticks that come a little early or late.
		return 2*baseReportInterval - baseReportInterval/5
	}

	return 0
}

// reportNow reports a change to the other entry VMs without waiting for the interval.
func (p *Process) reportNow() {
	if p.sendReport() {
		p.sendDigest(true, gossip.ScopeTables)
	}
}

// isIdle reports whether no caller has sent a request for idleAfter.
func (p *Process) isIdle() bool {
	return p.clock.Now()-time.Duration(p.lastRequestAt.Load()) > idleAfter
}

// noteRequest records a request of a caller. If the entry VM was idle, it reports at once
// that it is not any more, so that it soon learns the requests in flight of the others.
func (p *Process) noteRequest() {
	wasIdle := p.isIdle()
	p.lastRequestAt.Store(int64(p.clock.Now()))
	if wasIdle {
		p.reportNow()
	}
}

// isRelay reports whether this entry VM was the relay of its region at its last report.
func (p *Process) isRelay() bool {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()

	return p.peers.currentRelay == p.self.Name
}

// sendReport sends this entry VM's report to the relay of the region and the relay's
// stand-in. It returns whether this entry VM is the relay.
func (p *Process) sendReport() bool {
	now, sentAt := p.clock.Now(), proof.NewMoment(p.clock.Now(), p.clock.Wall())
	p.mu.Lock()
	load := p.state.Report()
	p.mu.Unlock()
	r := gossip.Report{Name: p.self.Name, Ready: p.Ready(), Busy: p.busy.Load(), Idle: p.isIdle(), Tables: p.ownTables(), Load: loadOf(load), QuotaEra: p.quotas.era(now)}
	p.peers.mu.Lock()
	relayName, standIn := p.peers.ownElection.RelayAndStandIn(now, p.peers.relayOrders[p.self.Region])
	relayChanged := relayName != p.peers.currentRelay
	p.peers.currentRelay = relayName
	r.Sequence = p.peers.sent.add(load)
	p.peers.journal.Sent(r.Sequence, sentAt)
	p.peers.reports[p.self.Name] = receivedReport{Report: r, receivedAt: now}
	var to []netip.AddrPort
	for _, name := range []string{relayName, standIn} {
		if address, ok := p.peers.reportAddress(name); ok {
			to = append(to, address)
		}
	}
	p.peers.mu.Unlock()
	if relayChanged {
		p.log.Info("relay of the region changed", zap.String("entry", relayName), zap.String("stand-in", standIn))
	}
	p.send(gossip.Message{Report: &r}, to)

	return relayName == p.self.Name
}

// ownTables describes this entry VM's copies of tables for its report.
func (p *Process) ownTables() map[string]gossip.TableState {
	tables := make(map[string]gossip.TableState, len(p.mirrors))
	for name, m := range p.mirrors {
		version, ok := m.Version()
		if !ok {
			continue
		}
		t := gossip.TableState{Era: version.Era, Revision: version.Revision, Failing: m.Failing()}
		if read, ok := m.OwnRead(); ok {
			t.Reading = &gossip.Reading{
				Era: read.Version.Era, Revision: read.Version.Revision, AgeMillis: read.Age.Milliseconds(), Marks: read.Marks, Shown: read.Shown.Revision,
			}
		}
		tables[name] = t
	}

	return tables
}

// sendDigest sums the reports of the region in a digest, and passes the sum without the
// own report to the reducer. It sends the digest to the other entry VMs of the region,
// with scopeForIdle to the idle ones. If toOtherRegions is true, it also sends the digest
// to the relays of the other regions and their stand-ins.
func (p *Process) sendDigest(toOtherRegions bool, scopeForIdle gossip.Scope) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	d := p.peers.digest(now)
	others := p.peers.withoutOwn(reportOf(d.Region, d.Load), d.Members)
	to, idle := p.peers.sameRegion()
	if toOtherRegions {
		to = append(to, p.peers.otherRegionRelays(now)...)
	}
	p.peers.mu.Unlock()
	p.apply(steer.PeerReported{At: steer.At(now), Peer: d.Region, Report: others})
	p.send(gossip.Message{Digest: d}, to)
	p.sendScoped(*d, scopeForIdle, idle)
}

// sendScoped sends a part of a digest to entry VMs.
func (p *Process) sendScoped(d gossip.Digest, scope gossip.Scope, to []netip.AddrPort) {
	if len(to) > 0 {
		scoped := d.WithScope(scope)
		p.send(gossip.Message{Digest: &scoped}, to)
	}
}

// send sends a message to entry VMs. A lost message is not repeated, because the next
// message replaces it.
func (p *Process) send(m gossip.Message, to []netip.AddrPort) {
	if err := p.bus.Send(m, to); err != nil {
		p.log.Debug("a report was not sent", zap.Error(err))
	}
}

// regionSize returns the number of entry VMs in the own region, this one included.
func (ps *peers) regionSize() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	return len(ps.relayOrders[ps.self.Region])
}

// sameRegion returns the report addresses of the other entry VMs of the own region,
// those of idle ones apart. In a region of more than maxSmallRegion entry VMs, an entry VM
// counts as idle if its last report says so, or if there is no report of it. Callers hold
// ps.mu.
func (ps *peers) sameRegion() (active, idle []netip.AddrPort) {
	large := len(ps.relayOrders[ps.self.Region]) > maxSmallRegion
	for name, other := range ps.byName {
		if other.Region != ps.self.Region {
			continue
		}
		if report, ok := ps.reports[name]; large && (!ok || report.Idle) {
			idle = append(idle, other.Reports)
		} else {
			active = append(active, other.Reports)
		}
	}

	return active, idle
}

// otherRegionRelays returns the report addresses of the relays of the other regions and
// their stand-ins. Callers hold ps.mu.
func (ps *peers) otherRegionRelays(now time.Duration) []netip.AddrPort {
	var to []netip.AddrPort
	for region, order := range ps.relayOrders {
		if region == ps.self.Region {
			continue
		}
		relayName, standIn := ps.election(region).RelayAndStandIn(now, order)
		for _, name := range []string{relayName, standIn} {
			if address, ok := ps.reportAddress(name); ok {
				to = append(to, address)
			}
		}
	}

	return to
}

// election returns the election of another region's relay. Callers hold ps.mu.
func (ps *peers) election(region string) *relay.Election {
	if ps.otherElections[region] == nil {
		ps.otherElections[region] = relay.New("")
	}

	return ps.otherElections[region]
}

// digest sums the reports of the region and forgets reports that are too old. Callers
// hold ps.mu.
func (ps *peers) digest(now time.Duration) *gossip.Digest {
	d := &gossip.Digest{Name: ps.self.Name, Region: ps.self.Region, Tables: map[string]gossip.TableState{}}
	if ps.marking {
		d.Mark = ps.journal.Make(d.Region)
		ps.journal.Listed(d.Mark, ps.sent.sequence)
	}
	var loads []steer.Report
	for name, r := range ps.reports {
		if now-r.receivedAt >= maxReportAge {
			delete(ps.reports, name)

			continue
		}
		loads = append(loads, reportOf(ps.self.Region, r.Load))
		member := gossip.Member{Key: steer.Key(name), Sequence: r.Sequence, Ready: r.Ready, Busy: r.Busy}
		for table, t := range r.Tables {
			if t.Failing {
				member.Failing = append(member.Failing, table)
			}
			d.Tables[table] = withNewerReading(d.Tables[table], t, now-r.receivedAt)
		}
		d.Members = append(d.Members, member)
		if r.QuotaEra > 0 && (d.QuotaHolder == nil || d.QuotaHolder.Era < r.QuotaEra) {
			d.QuotaHolder = &gossip.QuotaHolder{Name: name, Era: r.QuotaEra}
		}
	}
	for table, t := range d.Tables {
		// A receiver copies the table from the relay, so it needs the version of the
		// relay's copy, whatever the others have read.
		own := ps.reports[ps.self.Name].Tables[table]
		t.Era, t.Revision = own.Era, own.Revision
		d.Tables[table] = t
	}
	d.Load = loadOf(steer.SumReports(ps.self.Region, loads))

	return d
}

// withNewerReading returns t with the more recent of two Readings: that of t and that
// of reported. The state in reported was received reportAge ago, so its Reading is
// older by reportAge than it says.
func withNewerReading(t, reported gossip.TableState, reportAge time.Duration) gossip.TableState {
	if reported.Reading == nil {
		return t
	}
	reading := *reported.Reading
	reading.AgeMillis += reportAge.Milliseconds()
	if t.Reading == nil || reading.AgeMillis < t.Reading.AgeMillis {
		t.Reading = &reading
	}

	return t
}

// received handles a message of another entry VM.
func (p *Process) received(m gossip.Message, from netip.AddrPort) {
	now := p.clock.Now()
	if m.Report != nil {
		p.receivedReport(now, *m.Report, from)
	}
	if m.Digest != nil {
		p.receivedDigest(now, *m.Digest, from)
	}
	if m.QuotaRequest != nil {
		p.receivedQuotaRequest(now, *m.QuotaRequest, from)
	}
	if m.QuotaGrant != nil {
		p.receivedQuotaGrant(now, *m.QuotaGrant, from)
	}
}

// receivedReport stores the report of an entry VM of the own region, and copies the
// tables of which that entry VM has newer copies.
func (p *Process) receivedReport(now time.Duration, r gossip.Report, from netip.AddrPort) {
	p.peers.mu.Lock()
	sender, ok := p.peers.byName[r.Name]
	if !ok || sender.Region != p.self.Region {
		p.peers.mu.Unlock()

		return
	}
	sender.lastSeen, sender.ready, sender.busy = now, r.Ready, r.Busy
	_, reporting := p.peers.reports[r.Name]
	p.peers.reports[r.Name] = receivedReport{Report: r, receivedAt: now}
	p.peers.mu.Unlock()
	if !reporting {
		p.log.Info("entry VM reports", zap.String("entry", r.Name), zap.Stringer("address", from))
	}
	p.heardQuotaHolder(now, r.Name, r.QuotaEra)
	p.copyNewerTables(r.Tables, from.Addr())
}

// receivedDigest applies the digest of a region, and copies the tables of which the
// relay that made the digest has newer copies. If this entry VM is the relay of its
// region, it forwards the digests of other regions to the other entry VMs of its
// region. A forwarded digest does not come from the address of the relay that made it,
// so no tables are copied from that address.
func (p *Process) receivedDigest(now time.Duration, d gossip.Digest, from netip.AddrPort) {
	p.peers.mu.Lock()
	sender, ok := p.peers.byName[d.Name]
	if !ok || sender.Region != d.Region {
		p.peers.mu.Unlock()

		return
	}
	sameRegion, fromSender := d.Region == p.self.Region, sender.Reports.Addr() == from.Addr().Unmap()
	election := p.peers.ownElection
	if !sameRegion {
		election = p.peers.election(d.Region)
	}
	accepted := election.Accepts(now, d.Name, p.peers.relayOrders[d.Region])
	election.Heard(now, d.Name)
	p.peers.recordMembers(now, d.Members)
	if d.Mark != 0 {
		p.peers.recordMark(d, accepted)
	}
	load := reportOf(d.Region, d.Load)
	if sameRegion {
		load = p.peers.withoutOwn(load, d.Members)
	}
	var forwardTo, forwardIdle []netip.AddrPort
	scopeForIdle := gossip.ScopeTables
	if !sameRegion && fromSender && p.peers.currentRelay == p.self.Name {
		forwardTo, forwardIdle = p.peers.sameRegion()
		if now-p.peers.idleForwardedAt[d.Region] >= idleForwardInterval {
			p.peers.idleForwardedAt[d.Region] = now
			scopeForIdle = gossip.ScopeSummary
		}
	}
	p.peers.mu.Unlock()
	if accepted && d.Scope != gossip.ScopeTables {
		p.apply(steer.PeerReported{At: steer.At(now), Peer: d.Region, Report: load})
	}
	if d.QuotaHolder != nil {
		p.heardQuotaHolder(now, d.QuotaHolder.Name, d.QuotaHolder.Era)
	}
	if len(forwardTo) > 0 {
		p.send(gossip.Message{Digest: &d}, forwardTo)
	}
	p.sendScoped(d, scopeForIdle, forwardIdle)
	if fromSender {
		p.copyNewerTables(d.Tables, from.Addr())
	} else {
		p.noteStoreReads(d.Tables)
	}
}

// recordMembers records the state of the entry VMs whose reports a digest includes.
// Callers hold ps.mu.
func (ps *peers) recordMembers(now time.Duration, members []gossip.Member) {
	for _, m := range members {
		if other, ok := ps.byKey[m.Key]; ok {
			other.lastSeen, other.ready, other.busy, other.failingTables = now, m.Ready, m.Busy, set.New(m.Failing...)
		}
	}
}

// recordMark records the mark of a received digest, and whether it includes an own report.
// Readings tell the mark only if the digest is accepted as that of its region. Callers hold
// ps.mu.
func (ps *peers) recordMark(d gossip.Digest, accepted bool) {
	if accepted {
		ps.journal.Received(d.Region, d.Mark)
	}
	own := steer.Key(ps.self.Name)
	for _, m := range d.Members {
		if m.Key == own && d.Region == ps.self.Region {
			ps.journal.Listed(d.Mark, m.Sequence)
		}
	}
}

// withoutOwn subtracts this entry VM's own load from sum, the load in a digest of the
// own region. The parameter members lists the reports that the digest includes.
// withoutOwn returns the whole sum if there is no own report among them or its load is
// no longer kept. Callers hold ps.mu.
func (ps *peers) withoutOwn(sum steer.Report, members []gossip.Member) steer.Report {
	own := steer.Key(ps.self.Name)
	for _, m := range members {
		if m.Key != own {
			continue
		}
		if sent, ok := ps.sent.at(m.Sequence); ok {
			return sum.Without(sent)
		}
	}

	return sum
}

// loadOf returns the load of a report in the form that is sent.
func loadOf(r steer.Report) gossip.Load {
	return gossip.Load{InFlight: r.InFlight, Demand: r.Demand, Suspects: r.Suspects, Lost: r.Lost, Leaving: r.Leaving, Waiting: r.Waiting}
}

// reportOf returns a received load as a report to the reducer.
func reportOf(region string, l gossip.Load) steer.Report {
	return steer.Report{InFlight: l.InFlight, Demand: l.Demand, Suspects: l.Suspects, Lost: l.Lost, Leaving: l.Leaving, Waiting: l.Waiting, Region: region}
}
