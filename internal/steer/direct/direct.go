package direct

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Settings holds the identity and the limits of an entry VM; SettingsChanged replaces
// them.
type Settings struct {
	// Name is the entry VM's own name.
	Name   string
	Zone   string
	Region string
	// Seed starts the random number generator.
	Seed uint64
	// RetryRatio and RetryAllowance bound the retries for one service by all entry VMs
	// together: in each RetryWindow, at most RetryRatio x first attempts + RetryAllowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// WarmupFactor and WarmupAllowance bound the requests to one cold server by all entry
	// VMs together: in each second, at most the service's WarmupPerSecond x WarmupFactor +
	// WarmupAllowance.
	WarmupFactor    float64
	WarmupAllowance float64
	// MaxShift is the greatest share of a region's requests that may change the region in
	// which they run from one spilloverWindow to the next, without a fault.
	MaxShift float64
	// FaultTime is how long a fault may show its effects after its last sign. MaxShift does
	// not hold meanwhile.
	FaultTime time.Duration
	// HedgeShares bounds the hedges.
	HedgeShares HedgeShares
}

const (
	// reportTTL is how long a report of other entry VMs is used. Reports come several
	// times a second.
	reportTTL = 1500 * time.Millisecond
	// responseMargin is the time reserved for the final response to reach the caller.
	responseMargin = 30 * time.Millisecond
	// residenceAlpha is the weight of one attempt in a route's mean residence time, the
	// time that a request spends at a server.
	residenceAlpha = 0.02
	// goldenRatioFraction is the fractional part of the golden ratio. The fractional parts
	// of its multiples are spread evenly over [0, 1).
	goldenRatioFraction = 0.6180339887498949
)

// State is the state of the reducer. Only the State that Reduce returned last may be
// used, because it shares its maps with the earlier ones.
type State struct {
	*state
}

// peerReport is a report of other entry VMs and the time when it was received.
type peerReport struct {
	Report

	receivedAt time.Duration
}

// state holds what an entry VM knows. Unless a comment says otherwise, its maps are
// keyed by the ID of the server or request, or by the name of the service or route.
type state struct {
	settings Settings
	random   *rand.Rand
	// now and lastTick are times since the start of the process.
	now      time.Duration
	lastTick time.Duration
	// answerBy is when requests are broken off because the entry VM ends, or nothing while
	// no stop was requested.
	answerBy option.Option[time.Duration]

	intent  *intent.Intent
	servers map[string]*server
	// byKey holds the servers by their Key.
	byKey     map[uint32]*server
	byService map[string][]*server
	// byRegion holds a service's servers in a region, outside those in all other regions.
	byRegion       map[serviceRegion][]*server
	outside        map[serviceRegion][]*server
	evacuatedZones set.Set[string]
	// entryVMNames and strengths are the fields of the last EntryVMsChanged.
	entryVMNames []string
	strengths    map[string]int
	// coldRateInputsVersion counts the changes of the inputs of ownColdRate.
	coldRateInputsVersion uint64
	// peers holds the newest report from each source, by PeerReported.Peer.
	peers map[string]peerReport

	requests       map[RequestID]*request
	queues         map[string]*queue
	retryBudgets   map[string]*retryBudget
	hedges         map[string]*hedges
	hedgeTrials    map[string]*hedgeTrial
	demands        map[string]*demand
	divisions      map[string]*division
	typicalByRoute map[string]*typicalTimes
	// residenceTimes holds the mean time in nanoseconds that a request spends at a server,
	// by route. Long-running requests are included.
	residenceTimes map[string]ewma.Mean
	// demandRatios holds the number of slots that the callers' requests need, relative to
	// the slots of all regions, by service. slotPrices holds the time that others wait for
	// a second in a slot.
	demandRatios map[string]float64
	slotPrices   map[string]float64
	bodyLengths  bodyLengths
	// heldPortions is what the requests of this entry VM take of the slots of a service, in
	// units of 1/portionsPerSlot.
	heldPortions map[string]int
	// ownShares holds the share of the slots in use of a service that the requests of this
	// entry VM hold.
	ownShares map[string]float64
	// meanLimit is the mean of the customers' limits in requests per second, 0 if there is
	// no limit.
	meanLimit float64
	// roundTrips holds the shortest time that it took to open a connection, by region.
	roundTrips map[string]time.Duration
	suspects   suspects
	// unlisted holds the servers that the list left out recently, by incarnation. A server
	// whose entry lapses and comes back keeps what is known of it.
	unlisted map[Incarnation]*server
	// leavingElsewhere holds when another entry VM last reported an incarnation as leaving.
	leavingElsewhere map[Incarnation]time.Duration
	spillover        spillover
	// refusals are those of the servers by service.
	// takesTurns is true while entry VMs take turns with the free slots of some service.
	refusals   map[string]*refusals
	takesTurns bool
	// contenders holds the Keys of the entry VMs at which requests wait for a slot, by
	// service; nil if it must be worked out again. ownKey is that of this entry VM.
	contenders map[string][]uint32
	ownKey     uint32
	// lastPoint advances by goldenRatioFraction, modulo 1, with each request. It is the
	// divisionPoint of requests without an object and of requests of routes that are not
	// sticky.
	lastPoint float64
	// splitPoints holds the next point for picking the service of a route with several
	// services, by route.
	splitPoints map[string]float64

	effects []Effect
}

// serviceRegion is the key of a service's servers in one region.
type serviceRegion struct {
	service, region string
}

// New returns the state of an entry VM without configuration, servers and peers.
func New(settings Settings) State {
	return State{&state{
		ownKey:         Key(settings.Name),
		settings:       settings,
		random:         rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)), //nolint:gosec // Steering needs no secret numbers.
		servers:        map[string]*server{},
		byKey:          map[uint32]*server{},
		byService:      map[string][]*server{},
		byRegion:       map[serviceRegion][]*server{},
		outside:        map[serviceRegion][]*server{},
		peers:          map[string]peerReport{},
		requests:       map[RequestID]*request{},
		queues:         map[string]*queue{},
		refusals:       map[string]*refusals{},
		retryBudgets:   map[string]*retryBudget{},
		hedges:         map[string]*hedges{},
		hedgeTrials:    map[string]*hedgeTrial{},
		demands:        map[string]*demand{},
		divisions:      map[string]*division{},
		typicalByRoute: map[string]*typicalTimes{},
		residenceTimes: map[string]ewma.Mean{},
		demandRatios:   map[string]float64{},
		roundTrips:     map[string]time.Duration{},
		slotPrices:     map[string]float64{},
		bodyLengths:    bodyLengths{},
		heldPortions:   map[string]int{},
		ownShares:      map[string]float64{},
		suspects:       suspects{},
		unlisted:       map[Incarnation]*server{},
		splitPoints:    map[string]float64{},

		leavingElsewhere: map[Incarnation]time.Duration{},
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
	case HedgeDue:
		s.hedgeDue(e.ID)
	case CallerLeft:
		s.callerLeft(e.ID)
	case PeerReported:
		s.peerReported(e)
	case ProbeEnded:
		s.probeEnded(e)
	case IntentChanged:
		if s.intent == nil || e.Intent.Version > s.intent.Version {
			s.intent = e.Intent
			s.customersChanged()
			s.coldRateInputsVersion++
		}
	case ServersChanged:
		s.serversChanged(e.Servers)
	case EvacuatedZonesChanged:
		if e.Zones.Len() != s.evacuatedZones.Len() {
			s.spillover.liftLimit(s.now + s.settings.FaultTime)
		}
		s.evacuatedZones = e.Zones
	case EntryVMsChanged:
		s.entryVMNames, s.strengths = e.Names, e.Strengths
		// An entry VM that has just started does not know the leaving servers yet.
		s.reportLeavingAgain()
		s.coldRateInputsVersion++
	case SettingsChanged:
		s.settings = e.Settings
		s.coldRateInputsVersion++
	case StopRequested:
		s.stopRequested(e)
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
		id: e.ID, route: e.Route, customer: e.Customer, arrivedAt: s.now, deadline: e.Deadline - responseMargin, fingerprint: e.Fingerprint,
		service: e.Route.PickService(s.nextSplitPoint(e.Route)),
	}
	if e.Route.Timeout > 0 {
		r.deadline = min(r.deadline, s.now+e.Route.Timeout)
	}
	s.lastPoint = nextPoint(s.lastPoint)
	r.divisionPoint = s.lastPoint
	r.objectHash = s.random.Uint64()
	if e.Route.Sticky && e.Object != "" {
		r.objectHash = rendezvous.Mix(xxhash.Sum64String(e.Object) ^ xxhash.Sum64String(e.Route.Host))
		r.divisionPoint = fraction(rendezvous.Mix(r.objectHash))
	}
	s.noteBody(r, e.BodyBytes)
	s.requests[r.id] = r
	if !r.hasHome() {
		// No server of any region will ever take it, so it is no demand either.
		s.refuse(r, ReasonNoServer)

		return
	}
	r.share = s.shareOf(r)
	if s.suspects.refuses(s.now, r.fingerprint) {
		s.refuse(r, ReasonCrashesServers)

		return
	}
	s.retryBudget(r.service).countFirstAttempt(s.now)
	if h := s.hedgesOf(r.service); h != nil {
		h.budget.countFirstAttempt(s.now)
	}
	s.demand(r.service).requestedSlotTime += s.residenceTime(r)
	s.queue(r.service).countRequest(r)
	s.admit(r)
}

// fraction returns a point in [0, 1) for a hash.
func fraction(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}

// nextPoint returns the point in [0, 1) after another one in a sequence whose points are
// spread evenly in any stretch of it.
func nextPoint(point float64) float64 {
	point += goldenRatioFraction

	return point - math.Floor(point)
}

// nextSplitPoint returns the point by which the service of a request is picked. Points
// that are spread evenly keep the share of each service near its weight also among few
// requests, where independent random points would not.
func (s *state) nextSplitPoint(route intent.Route) float64 {
	if len(route.ServiceWeights) < 2 {
		return 0
	}
	point, ok := s.splitPoints[route.Name]
	if !ok {
		// Entry VMs start at different points, so that their rounding errors do not add up.
		point = s.random.Float64()
	}
	s.splitPoints[route.Name] = nextPoint(point)

	return point
}

// admit sends a request, queues it or refuses it.
func (s *state) admit(r *request) {
	if !s.mayStart(r) {
		s.refuse(r, ReasonStopping)

		return
	}
	s.place(r, "")
}

// place sends a request to a server, lets it wait for one or gives it up. The reason is that
// of the last attempt, "" before the first. A request that may have reached a server needs
// a retry from the budget.
func (s *state) place(r *request, reason Reason) {
	c := s.choose(r)
	if reason == "" {
		reason = s.refusalReason(r, c)
	}
	switch {
	case c.server == nil && !s.mayWait(r):
		s.giveUp(r, reason)
	case r.attempts > 0 && !s.takeRetry(r, 1):
		s.giveUp(r, ReasonRetryBudget)
	case c.server != nil:
		s.send(r, c.server)
	default:
		r.awaited, r.share = c.awaited, s.shareOf(r)
		s.queue(r.service).push(s.now, r)
		s.emit(Hold{ID: r.id, Until: r.deadline - r.answerTime})
	}
}

// eligibleAt returns the earliest time from which some server may get the request, if none
// may get it now. The result is the greatest duration if the list has no server for the
// request.
func (s *state) eligibleAt(r *request) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, srv := range s.byService[r.service] {
		if srv.Leaving || s.evacuatedZones.Has(srv.Zone) || !r.permits(srv.Region) || r.tried(srv.ID) {
			continue
		}
		at := max(s.now, srv.avoidUntil, srv.pausedUntil)
		if srv.needsProbe && !srv.probing {
			at = max(at, srv.nextProbeAt)
		}
		switch {
		case !srv.isCold(at):
		case s.hasColdRate(srv):
			at = max(at, srv.nextColdSendAt)
		default:
			at = srv.coldUntil
		}
		earliest = min(earliest, at)
	}

	return earliest
}

// refusalReason returns the reason for the refusal of a request that no server takes.
func (s *state) refusalReason(r *request, c choice) Reason {
	switch {
	case r.wasShed:
		return ReasonServerShed
	case !c.eligible:
		return ReasonNoServer
	case !s.fits(r, r.answerTime):
		return ReasonNoTime
	}

	return ReasonNoCapacity
}

// send sends a request that is at no server to a server.
func (s *state) send(r *request, srv *server) {
	s.startAttempt(r, attempt{server: srv, lateAt: s.lateAt(r, srv)}, Late{})
}

// sendHedge sends a request that is at a server to another one, too.
func (s *state) sendHedge(r *request, srv *server, late Late) {
	s.startAttempt(r, attempt{server: srv, hedge: true}, late)
}

// startAttempt sends a request to a server and counts it in flight there.
func (s *state) startAttempt(r *request, a attempt, late Late) {
	srv := a.server
	if srv.isCold(s.now) {
		srv.nextColdSendAt = coldSendAfter(s.now, s.ownColdRate(srv))
	}
	s.emit(Send{
		ID: r.id, Server: srv.Server, Deadline: r.deadline, OccupiedSlots: srv.occupied(), SlotLimit: srv.slotLimit(),
		LateAt: a.lateAt, Hedge: a.hedge, Late: late,
	})
	a.sentAt, a.portions = s.now, s.slotPortions(r, srv)
	srv.inFlight++
	srv.longBodyBytes += r.longBodyBytes
	srv.ownPortions += a.portions
	s.heldPortions[r.service] += a.portions
	r.share = s.shareOf(r)
	a.share, a.period = r.share, s.queue(r.service).begin(r.share)
	s.typicalTimes(r).lastSentAt = s.now
	s.spillover.count(s.now, r.assignedRegion != "" && srv.Region != r.assignedRegion)
	r.inFlight = append(r.inFlight, a)
	r.triedServers = append(r.triedServers, srv.ID)
}

func (s *state) refuse(r *request, reason Reason) {
	s.forget(r)
	s.emit(Refuse{
		ID: r.id, Reason: reason, RetryAfter: s.retryAfter(r, reason),
		DemandRatio: s.demandRatios[r.service], Wait: r.wait, AnswerTime: r.answerTime, TimeLeft: r.deadline - s.now,
	})
}

func (s *state) forget(r *request) {
	if r.queued {
		s.queue(r.service).remove(r)
	}
	delete(s.requests, r.id)
}

// holdExpired sends a queued request if a server takes it now, and gives it up
// otherwise.
func (s *state) holdExpired(id RequestID) {
	r, ok := s.requests[id]
	if !ok || !r.queued {
		return
	}
	s.queue(r.service).remove(r)
	if c := s.choose(r); c.server != nil {
		s.send(r, c.server)
	} else {
		s.giveUp(r, s.refusalReason(r, c))
	}
}

// callerLeft removes a request. The runtime cancels the attempts in flight itself.
func (s *state) callerLeft(id RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	s.release(r, true)
	s.forget(r)
	s.dispatchFreed(r.service)
}

// slotPortions returns the part of a slot that a request takes at a server, in units of
// 1/portionsPerSlot. The part is the processing time divided by the whole time in
// flight, and at least one unit.
func (s *state) slotPortions(r *request, srv *server) int {
	processing := s.processingTime(r, srv, s.rankOf(r, srv))
	if processing == 0 {
		return portionsPerSlot
	}

	return max(int(math.Round(portionsPerSlot*float64(processing)/float64(processing+s.roundTrip(srv.Region)))), 1)
}

// release ends the attempts in flight, if any, and subtracts them from the servers'
// counts. served is true if the servers may have worked for the request.
func (s *state) release(r *request, served bool) {
	for len(r.inFlight) > 0 {
		s.releaseAttempt(r, r.inFlight[0].hedge, served)
	}
}

// releaseAttempt ends an attempt in flight and subtracts it from the server's counts. It
// returns false if there is no such attempt. served is as in release.
func (s *state) releaseAttempt(r *request, hedge, served bool) (attempt, bool) {
	at := slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.hedge == hedge })
	if at < 0 {
		return attempt{}, false
	}
	a := r.inFlight[at]
	r.inFlight = slices.Delete(r.inFlight, at, at+1)
	a.server.inFlight--
	a.server.longBodyBytes -= r.longBodyBytes
	a.server.ownPortions -= a.portions
	s.heldPortions[r.service] -= a.portions
	s.queue(r.service).end(a.share, a.period, served)

	return a, true
}

func (s *state) queue(service string) *queue {
	return getOrCreate(s.queues, service, func() *queue { return newQueue(s.hasCustomers()) })
}

func (s *state) demand(service string) *demand {
	return getOrCreate(s.demands, service, func() *demand { return &demand{} })
}

func (s *state) retryBudget(service string) *retryBudget {
	return getOrCreate(s.retryBudgets, service, func() *retryBudget { return &retryBudget{bucketWidth: s.settings.RetryWindow / budgetBuckets} })
}

// sortedKeys returns the keys of a map in an order that does not change: effects, random
// numbers and the rounding of sums must follow from the events alone.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// getOrCreate returns the value at key and creates the value on first use.
func getOrCreate[V any](m map[string]*V, key string, create func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = create()
		m[key] = v
	}

	return v
}
