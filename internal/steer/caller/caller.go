// Package caller decides, for `greengagetally entry`, what happens to each
// caller's request from its arrival to its one response: admission, queueing,
// attempts, hedges, retries, claims of idempotency keys and the handling of
// requests that crash backend servers.
//
// An entry VM is called an entry for short. An entry serves a request with a
// backend server of its own region, for which it needs a free token (see package
// region). Or it carries the request: it sends the request to another entry, which
// serves it.
//
// Times are durations since the start of the process.
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
	// Seed seeds the random choice among equally loaded entries.
	Seed uint64
	// LookupTTL is how long callers may cache the address of this entry. For that
	// long after a stop was requested, the entry still serves new requests.
	LookupTTL time.Duration
	// StartedUnixMS is the wall-clock time at the start of the process, in Unix
	// milliseconds.
	StartedUnixMS uint64
	// NoHedging turns hedges off, as a baseline for experiments.
	NoHedging bool
}

// Dependencies gives access to the other parts of the reducer.
type Dependencies interface {
	// Backends returns the backend servers of the own region.
	Backends() backend.State
	// Tokens returns the tokens that this entry holds.
	Tokens() backend.Tokens
	// AcquireToken takes a free token of a backend server into use, or returns
	// false when there is none.
	AcquireToken(backend string) bool
	// ReleaseToken frees a token that AcquireToken took into use.
	ReleaseToken(backend string)
	// RequestTokens asks other entries for a token of any of the backend servers.
	RequestTokens(backends []string, now time.Duration)
	// Region chooses the region that serves a new request. It returns false when
	// the cap on moving traffic between regions (see package shift) forbids every
	// region.
	Region(service, callerRegion string, now time.Duration) (string, bool)
	// Sent counts a request of a service for a region towards that cap.
	Sent(service, region string, now time.Duration)
	// Entries returns the live entries of a region, or of all regions when region
	// is "". This entry is included.
	Entries(region string) []event.EntryView
	// Stale reports whether this entry has lately heard from neither the store
	// nor an entry of another availability zone.
	Stale(now time.Duration) bool
	// Finish tells the store part of the reducer that a request has ended and its
	// claim stays.
	Finish(request event.RequestID)
}

// State holds the requests in progress. Handle changes it in place, so only the
// State that it returned last may be used.
type State struct {
	*requestTable
}

// requestTable holds the data behind a State.
type requestTable struct {
	settings Settings
	deps     Dependencies
	random   *rand.Rand
	config   *model.Config
	requests map[event.RequestID]*request
	// queues and budgets are by service.
	queues map[string]*queue
	// serviceNames holds the keys of queues in ascending order, so that every run
	// visits the queues in the same order.
	serviceNames []string
	timers       timers
	budgets      map[string]*budget
	suspects     suspects
	carryTargets carryTargets
	// attempts is the ID of the newest attempt.
	attempts event.AttemptID
	// inFlight counts the attempts that have not ended.
	inFlight int
	// stopping is true once a planned stop was requested, at stopRequestedAt.
	stopping        bool
	stopRequestedAt time.Duration
	now             time.Duration
	// effects collects the effects of the event being handled.
	effects []event.Effect
}

// New returns a state without requests.
func New(settings Settings, deps Dependencies) State {
	return State{&requestTable{
		settings:     settings,
		deps:         deps,
		random:       rand.New(rand.NewPCG(settings.Seed, 0x63616c6c6572)), // "caller" in ASCII
		config:       &model.Config{},
		requests:     make(map[event.RequestID]*request),
		queues:       make(map[string]*queue),
		budgets:      make(map[string]*budget),
		suspects:     newSuspects(),
		carryTargets: newCarryTargets(),
	}}
}

// Handle applies an event, then does what has become due for requests, and
// returns what the runtime or other parts of the reducer must do.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	s.now = max(s.now, ev.Time())
	s.effects = nil
	switch e := ev.(type) {
	case event.RequestArrived:
		s.requestArrived(e)
	case event.AttemptStarted:
		s.attemptStarted(e)
	case event.HeaderReceived:
		s.headerReceived(e)
	case event.AttemptEnded:
		s.attemptEnded(e)
	case event.CallerDisconnected:
		s.callerDisconnected(e)
	case event.ClaimEnded:
		s.claimed(e)
	case event.ClaimReleaseEnded:
		s.claimReleaseEnded(e)
	case event.PeerMessage:
		if m := e.Message.GetSuspect(); m != nil {
			s.suspectReported(e.From, m)
		}
		s.serveQueues()
	case event.ConfigInForce:
		s.config = e.Config
		s.serveQueues()
	case event.StopRequested:
		s.stopRequested()
	case event.Tick:
		s.serveQueues()
		s.suspects.expire(s.now)
	}
	s.fireTimers()

	return s, s.effects
}

func (t *requestTable) emit(effect event.Effect) {
	t.effects = append(t.effects, effect)
}

func (t *requestTable) stopRequested() {
	if t.stopping {
		return
	}
	t.stopping, t.stopRequestedAt = true, t.now
}

// Stopping reports whether a planned stop was requested.
func (s State) Stopping() bool {
	return s.stopping
}

// ServesUntil returns the time from which a stopping entry refuses new requests.
func (s State) ServesUntil() time.Duration {
	return s.stopRequestedAt + s.settings.LookupTTL
}

// Drained reports whether a stopping entry has no request in progress and
// refuses new ones.
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

// NextDue returns the earliest time at which a request has something due, or
// false when there is none; Handle must be called with a Tick by then.
func (s State) NextDue() (time.Duration, bool) {
	if len(s.timers) == 0 {
		return 0, false
	}

	return s.timers[0].at, true
}

// fireTimers does what is due for the requests whose timers have expired.
func (t *requestTable) fireTimers() {
	for len(t.timers) > 0 && t.timers[0].at <= t.now {
		due := heap.Pop(&t.timers).(timer)
		r, ok := t.requests[due.request]
		if !ok || r.timerAt != due.at {
			continue
		}
		r.timerAt = never
		t.handleDue(r)
		t.setTimer(r)
	}
}

// setTimer sets the timer of a request to the next time at which something is due
// for the request. An earlier timer stays in force; when it expires, fireTimers
// calls setTimer again.
func (t *requestTable) setTimer(r *request) {
	at := r.nextDue()
	if at == never || at == r.timerAt {
		return
	}
	if r.timerAt != never && r.timerAt < at {
		return
	}
	r.timerAt = at
	heap.Push(&t.timers, timer{at: at, request: r.id})
}

// Unfinished returns the IDs of the requests in progress in ascending order.
func (s State) Unfinished() []event.RequestID {
	return slices.Sorted(maps.Keys(s.requests))
}
