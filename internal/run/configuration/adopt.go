package configuration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// adoptFromPeer brings the root of a peer into force if the peer's version is newer
// than the one in force.
func (c *Configuration) adoptFromPeer(ctx context.Context, member event.Member, version uint64) error {
	knownRoot := c.Root()
	if version <= knownRoot.Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	root, err := c.fetchRoot(ctx, member, knownRoot)
	if err != nil && knownRoot.Version > 0 {
		// A peer that no longer keeps the root that is in force here sends its whole
		// root, which can be applied only to an empty root.
		root, err = c.fetchRoot(ctx, member, change.Root{})
	}
	if err != nil {
		return err
	}

	return c.adopt(ctx, root, c.partsFromPeer(member), c.partsFromStore)
}

// fetchRoot returns the member's root if it is newer than knownRoot; otherwise it returns
// knownRoot.
func (c *Configuration) fetchRoot(ctx context.Context, member event.Member, knownRoot change.Root) (change.Root, error) {
	delta, err := c.Peers.FetchRoot(ctx, member, knownRoot.Version)
	if err != nil {
		return change.Root{}, fmt.Errorf("fetch the root of the configuration: %w", err)
	}
	if delta.GetVersion() <= knownRoot.Version {
		return knownRoot, nil
	}

	return knownRoot.WithDelta(delta)
}

// adopt brings a root into force if it is newer than the one in force; the version
// never goes back. Parts that are not in memory come from the sources. An error
// leaves the version in force as it is.
func (c *Configuration) adopt(ctx context.Context, root change.Root, sources ...partSource) error {
	if root.Version <= c.Root().Version {
		return nil
	}
	if err := checkManifest(root); err != nil {
		return err
	}
	parts, err := c.collectParts(ctx, root, sources...)
	if err != nil {
		return err
	}
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	if root.Version <= c.Root().Version {
		return nil
	}
	config, err := c.parse(root, parts)
	if err != nil {
		return fmt.Errorf("version %d is not usable: %w", root.Version, err)
	}
	config = config.WithVersion(root.Version)
	c.install(root, parts, config)
	c.OnInForce(config)
	c.Peers.Announce(root.Version)
	c.Log.Info("configuration in force", zap.Uint64("version", root.Version), zap.String("author", root.Author()))

	return nil
}

// checkManifest checks that the root has a record of its version, and that the list of
// parts has the hash Manifest of that record. If not, the error wraps
// change.ErrMalformed.
func checkManifest(root change.Root) error {
	manifest, err := change.Manifest(root.Parts)
	if err != nil {
		return err
	}
	record, ok := root.FindVersion(root.Version)
	if !ok || record.Manifest != change.HashOf(manifest) {
		return fmt.Errorf("%w: the list of parts of version %d differs from its hash", change.ErrMalformed, root.Version)
	}

	return nil
}

// install brings the root, its parts and its parsed configuration into force. The parts
// of the previous root stay in memory.
func (c *Configuration) install(root change.Root, parts map[string][]byte, config model.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := maps.Clone(parts)
	for _, p := range c.root.Parts {
		if content, ok := c.parts[p.Hash]; ok {
			kept[p.Hash] = content
		}
	}
	if c.root.Version > 0 {
		c.earlierRoots = append(c.earlierRoots, c.root)
		c.earlierRoots = c.earlierRoots[max(0, len(c.earlierRoots)-keptEarlierRoots):]
	}
	c.root, c.parts, c.inForce = root, kept, config
}

// parse parses and checks the folder of a root; the map parts holds all its parts by
// hash. Client blocks are most of a large folder, so they are parsed again only if a
// file of blocks changed, or if a site or region that the blocks name is gone.
func (c *Configuration) parse(root change.Root, parts map[string][]byte) (model.Config, error) {
	c.mu.Lock()
	previous, inForce := c.root, c.inForce
	c.mu.Unlock()
	size := int64(0)
	for _, p := range root.Parts {
		size += p.Size
	}
	if previous.Version > 0 && size <= folder.MaxFolderBytes && len(root.Parts) <= folder.MaxFiles &&
		slices.Equal(blockParts(previous), blockParts(root)) {
		files, err := readFiles(root, parts, func(p change.Part) bool { return !isBlocks(p) })
		if err != nil {
			return model.Config{}, err
		}
		config, err := folder.ParseWithBlocks(files, inForce.Blocks)
		if !errors.Is(err, folder.ErrUnknownBlockTarget) && !errors.Is(err, folder.ErrEmpty) {
			return config, err
		}
	}
	files, err := readFiles(root, parts, func(change.Part) bool { return true })
	if err != nil {
		return model.Config{}, err
	}

	return folder.Parse(files)
}

// isBlocks reports whether the part is a file of client blocks.
func isBlocks(p change.Part) bool {
	return strings.HasSuffix(p.Name, ".blocks")
}

func blockParts(root change.Root) []change.Part {
	return slices.DeleteFunc(slices.Clone(root.Parts), func(p change.Part) bool { return !isBlocks(p) })
}

// readFiles returns the decompressed files of the parts for which isWanted returns true.
func readFiles(root change.Root, parts map[string][]byte, isWanted func(change.Part) bool) ([]folder.File, error) {
	files := make([]folder.File, 0, len(root.Parts))
	for _, p := range root.Parts {
		if !isWanted(p) {
			continue
		}
		content, err := decompress(parts[p.Hash])
		if err != nil {
			return nil, err
		}
		files = append(files, folder.File{Name: p.Name, Content: content})
	}

	return files, nil
}
