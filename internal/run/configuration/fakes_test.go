package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// fakeStore keeps every version of every key, so that a read can be stale.
type fakeStore struct {
	docs map[string][]platform.Document
	down bool
	// auditRefused makes the store refuse every write of the audit trail.
	auditRefused bool
	// late holds writes that take effect after their response was lost.
	late []func()
	// fault is called before each read or write and returns the fault of that call;
	// entry is the index of the entry VM that calls the store.
	fault func(entry int, write bool) fault
}

// fault is what goes wrong in a call to the store.
type fault int

const (
	faultNone fault = iota
	faultLostRequest
	faultLostResponse
	faultLateEffect
	faultStaleRead
)

var errStoreDown = errors.New("connection refused")

func (s *fakeStore) latest(key string) platform.Document {
	if versions := s.docs[key]; len(versions) > 0 {
		return versions[len(versions)-1]
	}

	return platform.Document{Key: key}
}

func (s *fakeStore) put(key string, expected uint64, value []byte) (uint64, error) {
	if s.latest(key).Version != expected {
		return 0, platform.ErrConflict
	}
	doc := platform.Document{Key: key, Version: expected + 1, Value: slices.Clone(value)}
	s.docs[key] = append(s.docs[key], doc)

	return doc.Version, nil
}

// entryStore adds faults to the calls of one entry VM to the store.
type entryStore struct {
	*fakeStore

	entry int
}

func (s entryStore) Read(_ context.Context, key string) (platform.Document, error) {
	f := s.fault(s.entry, false)
	if s.down {
		return platform.Document{}, errStoreDown
	}
	switch versions := s.docs[key]; f {
	case faultLostRequest, faultLostResponse:
		return platform.Document{}, platform.ErrUnavailable
	case faultStaleRead:
		if len(versions) < 2 {
			return platform.Document{Key: key}, nil
		}

		return versions[len(versions)-2], nil
	default:
		return s.latest(key), nil
	}
}

func (s entryStore) Write(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	f := s.fault(s.entry, true)
	if s.down {
		return 0, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, errStoreDown)
	}
	if s.auditRefused && strings.HasPrefix(key, "audit/") {
		return 0, platform.ErrRefused
	}
	switch f {
	case faultLostRequest:
		return 0, platform.ErrOutcomeUnknown
	case faultLostResponse:
		_, _ = s.put(key, expected, value)

		return 0, platform.ErrOutcomeUnknown
	case faultLateEffect:
		s.late = append(s.late, func() { _, _ = s.put(key, expected, value) })

		return 0, platform.ErrOutcomeUnknown
	default:
		return s.put(key, expected, value)
	}
}

func (s entryStore) Watch(ctx context.Context, key string, _ uint64) (platform.Document, error) {
	return s.Read(ctx, key)
}

func (s entryStore) Delete(context.Context, string, uint64) error {
	return platform.ErrRefused
}

func (s entryStore) VMs(context.Context, uint64) (uint64, []event.VM, error) {
	return 0, nil, platform.ErrUnavailable
}

// entryPeers calls the other entry VMs of the simulation.
type entryPeers struct {
	sim   *simulation
	entry int
}

func (p entryPeers) FetchRoot(_ context.Context, member event.Member, knownVersion uint64) (*peerpb.RootDelta, error) {
	return p.sim.entries[int(member.Incarnation)].c.ServeRoot(knownVersion), nil
}

func (p entryPeers) FetchParts(_ context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error) {
	parts := p.sim.entries[int(member.Incarnation)].c.ServeParts(hashes)
	if len(parts) > 1 && p.sim.chance("part missing", 10) {
		parts = parts[1:]
	}

	return parts, nil
}

func (p entryPeers) Announce(uint64) {}

func (p entryPeers) ZonesHolding(version uint64) []string {
	var zones []string
	for i, e := range p.sim.entries {
		if i != p.entry && e.c.Root().Version >= version {
			zones = append(zones, e.zone)
		}
	}

	return zones
}

// instantTimer ends each pause at once, after it has let other entry VMs act.
type instantTimer struct {
	sim *simulation
	now time.Duration
}

func (t *instantTimer) Now() time.Duration {
	return t.now
}

func (t *instantTimer) Wall() time.Time {
	return time.Unix(1_800_000_000, 0).Add(t.now)
}

func (t *instantTimer) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration {
	t.now += interval
	t.sim.onPause(ctx)
	tick := make(chan time.Duration, 1)
	tick <- t.now

	return tick
}
