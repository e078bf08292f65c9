package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

// at returns a moment a number of milliseconds after the start of the process.
func at(millis int) proof.Moment {
	elapsed := time.Duration(millis) * time.Millisecond

	return proof.NewMoment(elapsed, time.Unix(0, 0).Add(elapsed))
}

// Guards against a read that seems to have begun after a report which was sent later, or
// by an earlier process, or that is known only from another start of the relay.
func TestMarksProveOnlyEarlierReports(t *testing.T) {
	t.Parallel()
	relay, restarted := proof.NewJournal(1), proof.NewJournal(2)
	first, second := relay.Make("r"), relay.Make("r")
	other := restarted.Make("r")
	j := proof.NewJournal(3)
	j.Sent(40, at(1000))
	j.Sent(41, at(2000))
	j.Listed(first, 40)
	j.Listed(second, 41)
	check := func(want int, marks ...proof.Mark) {
		t.Helper()
		got, ok := j.Before(marks)
		require.Equal(t, want > 0, ok)
		if ok {
			require.Equal(t, at(want), got)
		}
	}
	check(1000, first)
	check(2000, second)
	check(2000, other, first, relay.Make("r"), second)
	check(0, other)
	check(0)
	// Not reports of this process, or no longer known.
	for _, sequence := range []uint32{41 + 64, 40 + 64, 0, 1} {
		j.Listed(restarted.Make("r"), sequence)
	}
	check(0, restarted.Make("r"))
	for i := range uint32(1000) {
		j.Sent(42+i, at(3000))
	}
	j.Listed(restarted.Make("r"), 41)
	check(0, restarted.Make("r"))
}

// Guards against marks of digests that came late, which make all proofs older, and against
// more than one mark for a region.
func TestMarksAreThoseOfTheNewestDigests(t *testing.T) {
	t.Parallel()
	relay, restarted, j := proof.NewJournal(9), proof.NewJournal(1), proof.NewJournal(3)
	first, second := relay.Make("r"), relay.Make("r")
	j.Received("r", second)
	j.Received("r", first)
	require.Equal(t, []proof.Mark{second}, j.Marks())
	third := restarted.Make("r")
	j.Received("r", third)
	require.Equal(t, []proof.Mark{third}, j.Marks())
	own := j.Make("s")
	require.Equal(t, []proof.Mark{third, own}, j.Marks())
}

// Guards against relays that change often and fill the memory.
func TestOldRelaysAreForgotten(t *testing.T) {
	t.Parallel()
	j := proof.NewJournal(0)
	j.Sent(1, at(1))
	first := proof.NewJournal(1).Make("r")
	j.Listed(first, 1)
	for i := range uint32(7) {
		j.Listed(proof.NewJournal(2+i).Make("r"), 1)
	}
	_, ok := j.Before([]proof.Mark{first})
	require.True(t, ok)
	j.Listed(proof.NewJournal(20).Make("r"), 1)
	_, ok = j.Before([]proof.Mark{first})
	require.False(t, ok)
}

// Guards against a reading that proves a copy which lacks what it saw, and against one that
// is forgotten because it came before the copy.
func TestReadingProvesCopiesThatShowIt(t *testing.T) {
	t.Parallel()
	provenAt := func(c proof.Copy) int {
		m, ok := c.ProvenAt()
		if !ok {
			return 0
		}

		return int(m.Elapsed().Milliseconds())
	}
	reading := func(revision, shown uint64, millis int) proof.Reading {
		return proof.Reading{Version: table.Version{Era: 1, Revision: revision}, Shown: table.Version{Era: 1, Revision: shown}, After: at(millis)}
	}
	v := func(revision uint64) table.Version { return table.Version{Era: 1, Revision: revision} }
	var c proof.Copy
	c = c.WithReading(reading(5, 6, 100))
	require.Zero(t, provenAt(c), "there is no copy")
	older := c.WithCopy(v(4), v(4), true).WithReading(reading(7, 8, 300)).WithReading(reading(7, 7, 200))
	require.Zero(t, provenAt(older))
	require.Equal(t, 100, provenAt(older.WithCopy(v(6), v(6), true)))
	require.Equal(t, 300, provenAt(older.WithCopy(v(6), v(6), true).WithCopy(v(8), v(8), true)))
	require.Equal(t, 300, provenAt(older.WithCopy(v(7), v(7), true)), "the same copy as the reader's")
	require.Zero(t, provenAt(older.WithCopy(v(7), v(7), false)), "not known to be the same")
	require.Equal(t, 300, provenAt(older.WithCopy(v(8), v(8), true).WithReading(reading(2, 3, 250))))
	require.Zero(t, provenAt(c.WithCopy(v(4), v(4), true).WithReading(reading(3, 5, 300))), "lacks a change that was undone")
	proven := c.WithCopy(v(4), v(4), true).WithReading(reading(4, 9, 300))
	require.Equal(t, 300, provenAt(proven))
	require.Equal(t, 100, provenAt(proven.WithCopy(v(8), v(8), true)), "older than what the last reading showed")
	require.Equal(t, 300, provenAt(proven.WithCopy(v(9), v(9), true)))
	restored := table.Version{Era: 2, Revision: 3}
	next := proven.WithCopy(restored, restored, true)
	require.Equal(t, 300, provenAt(next), "what was proven stays in force")
	require.Equal(t, 300, provenAt(next.WithReading(reading(1, 2, 400))), "read before the store came back")
	require.Equal(t, 500, provenAt(next.WithReading(proof.Reading{Version: restored, Shown: restored, After: at(500)})))
	early := proven.WithReading(proof.Reading{Version: restored, Shown: restored, After: at(500)})
	require.Equal(t, 300, provenAt(early), "the copy has not come")
	require.Equal(t, 500, provenAt(early.WithCopy(restored, restored, true)))
}
