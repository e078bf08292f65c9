// Package change merges operators' changes into versions of the configuration for
// `greengagetally entry`. It defines versions, differences between versions, and the
// audit trail as immutable values.
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

// RecentRecords is the number of accepted changes whose records a root keeps. If the
// response to a change is lost, the nonces in the records tell whether the change took
// effect.
const RecentRecords = 64

// ErrMalformed reports a stored or received document that is not valid.
var ErrMalformed = errors.New("malformed configuration document")

// Part is one file of the operators' folder. Its content is stored under its hash.
type Part struct {
	Name string `json:"name"`
	// Hash is the hexadecimal SHA-256 of the uncompressed content.
	Hash string `json:"hash"`
	// Size is the size of the uncompressed content in bytes.
	Size int64 `json:"size"`
}

// Root is the document of one version of the configuration and lists the files of the
// version. The zero value is the empty configuration at version 0. The slices must not
// be changed.
type Root struct {
	Version uint64 `json:"version"`
	// Parent is the version from which this version was made.
	Parent uint64 `json:"parent"`
	// AuditPage is the number of the last page of the audit trail that was known
	// when the root was written; later pages may exist.
	AuditPage int `json:"audit-page"`
	// Recent holds the records of the last accepted changes up to this version,
	// oldest first; at most RecentRecords.
	Recent []Record `json:"recent"`
	// Parts are sorted by name.
	Parts []Part `json:"parts,omitempty"`
}

// DecodeRoot decodes a stored root. If data is empty, it returns the empty root. The
// error wraps ErrMalformed.
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

// Encode returns the root as it is stored, in JSON.
func (r Root) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode root: %w", err)
	}

	return data, nil
}

// Author returns the name of the operator who made this version, or "" for version
// 0.
func (r Root) Author() string {
	if len(r.Recent) == 0 {
		return ""
	}

	return r.Recent[len(r.Recent)-1].Author
}

// AuthorOf returns the operator who changed a file last according to the recent
// records, or the author of this version if no record names the file.
func (r Root) AuthorOf(name string) string {
	for _, record := range slices.Backward(r.Recent) {
		if slices.Contains(record.Files, name) {
			return record.Author
		}
	}

	return r.Author()
}

// Hash returns the hash of the named file, or "" if the root has no such file.
func (r Root) Hash(name string) string {
	i, ok := r.findPart(name)
	if !ok {
		return ""
	}

	return r.Parts[i].Hash
}

// findPart returns the index of the named file in Parts, and whether Parts holds the
// file.
func (r Root) findPart(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Parts, name, func(p Part, name string) int { return cmp.Compare(p.Name, name) })
}

// FindNonce returns the recent record of the change with the given nonce, and false if
// there is none.
func (r Root) FindNonce(nonce string) (Record, bool) {
	for _, record := range r.Recent {
		if record.Nonce == nonce {
			return record, true
		}
	}

	return Record{}, false
}

// FindVersion returns the recent record of the change that made a version, and false if
// there is none.
func (r Root) FindVersion(version uint64) (Record, bool) {
	for _, record := range r.Recent {
		if record.Version == version {
			return record, true
		}
	}

	return Record{}, false
}

// WithParts returns the root with the files in changed added or replaced, and the files
// named in removed left out.
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

// WithAuditPage returns the root with AuditPage set to page; a number lower than the
// current AuditPage has no effect.
func (r Root) WithAuditPage(page int) Root {
	r.AuditPage = max(r.AuditPage, page)

	return r
}

// WithRecord returns the root of the next version, made by the change that record
// describes.
func (r Root) WithRecord(record Record) Root {
	r.Parent, r.Version = r.Version, r.Version+1
	record.Result = Accepted
	record.Version = r.Version
	recent := append(slices.Clone(r.Recent), record)
	r.Recent = recent[max(0, len(recent)-RecentRecords):]

	return r
}
