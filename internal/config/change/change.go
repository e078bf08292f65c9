package change

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// Change is an operator's change of the folder of configuration files.
type Change struct {
	// Base is the version that the change was made against.
	Base    uint64
	Author  string
	Message string
	// Nonce identifies the change; it stays the same if the change is sent again.
	Nonce string
	// Files are the files to add or replace.
	Files []folder.File
	// Removed names the files to remove.
	Removed []string
}

// WithAuthor returns the change with another author.
func (c Change) WithAuthor(author string) Change {
	c.Author = author

	return c
}

// FileNames returns the names of all files that the change adds, replaces or
// removes, sorted.
func (c Change) FileNames() []string {
	names := slices.Clone(c.Removed)
	for _, f := range c.Files {
		names = append(names, f.Name)
	}
	slices.Sort(names)

	return names
}

// Digest returns a hash of the files that the change adds, replaces and removes: the
// first 16 hexadecimal digits of a SHA-256.
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

// Check returns an error if the change names a file more than once.
func (c Change) Check() error {
	names := c.FileNames()
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return fmt.Errorf("file %q is named more than once", names[i])
		}
	}

	return nil
}

// HashOf returns the hexadecimal SHA-256 of content. Content is stored under this hash.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)

	return hex.EncodeToString(sum[:])
}

// Manifest returns the manifest of a version: the list of the version's parts in JSON.
// The manifest is stored under its own hash.
func Manifest(parts []Part) ([]byte, error) {
	data, err := json.Marshal(parts)
	if err != nil {
		return nil, fmt.Errorf("encode list of parts: %w", err)
	}

	return data, nil
}

// DecodeManifest decodes a manifest. The error wraps ErrMalformed.
func DecodeManifest(data []byte) ([]Part, error) {
	var parts []Part
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, fmt.Errorf("%w: list of parts: %w", ErrMalformed, err)
	}

	return parts, nil
}

// Clash describes a file that a change would set differently than a version that was
// made after the change's base version.
type Clash struct {
	File string
	// Base and Current are the hashes of the file in the base version and in the
	// newest version; "" means that the file does not exist in that version.
	Base, Current string
	// Change is the content of the file in the change; nil if the change removes it.
	Change []byte
}

// Merge applies a change that was made against base to current. The merged root keeps
// the version and the records of current. A file of the change clashes if it differs
// between base and current and is not yet in current as the change wants it. Merge
// returns the first such file as clash; clash is nil if there is none.
func Merge(base, current Root, c Change) (merged Root, clash *Clash) {
	changed := make([]Part, 0, len(c.Files))
	for _, f := range c.Files {
		part := Part{Name: f.Name, Hash: HashOf(f.Content), Size: int64(len(f.Content))}
		baseHash, currentHash := base.Hash(f.Name), current.Hash(f.Name)
		if currentHash != baseHash && currentHash != part.Hash {
			return Root{}, &Clash{File: f.Name, Base: baseHash, Current: currentHash, Change: f.Content}
		}
		changed = append(changed, part)
	}
	for _, name := range c.Removed {
		baseHash, currentHash := base.Hash(name), current.Hash(name)
		if currentHash != baseHash && currentHash != "" {
			return Root{}, &Clash{File: name, Base: baseHash, Current: currentHash}
		}
	}

	return current.WithParts(changed, c.Removed), nil
}
