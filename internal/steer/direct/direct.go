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

// Settings are what an entry VM knows from its start.
type Settings struct {
	// Name is the entry VM's own name.
	Name   string
	Zone   string
	Region string
	Seed   uint64
	// RetryRatio and RetryAllowance bound repeated attempts of all entry VMs in
	// RetryWindow: ratio x requests + allowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// WarmupFactor and WarmupAllowance bound the requests of all entry VMs to a
	// cold server in a second: its rate x factor + allowance.
	WarmupFactor    float64
	WarmupAllowance float64
}

const (
	// reportLife is how long another entry's report counts; the reports come
	// several times a second.
	reportLife = 1500 * time.Millisecond
	// answerMargin is the time kept for a final answer to reach the caller.
	answerMargin = 30 * time.Millisecond
	// workAlpha weighs one answer in the usual work time of a route.
	workAlpha = 0.02
	// goldenRatio is the golden ratio; its multiples spread points evenly.
	goldenRatio = 0.6180339887498949
	// worthwhile is the least time for which another attempt is worth making,
	// relative to the usual work of the route.
	worthwhile = 0.8
)

// State is the state of the reducer; only the newest one may be used.
type State struct {
	*state
}

type peerReport struct {
	Report

	at time.Duration
}

type state struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	ticked   time.Duration

	intent    *intent.Intent
	servers   map[string]*server
	byKey     map[uint32]*server
	byService map[string][]*server
	evacuated set.Set[string]
	entries   []string
	strengths map[string]int
	// divisions counts the changes of what cold servers' rates are divided by.
	divisions uint64
	peers     map[string]peerReport

	requests map[RequestID]*request
	queues   map[string]*queue
	budgets  map[string]*budget
	demands  map[string]*demand
	spreads  map[string]*spread
	works    map[string]*workTimes
	// stays are the times that requests of a route are in flight, long runs included.
	stays map[string]ewma.Mean
	// uses is the demand for each service relative to its slots, by those who ask
	// for the first time.
	uses      map[string]float64
	distances map[string]time.Duration
	patiences map[string]*patience
	pressures map[string]*pressure
	suspects  suspects
	spill     spill
	sequence  float64

	out []Effect
}

// New returns the state of an entry VM that knows nothing yet.
func New(settings Settings) State {
	return State{&state{
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)), //nolint:gosec // Steering needs no secret numbers.
		servers:   map[string]*server{},
		byKey:     map[uint32]*server{},
		byService: map[string][]*server{},
		peers:     map[string]peerReport{},
		requests:  map[RequestID]*request{},
		queues:    map[string]*queue{},
		budgets:   map[string]*budget{},
		demands:   map[string]*demand{},
		spreads:   map[string]*spread{},
		works:     map[string]*workTimes{},
		stays:     map[string]ewma.Mean{},
		uses:      map[string]float64{},
		distances: map[string]time.Duration{},
		patiences: map[string]*patience{},
		pressures: map[string]*pressure{},
		suspects:  suspects{},
	}}
}

// Reduce takes one event and returns the newest state and what must be done.
func Reduce(s State, ev Event) (State, []Effect) {
	s.out = nil
	s.now = max(s.now, ev.when())
	switch e := ev.(type) {
	case RequestArrived:
		s.arrive(e)
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
			s.divisions++
		}
	case ServersChanged:
		s.serversKnown(e.Servers)
	case EvacuatedZonesChanged:
		if e.Zones.Len() != s.evacuated.Len() {
			s.spill.disturb(s.now)
		}
		s.evacuated = e.Zones
	case EntriesChanged:
		s.entries, s.strengths = e.Names, e.Strengths
		s.divisions++
	case SettingsChanged:
		s.settings = e.Settings
		s.divisions++
	case Tick:
		s.tick()
	}

	return s, s.out
}

func (s *state) emit(e Effect) {
	s.out = append(s.out, e)
}

// arrive decides about a new request.
func (s *state) arrive(e RequestArrived) {
	r := &request{
		id: e.ID, route: e.Route, arrived: s.now, until: e.Deadline - answerMargin, fingerprint: e.Fingerprint,
		service: e.Route.PickService(s.random.Float64()),
	}
	if e.Route.Timeout > 0 {
		r.until = min(r.until, s.now+e.Route.Timeout)
	}
	r.aim = s.now + e.Route.Target - callerTransit
	fresh := true
	if e.Patience > 0 {
		elapsed := entryOf(s.patiences, e.Route.Name, func() *patience { return &patience{} }).elapsed(s.now, e.Patience)
		r.aim -= elapsed
		fresh = float64(elapsed) <= freshShare*float64(e.Route.Target)
	}
	s.sequence += goldenRatio
	s.sequence -= float64(int(s.sequence))
	r.point = s.sequence
	r.objectHash = s.random.Uint64()
	if e.Route.Sticky && e.Object != "" {
		r.objectHash = rendezvous.Mix(xxhash.Sum64String(e.Object) ^ xxhash.Sum64String(e.Route.Host))
		r.point = float64(rendezvous.Mix(r.objectHash)>>11) / (1 << 53)
	}
	s.requests[r.id] = r
	if s.suspects.refuses(s.now, r.fingerprint) {
		s.refuse(r, ReasonCrashesServers)

		return
	}
	s.budget(r.service).first(s.now)
	if fresh {
		s.demand(r.service).work += s.stay(r)
	}
	s.place(r)
}

// place sends a request, lets it wait or refuses it.
func (s *state) place(r *request) {
	chosen, reachable := s.choose(r)
	canMake := s.canMake(r)
	if canMake {
		s.pressure(r.service).note(chosen != nil || r.room)
	}
	until := holdUntil(r)
	switch {
	case chosen != nil:
		s.send(r, chosen)
	case !reachable && len(s.byService[r.service]) == 0, s.now >= until, !canMake:
		s.refuse(r, s.refusal(r, reachable))
	default:
		s.queue(r.service).push(r)
		s.emit(Hold{ID: r.id, Until: until})
	}
}

func (s *state) refusal(r *request, reachable bool) Reason {
	switch {
	case r.shed:
		return ReasonServerShed
	case !reachable:
		return ReasonNoServer
	case !s.canMake(r):
		// First attempts want the slots that there are.
		return ReasonTargetPassed
	}

	return ReasonNoCapacity
}

func (s *state) send(r *request, to *server) {
	if to.cold(s.now) {
		to.nextCold = paceCold(s.now, s.coldRateOf(to))
	}
	s.emit(Send{ID: r.id, Server: to.Server, Deadline: r.until, Occupied: to.occupied(), Limit: to.limit()})
	r.holds = s.portions(r, to)
	to.own++
	to.held += r.holds
	s.spill.note(s.now, r.planned != "" && to.Region != r.planned)
	r.at, r.sentAt = to, s.now
	r.servers = append(r.servers, to.ID)
}

func (s *state) refuse(r *request, reason Reason) {
	s.forget(r)
	s.emit(Refuse{
		ID: r.id, Reason: reason, RetryAfter: s.returnAfter(r, reason),
		DemandRatio: s.uses[r.service], Pressure: s.pressure(r.service).share.Value(), Left: r.aim - s.now,
	})
}

func (s *state) forget(r *request) {
	if r.queued {
		s.queue(r.service).remove(r)
	}
	delete(s.requests, r.id)
}

func (s *state) holdExpired(id RequestID) {
	r, ok := s.requests[id]
	if !ok || !r.queued {
		return
	}
	s.queue(r.service).remove(r)
	if chosen, reachable := s.choose(r); chosen != nil {
		s.send(r, chosen)
	} else {
		s.giveUp(r, s.refusal(r, reachable))
	}
}

// callerLeft forgets a request; the runtime ends its attempt itself.
func (s *state) callerLeft(id RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	s.release(r)
	s.forget(r)
	s.dispatch(r.service)
}

// portions returns what a request takes of the slots of a server, in slotPortions.
func (s *state) portions(r *request, at *server) int {
	work := s.workAt(r, at, s.placeOf(r, at))

	return max(int(math.Round(slotPortions*float64(work)/float64(work+s.distance(at.Region)))), 1)
}

// release frees the place of a request at its server.
func (s *state) release(r *request) {
	if r.at != nil {
		r.at.own--
		r.at.held -= r.holds
		r.at = nil
	}
}

// dispatch sends waiting requests as far as there is room.
func (s *state) dispatch(service string) {
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
	return entryOf(s.queues, service, func() *queue { return &queue{} })
}

func (s *state) demand(service string) *demand {
	return entryOf(s.demands, service, func() *demand { return &demand{} })
}

func (s *state) budget(service string) *budget {
	return entryOf(s.budgets, service, func() *budget { return &budget{width: s.settings.RetryWindow / budgetCells} })
}

// entryOf returns the value at a key, made on first use.
func entryOf[V any](m map[string]*V, key string, build func() *V) *V {
	v, ok := m[key]
	if !ok {
		v = build()
		m[key] = v
	}

	return v
}
