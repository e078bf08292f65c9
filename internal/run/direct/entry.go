package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// tickEvery is the interval of the reducer's own time.
	tickEvery = 100 * time.Millisecond
	// busyLate is the mean delay of ticks from which the processor is too slow for its
	// work; lateAlpha weighs one tick in it: about the last second.
	busyLate  = 30 * time.Millisecond
	lateAlpha = 0.1
	// pruneEvery is the interval in which idle connections are reviewed.
	pruneEvery = 2 * time.Second
	// entriesEvery is how old the copy of the list of entry VMs may grow; they report
	// themselves to each other.
	entriesEvery = 1500 * time.Millisecond
	// listedWithin is how long the entry VMs that start together take to be listed.
	listedWithin = 250 * time.Millisecond
	// startAlone is when an entry VM that cannot read the list of the others reads the
	// rest itself.
	startAlone = time.Second
	// statusEvery is the interval of the lines that show what the entry VM believes.
	statusEvery = 2 * time.Second
	// readCheck is how often the age of the copies is looked at, and startCheck the same
	// before all tables were read, while callers may be waiting.
	readCheck  = 100 * time.Millisecond
	startCheck = 20 * time.Millisecond
)

// Process is one running entry VM.
type Process struct {
	settings   Settings
	deployment Deployment
	clock      timer.TimeSource
	log        *zap.Logger
	metrics    *metrics.Metrics
	self       EntryVM

	listener *http1.Listener
	pool     *http1.Pool
	bus      *gossip.Bus
	mirrors  map[string]*mirror.Mirror
	peers    *peers

	// ctx ends with the process.
	ctx context.Context

	intent atomic.Pointer[intent.Intent]
	// addresses are those of the listed backend servers, by identity.
	addresses atomic.Pointer[map[string]string]
	stopping  atomic.Bool
	// busy is true while the processor is too slow for its work.
	busy atomic.Bool
	held atomic.Int64

	mu      sync.Mutex
	state   steer.State
	waiting map[steer.RequestID]chan steer.Effect
	lastID  steer.RequestID

	work sync.WaitGroup
}

// New returns a process that does not serve yet.
func New(ctx context.Context, settings Settings, d Deployment, clock timer.TimeSource, log *zap.Logger, m *metrics.Metrics) (*Process, error) {
	p := &Process{
		settings: settings, deployment: d, clock: clock, log: log, metrics: m,
		self: EntryVM{
			Name: settings.Steering.Name, Zone: settings.Steering.Zone, Region: settings.Steering.Region,
			Requests: settings.Requests, Reports: netip.AddrPortFrom(settings.Requests.Addr(), settings.Reports),
			Strength: settings.Strength,
		},
		ctx:     ctx,
		state:   steer.New(settings.Steering),
		waiting: map[steer.RequestID]chan steer.Effect{},
		pool:    http1.NewPool(d.Names()),
	}
	p.addresses.Store(&map[string]string{})
	p.peers = newPeers(p.self)
	p.listener = http1.NewListener(d.Names(), p, p.bounds)
	p.mirrors = map[string]*mirror.Mirror{
		TableOperatorConfig: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableOperatorConfig), Interval: settings.TableMaxAge, Changed: p.ordersChanged,
		}),
		TableServers: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableServers), Interval: settings.TableMaxAge, KeepDeleted: settings.ServerDeletionGrace, Changed: p.serversChanged,
		}),
		TableEntryVMs: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableEntryVMs), Interval: entriesEvery, Changed: p.entriesChanged,
		}),
	}
	bus, err := gossip.Listen(ctx, settings.Requests.Addr(), settings.Reports, settings.Tables, copiesAtOnce(settings.Strength), gossip.Handlers{
		Receive: p.heard, Table: p.tableCopy, Malformed: func(from netip.AddrPort, err error) {
			p.log.Warn("a datagram of an entry VM cannot be read", zap.Stringer("from", from), zap.Error(err))
		},
	})
	if err != nil {
		return nil, fmt.Errorf("open ports between entry VMs: %w", err)
	}
	p.bus = bus

	return p, nil
}

// Run serves callers on l until ctx ends.
func (p *Process) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	p.work.Go(func() { failed <- p.listener.Serve(ctx, l) })
	p.work.Go(func() { failed <- p.bus.Run(ctx) })
	p.work.Go(func() { p.readTables(ctx) })
	p.work.Go(func() { p.announce(ctx) })
	p.work.Go(func() { p.tick(ctx) })
	p.work.Go(func() { p.prune(ctx) })
	p.work.Go(func() { p.report(ctx) })
	p.work.Go(func() { p.logStatus(ctx) })
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Reload puts changed settings in force; addresses stay as they are.
func (p *Process) Reload(settings Settings) {
	p.mu.Lock()
	settings.Steering.Seed = p.settings.Steering.Seed
	p.settings.Steering, p.settings.LookupTTL, p.settings.GracePeriod = settings.Steering, settings.LookupTTL, settings.GracePeriod
	p.reduce(steer.SettingsChanged{At: p.at(), Settings: settings.Steering})
	p.mu.Unlock()
	p.log.Info("settings in force", zap.Duration("lookup-ttl", settings.LookupTTL), zap.Duration("stop-within", settings.GracePeriod),
		zap.Float64("retry-ratio", settings.Steering.RetryRatio), zap.Float64("warmup-factor", settings.Steering.WarmupFactor))
}

// Ready reports whether callers should be sent here.
func (p *Process) Ready() bool {
	return !p.stopping.Load() && p.intent.Load() != nil && p.mirrors[TableServers].Loaded()
}

func (p *Process) bounds() http1.Bounds {
	in := p.intent.Load()
	if in == nil {
		return http1.Bounds{}
	}

	return http1.Bounds(in.Limits)
}

func (p *Process) at() steer.At {
	return steer.At(p.clock.Now())
}

// apply gives an event to the reducer and carries out its effects.
func (p *Process) apply(ev steer.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reduce(ev)
}

// reduce applies an event; callers hold p.mu.
func (p *Process) reduce(ev steer.Event) {
	next, effects := steer.Reduce(p.state, ev)
	p.state = next
	for _, effect := range effects {
		p.carryOut(effect)
	}
}

// carryOut gives an effect to the exchange that it concerns. Callers hold p.mu.
func (p *Process) carryOut(effect steer.Effect) {
	switch e := effect.(type) {
	case steer.Send:
		p.deliver(e.ID, e)
	case steer.Hold:
		p.deliver(e.ID, e)
	case steer.Refuse:
		p.deliver(e.ID, e)
	case steer.ReturnAnswer:
		p.deliver(e.ID, e)
	case steer.Fail:
		p.deliver(e.ID, e)
	case steer.Probe:
		p.work.Go(func() { p.probe(p.ctx, e) })
	case steer.LogServerState:
		p.log.Info("server state changed", zap.String("server", e.Server), zap.String("state", e.State), zap.String("cause", e.Cause))
	}
}

func (p *Process) deliver(id steer.RequestID, effect steer.Effect) {
	if ch, ok := p.waiting[id]; ok {
		ch <- effect
	}
}

func (p *Process) tick(ctx context.Context) {
	late := ewma.Mean{}
	last := p.clock.Now()
	for now := range p.clock.Subscribe(ctx, tickEvery) {
		late = late.With(float64(now-last-tickEvery), lateAlpha)
		last = now
		p.busy.Store(late.Value() > float64(busyLate))
		p.apply(steer.Tick{At: p.at()})
	}
}

// logStatus writes what the entry VM believes about services and routes.
func (p *Process) logStatus(ctx context.Context) {
	for range p.clock.Subscribe(ctx, statusEvery) {
		p.mu.Lock()
		services, routes := p.state.ServiceStatuses(), p.state.RouteStatuses()
		p.mu.Unlock()
		for _, s := range services {
			p.log.Info("service status", zap.String("service", s.Service), zap.Float64("use", s.DemandRatio), zap.Float64("pressure", s.Pressure),
				zap.Int("servers", s.Servers), zap.Int("usable", s.Usable), zap.Int("cold", s.Cold),
				zap.Float64("occupied", s.Occupied), zap.Int("slots", s.Slots), zap.Int("waiting", s.Waiting), zap.Any("parts", s.RegionShares))
		}
		for _, r := range routes {
			p.log.Info("route status", zap.String("route", r.Route), zap.Duration("first", r.First), zap.Duration("second", r.Second),
				zap.Duration("other", r.Other), zap.Duration("stay", r.ResidenceTime))
		}
	}
}

// readTables keeps the copies of the store's tables young until ctx ends.
func (p *Process) readTables(ctx context.Context) {
	starting, started := context.WithCancel(ctx)
	defer started()
	for range p.clock.Subscribe(starting, startCheck) {
		p.readDue(ctx)
		if p.loaded() {
			started()
		}
	}
	for range p.clock.Subscribe(ctx, readCheck) {
		p.readDue(ctx)
	}
}

// readDue reads the tables whose copies have become too old.
func (p *Process) readDue(ctx context.Context) {
	for table, m := range p.mirrors {
		if !p.mayRead(table) || !m.Due(p.rank(table)) {
			continue
		}
		p.work.Go(func() {
			if m.Read(ctx) {
				p.tell()
			}
		})
	}
}

// loaded reports whether all tables were read.
func (p *Process) loaded() bool {
	for _, m := range p.mirrors {
		if !m.Loaded() {
			return false
		}
	}

	return true
}

// mayRead reports whether a table may be read from the store yet. The list of the
// others decides who reads the rest; at the first start they are not listed at once.
func (p *Process) mayRead(table string) bool {
	now := p.clock.Now()
	if table == TableEntryVMs {
		return !p.settings.FirstStart || now >= listedWithin
	}

	return p.mirrors[table].Loaded() || p.mirrors[TableEntryVMs].Loaded() || now >= startAlone
}

func (p *Process) prune(ctx context.Context) {
	for range p.clock.Subscribe(ctx, pruneEvery) {
		known := *p.addresses.Load()
		p.pool.Prune(func(t http1.Target) bool { return known[t.Instance] == t.Address })
	}
}

// probeTimeout bounds the wait for a server's health.
const probeTimeout = time.Second

func (p *Process) probe(ctx context.Context, e steer.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := p.pool.Probe(ctx, http1.Target{Instance: e.Server.ID, Address: e.Server.Address}, e.Path)
	ended := steer.ProbeEnded{At: p.at(), Server: e.Server.ID, Cold: health.Cold}
	ended.Healthy = err == nil && health.Healthy && health.Instance == e.Server.ID
	p.apply(ended)
}

// announcePause is the time between two attempts to announce this entry VM.
const announcePause = 300 * time.Millisecond

func (p *Process) announce(ctx context.Context) {
	for ctx.Err() == nil && !p.stopping.Load() {
		err := p.deployment.Announce(ctx, p.self)
		if ctx.Err() != nil || p.stopping.Load() {
			return
		}
		p.log.Warn("announcement in the store was lost, writing it again", zap.Error(err))
		timer := time.NewTimer(time.Duration(float64(announcePause) * (0.5 + rand.Float64()))) //nolint:gosec // Spreads retries.
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
