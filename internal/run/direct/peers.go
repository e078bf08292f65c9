package direct

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/relay"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

const (
	// peerExpiry is the time after which an entry VM that is neither listed nor seen is
	// forgotten. Until then the entry VM keeps its share of the limits that all entry
	// VMs divide among themselves, because it may be alive but unreachable.
	peerExpiry = time.Minute
	// peerAliveTimeout is the time without a report after which an entry VM no longer
	// counts as alive in lookups and in the order of reading tables.
	peerAliveTimeout = 2 * time.Second
	// minLookupVMs is how many of the strongest entry VMs must not be busy for a lookup
	// to return only the strongest. This leaves callers another entry VM when one is
	// gone.
	minLookupVMs = 2
	// maxLookupVMs bounds the entry VMs that one lookup returns.
	maxLookupVMs = 64
)

// peer is another entry VM that was listed by the store or seen within peerExpiry.
type peer struct {
	EntryVM

	// lastListed is when the store's list last included the peer.
	lastListed time.Duration
	// lastSeen is when a report or digest last showed that the peer is alive, or 0 for
	// never.
	lastSeen time.Duration
	ready    bool
	busy     bool
	// failingTables are the tables that the peer could not read from the store.
	failingTables set.Set[string]
}

// peerList holds the other entry VMs. Callers of its methods hold peers.mu.
type peerList struct {
	byName map[string]*peer
	// byKey holds the same peers by the hash of their names, which digests carry
	// instead of names.
	byKey map[uint32]*peer
	// relayOrders lists, for each region, the entry VMs in the order in which they
	// become relay. The list of the own region includes this entry VM.
	relayOrders map[string][]relay.Candidate
}

// update applies the store's list, forgets expired peers and returns the sorted names of
// all remaining entry VMs, this one included.
func (l *peerList) update(now time.Duration, self EntryVM, entryVMs []EntryVM) []string {
	for _, vm := range entryVMs {
		if vm.Name == self.Name {
			continue
		}
		other, ok := l.byName[vm.Name]
		if !ok {
			other = &peer{}
			l.byName[vm.Name] = other
		}
		other.EntryVM, other.lastListed = vm, now
	}
	names := []string{self.Name}
	l.byKey = make(map[uint32]*peer, len(l.byName))
	l.relayOrders = map[string][]relay.Candidate{self.Region: {relayCandidate(self)}}
	for name, other := range l.byName {
		if now-max(other.lastListed, other.lastSeen) >= peerExpiry {
			delete(l.byName, name)

			continue
		}
		names = append(names, name)
		l.byKey[steer.Key(name)] = other
		l.relayOrders[other.Region] = append(l.relayOrders[other.Region], relayCandidate(other.EntryVM))
	}
	for _, order := range l.relayOrders {
		relay.SortCandidates(order)
	}
	slices.Sort(names)

	return names
}

// relayCandidate returns an entry VM as a candidate for the relay of its region.
func relayCandidate(vm EntryVM) relay.Candidate {
	return relay.Candidate{Name: vm.Name, Zone: vm.Zone, Strength: vm.Strength}
}

// reportAddress returns the address at which another entry VM receives reports. It
// returns false for unknown names and for the name of this entry VM.
func (l *peerList) reportAddress(name string) (netip.AddrPort, bool) {
	other, ok := l.byName[name]
	if !ok {
		return netip.AddrPort{}, false
	}

	return other.Reports, true
}

// peers holds the other entry VMs and what they reported last.
type peers struct {
	self EntryVM

	// mu guards the fields below.
	mu sync.Mutex
	peerList
	// reports are the newest reports, by name of the entry VM: the own report, and the
	// reports that this entry VM receives while it is the relay of its region or the
	// relay's stand-in.
	reports map[string]receivedReport
	// ownElection elects the relay of the own region. otherElections elect the relays
	// of the other regions, by region.
	ownElection    *relay.Election
	otherElections map[string]*relay.Election
	// currentRelay is the name of the own region's relay at the last own report.
	currentRelay string
	// sent holds the loads of the own reports, which withoutOwn subtracts from sums.
	sent sentLoads
	// idleForwardedAt is when a digest of another region was last forwarded to the idle
	// entry VMs, by region.
	idleForwardedAt map[string]time.Duration
	// selfListed is true while the store's list has this entry VM.
	selfListed bool
	// copying is true for tables that are being copied from a peer.
	copying map[string]bool
}

// newPeers returns the state of an entry VM that knows no other entry VM yet.
func newPeers(self EntryVM) *peers {
	return &peers{
		self: self, peerList: peerList{byName: map[string]*peer{}, byKey: map[uint32]*peer{}},
		reports: map[string]receivedReport{}, ownElection: relay.New(self.Name), otherElections: map[string]*relay.Election{},
		copying: map[string]bool{}, idleForwardedAt: map[string]time.Duration{},
	}
}

// copySources returns the entry VMs to ask for a copy that the entry VM at address has:
// the first one of the own zone, in the order in which relays are elected, and a random
// one of the zone. In the zone of the entry VM at address, and for the first one itself,
// that address takes the place of the first.
func (ps *peers) copySources(now time.Duration, address netip.Addr) (first, neighbour netip.Addr) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	candidates := []relay.Candidate{relayCandidate(ps.self)}
	for _, other := range ps.byName {
		if other.Zone != ps.self.Zone || other.lastSeen == 0 || now-other.lastSeen >= peerAliveTimeout {
			continue
		}
		if other.Reports.Addr() == address.Unmap() {
			// The announcing entry VM is in the zone.
			candidates = candidates[:0]

			break
		}
		candidates = append(candidates, relayCandidate(other.EntryVM))
	}
	if len(candidates) < 2 {
		return address, address
	}
	relay.SortCandidates(candidates)
	neighbour = address
	if other, ok := ps.byName[candidates[rand.IntN(len(candidates))].Name]; ok { //nolint:gosec // Spreads the requests for copies.
		neighbour = other.Reports.Addr()
	}
	if other, ok := ps.byName[candidates[0].Name]; ok {
		return other.Reports.Addr(), neighbour
	}

	return address, address
}

// updatePeers applies the store's list of entry VMs.
func (p *Process) updatePeers(entryVMs []EntryVM) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	names := p.peers.update(now, p.self, entryVMs)
	p.peers.selfListed = slices.ContainsFunc(entryVMs, func(vm EntryVM) bool { return vm.Name == p.self.Name })
	strengths := map[string]int{p.self.Name: p.self.Strength}
	ips := make([]netip.Addr, 0, len(names))
	for _, other := range p.peers.byName {
		ips = append(ips, other.Reports.Addr())
		strengths[other.Name] = other.Strength
	}
	p.peers.mu.Unlock()
	p.bus.SetEntryVMs(ips)
	p.apply(steer.EntryVMsChanged{At: p.eventTime(), Names: names, Strengths: strengths})
}

// readRank returns the ranks of this entry VM in the order in which entry VMs read a
// table from the store; rank 0 reads first. The result readRank counts only entry VMs
// whose reads do not fail, retryRank counts all. Without a copy of the table, both
// count all known entry VMs; with a copy, only those that are alive.
func (p *Process) readRank(table string) (readRank, retryRank int) {
	now := p.clock.Now()
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	for _, other := range p.peers.byName {
		alive := other.lastSeen > 0 && now-other.lastSeen < peerAliveTimeout
		if !alive && p.mirrors[table].Loaded() || !readsBefore(table, other.EntryVM, p.self) {
			continue
		}
		retryRank++
		if !other.failingTables.Has(table) {
			readRank++
		}
	}

	return readRank, retryRank
}

// LookupResult is the answer to a caller's lookup.
type LookupResult struct {
	// Addresses are the request addresses of the entry VMs, as IP address and port.
	Addresses []string
	// TTL is how long the caller may cache the addresses.
	TTL time.Duration
}

// Lookup returns ready entry VMs for a caller in an availability zone of a region that asks
// for a host: those in the zone if there are at least two, else those in the region if there
// are any, else those in the regions that are homes of the most of the host's routes, else
// all. If at least minLookupVMs of the strongest are not busy, it returns only
// the strongest. It returns at most maxLookupVMs addresses, and none when no entry VM is
// ready.
func (p *Process) Lookup(host, zone, region string) LookupResult {
	now := p.clock.Now()
	var inZone, inRegion, all []lookupCandidate
	add := func(vm EntryVM, busy bool) {
		candidate := lookupCandidate{EntryVM: vm, busy: busy}
		if candidate.Zone == zone {
			inZone = append(inZone, candidate)
		}
		if candidate.Region == region {
			inRegion = append(inRegion, candidate)
		}
		all = append(all, candidate)
	}
	if p.Ready() {
		add(p.self, p.busy.Load())
	}
	p.peers.mu.Lock()
	for _, other := range p.peers.byName {
		if other.ready && other.lastSeen > 0 && now-other.lastSeen <= peerAliveTimeout {
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
	default:
		if current := p.intent.Load(); current != nil {
			chosen = inHomes(all, current.HomeRegions(host))
		}
	}
	result := LookupResult{Addresses: requestAddresses(strongest(chosen))}
	p.mu.Lock()
	result.TTL = p.settings.LookupTTL
	p.mu.Unlock()

	return result
}

// inHomes returns the candidates in the regions with the greatest count among those that
// have candidates, or all candidates if no such region has a count.
func inHomes(candidates []lookupCandidate, counts map[string]int) []lookupCandidate {
	most := 0
	for _, c := range candidates {
		most = max(most, counts[c.Region])
	}

	return slices.DeleteFunc(slices.Clone(candidates), func(c lookupCandidate) bool { return counts[c.Region] < most })
}

// lookupCandidate is an entry VM that a lookup may return.
type lookupCandidate struct {
	EntryVM

	busy bool
}

// strongest returns the candidates of the greatest strength if at least minLookupVMs of
// them are not busy, else all candidates. When fewer entry VMs carry the requests, each
// of them knows more about the backend servers. The weaker entry VMs take over when the
// strongest are gone or busy.
func strongest(candidates []lookupCandidate) []lookupCandidate {
	maxStrength := 0
	for _, c := range candidates {
		maxStrength = max(maxStrength, c.Strength)
	}
	strong := slices.DeleteFunc(slices.Clone(candidates), func(c lookupCandidate) bool { return c.Strength < maxStrength })
	idle := slices.DeleteFunc(slices.Clone(strong), func(c lookupCandidate) bool { return c.busy })
	if len(idle) < minLookupVMs {
		return candidates
	}

	return strong
}

// requestAddresses returns the sorted request addresses of at most maxLookupVMs candidates.
func requestAddresses(candidates []lookupCandidate) []string {
	out := make([]string, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.Requests.String())
	}
	slices.Sort(out)

	return out[:min(len(out), maxLookupVMs)]
}
