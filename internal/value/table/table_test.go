package table_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/value/table"
)

// store is a table whose every change has a revision.
type store struct {
	items         map[string]table.Item
	era, revision uint64
}

func (s *store) put(key string) {
	s.revision++
	s.items[key] = table.Item{Key: key, Revision: s.revision}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// read reads the table into a copy. Between the two parts of the read it calls change.
func (s *store) read(c table.Copy, change func()) table.Copy {
	items, revision := map[string]table.Item{}, s.revision
	for key, item := range s.items {
		if key < "k5" {
			items[key] = item
		}
	}
	change()
	for key, item := range s.items {
		if key >= "k5" {
			items[key] = item
		}
	}
	c, _ = c.WithRead(items, s.era, revision, s.revision)

	return c
}

func unchanged() {}

func newStore(n int) *store {
	s := &store{items: map[string]table.Item{}}
	for i := range n {
		s.put(fmt.Sprintf("k%d", i))
	}

	return s
}

func send(from, to table.Copy) table.Copy {
	next, _ := to.WithDelta(from.DeltaSince(to.Version()))

	return next
}

// Guards against a server that stays in use because the sender of a delta started after
// the server left and does not know that it was there.
func TestDeltaOfCopyThatStartedAfterDeletion(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	old := s.read(table.Copy{}, unchanged)
	s.remove("k0")
	s.put("k1")
	started := s.read(table.Copy{}, unchanged)
	require.Equal(t, s.items, send(started, old).Items())
}

// Guards against a server that stays in use because it came and left between two reads of
// the sender, while the receiver had read the table.
func TestDeltaForRevisionBetweenReads(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	sender := s.read(table.Copy{}, unchanged)
	s.put("k7")
	receiver := s.read(table.Copy{}, unchanged)
	s.remove("k7")
	s.put("k1")
	sender = s.read(sender, unchanged)
	require.False(t, sender.DeltaSince(receiver.Version()).Whole)
	require.Equal(t, s.items, send(sender, receiver).Items())
}

// Guards against a server that stays in use because it left between two parts of a read:
// the sender's copy lacks it although its revision is that of a copy which has it.
func TestDeletionBetweenPartsOfRead(t *testing.T) {
	t.Parallel()
	s := newStore(9)
	sender := s.read(table.Copy{}, unchanged)
	s.put("k1")
	receiver := s.read(table.Copy{}, unchanged)
	sender = s.read(sender, func() { s.remove("k8") })
	require.Equal(t, receiver.Version().Revision, sender.Version().Revision)
	sender = s.read(sender, unchanged)
	require.Greater(t, sender.Version().Revision, receiver.Version().Revision, "the receiver would not ask for the deletion")
	require.Equal(t, s.items, send(sender, receiver).Items())
}

// Guards against deletions that are lost when the history is full: those of the step that
// filled it, and those of a step that is larger than the history.
func TestDeltaWhenHistoryIsFull(t *testing.T) {
	t.Parallel()
	for _, wave := range []int{46, 2000} {
		s := newStore(3000)
		sender := s.read(table.Copy{}, unchanged)
		for i := 0; i+wave <= 3000; i += wave {
			receiver := sender
			for k := range wave {
				s.remove(fmt.Sprintf("k%d", i+k))
			}
			s.put("k2999")
			sender = s.read(sender, unchanged)
			require.Equal(t, s.items, send(sender, receiver).Items(), "wave %d of %d", i/wave, wave)
		}
	}
}

// Guards against a delta of another version of the program, which does not say from
// where it is complete.
func TestDeltaWithoutStartIsNotApplied(t *testing.T) {
	t.Parallel()
	s := newStore(3)
	c := s.read(table.Copy{}, unchanged)
	_, ok := c.WithDelta(table.Delta{Revision: 9})
	require.False(t, ok)
}

// Guards against any order of changes, reads in parts, starts and deltas after which a
// copy has an item that the store no longer has, or lacks one that it has.
func TestCopiesFollowStoreInAnyOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Tests need the same numbers again.
		s := newStore(10)
		copies := make([]table.Copy, 4)
		change := func() {
			for range random.IntN(4) {
				key := fmt.Sprintf("k%d", random.IntN(10))
				if random.IntN(2) == 0 {
					s.put(key)
				} else {
					s.remove(key)
				}
			}
		}
		for range 200 {
			i, j := random.IntN(len(copies)), random.IntN(len(copies))
			switch random.IntN(8) {
			case 0:
				copies[i] = table.Copy{}
			case 1, 2, 3:
				copies[i] = s.read(copies[i], change)
			default:
				copies[i] = send(copies[j], copies[i])
			}
			change()
		}
		// As entry VMs do, those whose copies are not exact read again, and the reader takes
		// over newer copies before it reads.
		for i, c := range copies {
			if !c.IsExact() {
				copies[i] = s.read(c, unchanged)
			}
			copies[0] = send(copies[i], copies[0])
		}
		copies[0] = s.read(copies[0], unchanged)
		for i, c := range copies {
			c = send(copies[0], c)
			require.GreaterOrEqual(t, c.Version().Revision, copies[0].Version().Revision, "seed %d, copy %d", seed, i)
			require.True(t, maps.EqualFunc(s.items, c.Items(), func(a, b table.Item) bool { return a.Revision == b.Revision }),
				"seed %d, copy %d: %v instead of %v", seed, i, c.Items(), s.items)
		}
	}
}

// Guards against an item that is missing from a copy for a while because the receiver of a
// delta has read a newer version of it than the sender, whose version is older than the delta.
func TestDeltaKeepsItemsThatAreNewer(t *testing.T) {
	t.Parallel()
	s := newStore(9)
	sender := s.read(table.Copy{}, unchanged)
	receiver := sender
	s.put("k1")
	receiver = s.read(receiver, func() {
		s.put("k2")
		sender = s.read(sender, unchanged)
		s.put("k8")
	})
	require.Greater(t, sender.Version().Revision, receiver.Version().Revision)
	receiver = send(sender, receiver)
	require.Equal(t, s.items, receiver.Items())
	require.False(t, receiver.IsExact())
	s.remove("k8")
	require.Equal(t, s.items, send(s.read(sender, unchanged), receiver).Items())
}

// Guards against an item that was deleted and returns with the copy of another entry VM. Both
// entry VMs read the table again, one of them before the item was there and after.
func TestDeletedItemDoesNotReturnWithAnOlderCopy(t *testing.T) {
	t.Parallel()
	a, b := table.Item{Key: "a", Revision: 1}, table.Item{Key: "b", Revision: 5}
	one, both := map[string]table.Item{"a": a}, map[string]table.Item{"a": a, "b": b}
	before, _ := table.Copy{}.WithRead(one, 0, 4, 4)
	behind, _ := table.Copy{}.WithRead(both, 0, 6, 6)
	after, changed := before.WithRead(one, 0, 8, 8)
	require.False(t, changed)
	require.Equal(t, uint64(8), after.Shown().Revision)
	_, ok := after.WithDelta(behind.DeltaSince(after.Version()))
	require.False(t, ok)
	_, changed = after.WithRead(both, 0, 7, 7)
	require.False(t, changed, "a read that was slower")
	same, _ := table.Copy{}.WithRead(one, 0, 7, 7)
	next, ok := after.WithDelta(same.DeltaSince(after.Version()))
	require.True(t, ok, "equal copies get one revision")
	require.Equal(t, uint64(7), next.Version().Revision)
	require.Equal(t, uint64(8), next.Shown().Revision)
	newer, _ := behind.WithRead(both, 0, 9, 9)
	require.Equal(t, uint64(9), newer.Shown().Revision)
	next, ok = after.WithDelta(table.Delta{Whole: true, Items: both, Revision: 9, Newest: 9})
	require.True(t, ok)
	require.Equal(t, both, next.Items())
}

// Guards against copies that mix eras: an item of the era before that stays, or a delta that
// is applied to a copy of another era whose revisions are given out again.
func TestCopiesFollowTheStoreAcrossEras(t *testing.T) {
	t.Parallel()
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Tests need the same numbers again.
		s := newStore(10)
		older := *s
		older.items = maps.Clone(s.items)
		copies := make([]table.Copy, 4)
		for range 200 {
			i, j := random.IntN(len(copies)), random.IntN(len(copies))
			before := copies[i].Version()
			switch random.IntN(12) {
			case 0:
				s.put(fmt.Sprintf("k%d", random.IntN(10)))
			case 1:
				s.remove(fmt.Sprintf("k%d", random.IntN(10)))
			case 2:
				older.items, older.revision = maps.Clone(s.items), s.revision
			case 3:
				s.items, s.revision = maps.Clone(older.items), older.revision
				s.era++
			case 4, 5, 6:
				copies[i] = s.read(copies[i], func() { s.put("k7") })
			default:
				copies[i] = send(copies[j], copies[i])
			}
			require.False(t, copies[i].Version().Before(before), "seed %d", seed)
		}
		copies[0] = s.read(copies[0], unchanged)
		for i, c := range copies {
			if i > 0 {
				c = send(copies[0], c)
			}
			c = s.read(c, unchanged)
			require.Equal(t, s.era, c.Version().Era)
			require.True(t, maps.EqualFunc(s.items, c.Items(), func(a, b table.Item) bool { return a.Revision == b.Revision }),
				"seed %d, copy %d: %v instead of %v", seed, i, c.Items(), s.items)
		}
	}
}
