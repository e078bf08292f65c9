package direct

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/relay"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

const (
	// reportTick is the interval of reports and digests in regions of up to
	// reportRegion entry VMs; in larger ones it is twice as long, because each of them
	// changes less.
	reportTick   = 50 * time.Millisecond
	reportRegion = 16
	// farTicks is the number of digests of a region of which the others get one, when
	// the region has more than reportRegion entry VMs.
	farTicks = 3
	// reportsOld is the age from which a report is not part of a digest.
	reportsOld = 800 * time.Millisecond
	// sentKept is the number of own reports that are remembered, more than a relay
	// can be behind.
	sentKept = 32
)

// heardReport is a report and when it came.
type heardReport struct {
	gossip.Report

	at time.Duration
}

// sentLoads are the loads of the newest own reports, by their sequence.
type sentLoads struct {
	sequence uint32
	loads    [sentKept]steer.Report
}

func (s *sentLoads) add(r steer.Report) uint32 {
	s.sequence++
	s.loads[s.sequence%sentKept] = r

	return s.sequence
}

// at returns the load of an own report, if it is remembered.
func (s *sentLoads) at(sequence uint32) (steer.Report, bool) {
	known := sequence > 0 && sequence <= s.sequence && s.sequence-sequence < sentKept

	return s.loads[sequence%sentKept], known
}

// report tells the relays what this entry VM does, and as a relay tells the others
// what the region does, until ctx ends.
func (p *Process) report(ctx context.Context) {
	var last time.Duration
	digests := 0
	for now := range p.clock.Subscribe(ctx, reportTick) {
		size := p.peers.regionSize()
		if now-last < reportInterval(size) {
			continue
		}
		last = now
		if !p.reportOwn() {
			continue
		}
		digests++
		p.sendDigest(size <= reportRegion || digests%farTicks == 0)
	}
}

// reportInterval returns the time between two reports in a region of a size.
func reportInterval(size int) time.Duration {
	if size > reportRegion {
		// Ticks come a little early or late.
		return 2*reportTick - reportTick/5
	}

	return 0
}

// tell reports a change to the other entry VMs now.
func (p *Process) tell() {
	if p.reportOwn() {
		p.sendDigest(true)
	}
}

// reportOwn reports to the relay of the region and its stand-in, and returns whether
// this entry VM is the relay.
func (p *Process) reportOwn() bool {
	now := p.clock.Now()
	p.mu.Lock()
	load := p.state.Report()
	p.mu.Unlock()
	r := gossip.Report{Name: p.self.Name, Ready: p.Ready(), Busy: p.busy.Load(), Tables: p.ownTables(), Load: loadOf(load)}
	p.peers.mu.Lock()
	first, standIn := p.peers.own.RelayAndStandIn(now, p.peers.orders[p.self.Region])
	changed := first != p.peers.relaying
	p.peers.relaying = first
	r.Sequence = p.peers.sent.add(load)
	p.peers.reports[p.self.Name] = heardReport{Report: r, at: now}
	var to []netip.AddrPort
	for _, name := range []string{first, standIn} {
		if address, ok := p.peers.reportAddress(name); ok {
			to = append(to, address)
		}
	}
	p.peers.mu.Unlock()
	if changed {
		p.log.Info("relay of the region changed", zap.String("entry", first), zap.String("stand-in", standIn))
	}
	p.send(gossip.Message{Report: &r}, to)

	return first == p.self.Name
}

func (p *Process) ownTables() map[string]gossip.Table {
	tables := make(map[string]gossip.Table, len(p.mirrors))
	for name, m := range p.mirrors {
		revision, ok := m.Revision()
		if !ok {
			continue
		}
		t := gossip.Table{Revision: revision, Failing: m.Failing()}
		if age, read := m.ReadAge(); read {
			t.Reading = &gossip.Reading{Revision: revision, AgeMillis: age.Milliseconds()}
		}
		tables[name] = t
	}

	return tables
}

// sendDigest tells all of the region, and if far is true the relays of the other
// regions, what the region does.
func (p *Process) sendDigest(far bool) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	d := p.peers.digest(now)
	others := p.peers.withoutOwn(reportOf(d.Region, d.Load), d.Members)
	to := p.peers.near()
	if far {
		to = append(to, p.peers.farRelays(now)...)
	}
	p.peers.mu.Unlock()
	p.apply(steer.PeerReported{At: steer.At(now), Peer: d.Region, Report: others})
	p.send(gossip.Message{Digest: d}, to)
}

func (p *Process) send(m gossip.Message, to []netip.AddrPort) {
	if err := p.bus.Send(m, to); err != nil {
		p.log.Debug("a report was not sent", zap.Error(err))
	}
}

func (s *peers) regionSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.orders[s.self.Region])
}

// near returns the addresses of the other entry VMs of the region. Callers hold s.mu.
func (s *peers) near() []netip.AddrPort {
	var to []netip.AddrPort
	for _, other := range s.byName {
		if other.Region == s.self.Region {
			to = append(to, other.Reports)
		}
	}

	return to
}

// farRelays returns the addresses of the relays of the other regions and their
// stand-ins. Callers hold s.mu.
func (s *peers) farRelays(now time.Duration) []netip.AddrPort {
	var to []netip.AddrPort
	for region, order := range s.orders {
		if region == s.self.Region {
			continue
		}
		first, standIn := s.election(region).RelayAndStandIn(now, order)
		for _, name := range []string{first, standIn} {
			if address, ok := s.reportAddress(name); ok {
				to = append(to, address)
			}
		}
	}

	return to
}

// election returns that of another region. Callers hold s.mu.
func (s *peers) election(region string) *relay.Election {
	if s.far[region] == nil {
		s.far[region] = relay.New("")
	}

	return s.far[region]
}

// digest sums the reports of the region. Callers hold s.mu.
func (s *peers) digest(now time.Duration) *gossip.Digest {
	d := &gossip.Digest{Name: s.self.Name, Region: s.self.Region, Tables: map[string]gossip.Table{}}
	var loads []steer.Report
	for name, r := range s.reports {
		if now-r.at >= reportsOld {
			delete(s.reports, name)

			continue
		}
		loads = append(loads, reportOf(s.self.Region, r.Load))
		member := gossip.Member{Key: steer.Key(name), Sequence: r.Sequence, Ready: r.Ready, Busy: r.Busy}
		for table, t := range r.Tables {
			if t.Failing {
				member.Failing = append(member.Failing, table)
			}
			d.Tables[table] = newestReading(d.Tables[table], t, now-r.at)
		}
		d.Members = append(d.Members, member)
	}
	for table, t := range d.Tables {
		// Only the relay's own copy can be had from it.
		t.Revision = s.reports[s.self.Name].Tables[table].Revision
		d.Tables[table] = t
	}
	d.Load = loadOf(steer.SumReports(s.self.Region, loads))

	return d
}

// newestReading returns the table with the newer of two readings; the second one was
// told some time ago.
func newestReading(t, other gossip.Table, ago time.Duration) gossip.Table {
	if other.Reading == nil {
		return t
	}
	reading := *other.Reading
	reading.AgeMillis += ago.Milliseconds()
	if t.Reading == nil || reading.AgeMillis < t.Reading.AgeMillis {
		t.Reading = &reading
	}

	return t
}

// heard takes a message of another entry VM.
func (p *Process) heard(m gossip.Message, from netip.AddrPort) {
	now := p.clock.Now()
	if m.Report != nil {
		p.heardReport(now, *m.Report, from)
	}
	if m.Digest != nil {
		p.heardDigest(now, *m.Digest, from)
	}
}

// heardReport keeps the report of an entry VM of the region.
func (p *Process) heardReport(now time.Duration, r gossip.Report, from netip.AddrPort) {
	p.peers.mu.Lock()
	known, ok := p.peers.byName[r.Name]
	if !ok || known.Region != p.self.Region {
		p.peers.mu.Unlock()

		return
	}
	known.heard, known.ready, known.busy = now, r.Ready, r.Busy
	_, reporting := p.peers.reports[r.Name]
	p.peers.reports[r.Name] = heardReport{Report: r, at: now}
	p.peers.mu.Unlock()
	if !reporting {
		p.log.Info("entry VM reports", zap.String("entry", r.Name), zap.Stringer("address", from))
	}
	p.compareTables(r.Tables, from.Addr())
}

// heardDigest takes over what a relay tells about a region, and as the relay of the
// own region passes on what those of others tell.
func (p *Process) heardDigest(now time.Duration, d gossip.Digest, from netip.AddrPort) {
	p.peers.mu.Lock()
	sender, known := p.peers.byName[d.Name]
	if !known || sender.Region != d.Region {
		p.peers.mu.Unlock()

		return
	}
	near, direct := d.Region == p.self.Region, sender.Reports.Addr() == from.Addr().Unmap()
	election := p.peers.own
	if !near {
		election = p.peers.election(d.Region)
	}
	accepted := election.Accepts(now, d.Name, p.peers.orders[d.Region])
	election.Heard(now, d.Name)
	p.peers.meet(now, d.Members)
	load := reportOf(d.Region, d.Load)
	if near {
		load = p.peers.withoutOwn(load, d.Members)
	}
	var passOn []netip.AddrPort
	if !near && direct && p.peers.relaying == p.self.Name {
		passOn = p.peers.near()
	}
	p.peers.mu.Unlock()
	if accepted {
		p.apply(steer.PeerReported{At: steer.At(now), Peer: d.Region, Report: load})
	}
	if len(passOn) > 0 {
		p.send(gossip.Message{Digest: &d}, passOn)
	}
	if direct {
		p.compareTables(d.Tables, from.Addr())
	} else {
		p.noteReadings(d.Tables)
	}
}

// meet notes that entry VMs live. Callers hold s.mu.
func (s *peers) meet(now time.Duration, list []gossip.Member) {
	for _, m := range list {
		if known, ok := s.byKey[m.Key]; ok {
			known.heard, known.ready, known.busy, known.failing = now, m.Ready, m.Busy, set.New(m.Failing...)
		}
	}
}

// withoutOwn takes the own part out of the sum of the region. Callers hold s.mu.
func (s *peers) withoutOwn(sum steer.Report, list []gossip.Member) steer.Report {
	own := steer.Key(s.self.Name)
	for _, m := range list {
		if m.Key != own {
			continue
		}
		if sent, ok := s.sent.at(m.Sequence); ok {
			return sum.Without(sent)
		}
	}

	return sum
}

func loadOf(r steer.Report) gossip.Load {
	return gossip.Load{InFlight: r.InFlight, Demand: r.Demand, Suspects: r.Suspects, Lost: r.Lost}
}

func reportOf(region string, l gossip.Load) steer.Report {
	return steer.Report{InFlight: l.InFlight, Demand: l.Demand, Suspects: l.Suspects, Lost: l.Lost, Region: region}
}
