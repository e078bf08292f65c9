package direct

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Settings identify an entry VM and set its bounds; SettingsChanged replaces them.
type Settings struct {
	// Name is the entry VM's own name.
	Name   string
	Zone   string
	Region string
	// Seed starts the random number generator.
	Seed uint64
	// RetryRatio and RetryAllowance bound the retries of all entry VMs for a service in
	// RetryWindow: ratio x first attempts + allowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// WarmupFactor and WarmupAllowance bound the requests of all entry VMs to a cold
	// server in a second: rate x factor + allowance, where the rate is the service's
	// WarmupPerSecond.
	WarmupFactor    float64
	WarmupAllowance float64
}

const (
	// reportTTL is how long a report of other entry VMs counts; reports come several
	// times a second.
	reportTTL = 1500 * time.Millisecond
	// responseMargin is the time reserved for the final response to reach the caller.
	responseMargin = 30 * time.Millisecond
	// residenceAlpha is the weight of one attempt in a route's mean residence time.
	residenceAlpha = 0.02
	// goldenRatio is the fractional part of the golden ratio; the fractional parts of
	// its multiples cover [0, 1) evenly.
	goldenRatio = 0.6180339887498949
	// minRetryTimeShare is the least time that must be left until the deadline for a
	// retry, as a share of the route's typical time at secondRank.
	minRetryTimeShare = 0.8
)

// State is the state of the reducer. Only the one that Reduce returned last may be
// used, because it shares its maps with the earlier ones.
type State struct {
	*state
}

// peerReport is a report of other entry VMs and when it came.
type peerReport struct {
	Report

	receivedAt time.Duration
}

// state holds what an entry VM knows. Its maps are keyed by the ID of the server or
// request, or the name of the service or route, unless a comment says otherwise.
type state struct {
	settings Settings
	random   *rand.Rand
	// now and lastTick are times since the start of the process.
	now      time.Duration
	lastTick time.Duration

	intent  *intent.Intent
	servers map[string]*server
	// byKey holds the servers by their Key.
	byKey          map[uint32]*server
	byService      map[string][]*server
	evacuatedZones set.Set[string]
	// entries are the names of all entry VMs, and strengths order them by the capacity
	// of their links.
	entries   []string
	strengths map[string]int
	// coldRateInputsVersion counts the changes of what ownColdRate depends on.
	coldRateInputsVersion uint64
	// peers are the newest reports by PeerReported.Peer.
	peers map[string]peerReport

	requests       map[RequestID]*request
	queues         map[string]*queue
	retryBudgets   map[string]*retryBudget
	demands        map[string]*demand
	divisions      map[string]*division
	typicalByRoute map[string]*typicalTimes
	// residenceTimes are the mean times in nanoseconds that the requests of a route
	// spend at a server, long-running requests included.
	residenceTimes map[string]ewma.Mean
	// demandRatios are the slots of each service that first requests need, relative to
	// those that it has.
	demandRatios map[string]float64
	// roundTrips are the shortest times that a new connection took, by region.
	roundTrips map[string]time.Duration
	// patiences are kept by route, pressures by service.
	patiences map[string]*patience
	pressures map[string]*pressure
	suspects  suspects
	spillover spillover
	// lastPoint advances by goldenRatio, modulo 1, with each request. Those without an
	// object or of a route that is not sticky take it as their divisionPoint.
	lastPoint float64

	effects []Effect
}

// New returns the state of an entry VM without configuration, servers and peers.
func New(settings Settings) State {
	return State{&state{
		settings:       settings,
		random:         rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)), //nolint:gosec // Steering needs no secret numbers.
		servers:        map[string]*server{},
		byKey:          map[uint32]*server{},
		byService:      map[string][]*server{},
		peers:          map[string]peerReport{},
		requests:       map[RequestID]*request{},
		queues:         map[string]*queue{},
		retryBudgets:   map[string]*retryBudget{},
		demands:        map[string]*demand{},
		divisions:      map[string]*division{},
		typicalByRoute: map[string]*typicalTimes{},
		residenceTimes: map[string]ewma.Mean{},
		demandRatios:   map[string]float64{},
		roundTrips:     map[string]time.Duration{},
		patiences:      map[string]*patience{},
		pressures:      map[string]*pressure{},
		suspects:       suspects{},
	}}
}

// Reduce applies an event and returns the new state and the effects to carry out.
func Reduce(s State, ev Event) (State, []Effect) {
	s.effects = nil
	s.now = max(s.now, ev.when())
	switch e := ev.(type) {
	case RequestArrived:
		s.requestArrived(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case HoldExpired:
		s.holdExpired(e.ID)
	case CallerLeft:
		s.callerLeft(e.ID)
	case PeerReported:
		s.peerReported(e)
	case ProbeEnded:
		s.probeEnded(e)
	case IntentChanged:
		if s.intent == nil || e.Intent.Version > s.intent.Version {
			s.intent = e.Intent
			s.coldRateInputsVersion++
		}
	case ServersChanged:
		s.serversChanged(e.Servers)
	case EvacuatedZonesChanged:
		if e.Zones.Len() != s.evacuatedZones.Len() {
			s.spillover.liftLimit(s.now)
		}
		s.evacuatedZones = e.Zones
	case EntryVMsChanged:
		s.entries, s.strengths = e.Names, e.Strengths
		s.coldRateInputsVersion++
	case SettingsChanged:
		s.settings = e.Settings
		s.coldRateInputsVersion++
	case Tick:
		s.tick()
	}

	return s, s.effects
}

func (s *state) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// requestArrived records a new request and sends it, queues it or refuses it.
func (s *state) requestArrived(e RequestArrived) {
	r := &request{
		id: e.ID, route: e.Route, arrived: s.now, deadline: e.Deadline - responseMargin, fingerprint: e.Fingerprint,
		service: e.Route.PickService(s.random.Float64()),
	}
	if e.Route.Timeout > 0 {
		r.deadline = min(r.deadline, s.now+e.Route.Timeout)
	}
	r.targetDeadline = s.now + e.Route.Target - callerRoundTrip
	firstRequest := true
	if e.Patience > 0 {
		sinceFirstRequest := getOrCreate(s.patiences, e.Route.Name, func() *patience { return &patience{} }).sinceFirstRequest(s.now, e.Patience)
		r.targetDeadline -= sinceFirstRequest
		firstRequest = float64(sinceFirstRequest) <= firstRequestShare*float64(e.Route.Target)
	}
	s.lastPoint += goldenRatio
	s.lastPoint -= float64(int(s.lastPoint))
	r.divisionPoint = s.lastPoint
	r.objectHash = s.random.Uint64()
	if e.Route.Sticky && e.Object != "" {
		r.objectHash = rendezvous.Mix(xxhash.Sum64String(e.Object) ^ xxhash.Sum64String(e.Route.Host))
		r.divisionPoint = float64(rendezvous.Mix(r.objectHash)>>11) / (1 << 53)
	}
	s.requests[r.id] = r
	if s.suspects.refuses(s.now, r.fingerprint) {
		s.refuse(r, ReasonCrashesServers)

		return
	}
	s.retryBudget(r.service).countFirstAttempt(s.now)
	if firstRequest {
		s.demand(r.service).requested += s.residenceTime(r)
	}
	s.admit(r)
}

// admit sends a request, queues it or refuses it. A request that cannot meet its
// target is not queued.
func (s *state) admit(r *request) {
	chosen, anyEligible := s.choose(r)
	canMeetTarget := s.canMeetTarget(r)
	if canMeetTarget {
		s.pressure(r.service).observe(chosen != nil || r.foundRoom)
	}
	until := holdUntil(r)
	switch {
	case chosen != nil:
		s.send(r, chosen)
	case !anyEligible && len(s.byService[r.service]) == 0, s.now >= until, !canMeetTarget:
		s.refuse(r, s.refusalReason(r, anyEligible))
	default:
		s.queue(r.service).push(r)
		s.emit(Hold{ID: r.id, Until: until})
	}
}

// refusalReason returns why a request that no server takes is refused.
func (s *state) refusalReason(r *request, anyEligible bool) Reason {
	switch {
	case r.shed:
		return ReasonServerShed
	case !anyEligible:
		return ReasonNoServer
	case !s.canMeetTarget(r):
		// Requests that can meet their target need the slots.
		return ReasonTargetPassed
	}

	return ReasonNoCapacity
}

// send sends a request to a server and counts it in flight there.
func (s *state) send(r *request, srv *server) {
	if srv.cold(s.now) {
		srv.nextColdSend = coldSendAfter(s.now, s.ownColdRate(srv))
	}
	s.emit(Send{ID: r.id, Server: srv.Server, Deadline: r.deadline, Occupied: srv.occupied(), Limit: srv.limit()})
	r.portions = s.slotPortions(r, srv)
	srv.inFlight++
	srv.ownPortions += r.portions
	s.spillover.count(s.now, r.assignedRegion != "" && srv.Region != r.assignedRegion)
	r.current, r.sentAt = srv, s.now
	r.triedServers = append(r.triedServers, srv.ID)
}

func (s *state) refuse(r *request, reason Reason) {
	s.forget(r)
	s.emit(Refuse{
		ID: r.id, Reason: reason, RetryAfter: s.retryAfter(r, reason),
		DemandRatio: s.demandRatios[r.service], Pressure: s.pressure(r.service).share.Value(), TimeToTarget: r.targetDeadline - s.now,
	})
}

func (s *state) forget(r *request) {
	if r.queued {
		s.queue(r.service).remove(r)
	}
	delete(s.requests, r.id)
}

// holdExpired sends a queued request if a server takes it now, or gives it up.
func (s *state) holdExpired(id RequestID) {
	r, ok := s.requests[id]
	if !ok || !r.queued {
		return
	}
	s.queue(r.service).remove(r)
	if chosen, anyEligible := s.choose(r); chosen != nil {
		s.send(r, chosen)
	} else {
		s.giveUp(r, s.refusalReason(r, anyEligible))
	}
}

// callerLeft removes a request; the runtime cancels its attempt itself.
func (s *state) callerLeft(id RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	s.release(r)
	s.forget(r)
	s.dispatchQueued(r.service)
}

// slotPortions returns the part of a slot that a request takes at a server, in units
// of 1/portionsPerSlot: the processing time relative to the time in flight.
func (s *state) slotPortions(r *request, srv *server) int {
	processing := s.processingTime(r, srv, s.rankOf(r, srv))

	return max(int(math.Round(portionsPerSlot*float64(processing)/float64(processing+s.roundTrip(srv.Region)))), 1)
}

// release takes a request off the counts of the server that has it.
func (s *state) release(r *request) {
	if r.current != nil {
		r.current.inFlight--
		r.current.ownPortions -= r.portions
		r.current = nil
	}
}

// dispatchQueued sends the queued requests of a service for which a server has room.
func (s *state) dispatchQueued(service string) {
	q, ok := s.queues[service]
	if !ok {
		return
	}
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		chosen, _ := s.choose(r)
		if chosen == nil {
			i++

			continue
		}
		q.remove(r)
		s.send(r, chosen)
	}
}

func (s *state) queue(service string) *queue {
	return getOrCreate(s.queues, service, func() *queue { return &queue{} })
}

func (s *state) demand(service string) *demand {
	return getOrCreate(s.demands, service, func() *demand { return &demand{} })
}

func (s *state) retryBudget(service string) *retryBudget {
	return getOrCreate(s.retryBudgets, service, func() *retryBudget { return &retryBudget{bucketWidth: s.settings.RetryWindow / budgetBuckets} })
}

// getOrCreate returns the value at a key, which it creates on first use.
func getOrCreate[V any](m map[string]*V, key string, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}

	return v
}
