package mirror_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

// restore makes the store go on from the copy that older returned.
func (s *store) restore(items map[string]table.Item, revision uint64) {
	s.era++
	s.items, s.revision = maps.Clone(items), revision
}

// Guards against a copy that stays at the state before the store came back from an older copy,
// because its revision is higher, here and at the entry VMs that copy it.
func TestCopyOfALowerEraGivesWay(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	items, revision := maps.Clone(s.items), s.revision
	for _, key := range []string{"t/1", "t/7", "t/8", "t/9"} {
		s.put(key, "lost")
	}
	reader, copier, cutOff := newFixture(s, 0), newFixture(s, 0), newFixture(s, 0)
	for _, f := range []*fixture{reader, copier, cutOff} {
		require.True(t, f.mirror.Read(t.Context()))
	}
	old, _ := reader.mirror.Version()
	s.restore(items, revision)
	s.put("t/5", "new")
	require.True(t, reader.mirror.Read(t.Context()))
	version, _ := reader.mirror.Version()
	require.Equal(t, table.Version{Era: 1, Revision: revision + 1}, version)
	require.Less(t, version.Revision, old.Revision)
	require.True(t, copier.mirror.ObserveVersion(version, option.None[time.Duration]()))
	reader.copyTo(t, copier)
	for _, f := range []*fixture{reader, copier} {
		require.Equal(t, []string{"t/0", "t/1", "t/2", "t/5"}, f.keys())
		require.Equal(t, "x", string(f.mirror.Snapshot().Items["t/1"].Value))
		require.False(t, f.mirror.ObserveVersion(old, option.Some(time.Duration(0))), "a copy of the era before")
		require.False(t, f.mirror.ApplyDelta(cutOff.mirror.ChangesSince(table.Version{})))
	}
	reader.copyTo(t, cutOff)
	require.Equal(t, reader.keys(), cutOff.keys())
}

// Guards against an answer of the era before that was delayed, and against a copy of pages of
// two eras.
func TestAnswersOfALowerEraAreNotUsed(t *testing.T) {
	t.Parallel()
	s := newStore(5)
	items, revision := maps.Clone(s.items), s.revision
	f := newFixture(s, 0)
	s.put("t/9", "lost")
	restored := false
	s.afterPage = func() {
		if !restored {
			restored = true
			s.restore(items, revision)
		}
	}
	require.True(t, f.mirror.Read(t.Context()))
	require.Equal(t, []string{"t/0", "t/1", "t/2", "t/3", "t/4"}, f.keys())
	version, _ := f.mirror.Version()
	require.Equal(t, table.Version{Era: 1, Revision: revision}, version)
	s.afterPage = nil
	s.put("t/6", "x")
	s.era = 0
	require.False(t, f.mirror.Read(t.Context()))
	require.True(t, f.mirror.Failing())
	require.Len(t, f.keys(), 5)
	s.era = 1
	require.True(t, f.mirror.ObserveVersion(table.Version{Era: 2, Revision: 1}, option.None[time.Duration]()))
	require.False(t, f.mirror.Read(t.Context()), "another entry VM has seen a later era")
	s.era = 2
	require.True(t, f.mirror.Read(t.Context()))
	s.afterPage = func() { s.era++ }
	require.False(t, f.mirror.Read(t.Context()), "the era rises in each read")
}

// Guards against servers that are dropped because the older copy of the store lacks their
// entries, which they are about to write again.
func TestKeepsItemsThatTheOlderCopyLacks(t *testing.T) {
	t.Parallel()
	s := newStore(2)
	items, revision := maps.Clone(s.items), s.revision
	s.put("t/2", "x")
	s.put("t/3", "x")
	reader, copier := newFixture(s, 2*time.Second), newFixture(s, 2*time.Second)
	reader.mirror.Read(t.Context())
	reader.copyTo(t, copier)
	s.restore(items, revision)
	reader.mirror.Read(t.Context())
	reader.copyTo(t, copier)
	require.Len(t, reader.keys(), 4)
	require.Len(t, copier.keys(), 4)
	s.put("t/3", "again")
	reader.mirror.Read(t.Context())
	reader.copyTo(t, copier)
	for _, f := range []*fixture{reader, copier} {
		f.clock.Advance(2 * time.Second)
		require.True(t, f.mirror.DropExpired())
		require.Equal(t, []string{"t/0", "t/1", "t/3"}, f.keys())
	}
}

// Guards against a copy that counts as proven although the store lacks what is in force.
func TestCopyThatIsBehindIsNotProven(t *testing.T) {
	t.Parallel()
	f := newFleet(1)
	vm := f.vms[0]
	f.write("t/1")
	require.True(t, vm.mirror.Read(t.Context()))
	f.store.era++
	vm.mirror.SetBehind(true)
	f.now += time.Second
	require.True(t, vm.mirror.Read(t.Context()))
	age, ok := vm.mirror.ProvenAge()
	require.True(t, ok)
	require.Equal(t, time.Second, age)
	vm.mirror.SetBehind(false)
	f.write("t/1")
	require.True(t, vm.mirror.Read(t.Context()))
	age, _ = vm.mirror.ProvenAge()
	require.Zero(t, age)
}
