package direct

import (
	"context"
	"fmt"
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
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// tickInterval is the interval at which the reducer gets a tick.
	tickInterval = 100 * time.Millisecond
	// busyTickDelay is a limit for the mean delay of ticks: above it, the processor
	// counts as too slow for its work. tickDelayAlpha is the weight of one tick in the
	// mean. With this weight the mean covers about the last second.
	busyTickDelay  = 30 * time.Millisecond
	tickDelayAlpha = 0.1
	// pruneInterval is the interval at which idle connections to backend servers are
	// checked. Connections that are too old or lead to unlisted servers are closed.
	pruneInterval = 2 * time.Second
	// entryVMsMaxAge is how old the copy of the list of entry VMs may grow. It may grow
	// older than other tables because entry VMs also report to each other.
	entryVMsMaxAge = 1500 * time.Millisecond
	// maxEntryBytes is the size of the longest entry of a backend server or an entry VM that
	// is kept. A usual one has a few hundred bytes.
	maxEntryBytes = 16 << 10
	// firstListingDelay is how long it takes until entry VMs that start together are
	// all in the store's list.
	firstListingDelay = 250 * time.Millisecond
	// maxListingWait bounds how long an entry VM, after its start, waits for the list
	// of entry VMs before it reads the other tables.
	maxListingWait = time.Second
	// statusInterval is the interval of the log lines about services and routes.
	statusInterval = 2 * time.Second
	// readCheckInterval is the interval at which the age of the copies is checked.
	// startCheckInterval replaces it until there is a copy of every table, because
	// callers may be waiting.
	readCheckInterval  = 100 * time.Millisecond
	startCheckInterval = 20 * time.Millisecond
	// proofSpread is the part of Settings.RevocationTime over which entry VMs spread the reads
	// for which no others' readings came.
	proofSpread = 0.25
	// firstProofDivisor divides Settings.RevocationTime into the time after which an entry VM
	// reads for its first proof. Usually the readings of others prove its copy before.
	firstProofDivisor = 8
)

// Process is the process of one entry VM.
type Process struct {
	settings   Settings
	deployment Deployment
	clock      timer.TimeSource
	log        *zap.Logger
	metrics    *metrics.Metrics
	// self is this entry VM as it is announced in the store.
	self EntryVM

	listener *http1.Listener
	pool     *http1.Pool
	bus      *gossip.Bus
	// mirrors are the copies of the store's tables, by table name.
	mirrors map[string]*mirror.Mirror
	peers   *peers
	quotas  *quotas

	// ctx ends with the process.
	ctx context.Context
	// attemptsCtx ends when a stop breaks off the attempts in flight, by endAttempts.
	attemptsCtx context.Context
	endAttempts context.CancelFunc

	// intent is the configuration in force, or nil before the first configuration.
	intent atomic.Pointer[intent.Intent]
	// inForce is the same configuration with its proof; it follows intent.
	inForce atomic.Pointer[configurationInForce]
	// keysKnown is true once a configuration in force was proven.
	keysKnown atomic.Bool
	// serverAddresses are the addresses of the listed backend servers, by ID.
	serverAddresses atomic.Pointer[map[string]string]
	// stopping is true once a stop was requested.
	stopping atomic.Bool
	// lastRequestAt is when a caller last sent a request, as a time.Duration since the
	// start of the process.
	lastRequestAt atomic.Int64
	// busy is true while the processor is too slow for its work.
	busy atomic.Bool

	// mu guards the fields below, and the fields of settings that Reload changes.
	mu    sync.Mutex
	state steer.State
	// effectChans deliver effects to the requests in progress.
	effectChans map[steer.RequestID]chan steer.Effect
	lastID      steer.RequestID

	goroutines sync.WaitGroup
}

// New opens the ports for the other entry VMs and returns a process that does not serve
// callers yet. It fails when a port cannot be opened.
func New(ctx context.Context, settings Settings, d Deployment, clock timer.TimeSource, log *zap.Logger, m *metrics.Metrics) (*Process, error) {
	p := &Process{
		settings: settings, deployment: d, clock: clock, log: log, metrics: m,
		self: EntryVM{
			Name: settings.Steering.Name, Zone: settings.Steering.Zone, Region: settings.Steering.Region,
			Requests: settings.Requests, Reports: netip.AddrPortFrom(settings.Requests.Addr(), settings.Reports),
			Strength: settings.Strength,
		},
		ctx:         ctx,
		state:       steer.New(settings.Steering),
		effectChans: map[steer.RequestID]chan steer.Effect{},
		pool:        http1.NewPool(d.Names(), settings.MaxBufferedResponseBytes),
	}
	p.attemptsCtx, p.endAttempts = context.WithCancel(ctx)
	p.serverAddresses.Store(&map[string]string{})
	// Until the first request, the entry VM is idle.
	p.lastRequestAt.Store(int64(-idleAfter - 1))
	strict := settings.RevocationTime > 0
	p.peers = newPeers(p.self, strict)
	p.quotas = newQuotas(p.self, settings.Quota, clock.Wall(), log)
	var marks func() []proof.Mark
	if strict {
		marks = p.peers.marks
		m.Gauge("proven-age-ms/"+TableOperatorConfig, p.provenAgeMillis)
	}
	p.listener = http1.NewListener(d.Names(), p, p.callerLimits, settings.MaxBufferedBodyBytes)
	p.listener.OnDiscard(p.logDiscarded)
	p.mirrors = map[string]*mirror.Mirror{
		TableOperatorConfig: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableOperatorConfig), MaxAge: settings.TableMaxAge, OnChange: p.operatorConfigChanged, Marks: marks,
		}),
		TableServers: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableServers), MaxAge: settings.TableMaxAge, DeletionGrace: settings.ServerDeletionGrace,
			OutageGap: settings.OutageGap, MaxItemBytes: maxEntryBytes, OnChange: p.serversChanged,
		}),
		TableEntryVMs: mirror.New(d, clock, log, mirror.Options{
			Prefix: d.Prefix(TableEntryVMs), MaxAge: entryVMsMaxAge, MaxItemBytes: maxEntryBytes, OnChange: p.entryVMsChanged,
		}),
	}
	bus, err := gossip.Listen(ctx, settings.Requests.Addr(), settings.Reports, settings.Tables, maxConcurrentCopies(settings.Strength), gossip.Handlers{
		Receive: p.received, EncodeChanges: p.encodeChanges, Malformed: func(from netip.AddrPort, err error) {
			p.log.Warn("a datagram of an entry VM cannot be read", zap.Stringer("from", from), zap.Error(err))
		},
	})
	if err != nil {
		return nil, fmt.Errorf("open ports between entry VMs: %w", err)
	}
	p.bus = bus

	return p, nil
}

// Run serves callers on l until ctx ends. It returns an error when a listener fails.
func (p *Process) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	p.goroutines.Go(func() { failed <- p.listener.Serve(ctx, l) })
	p.goroutines.Go(func() { failed <- p.bus.Run(ctx) })
	p.goroutines.Go(func() { p.readTables(ctx) })
	p.goroutines.Go(func() { p.announce(ctx) })
	p.goroutines.Go(func() { p.tick(ctx) })
	p.goroutines.Go(func() { p.pruneConnections(ctx) })
	p.goroutines.Go(func() { p.reportLoop(ctx) })
	p.goroutines.Go(func() { p.logStatus(ctx) })
	p.goroutines.Go(func() { p.tickQuotas(ctx) })
	p.goroutines.Go(func() { p.holdQuotas(ctx) })
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Reload applies the steering settings, LookupTTL and GracePeriod. Changes of the other
// settings, such as addresses, need a restart.
func (p *Process) Reload(settings Settings) {
	p.mu.Lock()
	settings.Steering.Seed = p.settings.Steering.Seed
	p.settings.Steering, p.settings.LookupTTL, p.settings.GracePeriod = settings.Steering, settings.LookupTTL, settings.GracePeriod
	p.reduce(steer.SettingsChanged{At: p.eventTime(), Settings: settings.Steering})
	p.mu.Unlock()
	p.log.Info("settings in force", zap.Duration("lookup-ttl", settings.LookupTTL), zap.Duration("stop-within", settings.GracePeriod),
		zap.Float64("retry-ratio", settings.Steering.RetryRatio), zap.Float64("warmup-factor", settings.Steering.WarmupFactor),
		zap.Float64("hedge-share", settings.Steering.HedgeShares.Default))
}

// Ready reports whether callers should be sent to this entry VM: it has a configuration
// and a list of backend servers, can tell which keys hold, and is not stopping.
func (p *Process) Ready() bool {
	current := p.intent.Load()

	return !p.stopping.Load() && current != nil && p.mirrors[TableServers].Loaded() && p.hasKnownKeys(current)
}

// callerLimits returns the limits on callers' requests in the configuration in force.
func (p *Process) callerLimits() http1.RequestLimits {
	current := p.intent.Load()
	if current == nil {
		return http1.RequestLimits{}
	}

	return http1.RequestLimits(current.Limits)
}

// eventTime returns the time of an event that happens now.
func (p *Process) eventTime() steer.At {
	return steer.At(p.clock.Now())
}

// apply passes an event to the reducer and runs the effects that it returns.
func (p *Process) apply(ev steer.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reduce(ev)
}

// reduce does the same as apply for callers that hold p.mu.
func (p *Process) reduce(ev steer.Event) {
	next, effects := steer.Reduce(p.state, ev)
	p.state = next
	for _, effect := range effects {
		p.runEffect(effect)
	}
}

// runEffect runs an effect, or delivers it to the request that it concerns. Callers hold
// p.mu.
func (p *Process) runEffect(effect steer.Effect) {
	switch e := effect.(type) {
	case steer.Send:
		p.deliver(e.ID, e)
	case steer.Cancel:
		p.deliver(e.ID, e)
	case steer.Hold:
		p.deliver(e.ID, e)
	case steer.Refuse:
		p.deliver(e.ID, e)
	case steer.ReturnResponse:
		p.deliver(e.ID, e)
	case steer.Fail:
		p.deliver(e.ID, e)
	case steer.Probe:
		p.goroutines.Go(func() { p.probe(p.ctx, e) })
	case steer.CloseIdle:
		p.pool.CloseIdle(http1.Target{Instance: e.Server.ID, Address: e.Server.Address})
	case steer.LogServerState:
		p.log.Info("server state changed", zap.String("server", e.Server), zap.String("state", e.State), zap.String("cause", e.Cause))
	}
}

// deliver passes an effect to the goroutine that serves a request, if the request is
// still in progress. Callers hold p.mu.
func (p *Process) deliver(id steer.RequestID, effect steer.Effect) {
	if ch, ok := p.effectChans[id]; ok {
		ch <- effect
	}
}

// tick sends ticks to the reducer until ctx ends. The mean delay of the ticks shows
// whether the processor is busy.
func (p *Process) tick(ctx context.Context) {
	meanDelay := ewma.Mean{}
	lastTick := p.clock.Now()
	for now := range p.clock.Subscribe(ctx, tickInterval) {
		meanDelay = meanDelay.With(float64(now-lastTick-tickInterval), tickDelayAlpha)
		lastTick = now
		p.busy.Store(meanDelay.Value() > float64(busyTickDelay))
		p.apply(steer.Tick{At: p.eventTime()})
	}
}

// logStatus logs the reducer's view of services and routes at intervals until ctx ends.
func (p *Process) logStatus(ctx context.Context) {
	for range p.clock.Subscribe(ctx, statusInterval) {
		p.quotas.logStatus()
		p.mu.Lock()
		services, routes := p.state.ServiceStatuses(), p.state.RouteStatuses()
		p.mu.Unlock()
		for _, s := range services {
			p.log.Info("service status", zap.String("service", s.Service), zap.Float64("use", s.DemandRatio), zap.Duration("longest-wait", s.LongestWait),
				zap.Int("servers", s.ServerCount), zap.Int("usable", s.UsableServers), zap.Int("cold", s.ColdServers),
				zap.Float64("occupied", s.Occupied), zap.Int("slots", s.Slots), zap.Int("waiting", s.WaitingRequests),
				zap.Int("waiting-customers", s.WaitingCustomers), zap.Strings("excess", s.ExcessCustomers),
				zap.Float64("refused-full", s.FullRefusals), zap.Bool("turns", s.TakesTurns), zap.Any("parts", s.RegionShares))
		}
		for _, r := range routes {
			p.log.Info("route status", zap.String("route", r.Route), zap.Duration("first", r.FirstRankTime), zap.Duration("second", r.SecondRankTime),
				zap.Duration("other", r.OtherRankTime), zap.Duration("stay", r.ResidenceTime))
		}
	}
}

// readTables keeps the copies of the store's tables up to date until ctx ends.
func (p *Process) readTables(ctx context.Context) {
	startCtx, endStart := context.WithCancel(ctx)
	defer endStart()
	for range p.clock.Subscribe(startCtx, startCheckInterval) {
		p.readDueTables(ctx)
		if p.allLoaded() {
			endStart()
		}
	}
	for range p.clock.Subscribe(ctx, readCheckInterval) {
		p.readDueTables(ctx)
	}
}

// readDueTables starts to read the tables whose copies have become too old, and drops
// items that were kept long enough.
func (p *Process) readDueTables(ctx context.Context) {
	for table, m := range p.mirrors {
		m.DropExpired()
		if !p.mayRead(table) || !m.Due(p.readRank(table)) && !p.proofDue(table) {
			continue
		}
		p.goroutines.Go(func() {
			if m.Read(ctx) {
				p.reportNow()
			}
		})
	}
}

// proofDue reports whether this entry VM should read a table because the readings of others
// have not proven its copy for long, and requests need keys.
func (p *Process) proofDue(table string) bool {
	current, limit := p.intent.Load(), p.settings.RevocationTime
	if table != TableOperatorConfig || limit == 0 || current == nil || !current.RequiresKeys() {
		return false
	}
	spread := time.Duration(p.proofRank(table) * proofSpread * float64(limit))
	due := limit / 2
	if !p.hasKnownKeys(current) {
		// Callers may be waiting.
		due = limit / firstProofDivisor
	}

	return p.mirrors[table].ProofDue(due+spread, spread)
}

// provenAgeMillis returns the age of the copy of the operators' configuration that is
// proven, or -1 without a proof.
func (p *Process) provenAgeMillis() int64 {
	if age, ok := p.mirrors[TableOperatorConfig].ProvenAge(); ok {
		return age.Milliseconds()
	}

	return -1
}

// allLoaded reports whether there is a copy of every table.
func (p *Process) allLoaded() bool {
	for _, m := range p.mirrors {
		if !m.Loaded() {
			return false
		}
	}

	return true
}

// mayRead reports whether a table may be read from the store yet. The list of entry VMs
// is read first, because it decides which entry VMs read the other tables. At the first
// start, the list is read after firstListingDelay, when all entry VMs have had time to
// be listed.
func (p *Process) mayRead(table string) bool {
	now := p.clock.Now()
	if table == TableEntryVMs {
		return !p.settings.FirstStart || now >= firstListingDelay
	}

	return p.mirrors[table].Loaded() || p.mirrors[TableEntryVMs].Loaded() || now >= maxListingWait
}

// pruneConnections closes unneeded connections to backend servers until ctx ends.
func (p *Process) pruneConnections(ctx context.Context) {
	for range p.clock.Subscribe(ctx, pruneInterval) {
		addresses := *p.serverAddresses.Load()
		p.pool.Prune(func(t http1.Target) bool { return addresses[t.Instance] == t.Address })
	}
}

// probeTimeout bounds one health check of a backend server.
const probeTimeout = time.Second

// probe checks the health of a backend server and reports the result to the reducer.
func (p *Process) probe(ctx context.Context, e steer.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := p.pool.Probe(ctx, http1.Target{Instance: e.Server.ID, Address: e.Server.Address}, e.Path)
	ended := steer.ProbeEnded{At: p.eventTime(), Server: e.Server.ID, ColdFor: health.ColdFor}
	if err == nil && health.Instance == e.Server.ID {
		ended.Healthy, ended.Leaving, ended.PauseFor = health.Healthy, health.Leaving, health.PauseFor
	}
	p.apply(ended)
}
