package configuration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// partKeyPrefix comes before the hash in the store key of a part.
const partKeyPrefix = "config/part/"

// partsPerCall is the largest number of parts fetched in one call to a peer.
const partsPerCall = 64

// errMissingPart reports a part that neither memory nor a source holds.
var errMissingPart = errors.New("part of the configuration is missing")

// partSource adds parts to partsByHash: those with the given hashes that it holds. The
// values of partsByHash are compressed parts.
type partSource func(ctx context.Context, hashes []string, partsByHash map[string][]byte)

// collectParts returns all parts of a root, compressed, by hash. It takes them from
// memory, and asks the sources in order for those that are missing. If a part is still
// missing after that, the error wraps errMissingPart.
func (c *Configuration) collectParts(ctx context.Context, root change.Root, sources ...partSource) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(root.Parts))
	c.mu.Lock()
	for _, p := range root.Parts {
		if content, ok := c.parts[p.Hash]; ok {
			parts[p.Hash] = content
		}
	}
	c.mu.Unlock()
	missing := missingParts(root, parts)
	for _, source := range sources {
		if len(missing) == 0 {
			break
		}
		source(ctx, missing, parts)
		missing = missingParts(root, parts)
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("version %d: %d parts, the first %s: %w", root.Version, len(missing), missing[0], errMissingPart)
	}

	return parts, nil
}

// missingParts returns the hashes of the root's parts that are not in partsByHash.
func missingParts(root change.Root, partsByHash map[string][]byte) []string {
	var missing []string
	for _, p := range root.Parts {
		if _, ok := partsByHash[p.Hash]; !ok {
			missing = append(missing, p.Hash)
		}
	}

	return missing
}

// partsFromPeer returns a source that fetches parts from one peer.
func (c *Configuration) partsFromPeer(member event.Member) partSource {
	return func(ctx context.Context, hashes []string, partsByHash map[string][]byte) {
		for len(hashes) > 0 {
			batch := hashes[:min(partsPerCall, len(hashes))]
			hashes = hashes[len(batch):]
			parts, err := c.Peers.FetchParts(ctx, member, batch)
			if err != nil {
				c.Log.Warn("fetching parts of the configuration from a peer failed", zap.String("peer", member.VM), zap.Error(err))

				return
			}
			for _, p := range parts {
				c.addIfValid(p.GetHash(), p.GetContent(), partsByHash)
			}
		}
	}
}

// partsFromStore is a source that reads parts from the store.
func (c *Configuration) partsFromStore(ctx context.Context, hashes []string, partsByHash map[string][]byte) {
	for _, hash := range hashes {
		doc, err := c.Store.Read(ctx, partKeyPrefix+hash)
		if err != nil {
			c.Log.Warn("reading a part of the configuration from the store failed", zap.String("hash", hash), zap.Error(err))

			return
		}
		if doc.Version > 0 {
			c.addIfValid(hash, doc.Value, partsByHash)
		}
	}
}

// addIfValid adds a part to partsByHash if its decompressed content has the hash.
func (c *Configuration) addIfValid(hash string, compressed []byte, partsByHash map[string][]byte) {
	content, err := decompress(compressed)
	if err != nil || change.HashOf(content) != hash {
		c.Log.Warn("content of a part of the configuration does not match its hash", zap.String("hash", hash), zap.Error(err))

		return
	}
	partsByHash[hash] = compressed
}

// readPart returns the decompressed content of a part from memory or the store. Hash
// "" stands for a file that does not exist and has no content.
func (c *Configuration) readPart(ctx context.Context, hash string) ([]byte, error) {
	if hash == "" {
		return nil, nil
	}
	c.mu.Lock()
	compressed, ok := c.parts[hash]
	c.mu.Unlock()
	if !ok {
		partsByHash := make(map[string][]byte, 1)
		c.partsFromStore(ctx, []string{hash}, partsByHash)
		if compressed, ok = partsByHash[hash]; !ok {
			return nil, fmt.Errorf("%s: %w", hash, errMissingPart)
		}
	}

	return decompress(compressed)
}

// writeParts writes the compressed parts, given by hash, to the store. A part that
// the store has already needs no write, because the hash determines its content.
func (c *Configuration) writeParts(ctx context.Context, contents map[string][]byte) error {
	for hash, compressed := range contents {
		_, err := c.Store.Write(ctx, partKeyPrefix+hash, 0, compressed)
		if errors.Is(err, platform.ErrOutcomeUnknown) {
			_, err = c.Store.Write(ctx, partKeyPrefix+hash, 0, compressed)
		}
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return fmt.Errorf("write part %s: %w", hash, err)
		}
	}

	return nil
}

// maxPartBytes bounds the decompressed content of a part. A part is a file, or the list
// of a version's files with at most 300 bytes for each file.
const maxPartBytes = max(folder.MaxFileBytes, folder.MaxFiles*300)

// gzipWriters reuses gzip writers, which take about 1 MB each.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// compress returns the content in gzip form.
func compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&out)
	if _, err := writer.Write(content); err != nil {
		return nil, fmt.Errorf("compress part: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress part: %w", err)
	}

	return out.Bytes(), nil
}

// decompress is the reverse of compress. It fails on content of more than
// maxPartBytes, however small the compressed form is.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress part: %w", err)
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxPartBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress part: %w", err)
	}
	if len(content) > maxPartBytes {
		return nil, fmt.Errorf("decompress part: more than %d bytes", maxPartBytes)
	}

	return content, nil
}
