// Package configuration holds the operators' configuration of one entry VM: it
// brings new versions into force, serves them to peers and applies changes.
package configuration

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// Peers reaches the other entry VMs.
type Peers interface {
	// FetchRoot returns what leads from the known version to the member's root.
	FetchRoot(ctx context.Context, member event.Member, known uint64) (*peerpb.RootDelta, error)
	// FetchParts returns those of the parts that the member holds.
	FetchParts(ctx context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error)
	// Announce pushes the version that is in force here to the gossip links.
	Announce(version uint64)
	// ZonesHolding returns the availability zones of other entry VMs that are known
	// to hold at least the version.
	ZonesHolding(version uint64) []string
}

// Settings are what a Configuration needs; Store, Peers, Timer, Log, Zone and
// InForce are required.
type Settings struct {
	Store platform.Store
	Peers Peers
	Timer timer.TimeSource
	Log   *zap.Logger
	// Zone is the availability zone of this entry VM.
	Zone string
	// OnInForce is called with each new configuration, one at a time and in the
	// order of their versions; it must not wait.
	OnInForce func(model.Config)
	// MinZones is the number of zones that must hold an accepted version; 0
	// means 2. A configuration with fewer zones needs all of them.
	MinZones int
}

const (
	// peerWait is the time that a starting entry waits for a peer's
	// configuration before it asks the store; gossip runs once a second.
	peerWait = 2 * time.Second
	// fetchTimeout bounds a fetch from one peer, so that several fit into the
	// 9 s within which a version must be in force everywhere.
	fetchTimeout = 3 * time.Second
	// applyTimeout bounds the store calls of one change.
	applyTimeout = 10 * time.Second
	// keptRoots is the number of earlier roots from which a delta can be served.
	keptRoots = 8
	// hintQueue bounds the news of versions that wait to be fetched; gossip
	// repeats what is dropped.
	hintQueue = 16
	// fetchers is the number of peers that are asked at the same time, so that
	// one slow peer does not hold up the others.
	fetchers = 2
)

// Configuration is the configuration of one entry VM.
type Configuration struct {
	Settings

	hints chan hint
	watch watchState
	// applying lets one change at a time through this entry.
	applying sync.Mutex
	// adopting orders the versions that come into force.
	adopting sync.Mutex

	mu    sync.Mutex
	root  change.Root
	older []change.Root
	// parts holds compressed parts of the root and of the one before, by hash.
	parts map[string][]byte
	// seen is the newest document version of the root read from the store.
	seen    uint64
	page    change.Page
	pending []change.Record
	force   model.Config
}

type hint struct {
	member  event.Member
	version uint64
}

// New returns a configuration at version 0; Run keeps it up to date.
func New(settings Settings) *Configuration {
	if settings.MinZones == 0 {
		settings.MinZones = 2
	}
	c := &Configuration{Settings: settings, hints: make(chan hint, hintQueue), parts: make(map[string][]byte)}
	c.watch.changed = make(chan struct{})

	return c
}

// Root returns the root in force; version 0 means that there is none yet.
func (c *Configuration) Root() change.Root {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.root
}

// Config returns the configuration in force.
func (c *Configuration) Config() model.Config {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.force
}

// SetWatching starts or ends the watch of the root in the store.
func (c *Configuration) SetWatching(on bool) {
	c.watch.set(on)
}

// ObservePeerVersion tells that a peer holds a version; a newer one is fetched from it.
func (c *Configuration) ObservePeerVersion(member event.Member, version uint64) {
	if version <= c.Root().Version {
		return
	}
	select {
	case c.hints <- hint{member: member, version: version}:
	default:
	}
}

// Run keeps the configuration up to date until ctx ends.
func (c *Configuration) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range fetchers {
		group.Go(func() { c.runFetches(ctx) })
	}
	group.Go(func() { c.runStart(ctx) })
	group.Go(func() { c.runWatch(ctx) })
	group.Go(func() { c.runAudit(ctx) })
	group.Wait()
}

func (c *Configuration) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.hints:
			if err := c.fetch(ctx, h.member, h.version); err != nil {
				c.Log.Warn("configuration not fetched from a peer",
					zap.String("peer", h.member.VM), zap.Uint64("version", h.version), zap.Error(err))
			}
		}
	}
}

// pause waits for d, and reports false when ctx ended first.
func (c *Configuration) pause(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-c.Timer.Subscribe(ctx, d):
		return ctx.Err() == nil
	}
}
