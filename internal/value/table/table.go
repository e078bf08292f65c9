// Package table holds copies of a table of the platform's store, and the changes that one
// copy passes to another.
//
// A copy that was read in parts shows all changes up to its revision and may show some
// later ones, because the store changed between the parts. So a copy has two revisions:
// all changes up to Revision are in it, and none after Newest.
//
// A store that came back from an older copy gives out revisions again. It has a new era then,
// and revisions are compared only within one era.
package table

import (
	"cmp"
	"maps"
	"slices"
)

// Version is a revision of the store in one of its eras.
type Version struct {
	Era, Revision uint64
}

// Before reports whether v is an older version than other: that of a lower era, or of a lower
// revision in the same era.
func (v Version) Before(other Version) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision)) < 0
}

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the item.
	Revision uint64
}

// Delta is what changed in a table between the revisions Since and Revision.
type Delta struct {
	// Whole is true when Items are the whole table. Since is unused then.
	Whole bool
	// Since is the revision from which the delta is complete: Items holds every item
	// that changed after it, and Deleted every key that was in the table at Since and is
	// not any more. The receiver must have a copy of this revision or a later one.
	Since   uint64
	Items   map[string]Item
	Deleted []string
	// Revision and Newest are those of the sender's copy, in the era Era.
	Revision, Newest uint64
	Era              uint64
}

// version returns the version of the sender's copy.
func (d Delta) version() Version {
	return Version{Era: d.Era, Revision: d.Revision}
}

const (
	// maxSteps and maxDeletions bound the history of a copy. The oldest steps are
	// forgotten first.
	maxSteps     = 256
	maxDeletions = 1024
)

// step is one replacement of a copy: the revisions of the new copy, and the keys that the
// old copy had and the new one lacks.
type step struct {
	revision, newest uint64
	deleted          []string
}

// isExact reports whether the copy was the table at its revision. A copy that shows later
// changes too may lack items without knowing that they were there.
func (s step) isExact() bool {
	return s.newest == s.revision
}

// Copy is a copy of a whole table with the history of its deletions. It does not change;
// the methods that begin with With return a new copy. The zero value is no copy yet.
type Copy struct {
	items map[string]Item
	// The revisions are those of the era, and so are those of the steps.
	era              uint64
	revision, newest uint64
	// shown is the latest revision up to which the copy is known to show all changes. It may
	// be later than revision, which stays while the table does not change.
	shown uint64
	// steps are the newest replacements of the copy, oldest first.
	steps []step
}

// Items returns the items by key. The caller must not change them.
func (c Copy) Items() map[string]Item {
	return c.items
}

// Version returns the version up to which the copy shows all changes.
func (c Copy) Version() Version {
	return Version{Era: c.era, Revision: c.revision}
}

// Shown returns the latest version up to which the copy is known to show all changes.
func (c Copy) Shown() Version {
	return Version{Era: c.era, Revision: c.shown}
}

// WithShown returns the copy, which is known to show all changes up to a revision of its era.
func (c Copy) WithShown(revision uint64) Copy {
	c.shown = max(c.shown, revision)

	return c
}

// IsExact reports whether the copy was the table at its revision. Two copies of one revision
// are equal only if both were.
func (c Copy) IsExact() bool {
	return c.newest == c.revision
}

// Loaded reports whether there is a copy.
func (c Copy) Loaded() bool {
	return len(c.steps) > 0
}

// WithRead returns the copy after a read of the whole table in an era, whose first part had
// the given revision and whose last part had the revision newest. It returns false when the
// read shows nothing that the copy does not show, with the copy that is known to show so
// much.
func (c Copy) WithRead(items map[string]Item, era, revision, newest uint64) (Copy, bool) {
	d := Delta{Whole: true, Items: items, Era: era, Revision: revision, Newest: newest}
	if !c.Loaded() || era > c.era {
		return c.with(d), true
	}
	if era < c.era || (revision <= c.revision || revision < c.shown) {
		return c, false
	}
	if c.IsExact() && sameItems(items, c.items) {
		return c.WithShown(revision), false
	}

	return c.with(d), true
}

// sameItems reports whether two tables have the same keys at the same revisions.
func sameItems(a, b map[string]Item) bool {
	return maps.EqualFunc(a, b, func(x, y Item) bool { return x.Revision == y.Revision })
}

// WithDelta returns the copy after the changes of a delta. It returns false when the
// delta is not newer than the copy or than what the copy is known to show, or when it is
// complete only from a later revision or for another era.
func (c Copy) WithDelta(d Delta) (Copy, bool) {
	usable := d.Whole || c.Loaded() && d.Era == c.era && d.Since > 0 && d.Since <= c.revision
	if !usable || !c.Version().Before(d.version()) {
		return c, false
	}
	next := c.with(d)
	// Items may have been added and deleted since, so that the sender has them still.
	if d.version().Before(c.Shown()) && !sameItems(next.items, c.items) {
		return c, false
	}

	return next, true
}

// with applies a delta and records its deletions. Nothing is kept of another era.
func (c Copy) with(d Delta) Copy {
	if d.Era != c.era {
		c = Copy{era: d.Era}
	}
	next := Copy{items: c.itemsWith(d), era: d.Era, revision: d.Revision, newest: max(c.newest, d.Newest, d.Revision), shown: max(c.shown, d.Revision)}
	s := step{revision: next.revision, newest: next.newest}
	for key := range c.items {
		if _, ok := next.items[key]; !ok {
			s.deleted = append(s.deleted, key)
		}
	}
	next.steps = slices.Concat(c.steps, []step{s})
	next.forgetOldest()

	return next
}

// itemsWith returns the items after the changes of a delta. Own items that changed after
// Since are among the delta's items, unless they were deleted or are newer than the delta.
// The newer ones stay: the sender may have an older version that is not in the delta.
func (c Copy) itemsWith(d Delta) map[string]Item {
	if d.Whole {
		return d.Items
	}
	items := make(map[string]Item, len(c.items)+len(d.Items))
	for key, item := range c.items {
		if item.Revision <= d.Since || item.Revision > d.Revision {
			items[key] = item
		}
	}
	for _, key := range d.Deleted {
		if items[key].Revision <= max(d.Revision, d.Newest) {
			delete(items, key)
		}
	}
	for key, item := range d.Items {
		if old, ok := items[key]; !ok || item.Revision > old.Revision {
			items[key] = item
		}
	}

	return items
}

// forgetOldest drops the oldest steps beyond the bounds of the history.
func (c *Copy) forgetOldest() {
	deletions := 0
	for _, s := range c.steps {
		deletions += len(s.deleted)
	}
	for len(c.steps) > 1 && (len(c.steps) > maxSteps || deletions > maxDeletions) {
		deletions -= len(c.steps[0].deleted)
		c.steps = c.steps[1:]
	}
	if deletions > maxDeletions {
		c.steps[0].deleted = nil
	}
}

// DeltaSince returns the changes for a copy of the given version. They count from the
// latest revision, not after the given one, at which this copy was the table. If its
// history does not reach back so far, or the version is of another era, the delta is the
// whole table.
func (c Copy) DeltaSince(version Version) Delta {
	d := Delta{Items: map[string]Item{}, Era: c.era, Revision: c.revision, Newest: c.newest}
	for _, s := range c.steps {
		if s.isExact() && version.Era == c.era && s.revision <= version.Revision {
			d.Since = s.revision
		}
	}
	if d.Since == 0 {
		return Delta{Whole: true, Items: c.items, Era: c.era, Revision: c.revision, Newest: c.newest}
	}
	for key, item := range c.items {
		if item.Revision > d.Since {
			d.Items[key] = item
		}
	}
	deleted := map[string]struct{}{}
	for _, s := range c.steps {
		if s.revision <= d.Since {
			continue
		}
		for _, key := range s.deleted {
			deleted[key] = struct{}{}
		}
	}
	for key := range deleted {
		if _, ok := c.items[key]; !ok {
			d.Deleted = append(d.Deleted, key)
		}
	}

	return d
}
