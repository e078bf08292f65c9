package entry

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// crasher is the fingerprint of the request that crashes backend servers.
const crasher = 666

// simulation executes the effects of one entry VM on simulated callers, backend servers
// and a store. It checks the promises to callers by the effects alone and does not rely
// on the checks inside the reducer.
type simulation struct {
	t      *rapid.T
	state  State
	now    time.Duration
	config model.Config
	// leavingMarks holds three marks for each backend server: whether the server is
	// leaving according to the configuration (index 0), the list of VMs (index 1) and
	// its load report (index 2).
	leavingMarks map[string]*[3]bool
	requests     map[event.RequestID]*trackedRequest
	attempts     map[event.AttemptID]*attempt
	// attemptOrder holds the keys of attempts in the order of the sends.
	attemptOrder []event.AttemptID
	// possibleRunsByKey counts the attempts that may have run, by idempotency key.
	// Attempts of idempotent requests are not counted.
	possibleRunsByKey map[string]int
	// storeCalls are the calls to the store that are not answered yet.
	storeCalls []event.Effect
	store      map[string][]byte
	versions   map[string]uint64
	// firstSends counts the first send of each request, by service. extraSends counts
	// the hedges and retries.
	firstSends map[string]int
	extraSends map[string]int
	// crashes counts the crashes of backend servers by requests with the fingerprint
	// crasher.
	crashes     int
	lastRequest event.RequestID
	// paused is true while requests may be refused late, because the process gets no
	// ticks or the run is about to end.
	paused bool
	// lastShort is when short work of the service s1 was last sent, or -1 if none was
	// sent.
	lastShort time.Duration
}

// trackedRequest is a request as its caller sees it.
type trackedRequest struct {
	event.RequestArrived
	answers      int
	toldNotRun   bool
	disconnected bool
	sends        int
	// possibleRuns counts attempts that may have run or may yet run.
	possibleRuns int
	// short is true when the request was short work on arrival: it was not declared
	// long or bulk, and its route was not known to be long.
	short bool
	// waitingSince is when the request arrived or its last attempt ended.
	waitingSince time.Duration
}

// attempt is an attempt as the backend server sees it.
type attempt struct {
	id       event.AttemptID
	request  *trackedRequest
	backend  string
	header   bool // its response header was received
	canceled bool
	relayed  bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, leavingMarks: map[string]*[3]bool{}, requests: map[event.RequestID]*trackedRequest{},
		attempts: map[event.AttemptID]*attempt{}, possibleRunsByKey: map[string]int{}, store: map[string][]byte{},
		versions: map[string]uint64{}, firstSends: map[string]int{}, extraSends: map[string]int{}, lastShort: -1,
	}
	s.state = New(Settings{
		Self: event.EntryView{Member: event.Member{VM: "e1", Incarnation: 1}, Region: "r1", Zone: "z1"},
		Seed: 1, ListLag: 30 * time.Second, LookupTTL: time.Second, StartedUnixMS: 1_000_000_000_000,
		Policy: "local-slots",
	})
	s.config = model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"s1": {Name: "s1"}, "s2": {Name: "s2", Deadline: 200 * time.Millisecond}},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		service := "s1"
		if name == "d" {
			service = "s2"
		}
		s.leavingMarks[name] = &[3]bool{}
		s.config = s.config.WithBackend(model.Backend{Name: name, Service: service, Zone: "z1", Slots: 2})
	}
	s.configure()

	return s
}

// configure puts the configuration in force under the next version. It first copies the
// leaving marks whose source is the configuration.
func (s *simulation) configure() {
	s.config = s.config.WithVersion(s.config.Version + 1)
	s.config.Leaving = set.New[string]()
	for name, marks := range s.leavingMarks {
		if marks[0] {
			s.config = s.config.WithLeaving(name)
		}
	}
	config := s.config
	s.reduce(event.ConfigInForce{At: event.At(s.now), Config: &config})
}

// reduce applies an event to the reducer and executes the effects.
func (s *simulation) reduce(ev event.Event) {
	s.t.Logf("%v %T %+v", s.now, ev, ev)
	var effects []event.Effect
	s.state, effects = Reduce(s.state, ev)
	for _, effect := range effects {
		if _, ok := effect.(event.WriteLog); !ok {
			s.t.Logf("    %T %+v", effect, effect)
		}
		s.execute(effect)
	}
}

func (s *simulation) execute(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		s.sendToBackend(e)
	case event.CancelAttempt:
		if a, ok := s.attempts[e.Attempt]; ok {
			a.canceled = true
		}
	case event.RelayResponse:
		s.answer(e.Request)
		if a, ok := s.attempts[e.Attempt]; ok {
			a.relayed = true
			if a.canceled {
				s.t.Fatalf("attempt %d is cancelled and relayed", e.Attempt)
			}
		}
	case event.Refuse:
		s.refuse(e)
	case event.ReadDocument, event.WriteDocument:
		s.storeCalls = append(s.storeCalls, effect)
	case event.ReportViolation:
		s.t.Fatalf("invariant %s: %s", e.Name, e.Detail)
	}
}

func (s *simulation) answer(id event.RequestID) *trackedRequest {
	r := s.requests[id]
	r.answers++
	if r.answers > 1 {
		s.t.Fatalf("request %d has two answers", id)
	}

	return r
}

func (s *simulation) refuse(e event.Refuse) {
	r := s.answer(e.Request)
	if e.Outcome != event.OutcomeNotRun {
		return
	}
	r.toldNotRun = true
	if r.possibleRuns > 0 {
		s.t.Fatalf("request %d may have run and its caller is told not-run", e.Request)
	}
	if r.Key == "" && !s.paused && s.now-r.waitingSince > 50*time.Millisecond {
		s.t.Fatalf("request %d is refused after %v", e.Request, s.now-r.waitingSince)
	}
}

func (s *simulation) sendToBackend(e event.SendToBackend) {
	r := s.requests[e.Request]
	r.sends++
	r.possibleRuns++
	s.checkExtraSends(r)
	if r.toldNotRun {
		s.t.Fatalf("request %d is sent after not-run", e.Request)
	}
	if s.now >= r.Deadline {
		s.t.Fatalf("request %d is sent after its deadline", e.Request)
	}
	if marks := s.leavingMarks[e.Backend]; marks[0] || marks[1] || marks[2] {
		s.t.Fatalf("request %d is sent to %s, which is leaving", e.Request, e.Backend)
	}
	if !r.Traits.Idempotent && r.possibleRuns > 1 {
		s.t.Fatalf("non-idempotent request %d may run twice", e.Request)
	}
	if !r.Traits.Idempotent && r.Key != "" {
		if s.possibleRunsByKey[r.Key]++; s.possibleRunsByKey[r.Key] > 1 {
			s.t.Fatalf("key %s may run twice", r.Key)
		}
	}
	s.attempts[e.Attempt] = &attempt{id: e.Attempt, request: r, backend: e.Backend}
	s.attemptOrder = append(s.attemptOrder, e.Attempt)
	if free := s.config.Backends[e.Backend].Slots - s.inFlight(e.Backend); free < 0 {
		s.t.Fatalf("backend server %s has more work than slots", e.Backend)
	}
	s.checkSlotForShort(r)
}

// checkExtraSends counts a send and checks the budget of hedges and retries. A service
// may have 10 of them plus 5 % of its first attempts. A request may be sent 3 times.
func (s *simulation) checkExtraSends(r *trackedRequest) {
	if r.sends == 1 {
		s.firstSends[r.Service]++

		return
	}
	s.extraSends[r.Service]++
	if float64(s.extraSends[r.Service]) > 10.001+0.05*float64(s.firstSends[r.Service]) {
		s.t.Fatalf("%d hedges and retries for %d first attempts", s.extraSends[r.Service], s.firstSends[r.Service])
	}
	if r.sends > 3 {
		s.t.Fatalf("request %d is sent %d times", r.ID, r.sends)
	}
}

// checkSlotForShort checks that work of the service s1 that was declared long or bulk
// leaves a slot for short work. The slot must stay free for a minute after short work
// of s1 was last sent, unless the servers that are not leaving have fewer than 2 slots.
func (s *simulation) checkSlotForShort(r *trackedRequest) {
	if r.short {
		if r.Service == "s1" {
			s.lastShort = s.now
		}

		return
	}
	if r.Traits.Class == model.ClassShort {
		return
	}
	if r.Service != "s1" || s.lastShort < 0 || s.now-s.lastShort >= time.Minute {
		return
	}
	slots, free := 0, 0
	for _, name := range []string{"a", "b", "c"} {
		if marks := s.leavingMarks[name]; marks[0] || marks[1] || marks[2] {
			continue
		}
		slots += s.config.Backends[name].Slots
		free += max(0, s.config.Backends[name].Slots-s.inFlight(name))
	}
	if slots >= 2 && free == 0 {
		s.t.Fatalf("long request %d takes the last slot", r.ID)
	}
}

func (s *simulation) inFlight(backend string) int {
	n := 0
	for _, a := range s.attempts {
		if a.backend == backend {
			n++
		}
	}

	return n
}

// end ends an attempt at its backend server with a result.
func (s *simulation) end(a *attempt, result event.Result) {
	delete(s.attempts, a.id)
	s.attemptOrder = slices.DeleteFunc(s.attemptOrder, func(id event.AttemptID) bool { return id == a.id })
	r := a.request
	r.waitingSince = s.now
	if result == event.ResultNotSent || result == event.ResultRefused {
		r.possibleRuns--
		if !r.Traits.Idempotent && r.Key != "" {
			s.possibleRunsByKey[r.Key]--
		}
	}
	if result == event.ResultBroken && r.Fingerprint == crasher {
		if s.crashes++; s.crashes > 2 {
			s.t.Fatalf("one request crashes a third backend server")
		}
	}
	s.reduce(event.AttemptEnded{At: event.At(s.now), Request: r.ID, Attempt: a.id, Result: result})
}

// advance lets time pass and ends with one tick.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	s.reduce(event.Tick{At: event.At(s.now)})
}

// finish lets all requests end. It then checks that every caller that did not
// disconnect has one answer, that no request is kept and that no token is lost.
func (s *simulation) finish() {
	s.paused = true
	for range 2000 {
		for len(s.storeCalls) > 0 {
			s.answerStoreCall(0, "ok")
		}
		s.endAll()
		if s.state.Status().Queued == 0 && len(s.state.caller.Unfinished()) == 0 {
			break
		}
		s.advance(5 * time.Millisecond)
	}
	for id, r := range s.requests {
		if r.answers != 1 && !r.disconnected {
			s.t.Fatalf("request %d has %d answers", id, r.answers)
		}
	}
	if left := s.state.caller.Unfinished(); len(left) > 0 {
		s.t.Fatalf("requests %v are still kept", left)
	}
	for name, used := range s.state.tokens.(*localTokens).used {
		if used != 0 {
			s.t.Fatalf("%d tokens of %s are lost", used, name)
		}
	}
}

// endAll ends all attempts as their backend servers would.
func (s *simulation) endAll() {
	for len(s.attemptOrder) > 0 {
		a := s.attempts[s.attemptOrder[0]]
		result := event.ResultComplete
		if a.canceled {
			result = event.ResultCanceled
		} else if a.request.Fingerprint == crasher && !a.relayed {
			result = event.ResultBroken
		}
		s.end(a, result)
	}
}

// answerStoreCall answers the store call with index i. The fault is "ok" (none),
// "refused", "lost" (nothing is written, and the answer is lost) or "unknown" (only the
// answer is lost). Every fault makes a read fail.
func (s *simulation) answerStoreCall(i int, fault string) {
	effect := s.storeCalls[i]
	s.storeCalls = slices.Delete(s.storeCalls, i, i+1)
	at := event.At(s.now)
	switch e := effect.(type) {
	case event.ReadDocument:
		if fault != "ok" {
			s.reduce(event.DocumentRead{At: at, Key: e.Key, Failed: true})

			return
		}
		s.reduce(event.DocumentRead{At: at, Key: e.Key, Version: s.versions[e.Key], Value: s.store[e.Key]})
	case event.WriteDocument:
		result := event.WriteConflict
		if fault == "refused" {
			result = event.WriteRefused
		} else if fault != "lost" && s.versions[e.Key] == e.ExpectedVersion {
			s.versions[e.Key]++
			s.store[e.Key] = e.Value
			result = event.WriteDone
		}
		if fault == "lost" || fault == "unknown" {
			result = event.WriteUnknown
		}
		s.reduce(event.DocumentWritten{At: at, Key: e.Key, Nonce: e.Nonce, Result: result, Version: s.versions[e.Key]})
	}
}

// suspect returns a message from another entry about requests with the given
// fingerprint: one crashed a backend server or, if cleared is true, one has completed
// since.
func suspect(at time.Duration, fingerprint uint64, cleared bool) event.PeerMessage {
	return event.PeerMessage{
		At: event.At(at), From: event.Member{VM: "e2", Incarnation: 2},
		Message: &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: &peerpb.Suspect{
			Fingerprint: fingerprint, Crashes: 1, Cleared: cleared,
		}}},
	}
}
