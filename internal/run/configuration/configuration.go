// Package configuration keeps, for `greengagetally entry`, the operators'
// configuration on an entry VM and applies the operators' changes to it.
//
// The configuration is a folder of files. The store holds each file, and the list of
// files of each version, as a part. A part is compressed and stored under the hash of
// its uncompressed content. One document, the root, names the parts of the newest
// version. A change writes its parts and then replaces the root by compare-and-swap.
// The other entry VMs learn of the new version from peers or from the store, fetch the
// parts that they lack and check them. Then they bring the version into force, which
// means that they use it for their decisions. The version in force never goes back.
//
// The audit trail, numbered pages in the store, records the changes and their
// results. The root holds the records of the last accepted changes as well.
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

// Peers calls the other entry VMs.
type Peers interface {
	// FetchRoot returns the difference between the root of version knownVersion and the
	// member's root; if knownVersion is 0, it returns the member's whole root.
	FetchRoot(ctx context.Context, member event.Member, knownVersion uint64) (*peerpb.RootDelta, error)
	// FetchParts returns the parts with these hashes that the member holds.
	FetchParts(ctx context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error)
	// Announce tells some of the other entry VMs which version is in force here.
	Announce(version uint64)
	// ZonesHolding returns the availability zones of the other entry VMs that are
	// known to hold the version or a later one.
	ZonesHolding(version uint64) []string
}

// Settings are the dependencies and settings of a Configuration. All but MinZones
// are required.
type Settings struct {
	Store platform.Store
	Peers Peers
	Timer timer.TimeSource
	Log   *zap.Logger
	// Zone is the availability zone of this entry VM.
	Zone string
	// OnInForce is called with each configuration that comes into force, one at a
	// time and in the order of their versions; it must not block.
	OnInForce func(model.Config)
	// MinZones is the number of availability zones that must hold a version before
	// its change is reported as accepted; 0 means 2. If the configuration has
	// fewer zones, all of them must hold it.
	MinZones int
}

const (
	// startupPeerWait is the time that a starting entry VM waits for a peer's
	// configuration before it reads the store; gossip runs once a second.
	startupPeerWait = 2 * time.Second
	// fetchTimeout bounds a fetch from one peer, so that several fit into the
	// 9 s within which a version must be in force everywhere.
	fetchTimeout = 3 * time.Second
	// applyTimeout bounds the store calls of one change.
	applyTimeout = 10 * time.Second
	// keptEarlierRoots is the number of earlier roots that are kept. A peer that has
	// one of them is sent only the difference, any other peer the whole root.
	keptEarlierRoots = 8
	// peerVersionQueueSize bounds the peers' versions that wait to be fetched; gossip
	// repeats a version that was dropped.
	peerVersionQueueSize = 16
	// fetchWorkers is the number of peers that are asked at the same time, so that
	// one slow peer does not delay the others.
	fetchWorkers = 2
)

// Configuration keeps the configuration of one entry VM. Its methods are safe for
// concurrent use.
type Configuration struct {
	Settings

	// peerVersions are versions of peers that wait to be fetched.
	peerVersions chan peerVersion
	storeWatch   watchSwitch
	// applyMu is held while a change is merged and written, one at a time.
	applyMu sync.Mutex
	// adoptMu is held while a version comes into force, which keeps versions in order.
	adoptMu sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// root is the root in force.
	root change.Root
	// earlierRoots were in force before root, oldest first.
	earlierRoots []change.Root
	// parts holds the compressed parts of root and of the root before it, by hash.
	parts map[string][]byte
	// documentVersion is the newest known version of the store's root document; a
	// document with a lower version is a stale read.
	documentVersion uint64
	// auditPage is the last known page of the audit trail.
	auditPage change.Page
	// pendingRecords are audit records that could not be written yet, oldest first.
	pendingRecords []change.Record
	// inForce is the parsed configuration of root.
	inForce model.Config
}

// peerVersion is the version that a peer holds.
type peerVersion struct {
	member  event.Member
	version uint64
}

// New returns a Configuration that has no version in force; Run keeps it up to
// date.
func New(settings Settings) *Configuration {
	if settings.MinZones == 0 {
		settings.MinZones = 2
	}
	c := &Configuration{Settings: settings, peerVersions: make(chan peerVersion, peerVersionQueueSize), parts: make(map[string][]byte)}
	c.storeWatch.changed = make(chan struct{})

	return c
}

// Root returns the root in force; its version is 0 if there is none yet.
func (c *Configuration) Root() change.Root {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.root
}

// Config returns the parsed configuration in force; its version is 0 if there is
// none yet.
func (c *Configuration) Config() model.Config {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.inForce
}

// SetWatching starts or stops watching the store's root.
func (c *Configuration) SetWatching(on bool) {
	c.storeWatch.set(on)
}

// ObservePeerVersion queues the version of a peer, if it is newer than the one in
// force, and Run fetches it. If the queue is full, the version is dropped.
func (c *Configuration) ObservePeerVersion(member event.Member, version uint64) {
	if version <= c.Root().Version {
		return
	}
	select {
	case c.peerVersions <- peerVersion{member: member, version: version}:
	default:
	}
}

// Run keeps the configuration up to date and writes pending audit records until
// ctx ends.
func (c *Configuration) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range fetchWorkers {
		group.Go(func() { c.runFetches(ctx) })
	}
	group.Go(func() { c.runStartupRead(ctx) })
	group.Go(func() { c.runStoreWatch(ctx) })
	group.Go(func() { c.runAuditRetries(ctx) })
	group.Wait()
}

// runFetches fetches the queued versions of peers and brings them into force.
func (c *Configuration) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-c.peerVersions:
			if err := c.adoptFromPeer(ctx, peer.member, peer.version); err != nil {
				c.Log.Warn("configuration not fetched from a peer",
					zap.String("peer", peer.member.VM), zap.Uint64("version", peer.version), zap.Error(err))
			}
		}
	}
}

// pause waits for d; it returns false if ctx ends first.
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
