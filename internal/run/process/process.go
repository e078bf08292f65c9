// Package process runs an entry VM for the command `greengagetally entry`: it
// opens the listeners, applies events to the reducer of steer/entry and carries
// out the effects that the reducer returns.
//
// An entry VM is called an entry for short. The entries of a region divide the capacity
// of its backend servers and links among themselves as tokens (see package
// steer/region). The tokens of operators are called bearer tokens. To carry a request is
// to send it to another entry VM, which serves it.
package process

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/config/blocks"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/run/configuration"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	"github.com/greengagetally/greengagetally/internal/steer/entry"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/backend"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	"github.com/greengagetally/greengagetally/internal/wire/peer"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// Process is one running entry VM.
type Process struct {
	settings Settings
	// self is this entry VM's own record.
	self      event.EntryView
	clock     timer.TimeSource
	log       *zap.Logger
	metrics   *metrics.Metrics
	store     platform.Store
	backends  *backend.Transport
	listeners *listeners
	// answers keeps the responses to requests with idempotency keys. A duplicate of
	// such a request gets the kept response.
	answers *caller.AnswerCache
	lookup  *caller.Lookup
	// carrier sends requests to other entry VMs.
	carrier *caller.Carrier
	// tlsFiles is nil when entry VMs and operators are served without TLS.
	tlsFiles *wiretls.CertReloader
	// callerTLSFiles is nil when callers are served without TLS.
	callerTLSFiles *wiretls.CertReloader
	peerClient     *peer.Client
	peerServer     *peer.Server
	servers        []server
	startedUnixMS  uint64
	// configSync gets and serves versions of the operators' configuration.
	configSync *configuration.Configuration

	// stopping is closed when the graceful shutdown begins.
	stopping chan struct{}
	stopOnce sync.Once
	// sendsInProgress counts the SendToPeer effects that have not ended.
	sendsInProgress atomic.Int64

	// closeAll cancels ctx and then waits for the goroutines in work.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	// config is the configuration in force, or nil before the first one.
	config      atomic.Pointer[model.Config]
	members     atomic.Pointer[event.PublishEntries]
	lastRequest atomic.Uint64
	// zoneWatcher is true while the reducer has this entry watch the store and
	// the list of VMs for its availability zone.
	zoneWatcher atomic.Bool

	inbox     inbox
	tickState tickState

	// mu guards state and sinks; it is held while an event is applied and its
	// effects are started.
	mu    sync.Mutex
	state entry.State
	// sinks receive the effects of the requests in progress.
	sinks map[event.RequestID]caller.Sink

	peerVersionsMu sync.Mutex
	// peerVersions holds the highest configuration version that each peer has
	// reported.
	peerVersions map[event.Member]uint64

	streamsMu sync.Mutex
	// streams holds, by stream number, the sinks of the bodies that may wait for
	// bandwidth of a link to another region.
	streams    map[uint64]caller.Sink
	lastStream uint64
}

// Dependencies are the components that a process uses.
type Dependencies struct {
	Clock   timer.TimeSource
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Store   platform.Store
}

// New opens the listeners and returns a process that serves once Run is called.
// It fails when a certificate, a key or the file of bearer tokens is wrong, or when an
// address cannot be opened.
func New(ctx context.Context, settings Settings, d Dependencies) (*Process, error) {
	tlsFiles, err := loadTLSFiles(settings)
	if err != nil {
		return nil, err
	}
	callerTLSFiles, err := loadCallerTLSFiles(settings)
	if err != nil {
		return nil, err
	}
	l, err := listen(ctx, settings)
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings:     settings,
		clock:        d.Clock,
		log:          d.Log,
		metrics:      d.Metrics,
		backends:     backend.NewTransport(),
		listeners:    l,
		answers:      caller.NewAnswerCache(d.Clock.Now),
		sinks:        map[event.RequestID]caller.Sink{},
		streams:      map[uint64]caller.Sink{},
		peerVersions: map[event.Member]uint64{},
		tlsFiles:     tlsFiles,
		carrier:      caller.NewCarrier(tlsFiles),
		stopping:     make(chan struct{}),
		tickState:    newTickState(),

		callerTLSFiles: callerTLSFiles,
		startedUnixMS:  uint64(d.Clock.Wall().Add(-d.Clock.Now()).UnixMilli()),
	}
	p.store = meteredStore{store: d.Store, process: p}
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.self = settings.self(rand.Uint64(), l)
	p.members.Store(&event.PublishEntries{Entries: []event.EntryView{p.self}})
	p.state = entry.New(entry.Settings{
		Self:          p.self,
		Seed:          rand.Uint64(),
		ListLag:       settings.ListLag,
		LookupTTL:     settings.LookupTTL,
		StartedUnixMS: p.startedUnixMS,
		Policy:        settings.Policy,
	})
	p.zoneWatcher.Store(p.state.ZoneWatcher())
	p.configSync = p.newConfigSync()
	p.peerClient = peer.NewClient(tlsFiles, d.Metrics, d.Clock.Now)
	p.peerServer = peer.NewServer(p, tlsFiles, d.Metrics)
	if err := p.buildServers(); err != nil {
		l.close()
		p.cancel()

		return nil, err
	}

	return p, nil
}

// loadTLSFiles reads the TLS files for entry VMs and operators. It returns nil if
// InsecurePlaintext is set.
func loadTLSFiles(s Settings) (*wiretls.CertReloader, error) {
	if s.InsecurePlaintext {
		return nil, nil
	}
	tlsFiles, err := wiretls.NewCertReloader(wiretls.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA})
	if err != nil {
		return nil, err
	}
	if name := tlsFiles.DNSName(); name != s.VM {
		return nil, fmt.Errorf("certificate %s names %q, the VM is %q", s.TLSCert, name, s.VM)
	}

	return tlsFiles, nil
}

// loadCallerTLSFiles reads the TLS files for callers. It returns nil if CallerCert and
// CallerKey are both empty.
func loadCallerTLSFiles(s Settings) (*wiretls.CertReloader, error) {
	if s.CallerCert == "" && s.CallerKey == "" {
		return nil, nil
	}
	tlsFiles, err := wiretls.NewCertReloader(wiretls.Files{Cert: s.CallerCert, Key: s.CallerKey})
	if err != nil {
		return nil, fmt.Errorf("--caller-cert and --caller-key: %w", err)
	}

	return tlsFiles, nil
}

// SetConfig puts a configuration in force; a version that is not higher than
// the one in force is ignored.
func (p *Process) SetConfig(config *model.Config) {
	// The table of all client blocks takes time to build, so it is built before
	// the reducer is locked.
	table := blocks.New(config.Blocks)
	limits := p.connectionLimits(config)
	defer p.applyQueued()
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.config.Load(); old != nil && old.Version >= config.Version {
		return
	}
	p.lookup.SetBlocks(table)
	p.backends.SetLimits(limits)
	p.config.Store(config)
	p.inbox.push(inboxItem{event: event.ConfigInForce{At: p.eventTime(), Config: config}})
}

// Run serves until ctx ends or the graceful shutdown that Stop starts is complete. The
// end of ctx cuts off the requests in progress. Run returns an error only when a
// listener fails.
func (p *Process) Run(ctx context.Context) error {
	defer p.closeAll()
	failed := make(chan error, len(p.servers)+1)
	p.log.Info("entry VM starts",
		zap.String("vm", p.self.Member.VM), zap.Uint64("incarnation", p.self.Member.Incarnation),
		zap.String("lookup", p.self.LookupAddress), zap.String("request", p.self.RequestAddress),
		zap.String("peer", p.self.PeerAddress), zap.String("carry", p.self.CarryAddress),
		zap.Stringer("operator", p.listeners.operator.Addr()))
	p.serve(failed)
	p.startGoroutine(p.runTicks)
	p.startGoroutine(p.watchVMs)
	p.startGoroutine(p.contactSeedPeers)
	p.startGoroutine(p.configSync.Run)
	p.configSync.SetWatching(p.zoneWatcher.Load())
	for _, tlsFiles := range []*wiretls.CertReloader{p.tlsFiles, p.callerTLSFiles} {
		if tlsFiles != nil {
			p.startGoroutine(func(ctx context.Context) { tlsFiles.Watch(ctx, p.clock, p.logTLSReload) })
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	case <-p.stopping:
		p.shutDownGracefully(ctx)

		return nil
	}
}

// serve starts the servers of all listeners; a server that fails sends its error to the
// channel failed.
func (p *Process) serve(failed chan<- error) {
	for _, s := range p.servers {
		p.work.Go(func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", s.name, err)
			}
		})
	}
	p.work.Go(func() {
		if err := p.peerServer.Serve(p.listeners.peer); err != nil {
			failed <- err
		}
	})
}

func (p *Process) logTLSReload(err error) {
	if err != nil {
		p.log.Warn("TLS files are wrong, the last valid ones stay in use", zap.Error(err))

		return
	}
	p.log.Info("TLS files reloaded")
}

// closeAll closes all listeners and connections at once and waits for the
// goroutines.
func (p *Process) closeAll() {
	p.cancel()
	for _, s := range p.servers {
		_ = s.http.Close()
	}
	p.peerServer.Stop()
	p.listeners.close()
	p.work.Wait()
	p.peerClient.Close()
	p.backends.Close()
	p.carrier.Close()
}
