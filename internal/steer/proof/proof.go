// Package proof keeps what an entry VM knows of how fresh its copies of the store's tables
// are, for greengagetally-platform. A proof is a fact with a time of the entry VM's own
// clocks: no change of the table before this time is missing from the copy.
//
// Ages in messages prove nothing, because a message may lie in the buffer of a stopped
// process. Only the order of events counts: an entry VM that sent a report before a digest
// was made, which another received before it began a read, sent that report before the
// read.
package proof

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

// maxPending bounds the readings that are kept until a copy shows what they saw.
const maxPending = 8

// Moment is a time by both clocks of an entry VM. The clock of the process may stand while
// the machine is suspended, and the wall clock may be set.
type Moment struct {
	elapsed time.Duration
	wall    time.Time
}

// NewMoment returns a moment. elapsed is the time since the start of the process.
func NewMoment(elapsed time.Duration, wall time.Time) Moment {
	// Without Round, wall would be compared by the clock that may stand.
	return Moment{elapsed: elapsed, wall: wall.Round(0)}
}

// Elapsed returns the time since the start of the process.
func (m Moment) Elapsed() time.Duration {
	return m.elapsed
}

// Until returns the time from m to now, by the clock that shows the longer one.
func (m Moment) Until(now Moment) time.Duration {
	return max(now.elapsed-m.elapsed, now.wall.Sub(m.wall))
}

// After reports whether m is later than other by the clock of the process.
func (m Moment) After(other Moment) bool {
	return m.elapsed > other.elapsed
}

// Copy is the state of the proof for one copy of a table. It does not change; the methods
// that begin with With return a new state. The zero value stands for no copy.
type Copy struct {
	// The copy was the table at version if it is exact, and shows all changes up to shown.
	version, shown table.Version
	exact          bool
	provenAt       option.Option[Moment]
	// pending are readings that saw a newer table than the copy shows.
	pending []Reading
}

// Reading is a read of the table by some entry VM.
type Reading struct {
	// Version is that of the reader's exact copy after the read, and Shown the version up to
	// which this copy shows all changes. They differ when the read showed no change of the
	// table, while the store's revision rose.
	Version, Shown table.Version
	// After is a moment before the read began.
	After Moment
}

// WithCopy returns the state after the copy was replaced by one of a version, which shows
// all changes up to shown. A copy that is not exact keeps its proof, as does one of a new era:
// what it lacks of the era before stays in force until the store has it again.
func (c Copy) WithCopy(version, shown table.Version, exact bool) Copy {
	if shown.Before(c.shown) {
		// A reading came while the copy was replaced.
		c.provenAt = option.None[Moment]()
	}
	pending := c.pending
	c.version, c.shown, c.exact, c.pending = version, shown, exact, nil
	for _, r := range pending {
		c = c.WithReading(r)
	}

	return c
}

// WithReading returns the state after a reading became known. It proves the copy if that is
// equal to the reader's copy, or shows all that the read could show. Another copy of a later
// revision than the reader's may lack a change that was undone since, and one of another era
// any change.
func (c Copy) WithReading(r Reading) Copy {
	if r.Version.Era < c.version.Era {
		return c
	}
	if c.exact && r.Version.Era == c.version.Era && (c.Equals(r) || !c.version.Before(r.Shown)) {
		if c.shown.Before(r.Shown) {
			c.shown = r.Shown
		}
		if last, ok := c.provenAt.Get(); !ok || r.After.After(last) {
			c.provenAt = option.Some(r.After)
		}

		return c
	}
	for i, p := range c.pending {
		if p.Version == r.Version && !r.Shown.Before(p.Shown) {
			c.pending = slices.Delete(slices.Clone(c.pending), i, i+1)

			break
		}
	}
	c.pending = append(slices.Clone(c.pending), r)
	if len(c.pending) > maxPending {
		c.pending = c.pending[1:]
	}

	return c
}

// Equals reports whether the copy is known to equal the reader's.
func (c Copy) Equals(r Reading) bool {
	return c.exact && r.Version == c.version
}

// ProvenAt returns the time before which no change is missing from the copy. ok is false
// while there is no proof.
func (c Copy) ProvenAt() (at Moment, ok bool) {
	return c.provenAt.Get()
}
