package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

var errStoreUnreachable = errors.New("store is unreachable")

// store is a mirror.Source with pages of two items. Reads fail while unreachable is true.
type store struct {
	items       map[string]mirror.Item
	revision    uint64
	era         uint64
	unreachable bool
	calls       int
	// afterPage is called after the first page of a read, if it is not nil.
	afterPage func()
}

func (s *store) put(key, value string) {
	s.revision++
	s.items[key] = mirror.Item{Key: key, Value: []byte(value), Revision: s.revision}
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
}

func (s *store) Range(_ context.Context, prefix, after string) (mirror.Page, error) {
	s.calls++
	if s.unreachable {
		return mirror.Page{}, errStoreUnreachable
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := mirror.Page{Revision: s.revision, Era: s.era, More: len(keys) > 2}
	for _, key := range keys[:min(len(keys), 2)] {
		page.Items = append(page.Items, s.items[key])
	}
	if after == "" && s.afterPage != nil {
		s.afterPage()
	}

	return page, nil
}

// fixture is a mirror with the store and the clock that a test controls.
type fixture struct {
	store   *store
	clock   *timer.Manual
	mirror  *mirror.Mirror
	changes int
}

// outageGap is the Options.OutageGap of the mirrors.
const outageGap = 3 * time.Second

// newFixture returns a mirror of a store; its MaxAge is 500 ms.
func newFixture(s *store, deletionGrace time.Duration) *fixture {
	f := &fixture{store: s, clock: timer.NewManual(time.Unix(0, 0))}
	f.mirror = mirror.New(s, f.clock, zap.NewNop(), mirror.Options{
		Prefix: "t/", MaxAge: 500 * time.Millisecond, DeletionGrace: deletionGrace, OutageGap: outageGap, OnChange: func(mirror.Snapshot) { f.changes++ },
	})

	return f
}

// newStore returns a store with n items.
func newStore(n int) *store {
	s := &store{items: map[string]mirror.Item{}}
	for i := range n {
		s.put(fmt.Sprint("t/", i), "x")
	}

	return s
}

// copyTo copies the changes since the copy of another mirror to that mirror.
func (f *fixture) copyTo(t *testing.T, to *fixture) {
	t.Helper()
	base, _ := to.mirror.Version()
	require.True(t, to.mirror.ApplyDelta(f.mirror.ChangesSince(base)))
}

// keys returns the sorted keys of the copy.
func (f *fixture) keys() []string {
	var keys []string
	for key := range f.mirror.Snapshot().Items {
		keys = append(keys, key)
	}
	sort.Strings(keys)

	return keys
}

// Guards against reads that leave out pages, and against calls of OnChange when nothing
// changed.
func TestReadsAllPagesAndReportsOnlyChanges(t *testing.T) {
	t.Parallel()
	f := newFixture(newStore(5), 0)
	require.True(t, f.mirror.Due(0, 0))
	require.True(t, f.mirror.Read(t.Context()))
	require.Len(t, f.keys(), 5)
	f.store.revision++
	require.False(t, f.mirror.Read(t.Context()))
	require.Equal(t, 1, f.changes)
	f.store.remove("t/3")
	require.True(t, f.mirror.Read(t.Context()))
	require.Equal(t, []string{"t/0", "t/1", "t/2", "t/4"}, f.keys())
}

// Guards against calls of the store that grow with the number of entry VMs. An entry VM
// may read a table only when no other has read it for MaxAge, and an entry VM later in
// rank must wait longer.
func TestReadsOnlyWhenNoPeerHasRead(t *testing.T) {
	t.Parallel()
	f := newFixture(newStore(1), 0)
	f.mirror.Read(t.Context())
	revision, ok := f.mirror.Version()
	require.True(t, ok)
	for range 20 {
		f.clock.Advance(400 * time.Millisecond)
		require.False(t, f.mirror.ObserveVersion(revision, option.Some(100*time.Millisecond)))
		require.False(t, f.mirror.Due(0, 0))
	}
	f.clock.Advance(450 * time.Millisecond)
	require.True(t, f.mirror.Due(0, 0))
	require.False(t, f.mirror.Due(1, 1))
	f.clock.Advance(300 * time.Millisecond)
	require.True(t, f.mirror.Due(1, 1))
}

// Guards against a start of many entry VMs at which each reads every table from the store,
// although a few could read them for all.
func TestRankDelaysFirstRead(t *testing.T) {
	t.Parallel()
	first, second := newFixture(newStore(1), 0), newFixture(newStore(1), 0)
	require.True(t, first.mirror.Due(0, 0))
	require.False(t, second.mirror.Due(1, 1))
	second.clock.Advance(300 * time.Millisecond)
	require.True(t, second.mirror.Due(1, 1), "no other entry VM has read the table")
}

// Guards against a configuration that goes back to an older version because an older copy
// replaces a newer one.
func TestAppliesOnlyNewerCopies(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	ahead, behind := newFixture(s, 0), newFixture(s, 0)
	behind.mirror.Read(t.Context())
	s.put("t/1", "y")
	s.remove("t/2")
	ahead.mirror.Read(t.Context())
	revision, _ := ahead.mirror.Version()
	require.True(t, behind.mirror.ObserveVersion(revision, option.None[time.Duration]()))
	old := behind.mirror.ChangesSince(table.Version{})
	ahead.copyTo(t, behind)
	require.Equal(t, []string{"t/0", "t/1"}, behind.keys())
	require.Equal(t, "y", string(behind.mirror.Snapshot().Items["t/1"].Value))
	require.False(t, behind.mirror.ApplyDelta(old))
	require.Equal(t, []string{"t/0", "t/1"}, behind.keys())
}

// Guards against changes and deletions that are missing from a delta.
func TestDeltaCarriesChangesAndDeletions(t *testing.T) {
	t.Parallel()
	s := newStore(4)
	ahead, behind := newFixture(s, 0), newFixture(s, 0)
	ahead.mirror.Read(t.Context())
	behind.mirror.Read(t.Context())
	s.put("t/9", "new")
	s.remove("t/0")
	ahead.mirror.Read(t.Context())
	base, _ := behind.mirror.Version()
	delta := ahead.mirror.ChangesSince(base)
	require.False(t, delta.Whole)
	require.Len(t, delta.Items, 1)
	ahead.copyTo(t, behind)
	require.Equal(t, ahead.keys(), behind.keys())
}

// Guards against servers that left and stay in use at the entry VMs that do not read the
// store themselves, from the departure on that fills the reader's memory of deletions.
func TestDeltasAfterManyDepartures(t *testing.T) {
	t.Parallel()
	const servers, wave = 1500, 46
	s := newStore(servers)
	reader, copier := newFixture(s, 0), newFixture(s, 0)
	reader.mirror.Read(t.Context())
	reader.copyTo(t, copier)
	for left := 0; left+wave < servers; left += wave {
		for i := range wave {
			s.remove(fmt.Sprint("t/", left+i))
		}
		require.True(t, reader.mirror.Read(t.Context()))
		reader.copyTo(t, copier)
		require.Equal(t, reader.keys(), copier.keys(), "after %d departures", left+wave)
	}
}

// Guards against a server that stays in use at the entry VMs that copy from one that
// started after the server had left.
func TestDeltaOfEntryVMThatStartedLater(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	started, old := newFixture(s, 0), newFixture(s, 0)
	old.mirror.Read(t.Context())
	s.remove("t/0")
	s.put("t/1", "y")
	started.mirror.Read(t.Context())
	started.copyTo(t, old)
	require.Equal(t, []string{"t/1", "t/2"}, old.keys())
}

// Guards against a server that stays in use because it left between two pages of a read:
// the copy of the reader lacks it although its revision is that of the first page.
func TestDeletionBetweenPages(t *testing.T) {
	t.Parallel()
	s := newStore(5)
	reader, other := newFixture(s, 0), newFixture(s, 0)
	reader.mirror.Read(t.Context())
	s.put("t/0", "y")
	other.mirror.Read(t.Context())
	s.afterPage = func() { s.remove("t/4") }
	reader.mirror.Read(t.Context())
	s.afterPage = nil
	require.True(t, reader.mirror.Read(t.Context()))
	reader.copyTo(t, other)
	require.Equal(t, []string{"t/0", "t/1", "t/2", "t/3"}, other.keys())
}

// Guards against an entry VM that takes its copy for fresh because another one read the
// same revision, although its own copy shows a part of later changes.
func TestCopyReadDuringChangeIsReadAgain(t *testing.T) {
	t.Parallel()
	s := newStore(5)
	f := newFixture(s, 0)
	s.afterPage = func() { s.put("t/9", "x") }
	f.mirror.Read(t.Context())
	s.afterPage = nil
	s.remove("t/9")
	revision, _ := f.mirror.Version()
	for range 8 {
		f.clock.Advance(200 * time.Millisecond)
		f.mirror.ObserveVersion(revision, option.Some(time.Duration(0)))
	}
	require.True(t, f.mirror.Due(0, 0))
	f.mirror.Read(t.Context())
	require.Len(t, f.keys(), 5)
}

// Guards against a herd: entry VMs that copy the table must not all read the store because
// the store changes between the pages of each read.
func TestChangesDuringReadsDoNotMakeOthersRead(t *testing.T) {
	t.Parallel()
	s := newStore(5)
	reader, copier := newFixture(s, 0), newFixture(s, 0)
	s.afterPage = func() { s.revision++ }
	for range 20 {
		reader.mirror.Read(t.Context())
		reader.copyTo(t, copier)
		for range 5 {
			revision, _ := reader.mirror.Version()
			age, _ := reader.mirror.OwnReadAge()
			copier.mirror.ObserveVersion(revision, option.Some(age))
			require.False(t, copier.mirror.Due(1, 1))
			reader.clock.Advance(100 * time.Millisecond)
			copier.clock.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against servers that are dropped because their entries expired during an
// outage of the store. Expired entries must be kept for DeletionGrace, then dropped if
// they were not written again.
func TestKeepsDeletedItemsAfterStoreOutage(t *testing.T) {
	t.Parallel()
	const deletionGrace = 2 * time.Second
	f := newFixture(newStore(3), deletionGrace)
	f.mirror.Read(t.Context())
	f.clock.Advance(10 * time.Second)
	f.store.unreachable = true
	f.mirror.Read(t.Context())
	require.False(t, f.mirror.Due(0, 0), "a failed read is repeated without a pause")
	require.True(t, f.mirror.Failing())
	f.clock.Advance(550 * time.Millisecond)
	require.True(t, f.mirror.Due(0, 0))
	require.False(t, f.mirror.Due(0, 5), "all entry VMs call an unreachable store at once")
	f.clock.Advance(2 * time.Second)
	require.True(t, f.mirror.Due(0, 5))
	f.store.unreachable = false
	expired := f.store.items["t/1"]
	f.store.remove("t/0")
	f.store.remove("t/1")
	f.clock.Advance(time.Second)
	f.mirror.Read(t.Context())
	require.Len(t, f.keys(), 3)
	f.store.put("t/1", string(expired.Value))
	f.mirror.Read(t.Context())
	f.clock.Advance(deletionGrace - time.Millisecond)
	require.False(t, f.mirror.DropExpired())
	f.clock.Advance(time.Millisecond)
	calls := f.store.calls
	require.True(t, f.mirror.DropExpired())
	require.Equal(t, []string{"t/1", "t/2"}, f.keys())
	require.Equal(t, calls, f.store.calls, "the end of the grace needs a read of the store")
}

// outage makes the next read of a mirror fail, then the store answer again.
func (f *fixture) outage(t *testing.T) {
	t.Helper()
	f.store.unreachable = true
	require.False(t, f.mirror.Read(t.Context()))
	f.clock.Advance(outageGap + time.Millisecond)
	f.store.unreachable = false
}

// Guards against servers that stay in use after the grace that follows an outage. The
// store's revision does not move when the grace ends.
func TestKeptItemsGoWithoutChangeOfStore(t *testing.T) {
	t.Parallel()
	f := newFixture(newStore(3), 2*time.Second)
	f.mirror.Read(t.Context())
	f.outage(t)
	f.store.remove("t/0")
	f.store.put("t/1", "y")
	f.mirror.Read(t.Context())
	require.Equal(t, []string{"t/0", "t/1", "t/2"}, f.keys())
	for range 5 {
		f.clock.Advance(500 * time.Millisecond)
		f.mirror.Read(t.Context())
		f.mirror.DropExpired()
	}
	require.Equal(t, []string{"t/1", "t/2"}, f.keys())
}

// Guards against entry VMs that were in touch with the store all the time and take over
// what another keeps after its own outage.
func TestKeptItemsStayOnOneEntryVM(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	back, inTouch := newFixture(s, 2*time.Second), newFixture(s, 2*time.Second)
	back.mirror.Read(t.Context())
	inTouch.mirror.Read(t.Context())
	back.outage(t)
	s.remove("t/0")
	s.put("t/1", "y")
	back.mirror.Read(t.Context())
	require.Len(t, back.keys(), 3)
	back.copyTo(t, inTouch)
	require.Equal(t, []string{"t/1", "t/2"}, inTouch.keys())
}

// Guards against servers that left and stay in use at an entry VM, and at those that copy
// its table, because the store was out of reach of that entry VM alone.
func TestStoreOutOfReachOfOneEntryVMIsNoOutage(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	f := newFixture(s, 2*time.Second)
	f.mirror.Read(t.Context())
	revision, _ := f.mirror.Version()
	for range 10 {
		s.unreachable = true
		require.False(t, f.mirror.Read(t.Context()))
		s.unreachable = false
		f.clock.Advance(500 * time.Millisecond)
		f.mirror.ObserveVersion(revision, option.Some(100*time.Millisecond))
	}
	s.remove("t/0")
	require.True(t, f.mirror.Read(t.Context()))
	require.Equal(t, []string{"t/1", "t/2"}, f.keys())
}

// Guards against an entry VM that has read the store never or long ago, and drops the
// servers that an outage made expire because it does not know of the outage.
func TestOutageIsKnownWithoutOwnReads(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	reader, copier := newFixture(s, 2*time.Second), newFixture(s, 2*time.Second)
	reader.mirror.Read(t.Context())
	reader.clock.Advance(2 * time.Second)
	reader.copyTo(t, copier)
	reader.clock.Advance(1500 * time.Millisecond)
	copier.clock.Advance(1500 * time.Millisecond)
	s.remove("t/0")
	s.put("t/1", "y")
	reader.mirror.Read(t.Context())
	reader.copyTo(t, copier)
	require.Len(t, reader.keys(), 3)
	require.Len(t, copier.keys(), 3)
	copier.clock.Advance(2 * time.Second)
	require.True(t, copier.mirror.DropExpired())
	require.Equal(t, []string{"t/1", "t/2"}, copier.keys())
}

// Guards against a log line for every read of a table whose items are not kept.
func TestReadsAreNotLogged(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.InfoLevel)
	s, clock := newStore(1), timer.NewManual(time.Unix(0, 0))
	m := mirror.New(s, clock, zap.New(core), mirror.Options{Prefix: "t/", OnChange: func(mirror.Snapshot) {}})
	for range 3 {
		m.Read(t.Context())
		clock.Advance(time.Minute)
	}
	require.Zero(t, logs.Len())
}

// Guards against an entry VM that starts right after an outage and drops servers whose
// entries are about to be written again.
func TestStartAfterOutageTakesOverKeptItems(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	other, started := newFixture(s, 2*time.Second), newFixture(s, 2*time.Second)
	other.mirror.Read(t.Context())
	other.outage(t)
	s.remove("t/0")
	other.mirror.Read(t.Context())
	other.clock.Advance(500 * time.Millisecond)
	other.copyTo(t, started)
	started.clock.Advance(time.Second)
	s.put("t/1", "y")
	require.True(t, started.mirror.Read(t.Context()))
	require.Len(t, started.keys(), 3)
	started.clock.Advance(500 * time.Millisecond)
	require.True(t, started.mirror.DropExpired())
	require.Equal(t, []string{"t/1", "t/2"}, started.keys())
}

// Guards against servers that left and stay in use after an entry VM has restarted: its
// first read must not count as the end of an outage of the store.
func TestRestartIsNoOutage(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	other, restarted := newFixture(s, 0), newFixture(s, 2*time.Second)
	other.mirror.Read(t.Context())
	other.copyTo(t, restarted)
	s.remove("t/0")
	require.True(t, restarted.mirror.Read(t.Context()))
	require.Equal(t, []string{"t/1", "t/2"}, restarted.keys())
}

// Guards against an entry VM that counts as cut off from the store because it has copied
// the table and has not read it yet.
func TestCopyWithoutReadIsNoFailure(t *testing.T) {
	t.Parallel()
	s := newStore(1)
	other, restarted := newFixture(s, 0), newFixture(s, 0)
	other.mirror.Read(t.Context())
	other.copyTo(t, restarted)
	require.False(t, restarted.mirror.Failing())
}

// Guards against entry VMs that consider their copies fresh because of each other's
// reports, although none of them reads the store. The ages in reports leave out the
// transit time of the reports.
func TestCopiesAgeWhenNobodyReads(t *testing.T) {
	t.Parallel()
	s := newStore(1)
	a, b := newFixture(s, 0), newFixture(s, 0)
	a.mirror.Read(t.Context())
	base, _ := a.mirror.Version()
	b.mirror.ApplyDelta(a.mirror.ChangesSince(table.Version{}))
	report := func(from, to *fixture) {
		age, ok := from.mirror.OwnReadAge()
		reported := option.None[time.Duration]()
		if ok {
			reported = option.Some(age)
		}
		require.False(t, to.mirror.ObserveVersion(base, reported))
	}
	const transit = 100 * time.Millisecond
	for range 20 {
		report(a, b)
		report(b, a)
		a.clock.Advance(transit)
		b.clock.Advance(transit)
	}
	require.True(t, a.mirror.Due(0, 0))
	require.True(t, b.mirror.Due(0, 0))
}

// Guards against a herd: many entry VMs whose copies are late, or that have none yet, must
// not all read the store at the same time. The others know that the first has read the
// table, and their copies arrive late.
func TestLateCopiesDoNotMakeAllReadTheStore(t *testing.T) {
	t.Parallel()
	const entryVMs, step = 295, 100 * time.Millisecond
	for _, loaded := range []bool{true, false} {
		t.Run(fmt.Sprint("loaded ", loaded), func(t *testing.T) {
			t.Parallel()
			s := &store{items: map[string]mirror.Item{}}
			s.put("p/1", "old")
			var fixtures []*fixture
			for range entryVMs {
				f := newFixture(s, 0)
				if loaded {
					require.True(t, f.mirror.Read(t.Context()))
				}
				fixtures = append(fixtures, f)
			}
			wasDue := make([]bool, entryVMs)
			for at := time.Duration(0); at < 2*time.Second; at += step {
				newlyDue := 0
				for rank, f := range fixtures {
					if f.mirror.Due(rank, rank) {
						if !wasDue[rank] {
							newlyDue++
						}
						wasDue[rank] = true
						if rank == 0 {
							s.put("p/1", at.String())
							f.mirror.Read(t.Context())
						}
					}
					if rank > 0 {
						f.mirror.ObserveVersion(table.Version{Revision: s.revision}, option.Some(time.Duration(0)))
					}
					f.clock.Advance(step)
				}
				require.LessOrEqual(t, newlyDue, entryVMs/20, "entry VMs whose turn to read the store came within %s, %s after the start", step, at)
			}
		})
	}
}
