package mirror

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/units"
)

// This file keeps items that an outage of the store has made expire. Their owners may
// write them again once the store answers.
//
// Each entry VM keeps items by itself and sends the others the table as the store has it.
// So an item that is kept without need is kept on one entry VM only, and goes after
// DeletionGrace even if the table does not change any more.

// noteRead records that some entry VM read the table at a time. A read ends an outage if
// none was known for longer than OutageGap before it. Whether own reads failed does not
// matter: the store may turn away or not reach this entry VM only, and then the entries
// that it deletes are those of servers that left. Callers hold m.mu.
func (m *Mirror) noteRead(at time.Duration) {
	last, known := m.readAt.Get()
	if known && m.options.DeletionGrace > 0 && at-last > m.options.OutageGap {
		m.storeUpAt = option.Some(at)
		m.log.Info("store was read by no entry VM, entries that expired are kept for a while",
			zap.Duration("gap", at-last), zap.Duration("grace", m.options.DeletionGrace))
	}
	if !known || at > last {
		m.readAt = option.Some(at)
	}
}

// noteNewEra records that the store came back from an older copy. Entries that were written
// since then are missing from it until their owners write them again, so the grace begins.
// Reads of the era before say nothing of the new copy. Callers hold m.mu.
func (m *Mirror) noteNewEra(era uint64) {
	m.ownMarks, m.ownReadAt = nil, 0
	if m.options.DeletionGrace > 0 {
		m.storeUpAt = option.Some(m.clock.Now())
	}
	m.log.Info("store came back from an older copy", zap.Uint64("era", era), zap.Uint64("revision-before", m.table.Version().Revision),
		zap.Duration("grace", m.options.DeletionGrace))
}

// keepMissing keeps the items of the last snapshot that the table no longer has, if an
// outage ended less than DeletionGrace ago. Otherwise it goes on to keep those that are
// kept already. Callers hold m.mu.
func (m *Mirror) keepMissing() {
	now := m.clock.Now()
	candidates := m.kept
	storeUpAt, wasDown := m.storeUpAt.Get()
	if until := storeUpAt + m.options.DeletionGrace; wasDown && now < until {
		candidates, m.keptUntil = m.snapshot.Items, until
	}
	m.kept = map[string]Item{}
	for key, item := range candidates {
		if _, ok := m.table.Items()[key]; !ok && now < m.keptUntil {
			m.kept[key] = item
		}
	}
	m.mergeKept()
}

// keepReceived takes over the items that the sender of a delta keeps. Callers hold m.mu.
func (m *Mirror) keepReceived(delta Delta) {
	remaining := min(units.ClampMillis(float64(delta.KeptMillis)), m.options.DeletionGrace)
	if remaining <= 0 {
		return
	}
	m.kept, m.keptUntil = delta.Kept, m.clock.Now()+remaining
	m.mergeKept()
}

// mergeKept sets the snapshot to the table and the kept items. Callers hold m.mu.
func (m *Mirror) mergeKept() {
	m.snapshot = Snapshot{Items: m.table.Items(), Revision: m.table.Version().Revision, Era: m.table.Version().Era}
	if len(m.kept) == 0 {
		return
	}
	m.snapshot.Items = maps.Clone(m.kept)
	maps.Copy(m.snapshot.Items, m.table.Items())
}

// DropExpired drops the kept items once DeletionGrace has ended. It reports whether the
// copy changed.
func (m *Mirror) DropExpired() bool {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	if len(m.kept) == 0 || m.clock.Now() < m.keptUntil {
		m.mu.Unlock()

		return false
	}
	m.kept = nil
	m.mergeKept()
	m.mu.Unlock()
	m.options.OnChange(m.Snapshot())

	return true
}
