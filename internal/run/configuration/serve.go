package configuration

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// ServeRoot returns the difference between a peer's root, of version knownVersion, and
// the root in force. If the peer's root is not kept here, it returns the whole root
// in force. If the peer's version is not older than the one in force, it returns only
// version numbers.
func (c *Configuration) ServeRoot(knownVersion uint64) *peerpb.RootDelta {
	c.mu.Lock()
	root, knownRoot := c.root, change.Root{}
	for _, r := range c.earlierRoots {
		if r.Version == knownVersion {
			knownRoot = r
		}
	}
	c.mu.Unlock()
	if root.Version == 0 || knownVersion >= root.Version {
		return &peerpb.RootDelta{FromVersion: knownVersion, Version: root.Version}
	}
	delta, err := change.Delta(knownRoot, root)
	if err != nil {
		c.Log.Error("encoding the configuration for a peer failed", zap.Error(err))

		return &peerpb.RootDelta{}
	}

	return delta
}

// ServeParts returns the parts with these hashes that are in memory, compressed.
func (c *Configuration) ServeParts(hashes []string) []*peerpb.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []*peerpb.Part
	for _, hash := range hashes {
		if content, ok := c.parts[hash]; ok {
			parts = append(parts, &peerpb.Part{Hash: hash, Content: content})
		}
	}

	return parts
}

// Folder returns a version's number and files; version 0 asks for the one in force.
// The error wraps ErrVersionNotFound if there is no record of the version.
func (c *Configuration) Folder(ctx context.Context, version uint64) (uint64, []folder.File, error) {
	root := c.Root()
	if version != 0 && version != root.Version {
		old, _, err := c.rootOfVersion(ctx, root, version, "")
		if err != nil {
			return 0, nil, err
		}
		root = old
	}
	files := make([]folder.File, 0, len(root.Parts))
	for _, p := range root.Parts {
		content, err := c.readPart(ctx, p.Hash)
		if err != nil {
			return 0, nil, fmt.Errorf("file %s: %w", p.Name, err)
		}
		files = append(files, folder.File{Name: p.Name, Content: content})
	}

	return root.Version, files, nil
}
