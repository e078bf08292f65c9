package direct

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/relay"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

const (
	// rememberFor is how long an entry VM that is gone still counts in the division
	// of what all may do together: it may be alive and out of reach.
	rememberFor = time.Minute
	// aliveFor is how long after its last report an entry VM is named to callers.
	aliveFor = 2 * time.Second
	// leastNamed is the least number of entry VMs that are named in place of more, so
	// that callers have another one when one is gone.
	leastNamed = 2
	// maxNamed bounds the entry VMs of one lookup.
	maxNamed = 64
)

// member is an entry VM that the store lists, or listed within the last minute.
type member struct {
	EntryVM

	// listed is when the store listed it last.
	listed time.Duration
	// heard is when a report or a digest told last that it lives, 0 for never.
	heard   time.Duration
	ready   bool
	busy    bool
	failing set.Set[string]
}

// members are the other entry VMs. Callers hold the lock of the peers.
type members struct {
	byName map[string]*member
	byKey  map[uint32]*member
	// orders are the entry VMs of each region in the order in which they relay, the
	// own one included.
	orders map[string][]relay.Candidate
}

// list takes over the store's list and returns the names of all that count.
func (m *members) list(now time.Duration, self EntryVM, entries []EntryVM) []string {
	for _, e := range entries {
		if e.Name == self.Name {
			continue
		}
		known, ok := m.byName[e.Name]
		if !ok {
			known = &member{}
			m.byName[e.Name] = known
		}
		known.EntryVM, known.listed = e, now
	}
	names := []string{self.Name}
	m.byKey = make(map[uint32]*member, len(m.byName))
	m.orders = map[string][]relay.Candidate{self.Region: {candidate(self)}}
	for name, known := range m.byName {
		if now-max(known.listed, known.heard) >= rememberFor {
			delete(m.byName, name)

			continue
		}
		names = append(names, name)
		m.byKey[steer.Key(name)] = known
		m.orders[known.Region] = append(m.orders[known.Region], candidate(known.EntryVM))
	}
	for _, order := range m.orders {
		relay.SortCandidates(order)
	}
	slices.Sort(names)

	return names
}

func candidate(e EntryVM) relay.Candidate {
	return relay.Candidate{Name: e.Name, Zone: e.Zone, Strength: e.Strength}
}

// reportAddress returns where an entry VM takes reports.
func (m *members) reportAddress(name string) (netip.AddrPort, bool) {
	known, ok := m.byName[name]
	if !ok {
		return netip.AddrPort{}, false
	}

	return known.Reports, true
}

// peers are the other entry VMs and what they told last.
type peers struct {
	self EntryVM

	mu sync.Mutex
	members
	// reports are those of the entry VMs of the region, if they report here.
	reports map[string]heardReport
	// own is the election in the own region, far those of the others.
	own *relay.Election
	far map[string]*relay.Election
	// relaying is the name of the region's relay at the last look.
	relaying string
	sent     sentLoads
	// copying holds the tables that are being copied from a peer.
	copying map[string]bool
}

func newPeers(self EntryVM) *peers {
	return &peers{
		self: self, members: members{byName: map[string]*member{}, byKey: map[uint32]*member{}},
		reports: map[string]heardReport{}, own: relay.New(self.Name), far: map[string]*relay.Election{},
		copying: map[string]bool{},
	}
}

// setMembers takes over the store's list of entry VMs.
func (p *Process) setMembers(entries []EntryVM) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	names := p.peers.list(now, p.self, entries)
	strengths := map[string]int{p.self.Name: p.self.Strength}
	ips := make([]netip.Addr, 0, len(names))
	for _, known := range p.peers.byName {
		ips = append(ips, known.Reports.Addr())
		strengths[known.Name] = known.Strength
	}
	p.peers.mu.Unlock()
	p.bus.SetListed(ips)
	p.apply(steer.EntriesChanged{At: p.at(), Names: names, Strengths: strengths})
}

// rank returns the place of this entry VM in the order in which they read a table
// from the store, among those whose readings do not fail and among all. One that has
// just started counts all that are listed.
func (p *Process) rank(table string) (rank, place int) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	for _, other := range p.peers.byName {
		alive := other.heard > 0 && now-other.heard < aliveFor
		if !alive && p.mirrors[table].Loaded() || !readsBefore(table, other.EntryVM, p.self) {
			continue
		}
		place++
		if !other.failing.Has(table) {
			rank++
		}
	}

	return rank, place
}

// LookupResult is what a lookup returns.
type LookupResult struct {
	Addresses []string
	TTL       time.Duration
}

// Lookup returns the entry VMs for a caller in an availability zone: those of
// its zone when there are several, else those of its region, else all.
func (p *Process) Lookup(zone, region string) LookupResult {
	now := p.clock.Now()
	var inZone, inRegion, all []choice
	add := func(entry EntryVM, busy bool) {
		e := choice{EntryVM: entry, busy: busy}
		if e.Zone == zone {
			inZone = append(inZone, e)
		}
		if e.Region == region {
			inRegion = append(inRegion, e)
		}
		all = append(all, e)
	}
	if p.Ready() {
		add(p.self, p.busy.Load())
	}
	p.peers.mu.Lock()
	for _, other := range p.peers.byName {
		if other.ready && other.heard > 0 && now-other.heard <= aliveFor {
			add(other.EntryVM, other.busy)
		}
	}
	p.peers.mu.Unlock()
	chosen := all
	switch {
	case len(inZone) > 1:
		chosen = inZone
	case len(inRegion) > 0:
		chosen = inRegion
	}
	named := LookupResult{Addresses: addresses(strongest(chosen))}
	p.mu.Lock()
	named.TTL = p.settings.LookupTTL
	p.mu.Unlock()

	return named
}

// choice is an entry VM that a lookup may name.
type choice struct {
	EntryVM

	busy bool
}

// strongest returns the strongest entry VMs, if there are several of them and they can
// do with the work. The fewer carry the requests, the more each knows of the servers;
// the others are there when these are gone or busy.
func strongest(entries []choice) []choice {
	most := 0
	for _, e := range entries {
		most = max(most, e.Strength)
	}
	strong := slices.DeleteFunc(slices.Clone(entries), func(e choice) bool { return e.Strength < most })
	idle := slices.DeleteFunc(slices.Clone(strong), func(e choice) bool { return e.busy })
	if len(idle) < leastNamed {
		return entries
	}

	return strong
}

func addresses(entries []choice) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Requests.String())
	}
	slices.Sort(out)

	return out[:min(len(out), maxNamed)]
}
