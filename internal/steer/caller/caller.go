// Package caller decides the life of a request: admission, the bounded queue,
// attempts, hedges, retries, claims, suspects and the one answer.
package caller

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Settings are fixed for the life of a process.
type Settings struct {
	Self   event.Member
	Region string
	Zone   string
	Seed   uint64
	// LookupTTL is how long a stopping entry serves new requests.
	LookupTTL time.Duration
	// StartedUnixMS is the wall-clock time of time zero in milliseconds since 1970.
	StartedUnixMS uint64
	// NoHedging is a baseline of experiments.
	NoHedging bool
}

// Dependencies are the parts of the reducer that the life of a request depends on.
type Dependencies interface {
	// Backends returns the backend servers of the own region.
	Backends() backend.State
	// Tokens returns the tokens that this entry holds.
	Tokens() backend.Tokens
	// AcquireToken uses one token of a backend server, if one is free.
	AcquireToken(backend string) bool
	// ReleaseToken gives back a token that AcquireToken used.
	ReleaseToken(backend string)
	// RequestTokens asks other entries for tokens of any of the backend servers.
	RequestTokens(backends []string, now time.Duration)
	// Region returns the region that serves a new request, or false when the cap
	// of a shift forbids all of them.
	Region(service, callerRegion string, now time.Duration) (string, bool)
	// Sent counts a request that goes to a region.
	Sent(service, region string, now time.Duration)
	// Entries returns the live entries of a region, or of all when it is "".
	Entries(region string) []event.EntryView
	// Stale reports whether this entry has lost contact with all others.
	Stale(now time.Duration) bool
	// Finish forgets a request whose claim stays in the store.
	Finish(request event.RequestID)
}

// State is the part of the reducer that holds the requests in progress; only
// the newest one may be used.
type State struct {
	*table
}

type table struct {
	settings Settings
	near     Dependencies
	random   *rand.Rand
	config   *model.Config
	requests map[event.RequestID]*request
	queues   map[string]*queue
	// services holds the names of queues in order.
	services []string
	timers   timers
	budgets  map[string]*budget
	suspects suspects
	carries  carries
	attempts event.AttemptID
	inFlight int
	stopping bool
	stopAt   time.Duration
	now      time.Duration
	out      []event.Effect
}

// New returns a state without requests.
func New(settings Settings, near Dependencies) State {
	return State{&table{
		settings: settings,
		near:     near,
		random:   rand.New(rand.NewPCG(settings.Seed, 0x63616c6c6572)),
		config:   &model.Config{},
		requests: make(map[event.RequestID]*request),
		queues:   make(map[string]*queue),
		budgets:  make(map[string]*budget),
		suspects: newSuspects(),
		carries:  newCarries(),
	}}
}

// Handle applies an event, then whatever has become due.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	s.now = max(s.now, ev.Time())
	s.out = nil
	switch e := ev.(type) {
	case event.RequestArrived:
		s.arrive(e)
	case event.AttemptStarted:
		s.started(e)
	case event.HeaderReceived:
		s.header(e)
	case event.AttemptEnded:
		s.ended(e)
	case event.CallerDisconnected:
		s.gone(e)
	case event.ClaimEnded:
		s.claimed(e)
	case event.ClaimReleased:
		s.released(e)
	case event.PeerMessage:
		if m := e.Message.GetSuspect(); m != nil {
			s.heard(e.From, m)
		}
		s.pumpAll()
	case event.ConfigInForce:
		s.config = e.Config
		s.pumpAll()
	case event.StopRequested:
		s.stop()
	case event.Tick:
		s.pumpAll()
		s.suspects.expire(s.now)
	}
	s.wake()

	return s, s.out
}

func (t *table) emit(effect event.Effect) {
	t.out = append(t.out, effect)
}

func (t *table) stop() {
	if t.stopping {
		return
	}
	t.stopping, t.stopAt = true, t.now
}

// Stopping reports whether a planned stop was requested.
func (s State) Stopping() bool {
	return s.stopping
}

// ServesUntil returns when a stopping entry refuses new requests.
func (s State) ServesUntil() time.Duration {
	return s.stopAt + s.settings.LookupTTL
}

// Drained reports whether a stopping entry has no request in progress and may
// have none to come.
func (s State) Drained(now time.Duration) bool {
	return s.stopping && now >= s.ServesUntil() && len(s.requests) == 0
}

// InFlight returns the number of attempts that have not ended.
func (s State) InFlight() int {
	return s.inFlight
}

// Queued returns the number of requests that wait for a token.
func (s State) Queued() int {
	n := 0
	for _, q := range s.queues {
		n += q.len()
	}

	return n
}

// NextDue returns when something becomes due, or false when nothing waits.
func (s State) NextDue() (time.Duration, bool) {
	if len(s.timers) == 0 {
		return 0, false
	}

	return s.timers[0].at, true
}

// wake handles the requests whose time has come.
func (t *table) wake() {
	for len(t.timers) > 0 && t.timers[0].at <= t.now {
		due := heap.Pop(&t.timers).(alarm)
		r, ok := t.requests[due.request]
		if !ok || r.wakeAt != due.at {
			continue
		}
		r.wakeAt = never
		t.check(r)
		t.schedule(r)
	}
}

// schedule sets the alarm of a request to the next time at which it must be
// looked at.
func (t *table) schedule(r *request) {
	at := r.due()
	if at == never || at == r.wakeAt {
		return
	}
	if r.wakeAt != never && r.wakeAt < at {
		return
	}
	r.wakeAt = at
	heap.Push(&t.timers, alarm{at: at, request: r.id})
}

// Unfinished returns the numbers of the requests in progress.
func (s State) Unfinished() []event.RequestID {
	return slices.Sorted(maps.Keys(s.requests))
}
