package change

import (
	"fmt"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
)

// Delta returns the difference between two roots; calling from.WithDelta with the
// difference returns the root to. If from is the zero Root, the delta holds the whole
// root to.
func Delta(from, to Root) (*peerpb.RootDelta, error) {
	header := to
	header.Parts = nil
	data, err := header.Encode()
	if err != nil {
		return nil, err
	}
	d := &peerpb.RootDelta{FromVersion: from.Version, Version: to.Version, Header: data}
	for _, p := range to.Parts {
		if from.Hash(p.Name) != p.Hash {
			d.Changed = append(d.Changed, &peerpb.PartRef{Name: p.Name, Hash: p.Hash, SizeBytes: p.Size})
		}
	}
	for _, p := range from.Parts {
		if to.Hash(p.Name) == "" {
			d.Removed = append(d.Removed, p.Name)
		}
	}

	return d, nil
}

// WithDelta applies a delta and returns the resulting root. A delta from version 0 is
// applied to the empty root instead of r. The error wraps ErrMalformed if the delta
// starts from a version other than that of r, or if the header of the delta is wrong.
func (r Root) WithDelta(d *peerpb.RootDelta) (Root, error) {
	if d.GetFromVersion() == 0 {
		r = Root{}
	}
	if d.GetFromVersion() != r.Version {
		return Root{}, fmt.Errorf("%w: delta from version %d to a root of version %d", ErrMalformed, d.GetFromVersion(), r.Version)
	}
	next, err := DecodeRoot(d.GetHeader())
	if err != nil {
		return Root{}, err
	}
	if next.Version != d.GetVersion() || len(next.Parts) > 0 {
		return Root{}, fmt.Errorf("%w: delta to version %d with a header of version %d", ErrMalformed, d.GetVersion(), next.Version)
	}
	changed := make([]Part, 0, len(d.GetChanged()))
	for _, p := range d.GetChanged() {
		changed = append(changed, Part{Name: p.GetName(), Hash: p.GetHash(), Size: p.GetSizeBytes()})
	}
	next.Parts = r.Parts

	return next.WithParts(changed, d.GetRemoved()), nil
}
