package change

import (
	"fmt"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
)

// Delta returns the difference between two roots; oldRoot.WithDelta applied to the
// difference returns newRoot. If oldRoot is the zero Root, the delta holds newRoot as a
// whole.
func Delta(oldRoot, newRoot Root) (*peerpb.RootDelta, error) {
	header := newRoot
	header.Parts = nil
	data, err := header.Encode()
	if err != nil {
		return nil, err
	}
	d := &peerpb.RootDelta{FromVersion: oldRoot.Version, Version: newRoot.Version, Header: data}
	for _, p := range newRoot.Parts {
		if oldRoot.Hash(p.Name) != p.Hash {
			d.Changed = append(d.Changed, &peerpb.PartRef{Name: p.Name, Hash: p.Hash, SizeBytes: p.Size})
		}
	}
	for _, p := range oldRoot.Parts {
		if newRoot.Hash(p.Name) == "" {
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
