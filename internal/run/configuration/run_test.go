package configuration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// memoryStore is a store without faults. Its watches wait for a newer version.
type memoryStore struct {
	platform.Store

	mu      sync.Mutex
	docs    map[string]platform.Document
	changed chan struct{}
	reads   int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{docs: make(map[string]platform.Document), changed: make(chan struct{})}
}

func (s *memoryStore) Read(_ context.Context, key string) (platform.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++

	return s.docs[key], nil
}

func (s *memoryStore) Write(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.docs[key].Version != expected {
		return 0, platform.ErrConflict
	}
	s.docs[key] = platform.Document{Key: key, Version: expected + 1, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})

	return expected + 1, nil
}

func (s *memoryStore) Watch(ctx context.Context, key string, after uint64) (platform.Document, error) {
	for {
		s.mu.Lock()
		doc, changed := s.docs[key], s.changed
		s.mu.Unlock()
		if doc.Version > after {
			return doc, nil
		}
		select {
		case <-ctx.Done():
			return platform.Document{}, ctx.Err()
		case <-changed:
		}
	}
}

// peerChain connects entry VMs so that each announces versions to the next one only.
type peerChain struct {
	entries []*Configuration
	// unreachable cuts all connections.
	unreachable bool
}

// chainPeers calls the peers of the entry VM at index.
type chainPeers struct {
	*peerChain

	index int
}

var errPeerUnreachable = errors.New("unreachable")

func (p chainPeers) FetchRoot(_ context.Context, member event.Member, knownVersion uint64) (*peerpb.RootDelta, error) {
	if p.unreachable {
		return nil, errPeerUnreachable
	}

	return p.entries[member.Incarnation].ServeRoot(knownVersion), nil
}

func (p chainPeers) FetchParts(_ context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error) {
	return p.entries[member.Incarnation].ServeParts(hashes), nil
}

func (p chainPeers) Announce(version uint64) {
	if next := p.index + 1; next < len(p.entries) && !p.unreachable {
		p.entries[next].ObservePeerVersion(event.Member{VM: fmt.Sprint(p.index), Incarnation: uint64(p.index)}, version)
	}
}

func (p chainPeers) ZonesHolding(version uint64) []string {
	var zones []string
	for i, c := range p.entries {
		if i != p.index && c.Root().Version >= version {
			zones = append(zones, c.Zone)
		}
	}

	return zones
}

// startChain runs count entry VMs, each in a zone of its own, until the test ends. If
// unreachable is true, they cannot reach each other.
func startChain(t *testing.T, store platform.Store, count int, unreachable bool) []*Configuration {
	t.Helper()
	chain := &peerChain{unreachable: unreachable}
	for i := range count {
		chain.entries = append(chain.entries, New(Settings{
			Store: store, Peers: chainPeers{chain, i}, Timer: timer.NewSystem(), Log: zap.NewNop(),
			Zone: string(rune('a' + i)), OnInForce: func(model.Config) {},
		}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, c := range chain.entries {
		group.Go(func() { c.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})

	return chain.entries
}

// firstChange returns a change that creates the folder.
func firstChange(nonce string) change.Change {
	return change.Change{Author: "ana", Nonce: nonce, Files: []folder.File{{Name: "10-regions.yaml", Content: []byte(baseFile)}}}
}

// Guards against a version that does not spread from peer to peer, and against fetch
// loops that go on after Run's context ended.
func TestSpreadByPeers(t *testing.T) {
	t.Parallel()
	store := newMemoryStore()
	entries := startChain(t, store, 4, false)
	out, err := entries[0].Apply(t.Context(), firstChange("nonce-of-the-first-change"))
	require.NoError(t, err)
	require.Equal(t, change.Accepted, out.Result)
	for _, c := range entries {
		require.Eventually(t, func() bool { return c.Root().Version == 1 }, 20*time.Second, 5*time.Millisecond)
		require.Len(t, c.Config().Regions, 2)
	}
}

// Guards against watches that miss a version or continue when they are off, and
// against a starting entry VM without reachable peers that never reads the store.
func TestWatchAndStart(t *testing.T) {
	t.Parallel()
	store := newMemoryStore()
	writer := startChain(t, store, 2, false)
	entries := startChain(t, store, 2, true)
	entries[0].SetWatching(true)
	_, err := writer[0].Apply(t.Context(), firstChange("nonce-of-the-first-change"))
	require.NoError(t, err)
	for _, c := range entries {
		require.Eventually(t, func() bool { return c.Root().Version == 1 }, 20*time.Second, 5*time.Millisecond)
	}
	second := change.Change{Base: 1, Nonce: "nonce-of-the-second-change", Files: []folder.File{{Name: "90-leaving-x.yaml", Content: []byte("leaving: {x: true}\n")}}}
	_, err = writer[0].Apply(t.Context(), second)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return entries[0].Root().Version == 2 }, 20*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 1, entries[1].Root().Version, "an entry VM that does not watch must not call the store")
}

// The store loses data and returns an earlier root. Guards against an earlier version
// that comes into force, and against a change that makes a version with a lower number
// than the one in force.
func TestStoreLostData(t *testing.T) {
	t.Parallel()
	store := newMemoryStore()
	entries := startChain(t, store, 2, false)
	_, err := entries[0].Apply(t.Context(), firstChange("nonce-of-the-first-change"))
	require.NoError(t, err)
	old, err := store.Read(t.Context(), rootKey)
	require.NoError(t, err)
	next := func(i int) change.Change {
		return change.Change{Base: 1, Nonce: fmt.Sprintf("nonce-of-change-%d", i), Files: []folder.File{{
			Name: fmt.Sprintf("90-leaving-%d.yaml", i), Content: fmt.Appendf(nil, "leaving: {x%d: true}\n", i),
		}}}
	}
	for i := range 3 {
		_, err = entries[0].Apply(t.Context(), next(i))
		require.NoError(t, err)
	}
	store.mu.Lock()
	old.Version = 100
	store.docs[rootKey] = old
	store.mu.Unlock()
	require.NoError(t, entries[0].adoptFromStore(t.Context()))
	require.EqualValues(t, 4, entries[0].Root().Version)
	_, err = entries[0].Apply(t.Context(), next(9))
	require.ErrorIs(t, err, ErrStoreUnavailable)
	require.EqualValues(t, 4, entries[0].Root().Version)
}

// Guards against client blocks that are lost when an unrelated file changes. Also
// guards against blocks that stay outdated when their own file, or a site that they
// name, changes.
func TestBlocksAreKept(t *testing.T) {
	t.Parallel()
	entries := startChain(t, newMemoryStore(), 2, false)
	step := 0
	apply := func(name, content string) Outcome {
		step++
		out, err := entries[0].Apply(t.Context(), change.Change{
			Base: entries[0].Root().Version, Nonce: fmt.Sprintf("nonce-of-change-%d", step),
			Files: []folder.File{{Name: name, Content: []byte(content)}},
		})
		require.NoError(t, err)

		return out
	}
	require.Equal(t, change.Accepted, apply("10-regions.yaml", baseFile).Result)
	require.Equal(t, change.Accepted, apply("20-sites.yaml", "sites: {town: {zone: a}}\n").Result)
	require.Equal(t, change.Accepted, apply("60-a.blocks", "10.0.0.0/8 town\n").Result)
	require.Equal(t, change.Accepted, apply("90-leaving-x.yaml", "leaving: {x: true}\n").Result)
	require.Len(t, entries[0].Config().Blocks, 1)
	out := apply("20-sites.yaml", "sites: {village: {zone: a}}\n")
	require.Equal(t, change.Invalid, out.Result)
	require.Equal(t, `60-a.blocks:1:12: "town": expected the name of a site or region`, out.Problems.Error())
	require.Equal(t, change.Accepted, apply("60-a.blocks", "10.0.0.0/8 south\n11.0.0.0/8 town\n").Result)
	require.Equal(t, "south", entries[0].Config().Blocks[0].Target)
	require.Len(t, entries[0].Config().Blocks, 2)
}
