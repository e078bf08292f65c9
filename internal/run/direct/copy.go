package direct

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/value/units"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

const (
	// copyRetryPause is the mean pause between requests for a copy, while the entry VMs
	// that were asked are busy sending other copies. maxCopyAttempts bounds these requests,
	// including the first one.
	copyRetryPause  = 25 * time.Millisecond
	maxCopyAttempts = 12
)

// maxZoneAttempts is the number of requests for a copy of which the last one goes to the
// entry VM that announced the table, in case that no neighbour receives it.
const maxZoneAttempts = 6

// copiesPerStrength is how many copies of tables an entry VM may send at once, for each
// unit of its strength.
const copiesPerStrength = 0.75

// maxConcurrentCopies returns how many copies of tables an entry VM may send at once.
// The minimum is two, because even the weakest link carries two copies before they time
// out.
func maxConcurrentCopies(strength int) int {
	return max(int(copiesPerStrength*float64(strength)), 2)
}

// readsBefore reports whether the entry VM a comes before b in the order of reading a
// table from the store. Stronger entry VMs come first. A hash orders entry VMs of equal
// strength, differently for each table.
func readsBefore(table string, a, b EntryVM) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}

	return rendezvous.Weight(table, a.Name) > rendezvous.Weight(table, b.Name)
}

// copyNewerTables starts to copy the tables of which the entry VM at address has newer
// copies. The parameter tables describes the copies of that entry VM.
func (p *Process) copyNewerTables(tables map[string]gossip.TableState, address netip.Addr) {
	p.noteStoreReads(tables)
	for table, t := range tables {
		m, ok := p.mirrors[table]
		if !ok || t.Revision == 0 || !m.ObserveVersion(t.Version(), option.None[time.Duration]()) {
			continue
		}
		p.peers.mu.Lock()
		if !p.peers.copying[table] {
			p.peers.copying[table] = true
			p.goroutines.Go(func() { p.copyTable(table, address) })
		}
		p.peers.mu.Unlock()
	}
}

// noteStoreReads records when other entry VMs read their copies from the store, so that
// this entry VM need not read the same revision again, and what their readings prove.
func (p *Process) noteStoreReads(tables map[string]gossip.TableState) {
	for name, t := range tables {
		m, ok := p.mirrors[name]
		if !ok || t.Reading == nil {
			continue
		}
		m.ObserveVersion(t.Reading.Version(), option.Some(units.ClampMillis(float64(t.Reading.AgeMillis))))
		if after, ok := p.peers.before(t.Reading.Marks); ok {
			shown := table.Version{Era: t.Reading.Era, Revision: t.Reading.Shown}
			m.ObserveReading(proof.Reading{Version: t.Reading.Version(), Shown: shown, After: after})
		}
	}
}

// copySource returns the entry VM to ask for a copy that the entry VM at address has, after
// a number of attempts.
func (p *Process) copySource(address netip.Addr, attempts int) netip.Addr {
	first, neighbour := p.peers.copySources(p.clock.Now(), address)
	switch {
	case attempts%maxZoneAttempts == maxZoneAttempts-1:
		return address
	case attempts%2 == 1:
		return neighbour
	}

	return first
}

// copyTable copies the changes of a table that the entry VM at address has. The first
// entry VM of each zone asks that one; the others ask the first of their zone or another
// neighbour, which may have received a copy meanwhile. So a copy crosses to a zone once
// and spreads there as a tree.
func (p *Process) copyTable(table string, address netip.Addr) {
	m := p.mirrors[table]
	base, _ := m.Version()
	var delta mirror.Delta
	source := p.copySource(address, 0)
	err := p.bus.Fetch(p.ctx, source, table, base, &delta)
	for attempts := 1; err != nil && attempts < maxCopyAttempts && p.ctx.Err() == nil; attempts++ {
		busy := errors.Is(err, gossip.ErrBusy)
		if !busy && source == address {
			// The next digest or report announces the table again.
			break
		}
		source = address
		if busy {
			time.Sleep(time.Duration(2 * rand.Float64() * float64(copyRetryPause))) //nolint:gosec // Spreads retries.
			source = p.copySource(address, attempts)
		}
		err = p.bus.Fetch(p.ctx, source, table, base, &delta)
	}
	switch {
	case errors.Is(err, gossip.ErrBusy):
		p.log.Debug("an entry VM sends other copies", zap.String("table", table), zap.Stringer("from", source))
	case err != nil:
		p.log.Warn("table of an entry VM was not read", zap.String("table", table), zap.Stringer("from", source), zap.Error(err))
	case m.ApplyDelta(delta):
		p.reportNow()
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	p.peers.copying[table] = false
}
