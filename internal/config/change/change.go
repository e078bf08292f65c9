package change

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// Change is what an operator wants to do to the folder at a base version.
type Change struct {
	Base    uint64
	Author  string
	Message string
	// Nonce identifies the change however often it is sent.
	Nonce string
	// Files are added or replaced.
	Files []folder.File
	// Removed names files to remove.
	Removed []string
}

// WithAuthor returns the change made by another operator.
func (c Change) WithAuthor(author string) Change {
	c.Author = author

	return c
}

// FileNames returns the sorted names of all files that the change touches.
func (c Change) FileNames() []string {
	names := slices.Clone(c.Removed)
	for _, f := range c.Files {
		names = append(names, f.Name)
	}
	slices.Sort(names)

	return names
}

// Digest returns a short hash of the content of the change.
func (c Change) Digest() string {
	var text []byte
	for _, f := range c.Files {
		text = fmt.Appendf(text, "%q %s\n", f.Name, HashOf(f.Content))
	}
	for _, name := range c.Removed {
		text = fmt.Appendf(text, "%q\n", name)
	}

	return HashOf(text)[:16]
}

// Check reports names that stand twice in the change.
func (c Change) Check() error {
	names := c.FileNames()
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return fmt.Errorf("file %q stands twice in the change", names[i])
		}
	}

	return nil
}

// HashOf returns the hash by which a part is stored.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)

	return hex.EncodeToString(sum[:])
}

// Manifest returns the list of parts as it is stored under its hash.
func Manifest(parts []Part) ([]byte, error) {
	data, err := json.Marshal(parts)
	if err != nil {
		return nil, fmt.Errorf("encode list of parts: %w", err)
	}

	return data, nil
}

// DecodeManifest reads a list of parts.
func DecodeManifest(data []byte) ([]Part, error) {
	var parts []Part
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, fmt.Errorf("%w: list of parts: %w", ErrMalformed, err)
	}

	return parts, nil
}

// Clash is a file that changed since the base version of a change.
type Clash struct {
	File string
	// Base and Current are the hashes of the file, or "" where it does not exist.
	Base, Current string
	// Change is the content that the change wants, nil when it removes the file.
	Change []byte
}

// Merge returns current with the parts of the change, or the first file that
// differs from its base. The version and the records are those of current.
func Merge(base, current Root, c Change) (merged Root, clash *Clash) {
	changed := make([]Part, 0, len(c.Files))
	for _, f := range c.Files {
		part := Part{Name: f.Name, Hash: HashOf(f.Content), Size: int64(len(f.Content))}
		was, is := base.Hash(f.Name), current.Hash(f.Name)
		if is != was && is != part.Hash {
			return Root{}, &Clash{File: f.Name, Base: was, Current: is, Change: f.Content}
		}
		changed = append(changed, part)
	}
	for _, name := range c.Removed {
		was, is := base.Hash(name), current.Hash(name)
		if is != was && is != "" {
			return Root{}, &Clash{File: name, Base: was, Current: is}
		}
	}

	return current.WithParts(changed, c.Removed), nil
}
