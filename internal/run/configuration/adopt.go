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

// fetch brings the newer root of a peer into force.
func (c *Configuration) fetch(ctx context.Context, member event.Member, version uint64) error {
	known := c.Root()
	if version <= known.Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	root, err := c.fetchRoot(ctx, member, known)
	if err != nil && known.Version > 0 {
		// A peer that does not know the version in force here sends it all.
		root, err = c.fetchRoot(ctx, member, change.Root{})
	}
	if err != nil {
		return err
	}

	return c.adopt(ctx, root, c.peerParts(member), c.storeParts)
}

func (c *Configuration) fetchRoot(ctx context.Context, member event.Member, known change.Root) (change.Root, error) {
	delta, err := c.Peers.FetchRoot(ctx, member, known.Version)
	if err != nil {
		return change.Root{}, fmt.Errorf("fetch root: %w", err)
	}
	if delta.GetVersion() <= known.Version {
		return known, nil
	}

	return known.WithDelta(delta)
}

// adopt brings a root into force when it is newer than the one in force; a
// version never goes back.
func (c *Configuration) adopt(ctx context.Context, root change.Root, sources ...source) error {
	if root.Version <= c.Root().Version {
		return nil
	}
	if err := checkManifest(root); err != nil {
		return err
	}
	parts, err := c.collect(ctx, root, sources...)
	if err != nil {
		return err
	}
	c.adopting.Lock()
	defer c.adopting.Unlock()
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

// checkManifest compares the list of parts with its hash in the audit record.
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
		c.older = append(c.older, c.root)
		c.older = c.older[max(0, len(c.older)-keptRoots):]
	}
	c.root, c.parts, c.force = root, kept, config
}

// parse checks the whole folder of a root; parts holds every part of it. The
// client blocks, which are most of a large folder, are read again only when
// their files changed.
func (c *Configuration) parse(root change.Root, parts map[string][]byte) (model.Config, error) {
	c.mu.Lock()
	last, force := c.root, c.force
	c.mu.Unlock()
	size := int64(0)
	for _, p := range root.Parts {
		size += p.Size
	}
	if last.Version > 0 && size <= folder.MaxFolderBytes && len(root.Parts) <= folder.MaxFiles &&
		slices.Equal(blockParts(last), blockParts(root)) {
		files, err := readFiles(root, parts, func(p change.Part) bool { return !isBlocks(p) })
		if err != nil {
			return model.Config{}, err
		}
		config, err := folder.ParseKeeping(files, force.Blocks)
		if !errors.Is(err, folder.ErrBlocks) && !errors.Is(err, folder.ErrEmpty) {
			return config, err
		}
	}
	files, err := readFiles(root, parts, func(change.Part) bool { return true })
	if err != nil {
		return model.Config{}, err
	}

	return folder.Parse(files)
}

func isBlocks(p change.Part) bool {
	return strings.HasSuffix(p.Name, ".blocks")
}

func blockParts(root change.Root) []change.Part {
	return slices.DeleteFunc(slices.Clone(root.Parts), func(p change.Part) bool { return !isBlocks(p) })
}

func readFiles(root change.Root, parts map[string][]byte, wanted func(change.Part) bool) ([]folder.File, error) {
	files := make([]folder.File, 0, len(root.Parts))
	for _, p := range root.Parts {
		if !wanted(p) {
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
