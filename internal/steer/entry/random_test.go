package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// TestRandomisedRun guards the promises to callers against every order of
// events that a fixed seed gives.
func TestRandomisedRun(t *testing.T) {
	t.Parallel()
	rapid.Check(t, randomRun)
}

func randomRun(t *rapid.T) {
	w := newWorld(t)
	t.Repeat(map[string]func(*rapid.T){
		"arrive":  w.arrive,
		"arrive2": w.arrive,
		"advance": func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 5).Draw(t, "ms")) * time.Millisecond) },
		"header":  w.header,
		"end":     w.endOne,
		"store":   w.storeCall,
		"mark":    w.mark,
		"gone":    w.goneOne,
		"burst":   w.burst,
		"slow":    w.slow,
		"slots": func(t *rapid.T) {
			b := w.config.Backends[rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "backend")]
			b.Slots = max(w.inFlight(b.Name), rapid.IntRange(0, 3).Draw(t, "slots"))
			w.config = w.config.WithBackend(b)
			w.configure()
		},
		"suspect": func(t *rapid.T) {
			w.take(suspect(w.now, uint64(rapid.IntRange(1, 5).Draw(t, "fp")), rapid.Bool().Draw(t, "cleared")))
		},
		"pause": func(t *rapid.T) {
			if rapid.IntRange(0, 20).Draw(t, "rare") != 0 {
				t.Skip("rare")
			}
			w.paused = true
			w.tick(time.Duration(rapid.IntRange(50, 70_000).Draw(t, "ms")) * time.Millisecond)
			w.paused = false
		},
		"stop": func(t *rapid.T) {
			if rapid.IntRange(0, 200).Draw(t, "rare") != 0 {
				t.Skip("rare")
			}
			w.take(event.StopRequested{At: event.At(w.now)})
		},
	})
	w.finish()
}

func (w *world) arrive(t *rapid.T) {
	w.next++
	c := &call{since: w.now}
	c.RequestArrived = event.RequestArrived{
		At: event.At(w.now), ID: w.next, CallerRegion: "r1", BodyBytes: -1,
		Service:    rapid.SampledFrom([]string{"s1", "s1", "s1", "s2", "unknown"}).Draw(t, "service"),
		RouteKey:   rapid.SampledFrom([]string{"GET /a", "GET /b"}).Draw(t, "route"),
		Deadline:   w.now + time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline"))*time.Millisecond,
		Carried:    rapid.Bool().Draw(t, "carried"),
		Replayable: rapid.IntRange(0, 3).Draw(t, "replayable") > 0,
		Traits: model.Traits{
			Class:      rapid.SampledFrom([]model.Class{0, 0, 0, 1, 2}).Draw(t, "class"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
		},
		Fingerprint: uint64(w.next) + 1000,
	}
	if rapid.IntRange(0, 3).Draw(t, "keyed") == 0 {
		c.Key = "1000000000-abcdefghijklmnop" + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key")
	}
	switch rapid.IntRange(0, 9).Draw(t, "fp") {
	case 0:
		if !w.killerRuns() {
			c.Fingerprint = killer
		}
	case 1, 2:
		c.Fingerprint = uint64(rapid.IntRange(1, 5).Draw(t, "print"))
	}
	w.request(c)
}

func (w *world) request(c *call) {
	c.short = w.state.backend.Class(c.Service, c.RouteKey, c.Traits.Class) == model.ClassShort
	w.requests[c.ID] = c
	w.take(c.RequestArrived)
}

// burst serves short requests quickly, so that latencies and routes are known.
func (w *world) burst(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "requests") {
		w.next++
		c := &call{since: w.now, RequestArrived: event.RequestArrived{
			At: event.At(w.now), ID: w.next, CallerRegion: "r1", Service: "s1", RouteKey: "GET /a",
			Deadline: w.now + time.Second, Traits: model.Traits{Idempotent: true}, Fingerprint: uint64(w.next) + 1000,
			Replayable: true,
		}}
		w.request(c)
		w.tick(time.Millisecond)
		for _, id := range w.order {
			if a := w.attempts[id]; a.request == c && !a.canceled {
				w.take(event.HeaderReceived{At: event.At(w.now), Request: c.ID, Attempt: id, Status: 200})
				a.header = true
				w.end(a, event.ResultComplete)

				break
			}
		}
	}
}

// slow leaves idempotent requests without an answer until they are hedged.
func (w *world) slow(t *rapid.T) {
	w.settle()
	for range rapid.IntRange(1, 3).Draw(t, "requests") {
		w.next++
		c := &call{since: w.now, RequestArrived: event.RequestArrived{
			At: event.At(w.now), ID: w.next, CallerRegion: "r1", Service: "s1", RouteKey: "GET /a",
			Deadline: w.now + time.Second, Traits: model.Traits{Idempotent: true}, Fingerprint: uint64(w.next) + 1000,
			Replayable: true,
		}}
		w.request(c)
	}
	for range 12 {
		w.tick(5 * time.Millisecond)
	}
	w.settle()
}

// killerRuns reports whether the request that crashes backend servers is in
// flight; its caller sends it again only after an answer.
func (w *world) killerRuns() bool {
	for _, c := range w.requests {
		if c.Fingerprint == killer && c.answers == 0 {
			return true
		}
	}
	for _, a := range w.attempts {
		if a.request.Fingerprint == killer {
			return true
		}
	}

	return false
}

func (w *world) drawAttempt(t *rapid.T) *sending {
	if len(w.order) == 0 {
		t.Skip("no attempt")
	}

	return w.attempts[rapid.SampledFrom(w.order).Draw(t, "attempt")]
}

func (w *world) header(t *rapid.T) {
	a := w.drawAttempt(t)
	if a.header || a.request.Fingerprint == killer {
		t.Skip("no header")
	}
	a.header = true
	w.take(event.HeaderReceived{At: event.At(w.now), Request: a.request.ID, Attempt: a.id, Status: 200})
}

func (w *world) endOne(t *rapid.T) {
	a := w.drawAttempt(t)
	results := []event.Result{event.ResultComplete, event.ResultNotSent, event.ResultRefused, event.ResultBroken, event.ResultTimeout}
	if a.header {
		results = []event.Result{event.ResultComplete, event.ResultTruncated}
	}
	if a.request.Fingerprint == killer {
		results = []event.Result{event.ResultBroken, event.ResultNotSent}
	}
	if a.canceled {
		results = append(results, event.ResultCanceled)
	}
	w.end(a, rapid.SampledFrom(results).Draw(t, "result"))
}

func (w *world) storeCall(t *rapid.T) {
	if len(w.calls) == 0 {
		t.Skip("no call")
	}
	how := rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "lost", "unknown"}).Draw(t, "how")
	w.answerStore(rapid.IntRange(0, len(w.calls)-1).Draw(t, "call"), how)
}

// mark sets or removes a leaving mark of one of the three sources.
func (w *world) mark(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "backend")
	source := rapid.IntRange(0, 2).Draw(t, "source")
	w.marks[name][source] = rapid.IntRange(0, 2).Draw(t, "leaving") == 0
	switch source {
	case 0:
		w.configure()
	case 1:
		list := event.VMsListed{At: event.At(w.now), Version: 1}
		for vm, m := range w.marks {
			list.VMs = append(list.VMs, event.VM{Name: vm, Zone: "z1", Leaving: m[1]})
		}
		w.take(list)
	default:
		w.take(event.LoadReported{At: event.At(w.now), Backend: name, Slots: 2, Leaving: w.marks[name][2]})
	}
}

func (w *world) goneOne(t *rapid.T) {
	if w.next == 0 {
		t.Skip("no request")
	}
	id := event.RequestID(rapid.IntRange(1, int(w.next)).Draw(t, "request"))
	w.requests[id].gone = true
	w.take(event.CallerDisconnected{At: event.At(w.now), ID: id})
}
