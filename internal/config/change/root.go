// Package change holds the versions of the operators' configuration, the
// differences between them and the audit trail, as immutable values.
package change

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// RecentRecords is the number of accepted changes that a root keeps. Their
// nonces decide whether a change with a lost response took effect.
const RecentRecords = 64

// ErrMalformed reports a stored or received document that cannot be read.
var ErrMalformed = errors.New("malformed configuration document")

// Part names one file of the folder by the SHA-256 of its content.
type Part struct {
	Name string `json:"name"`
	// Hash is hexadecimal and of the uncompressed content.
	Hash string `json:"hash"`
	// Size is the number of uncompressed bytes.
	Size int64 `json:"size"`
}

// Root is one version of the configuration; the zero value is the empty
// configuration at version 0. Its slices must not be changed.
type Root struct {
	Version uint64 `json:"version"`
	// Parent is the version that this one was made from.
	Parent uint64 `json:"parent"`
	// AuditPage is the last page of the audit trail when the root was written;
	// later pages may exist.
	AuditPage int `json:"audit-page"`
	// Recent holds the last accepted changes up to this version, oldest first.
	Recent []Record `json:"recent"`
	// Parts are ordered by name.
	Parts []Part `json:"parts,omitempty"`
}

// DecodeRoot reads a root as the store holds it; no bytes are the empty root.
func DecodeRoot(data []byte) (Root, error) {
	if len(data) == 0 {
		return Root{}, nil
	}
	var r Root
	if err := json.Unmarshal(data, &r); err != nil {
		return Root{}, fmt.Errorf("%w: root: %w", ErrMalformed, err)
	}
	sorted := slices.IsSortedFunc(r.Parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	if r.Version == 0 || len(r.Recent) == 0 || len(r.Recent) > RecentRecords || !sorted {
		return Root{}, fmt.Errorf("%w: root of version %d", ErrMalformed, r.Version)
	}

	return r, nil
}

// Encode returns the root as the store holds it.
func (r Root) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode root: %w", err)
	}

	return data, nil
}

// Author returns the name of the operator who made this version.
func (r Root) Author() string {
	if len(r.Recent) == 0 {
		return ""
	}

	return r.Recent[len(r.Recent)-1].Author
}

// AuthorOf returns who changed a file last, as far as the recent records tell;
// otherwise who made this version.
func (r Root) AuthorOf(name string) string {
	for _, record := range slices.Backward(r.Recent) {
		if slices.Contains(record.Files, name) {
			return record.Author
		}
	}

	return r.Author()
}

// Hash returns the hash of a file, or "" when the root has no such file.
func (r Root) Hash(name string) string {
	i, ok := r.find(name)
	if !ok {
		return ""
	}

	return r.Parts[i].Hash
}

func (r Root) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Parts, name, func(p Part, name string) int { return cmp.Compare(p.Name, name) })
}

// FindNonce returns the recent record of a change.
func (r Root) FindNonce(nonce string) (Record, bool) {
	for _, record := range r.Recent {
		if record.Nonce == nonce {
			return record, true
		}
	}

	return Record{}, false
}

// FindVersion returns the recent record of a version.
func (r Root) FindVersion(version uint64) (Record, bool) {
	for _, record := range r.Recent {
		if record.Version == version {
			return record, true
		}
	}

	return Record{}, false
}

// WithParts returns the root with files added or replaced, and others removed.
func (r Root) WithParts(changed []Part, removed []string) Root {
	parts := make(map[string]Part, len(r.Parts)+len(changed))
	for _, p := range slices.Concat(r.Parts, changed) {
		parts[p.Name] = p
	}
	for _, name := range removed {
		delete(parts, name)
	}
	r.Parts = slices.SortedFunc(maps.Values(parts), func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })

	return r
}

// WithAuditPage returns the root with a newer hint at the last audit page.
func (r Root) WithAuditPage(page int) Root {
	r.AuditPage = max(r.AuditPage, page)

	return r
}

// WithRecord returns the next version, made by the change that record describes.
func (r Root) WithRecord(record Record) Root {
	r.Parent, r.Version = r.Version, r.Version+1
	record.Result = Accepted
	record.Version = r.Version
	recent := append(slices.Clone(r.Recent), record)
	r.Recent = recent[max(0, len(recent)-RecentRecords):]

	return r
}
