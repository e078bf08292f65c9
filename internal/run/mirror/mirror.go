// Package mirror keeps copies of the platform store's tables in memory. Each
// copy follows the store by a watch, and takes over a newer copy from another
// entry VM while the store cannot be reached.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
)

// ErrCompacted is returned by a watch whose history the store has dropped.
var ErrCompacted = errors.New("history is no longer available")

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the item.
	Revision uint64
}

// Change is a new value or a deletion of an item.
type Change struct {
	Item

	Deleted bool
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
	// Watch returns the changes under prefix after a revision and the revision to
	// continue from, at the latest when wait has passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

const (
	// watchWait is how long a watch may wait; a waiting watch counts as one call.
	watchWait = 20 * time.Second
	// callTimeout bounds a read, and what a watch takes beyond its wait.
	callTimeout = 2 * time.Second
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 1200 * time.Millisecond
)

// Snapshot is a copy of a table.
type Snapshot struct {
	Items map[string]Item
	// Revision is that of the newest change in the table.
	Revision uint64
	// Position is the store's revision up to which the table is complete.
	Position uint64
}

// Options adjust a mirror.
type Options struct {
	Prefix string
	// Gather is how long changes are collected before the next watch.
	Gather time.Duration
	// KeepDeleted is how long deletions are held back once the store is back
	// after an outage, because their owners may return.
	KeepDeleted time.Duration
	// Changed is called after every change, one call at a time.
	Changed func(Snapshot)
}

// Mirror is the copy of one table.
type Mirror struct {
	source  Source
	clock   timer.Service
	log     *zap.Logger
	options Options

	mu   sync.Mutex
	now  Snapshot
	held map[string]struct{}
	// lostAt is when the store stopped answering; foundAt when it was back.
	lost    bool
	foundAt time.Duration
	loaded  bool
}

// New returns an empty mirror.
func New(source Source, clock timer.Service, log *zap.Logger, options Options) *Mirror {
	return &Mirror{
		source: source, clock: clock, log: log.With(zap.String("table", options.Prefix)), options: options,
		now: Snapshot{Items: map[string]Item{}}, held: map[string]struct{}{}, lost: true, foundAt: -time.Hour,
	}
}

// Snapshot returns the present copy, which the caller does not change.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// Reachable reports whether the store answered the last call.
func (m *Mirror) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return !m.lost
}

// Loaded reports whether the table was read, from the store or a peer.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.loaded
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := firstBackoff
	reload := true
	for ctx.Err() == nil {
		var err error
		if reload {
			err = m.load(ctx)
			reload = err != nil
		} else {
			err = m.follow(ctx)
			reload = errors.Is(err, ErrCompacted)
		}
		m.noteCall(ctx, err)
		if err == nil || reload && errors.Is(err, ErrCompacted) {
			backoff = firstBackoff

			continue
		}
		pause(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64()))) //nolint:gosec // Spreads retries.
		backoff = min(backoff*2, longestBackoff)
	}
}

func (m *Mirror) noteCall(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, ErrCompacted) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && !m.lost:
		m.lost = true
		m.log.Warn("store does not answer, keeping the last copy", zap.Uint64("revision", m.now.Revision), zap.Error(err))
	case err == nil && m.lost:
		m.lost = false
		m.foundAt = m.clock.Now()
		m.log.Info("store answers", zap.Uint64("revision", m.now.Revision), zap.Int("items", len(m.now.Items)))
	}
}

// load reads the whole table.
func (m *Mirror) load(ctx context.Context) error {
	items := map[string]Item{}
	after, position := "", uint64(0)
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := m.source.Range(callCtx, m.options.Prefix, after)
		cancel()
		if err != nil {
			return err //nolint:wrapcheck // The source describes its calls.
		}
		if position == 0 {
			position = page.Revision
		}
		for _, item := range page.Items {
			items[item.Key] = item
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	m.replace(items, position)

	return nil
}

// replace takes over a whole table read at a position, unless it is older.
func (m *Mirror) replace(items map[string]Item, position uint64) {
	m.mu.Lock()
	if position < m.now.Position {
		m.mu.Unlock()

		return
	}
	first := !m.loaded
	m.loaded = true
	next := Snapshot{Items: items, Revision: m.now.Revision, Position: position}
	for _, item := range items {
		next.Revision = max(next.Revision, item.Revision)
	}
	if !first {
		for key, item := range m.now.Items {
			if _, ok := items[key]; !ok && m.holds() {
				items[key] = item
				m.held[key] = struct{}{}
			}
		}
	}
	m.now = next
	m.mu.Unlock()
	m.publish()
}

// holds reports whether deletions are held back now. Callers hold m.mu.
func (m *Mirror) holds() bool {
	return m.options.KeepDeleted > 0 && (m.lost || m.clock.Now() < m.foundAt+m.options.KeepDeleted)
}

// follow waits for changes and applies them.
func (m *Mirror) follow(ctx context.Context) error {
	pause(ctx, m.options.Gather)
	m.mu.Lock()
	after, wait := m.now.Position, watchWait
	if len(m.held) > 0 || m.lost {
		wait = m.options.KeepDeleted + firstBackoff
	}
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, position, err := m.source.Watch(callCtx, m.options.Prefix, after, wait)
	if err != nil {
		return err //nolint:wrapcheck // The source describes its calls.
	}
	m.apply(changes, position)

	return nil
}

func (m *Mirror) apply(changes []Change, position uint64) {
	m.mu.Lock()
	next := Snapshot{Items: make(map[string]Item, len(m.now.Items)), Revision: m.now.Revision, Position: max(position, m.now.Position)}
	for key, item := range m.now.Items {
		next.Items[key] = item
	}
	holding := m.holds()
	for _, change := range changes {
		next.Revision = max(next.Revision, change.Revision)
		if old, ok := next.Items[change.Key]; ok && old.Revision > change.Revision {
			continue
		}
		delete(m.held, change.Key)
		switch {
		case !change.Deleted:
			next.Items[change.Key] = change.Item
		case holding:
			m.held[change.Key] = struct{}{}
		default:
			delete(next.Items, change.Key)
		}
	}
	changed := len(changes) > 0
	if !holding && !m.lost {
		for key := range m.held {
			delete(next.Items, key)
			delete(m.held, key)
			changed = true
		}
	}
	m.now = next
	m.mu.Unlock()
	if changed {
		m.publish()
	}
}

// Adopt takes over a newer copy that another entry VM holds and reports whether
// it was newer.
func (m *Mirror) Adopt(s Snapshot) bool {
	m.mu.Lock()
	if s.Revision <= m.now.Revision && m.loaded {
		m.mu.Unlock()

		return false
	}
	m.loaded = true
	m.now = Snapshot{Items: s.Items, Revision: s.Revision, Position: max(s.Position, m.now.Position)}
	m.mu.Unlock()
	m.publish()

	return true
}

func (m *Mirror) publish() {
	m.options.Changed(m.Snapshot())
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
