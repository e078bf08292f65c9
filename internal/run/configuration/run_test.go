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

// waitingStore is a store without faults whose watches wait.
type waitingStore struct {
	platform.Store

	mu      sync.Mutex
	docs    map[string]platform.Document
	changed chan struct{}
	reads   int
}

func newWaitingStore() *waitingStore {
	return &waitingStore{docs: make(map[string]platform.Document), changed: make(chan struct{})}
}

func (s *waitingStore) Read(_ context.Context, key string) (platform.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++

	return s.docs[key], nil
}

func (s *waitingStore) Write(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
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

func (s *waitingStore) Watch(ctx context.Context, key string, after uint64) (platform.Document, error) {
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

// ring connects entries so that each pushes to the next one only.
type ring struct {
	entries []*Configuration
	broken  bool
}

type place struct {
	*ring

	index int
}

var errUnreachable = errors.New("unreachable")

func (p place) FetchRoot(_ context.Context, member event.Member, known uint64) (*peerpb.RootDelta, error) {
	if p.broken {
		return nil, errUnreachable
	}

	return p.entries[member.Incarnation].ServeRoot(known), nil
}

func (p place) FetchParts(_ context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error) {
	return p.entries[member.Incarnation].ServeParts(hashes), nil
}

func (p place) Announce(version uint64) {
	if next := p.index + 1; next < len(p.entries) && !p.broken {
		p.entries[next].ObservePeerVersion(event.Member{VM: fmt.Sprint(p.index), Incarnation: uint64(p.index)}, version)
	}
}

func (p place) ZonesHolding(version uint64) []string {
	var zones []string
	for i, c := range p.entries {
		if i != p.index && c.Root().Version >= version {
			zones = append(zones, c.Zone)
		}
	}

	return zones
}

func startRing(t *testing.T, store platform.Store, count int, broken bool) []*Configuration {
	t.Helper()
	r := &ring{broken: broken}
	for i := range count {
		r.entries = append(r.entries, New(Settings{
			Store: store, Peers: place{r, i}, Timer: timer.NewSystem(), Log: zap.NewNop(),
			Zone: string(rune('a' + i)), OnInForce: func(model.Config) {},
		}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, c := range r.entries {
		group.Go(func() { c.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})

	return r.entries
}

func firstChange(nonce string) change.Change {
	return change.Change{Author: "ana", Nonce: nonce, Files: []folder.File{{Name: "10-regions.yaml", Content: []byte(baseFile)}}}
}

// Guards against a version that does not spread from peer to peer without the
// store, and against fetches that stop with Run.
func TestSpreadByPeers(t *testing.T) {
	t.Parallel()
	store := newWaitingStore()
	entries := startRing(t, store, 4, false)
	out, err := entries[0].Apply(t.Context(), firstChange("nonce-of-the-first-change"))
	require.NoError(t, err)
	require.Equal(t, change.Accepted, out.Result)
	for _, c := range entries {
		require.Eventually(t, func() bool { return c.Root().Version == 1 }, 20*time.Second, 5*time.Millisecond)
		require.Len(t, c.Config().Regions, 2)
	}
}

// Guards against watches that miss a version, go on after they are switched
// off, or a starting entry without peers that never asks the store.
func TestWatchAndStart(t *testing.T) {
	t.Parallel()
	store := newWaitingStore()
	writer := startRing(t, store, 2, false)
	entries := startRing(t, store, 2, true)
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
	require.EqualValues(t, 1, entries[1].Root().Version, "an entry that does not watch must not call the store")
}

// Guards against a store that lost data bringing a lower version into force or
// numbering a new change below one in force.
func TestStoreLostData(t *testing.T) {
	t.Parallel()
	store := newWaitingStore()
	entries := startRing(t, store, 2, false)
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
	require.NoError(t, entries[0].refresh(t.Context()))
	require.EqualValues(t, 4, entries[0].Root().Version)
	_, err = entries[0].Apply(t.Context(), next(9))
	require.ErrorIs(t, err, ErrStoreUnavailable)
	require.EqualValues(t, 4, entries[0].Root().Version)
}

// Guards against client blocks that are kept although their file, or the sites
// that they name, changed.
func TestBlocksAreKept(t *testing.T) {
	t.Parallel()
	entries := startRing(t, newWaitingStore(), 2, false)
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
