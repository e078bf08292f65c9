// Package mirror keeps copies of the store's tables in memory. One entry VM
// reads a table at a time and the others copy what has changed from it; when
// its readings stay away, the next one reads.
//
// Reading at intervals costs the same whatever changes, and it cannot miss a
// change as a watch does whose connection went silent or whose history the
// store has dropped.
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/value/option"
)

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the item.
	Revision uint64
}

// Page is a part of a table.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when it read the page.
	Revision uint64
}

// Source is the part of the store that a mirror reads. Every call ends with its
// context.
type Source interface {
	// Range returns the items under prefix whose keys follow after.
	Range(ctx context.Context, prefix, after string) (Page, error)
}

const (
	// readTimeout bounds one reading of a table.
	readTimeout = time.Second
	// retryAfter is the pause between two readings of one entry VM that fail.
	retryAfter = 500 * time.Millisecond
	// rankDelay is how much later than the one before it in rank an entry VM reads
	// a table; it covers the delivery of that one's reading.
	rankDelay = 250 * time.Millisecond
	// firstDelay is the same before the first reading, when callers may be waiting for
	// it; it covers a report of those that were read and a copy inside a region.
	firstDelay = 80 * time.Millisecond
	// maxRank bounds the wait of the last in rank.
	maxRank = 4
	// placeDelay and maxPlace spread the tries of entry VMs whose readings fail, so
	// that a store that is away is not asked by all.
	placeDelay = 250 * time.Millisecond
	maxPlace   = 8
	// tellReading is how long a reading is told to others.
	tellReading = 2 * time.Second
	// maxTombstones bounds the deletions that are remembered for copies.
	maxTombstones = 1024
)

// Snapshot is a copy of a table.
type Snapshot struct {
	Items map[string]Item
	// Revision is the store's revision at the reading that showed the last change.
	Revision uint64
}

// Delta is what changed in a table since an older copy.
type Delta struct {
	// Whole is true when Items are the whole table.
	Whole   bool
	Items   map[string]Item
	Deleted []string
	// Revision is that of the copy with the changes.
	Revision uint64
}

// Options adjust a mirror.
type Options struct {
	Prefix string
	// Interval is how old a copy may grow before the first in rank reads again.
	Interval time.Duration
	// KeepDeleted is how long deletions are held back once the store is back
	// after an outage, because their owners may return.
	KeepDeleted time.Duration
	// Changed is called after every change, one call at a time.
	Changed func(Snapshot)
}

// Mirror is the copy of one table.
type Mirror struct {
	source  Source
	clock   timer.TimeSource
	log     *zap.Logger
	options Options

	// publishing orders the calls of Options.Changed.
	publishing sync.Mutex

	mu       sync.Mutex
	now      Snapshot
	deleted  map[string]uint64
	loaded   bool
	reading  bool
	nextRead time.Duration
	// wanted is when the table was wanted first.
	wanted option.Option[time.Duration]
	// current is when the copy was known to be that of the store; readAt is when
	// this entry VM read it itself.
	current time.Duration
	readAt  time.Duration
	// reread is when deleted items were held long enough; copies from others would
	// not tell of their deletion again.
	reread time.Duration
	// lost is true while the store does not answer; found is when it was back.
	lost  bool
	found time.Duration
}

// New returns an empty mirror.
func New(source Source, clock timer.TimeSource, log *zap.Logger, options Options) *Mirror {
	return &Mirror{
		source: source, clock: clock, log: log.With(zap.String("table", options.Prefix)), options: options,
		now: Snapshot{Items: map[string]Item{}}, deleted: map[string]uint64{}, lost: true,
	}
}

// Snapshot returns the present copy, which the caller does not change.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// Loaded reports whether the table was read, from the store or another entry VM.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.loaded
}

// Revision returns the revision of the copy; ok is false before the first one.
func (m *Mirror) Revision() (revision uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now.Revision, m.loaded
}

// ReadAge returns how long ago this entry VM read the table from the store itself;
// ok is false when it has not done so lately. Only own readings are told: ages that
// are passed on lose the time on their way each time, and two entry VMs that tell
// each other would never see theirs grow.
func (m *Mirror) ReadAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age = m.clock.Now() - m.readAt

	return age, m.loaded && m.readAt > 0 && age < tellReading
}

// Failing reports whether the last reading failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.lost && m.loaded
}

// Due reports whether an entry VM should read the table now. Its rank, 0 first, is
// that among those whose readings do not fail; its place is that among all.
func (m *Mirror) Due(rank, place int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.reading || now < m.nextRead {
		return false
	}
	if m.lost && m.loaded && now < m.nextRead+time.Duration(min(place, maxPlace))*placeDelay {
		return false
	}

	if m.reread > 0 && now >= m.reread {
		return true
	}

	if !m.loaded {
		wanted := m.wanted.Or(now)
		m.wanted = option.Some(wanted)

		return now >= wanted+time.Duration(min(rank, maxRank))*firstDelay
	}

	return now >= m.current+m.options.Interval+time.Duration(min(rank, maxRank))*rankDelay
}

// Read copies the table from the store and reports whether it had changed; one
// call at a time does.
func (m *Mirror) Read(ctx context.Context) bool {
	m.mu.Lock()
	if m.reading {
		m.mu.Unlock()

		return false
	}
	m.reading = true
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := m.clock.Now()
	items, revision, err := m.readAll(ctx)
	if err != nil {
		m.failed(err)

		return false
	}

	return m.replace(items, revision, start)
}

func (m *Mirror) readAll(ctx context.Context) (map[string]Item, uint64, error) {
	items := map[string]Item{}
	after, revision := "", uint64(0)
	for {
		page, err := m.source.Range(ctx, m.options.Prefix, after)
		if err != nil {
			return nil, 0, err //nolint:wrapcheck // The source describes its calls.
		}
		if revision == 0 {
			// Later pages may show later changes; the next reading finds them.
			revision = page.Revision
		}
		for _, item := range page.Items {
			items[item.Key] = item
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
	}
}

func (m *Mirror) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = false
	m.nextRead = m.clock.Now() + retryAfter
	if m.lost {
		return
	}
	m.lost = true
	m.log.Warn("store does not answer, keeping the last copy", zap.Uint64("revision", m.now.Revision), zap.Error(err))
}

// replace takes over a table that was read at a revision, from start on.
func (m *Mirror) replace(items map[string]Item, revision uint64, start time.Duration) bool {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	m.reading = false
	if m.lost {
		m.lost, m.found = false, m.clock.Now()
		m.log.Info("store answers", zap.Uint64("revision", revision), zap.Int("items", len(items)))
	}
	m.current, m.readAt = max(m.current, start), start
	if m.loaded && revision <= m.now.Revision {
		m.mu.Unlock()

		return false
	}
	m.reread = 0
	changed := !m.loaded || m.merge(items, revision)
	m.loaded = true
	if changed {
		m.now = Snapshot{Items: items, Revision: revision}
	}
	m.mu.Unlock()
	if changed {
		m.options.Changed(m.Snapshot())
	}

	return changed
}

// merge notes deletions, or keeps the items for now, and reports whether the
// table differs from the present copy. Callers hold m.mu.
func (m *Mirror) merge(items map[string]Item, revision uint64) bool {
	keep := m.options.KeepDeleted > 0 && m.clock.Now() < m.found+m.options.KeepDeleted
	changed := false
	for key, old := range m.now.Items {
		next, ok := items[key]
		switch {
		case !ok && keep:
			items[key] = old
			m.reread = m.found + m.options.KeepDeleted
		case !ok:
			m.bury(key, revision)
			changed = true
		case next.Revision != old.Revision:
			changed = true
		}
	}

	return changed || len(items) != len(m.now.Items)
}

func (m *Mirror) bury(key string, revision uint64) {
	if len(m.deleted) >= maxTombstones {
		clear(m.deleted)
	}
	m.deleted[key] = revision
}

// Heard notes the revision of another entry VM's copy, and how long ago that one
// read it from the store, if it did. It reports whether the own copy is older.
func (m *Mirror) Heard(revision uint64, readAge option.Option[time.Duration]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || revision > m.now.Revision {
		return true
	}
	if age, ok := readAge.Get(); ok && revision == m.now.Revision {
		m.current = max(m.current, m.clock.Now()-age)
	}

	return false
}

// Since returns what changed since the copy of a revision.
func (m *Mirror) Since(revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Items: map[string]Item{}, Revision: m.now.Revision}
	if revision == 0 || len(m.deleted) >= maxTombstones/2 {
		d.Whole = true
		maps.Copy(d.Items, m.now.Items)

		return d
	}
	for key, item := range m.now.Items {
		if item.Revision > revision {
			d.Items[key] = item
		}
	}
	for key, at := range m.deleted {
		if _, ok := m.now.Items[key]; !ok && at > revision {
			d.Deleted = append(d.Deleted, key)
		}
	}

	return d
}

// Adopt takes over the changes of a newer copy that another entry VM holds; base
// is the revision for which they were asked. It reports whether they were newer.
func (m *Mirror) Adopt(base uint64, d Delta) bool {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	if m.loaded && (d.Revision <= m.now.Revision || !d.Whole && base != m.now.Revision) {
		m.mu.Unlock()

		return false
	}
	items := d.Items
	if !d.Whole {
		items = maps.Clone(m.now.Items)
		maps.Copy(items, d.Items)
		for _, key := range d.Deleted {
			delete(items, key)
		}
	}
	if items == nil {
		items = map[string]Item{}
	}
	for key := range m.now.Items {
		if _, ok := items[key]; !ok {
			m.bury(key, d.Revision)
		}
	}
	m.loaded = true
	m.now = Snapshot{Items: items, Revision: d.Revision}
	m.mu.Unlock()
	m.options.Changed(m.Snapshot())

	return true
}
