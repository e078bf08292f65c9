package direct

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

const (
	// busyPause is the mean pause before an entry VM that sends other copies is asked
	// again, and busyTries how often it is.
	busyPause = 25 * time.Millisecond
	busyTries = 12
)

// copiesPerStrength is the number of tables that an entry VM sends at once for each
// step of its strength; the weakest links carry two in time.
const copiesPerStrength = 0.75

func copiesAtOnce(strength int) int {
	return max(int(copiesPerStrength*float64(strength)), 2)
}

// readsBefore reports whether an entry VM reads a table from the store before
// another one: the strongest come first.
func readsBefore(table string, a, b EntryVM) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}

	return rendezvous.Weight(table, a.Name) > rendezvous.Weight(table, b.Name)
}

// compareTables copies tables from an entry VM whose copies are newer.
func (p *Process) compareTables(tables map[string]gossip.Table, from netip.Addr) {
	p.noteReadings(tables)
	for table, t := range tables {
		m, ok := p.mirrors[table]
		if !ok || t.Revision == 0 || !m.Heard(t.Revision, option.None[time.Duration]()) {
			continue
		}
		p.peers.mu.Lock()
		if !p.peers.copying[table] {
			p.peers.copying[table] = true
			p.work.Go(func() { p.copyTable(table, from) })
		}
		p.peers.mu.Unlock()
	}
}

// noteReadings notes what others have read from the store.
func (p *Process) noteReadings(tables map[string]gossip.Table) {
	for table, t := range tables {
		if m, ok := p.mirrors[table]; ok && t.Reading != nil {
			m.Heard(t.Reading.Revision, option.Some(time.Duration(t.Reading.AgeMillis)*time.Millisecond))
		}
	}
}

func (p *Process) copyTable(table string, from netip.Addr) {
	m := p.mirrors[table]
	base, _ := m.Revision()
	var d mirror.Delta
	err := p.bus.Fetch(p.ctx, from, table, base, &d)
	for tries := 1; errors.Is(err, gossip.ErrBusy) && tries < busyTries && p.ctx.Err() == nil; tries++ {
		time.Sleep(time.Duration(2 * rand.Float64() * float64(busyPause))) //nolint:gosec // Spreads tries.
		err = p.bus.Fetch(p.ctx, from, table, base, &d)
	}
	switch {
	case errors.Is(err, gossip.ErrBusy):
		p.log.Debug("an entry VM sends other copies", zap.String("table", table), zap.Stringer("from", from))
	case err != nil:
		p.log.Warn("table of an entry VM was not read", zap.String("table", table), zap.Stringer("from", from), zap.Error(err))
	case m.Adopt(base, d):
		p.tell()
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	p.peers.copying[table] = false
}
