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

// killer is the fingerprint of the request that crashes backend servers.
const killer = 666

// world runs the effects of one entry VM and checks what is promised to
// callers from the outside, without the checks inside the reducer.
type world struct {
	t        *rapid.T
	state    State
	now      time.Duration
	config   model.Config
	marks    map[string]*[3]bool
	requests map[event.RequestID]*call
	attempts map[event.AttemptID]*sending
	order    []event.AttemptID
	keys     map[string]int
	calls    []event.Effect
	store    map[string][]byte
	versions map[string]uint64
	first    map[string]int
	extra    map[string]int
	crashes  int
	next     event.RequestID
	paused   bool
	// lastShort is when short work was last sent, or -1.
	lastShort time.Duration
}

// call is a request as its caller sees it.
type call struct {
	event.RequestArrived
	answers int
	notRun  bool
	gone    bool
	sends   int
	// runs counts attempts that may have run or may yet run.
	runs int
	// short is true unless the request was declared or its route learned to be
	// long before it arrived.
	short bool
	// since is the arrival or the end of the last attempt.
	since time.Duration
}

// sending is an attempt as the backend server sees it.
type sending struct {
	id       event.AttemptID
	request  *call
	backend  string
	header   bool
	canceled bool
	relayed  bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, marks: map[string]*[3]bool{}, requests: map[event.RequestID]*call{},
		attempts: map[event.AttemptID]*sending{}, keys: map[string]int{}, store: map[string][]byte{},
		versions: map[string]uint64{}, first: map[string]int{}, extra: map[string]int{}, lastShort: -1,
	}
	w.state = New(Settings{
		Self: event.EntryView{Member: event.Member{VM: "e1", Incarnation: 1}, Region: "r1", Zone: "z1"},
		Seed: 1, ListLag: 30 * time.Second, LookupTTL: time.Second, StartedUnixMS: 1_000_000_000_000,
		Policy: "local-slots",
	})
	w.config = model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"s1": {Name: "s1"}, "s2": {Name: "s2", Deadline: 200 * time.Millisecond}},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		service := "s1"
		if name == "d" {
			service = "s2"
		}
		w.marks[name] = &[3]bool{}
		w.config = w.config.WithBackend(model.Backend{Name: name, Service: service, Zone: "z1", Slots: 2})
	}
	w.configure()

	return w
}

// configure puts the configuration with the present marks in force.
func (w *world) configure() {
	w.config = w.config.WithVersion(w.config.Version + 1)
	w.config.Leaving = set.New[string]()
	for name, m := range w.marks {
		if m[0] {
			w.config = w.config.WithLeaving(name)
		}
	}
	config := w.config
	w.take(event.ConfigInForce{At: event.At(w.now), Config: &config})
}

// take gives an event to the reducer and runs the effects.
func (w *world) take(ev event.Event) {
	w.t.Logf("%v %T %+v", w.now, ev, ev)
	var effects []event.Effect
	w.state, effects = Reduce(w.state, ev)
	for _, effect := range effects {
		if _, ok := effect.(event.WriteLog); !ok {
			w.t.Logf("    %T %+v", effect, effect)
		}
		w.apply(effect)
	}
}

func (w *world) apply(effect event.Effect) {
	switch e := effect.(type) {
	case event.SendToBackend:
		w.send(e)
	case event.CancelAttempt:
		if a, ok := w.attempts[e.Attempt]; ok {
			a.canceled = true
		}
	case event.RelayResponse:
		w.answer(e.Request)
		if a, ok := w.attempts[e.Attempt]; ok {
			a.relayed = true
			if a.canceled {
				w.t.Fatalf("attempt %d is cancelled and relayed", e.Attempt)
			}
		}
	case event.Refuse:
		w.refuse(e)
	case event.ReadDocument, event.WriteDocument:
		w.calls = append(w.calls, effect)
	case event.ReportViolation:
		w.t.Fatalf("invariant %s: %s", e.Name, e.Detail)
	}
}

func (w *world) answer(id event.RequestID) *call {
	c := w.requests[id]
	c.answers++
	if c.answers > 1 {
		w.t.Fatalf("request %d has two answers", id)
	}

	return c
}

func (w *world) refuse(e event.Refuse) {
	c := w.answer(e.Request)
	if e.Outcome != event.OutcomeNotRun {
		return
	}
	c.notRun = true
	if c.runs > 0 {
		w.t.Fatalf("request %d may have run and its caller is told not-run", e.Request)
	}
	if c.Key == "" && !w.paused && w.now-c.since > 50*time.Millisecond {
		w.t.Fatalf("request %d is refused after %v", e.Request, w.now-c.since)
	}
}

func (w *world) send(e event.SendToBackend) {
	c := w.requests[e.Request]
	c.sends++
	c.runs++
	w.count(c)
	if c.notRun {
		w.t.Fatalf("request %d is sent after not-run", e.Request)
	}
	if w.now >= c.Deadline {
		w.t.Fatalf("request %d is sent after its deadline", e.Request)
	}
	if m := w.marks[e.Backend]; m[0] || m[1] || m[2] {
		w.t.Fatalf("request %d is sent to %s, which is leaving", e.Request, e.Backend)
	}
	if !c.Traits.Idempotent && c.runs > 1 {
		w.t.Fatalf("non-idempotent request %d may run twice", e.Request)
	}
	if !c.Traits.Idempotent && c.Key != "" {
		if w.keys[c.Key]++; w.keys[c.Key] > 1 {
			w.t.Fatalf("key %s may run twice", c.Key)
		}
	}
	w.attempts[e.Attempt] = &sending{id: e.Attempt, request: c, backend: e.Backend}
	w.order = append(w.order, e.Attempt)
	if free := w.config.Backends[e.Backend].Slots - w.inFlight(e.Backend); free < 0 {
		w.t.Fatalf("backend server %s has more work than slots", e.Backend)
	}
	w.checkShort(c)
}

// count checks the budget of hedges and retries.
func (w *world) count(c *call) {
	if c.sends == 1 {
		w.first[c.Service]++

		return
	}
	w.extra[c.Service]++
	if float64(w.extra[c.Service]) > 10.001+0.05*float64(w.first[c.Service]) {
		w.t.Fatalf("%d extra for %d first attempts", w.extra[c.Service], w.first[c.Service])
	}
	if c.sends > 3 {
		w.t.Fatalf("request %d is sent %d times", c.ID, c.sends)
	}
}

// checkShort checks that declared long work leaves a slot for short work.
func (w *world) checkShort(c *call) {
	if c.short {
		if c.Service == "s1" {
			w.lastShort = w.now
		}

		return
	}
	if c.Traits.Class == model.ClassShort {
		return
	}
	if c.Service != "s1" || w.lastShort < 0 || w.now-w.lastShort >= time.Minute {
		return
	}
	held, free := 0, 0
	for _, name := range []string{"a", "b", "c"} {
		if m := w.marks[name]; m[0] || m[1] || m[2] {
			continue
		}
		held += w.config.Backends[name].Slots
		free += max(0, w.config.Backends[name].Slots-w.inFlight(name))
	}
	if held >= 2 && free == 0 {
		w.t.Fatalf("long request %d takes the last slot", c.ID)
	}
}

func (w *world) inFlight(backend string) int {
	n := 0
	for _, a := range w.attempts {
		if a.backend == backend {
			n++
		}
	}

	return n
}

// end ends an attempt at its backend server.
func (w *world) end(a *sending, result event.Result) {
	delete(w.attempts, a.id)
	w.order = slices.DeleteFunc(w.order, func(id event.AttemptID) bool { return id == a.id })
	c := a.request
	c.since = w.now
	if result == event.ResultNotSent || result == event.ResultRefused {
		c.runs--
		if !c.Traits.Idempotent && c.Key != "" {
			w.keys[c.Key]--
		}
	}
	if result == event.ResultBroken && c.Fingerprint == killer {
		if w.crashes++; w.crashes > 2 {
			w.t.Fatalf("request crashes the third backend server")
		}
	}
	w.take(event.AttemptEnded{At: event.At(w.now), Request: c.ID, Attempt: a.id, Result: result})
}

// tick moves the time.
func (w *world) tick(d time.Duration) {
	w.now += d
	w.take(event.Tick{At: event.At(w.now)})
}

// finish lets everything end and checks that every caller has one answer.
func (w *world) finish() {
	w.paused = true
	for range 2000 {
		for len(w.calls) > 0 {
			w.answerStore(0, "ok")
		}
		w.settle()
		if w.state.Status().Queued == 0 && len(w.state.caller.Unfinished()) == 0 {
			break
		}
		w.tick(5 * time.Millisecond)
	}
	for id, c := range w.requests {
		if c.answers != 1 && !c.gone {
			w.t.Fatalf("request %d has %d answers", id, c.answers)
		}
	}
	if left := w.state.caller.Unfinished(); len(left) > 0 {
		w.t.Fatalf("requests %v are not forgotten", left)
	}
	for name, used := range w.state.ledger.(*slots).used {
		if used != 0 {
			w.t.Fatalf("%d tokens of %s are lost", used, name)
		}
	}
}

// settle ends all attempts as their backend servers would.
func (w *world) settle() {
	for len(w.order) > 0 {
		a := w.attempts[w.order[0]]
		result := event.ResultComplete
		if a.canceled {
			result = event.ResultCanceled
		} else if a.request.Fingerprint == killer && !a.relayed {
			result = event.ResultBroken
		}
		w.end(a, result)
	}
}

// answerStore answers a call of the store.
func (w *world) answerStore(i int, how string) {
	effect := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	at := event.At(w.now)
	switch e := effect.(type) {
	case event.ReadDocument:
		if how != "ok" {
			w.take(event.DocumentRead{At: at, Key: e.Key, Failed: true})

			return
		}
		w.take(event.DocumentRead{At: at, Key: e.Key, Version: w.versions[e.Key], Value: w.store[e.Key]})
	case event.WriteDocument:
		result := event.WriteConflict
		if how == "refused" {
			result = event.WriteRefused
		} else if how != "lost" && w.versions[e.Key] == e.ExpectedVersion {
			w.versions[e.Key]++
			w.store[e.Key] = e.Value
			result = event.WriteDone
		}
		if how == "lost" || how == "unknown" {
			result = event.WriteUnknown
		}
		w.take(event.DocumentWritten{At: at, Key: e.Key, Nonce: e.Nonce, Result: result, Version: w.versions[e.Key]})
	}
}

// suspect is a message of another entry.
func suspect(at time.Duration, fingerprint uint64, cleared bool) event.PeerMessage {
	return event.PeerMessage{
		At: event.At(at), From: event.Member{VM: "e2", Incarnation: 2},
		Message: &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: &peerpb.Suspect{
			Fingerprint: fingerprint, Crashes: 1, Cleared: cleared,
		}}},
	}
}
