// Package process builds an entry VM's process from its settings, applies
// events to the reducer and runs its effects.
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
	settings  Settings
	self      event.EntryView
	clock     timer.TimeSource
	log       *zap.Logger
	metrics   *metrics.Metrics
	store     platform.Store
	backends  *backend.Transport
	listeners *listeners
	answers   *caller.Answers
	lookup    *caller.Lookup
	carrier   *caller.Carrier
	// keeper is nil for plain text to entry VMs and operators.
	keeper *wiretls.Keeper
	// callerKeeper is nil for plain text to callers.
	callerKeeper  *wiretls.Keeper
	peers         *peer.Client
	peerServer    *peer.Server
	servers       []server
	startedUnixMS uint64
	holder        *configuration.Configuration

	// stop is closed when the graceful shutdown begins.
	stop     chan struct{}
	stopOnce sync.Once
	// sending counts the envelopes on their way to peers.
	sending atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	config   atomic.Pointer[model.Config]
	members  atomic.Pointer[event.PublishEntries]
	requests atomic.Uint64
	// watching is true while the reducer wants this entry to watch the store and
	// the list of VMs.
	watching atomic.Bool

	inbox inbox
	ticks ticks

	mu    sync.Mutex
	state entry.State
	sinks map[event.RequestID]caller.Sink

	versionMu sync.Mutex
	// versions are the configuration versions that peers told last.
	versions map[event.Member]uint64

	streamMu   sync.Mutex
	streams    map[uint64]caller.Sink
	lastStream uint64
}

// Dependencies are the services that a process uses.
type Dependencies struct {
	Clock   timer.TimeSource
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Store   platform.Store
}

// New opens the listeners and returns a process that is not serving yet.
func New(ctx context.Context, settings Settings, d Dependencies) (*Process, error) {
	keeper, err := newKeeper(settings)
	if err != nil {
		return nil, err
	}
	callerKeeper, err := newCallerKeeper(settings)
	if err != nil {
		return nil, err
	}
	l, err := listen(ctx, settings)
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings:  settings,
		clock:     d.Clock,
		log:       d.Log,
		metrics:   d.Metrics,
		backends:  backend.NewTransport(),
		listeners: l,
		answers:   caller.NewAnswers(d.Clock.Now),
		sinks:     map[event.RequestID]caller.Sink{},
		streams:   map[uint64]caller.Sink{},
		versions:  map[event.Member]uint64{},
		keeper:    keeper,
		carrier:   caller.NewCarrier(keeper),
		stop:      make(chan struct{}),
		ticks:     newTicks(),

		callerKeeper:  callerKeeper,
		startedUnixMS: uint64(d.Clock.Wall().Add(-d.Clock.Now()).UnixMilli()),
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
	p.watching.Store(p.state.ZoneWatcher())
	p.holder = p.newConfiguration()
	p.peers = peer.NewClient(keeper, d.Metrics, d.Clock.Now)
	p.peerServer = peer.NewServer(p, keeper, d.Metrics)
	if err := p.buildServers(); err != nil {
		l.close()
		p.cancel()

		return nil, err
	}

	return p, nil
}

// newKeeper returns the TLS files of a process, or nil for plain text.
func newKeeper(s Settings) (*wiretls.Keeper, error) {
	if s.InsecurePlaintext {
		return nil, nil
	}
	keeper, err := wiretls.NewKeeper(wiretls.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA})
	if err != nil {
		return nil, err
	}
	if name := keeper.Name(); name != s.VM {
		return nil, fmt.Errorf("certificate %s names %q, the VM is %q", s.TLSCert, name, s.VM)
	}

	return keeper, nil
}

// newCallerKeeper returns the TLS files of callers' listeners, or nil for plain text.
func newCallerKeeper(s Settings) (*wiretls.Keeper, error) {
	if s.CallerCert == "" && s.CallerKey == "" {
		return nil, nil
	}
	keeper, err := wiretls.NewKeeper(wiretls.Files{Cert: s.CallerCert, Key: s.CallerKey})
	if err != nil {
		return nil, fmt.Errorf("--caller-cert and --caller-key: %w", err)
	}

	return keeper, nil
}

// SetConfig puts a configuration in force; a version that is not higher than
// the present one is ignored.
func (p *Process) SetConfig(config *model.Config) {
	// A table of all client blocks takes time to build; requests go on meanwhile.
	table := blocks.New(config.Blocks)
	limits := p.connectionLimits(config)
	defer p.drain()
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.config.Load(); old != nil && old.Version >= config.Version {
		return
	}
	p.lookup.SetBlocks(table)
	p.backends.SetLimits(limits)
	p.config.Store(config)
	p.inbox.push(work{event: event.ConfigInForce{At: p.at(), Config: config}})
}

// Run serves until ctx ends, which ends everything at once, or until the
// graceful shutdown that Stop starts is complete.
func (p *Process) Run(ctx context.Context) error {
	defer p.end()
	failed := make(chan error, len(p.servers)+1)
	p.log.Info("entry VM starts",
		zap.String("vm", p.self.Member.VM), zap.Uint64("incarnation", p.self.Member.Incarnation),
		zap.String("lookup", p.self.LookupAddress), zap.String("request", p.self.RequestAddress),
		zap.String("peer", p.self.PeerAddress), zap.String("carry", p.self.CarryAddress),
		zap.Stringer("operator", p.listeners.operator.Addr()))
	p.serve(failed)
	p.start(p.tick)
	p.start(p.watchVMs)
	p.start(p.greetSeeds)
	p.start(p.holder.Run)
	p.holder.SetWatching(p.watching.Load())
	for _, keeper := range []*wiretls.Keeper{p.keeper, p.callerKeeper} {
		if keeper != nil {
			p.start(func(ctx context.Context) { keeper.Watch(ctx, p.clock, p.tlsChanged) })
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	case <-p.stop:
		p.shutDown(ctx)

		return nil
	}
}

// serve starts the servers of all listeners.
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

func (p *Process) tlsChanged(err error) {
	if err != nil {
		p.log.Warn("TLS files are wrong, the last valid ones stay in use", zap.Error(err))

		return
	}
	p.log.Info("TLS files were read again")
}

// end stops everything at once.
func (p *Process) end() {
	p.cancel()
	for _, s := range p.servers {
		_ = s.http.Close()
	}
	p.peerServer.Stop()
	p.listeners.close()
	p.work.Wait()
	p.peers.Close()
	p.backends.Close()
	p.carrier.Close()
}
