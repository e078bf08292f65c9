package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// TestRandomisedRun guards against sequences of events in which the reducer breaks a
// promise. For example, each request gets one answer, non-idempotent work does not run
// twice, and no backend server gets more work than it has slots. The sequences are
// random, from a fixed seed.
func TestRandomisedRun(t *testing.T) {
	t.Parallel()
	rapid.Check(t, randomRun)
}

func randomRun(t *rapid.T) {
	s := newSimulation(t)
	t.Repeat(map[string]func(*rapid.T){
		// Two names make arrivals twice as likely as the other actions.
		"arrive":  s.arrive,
		"arrive2": s.arrive,
		"advance": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "ms")) * time.Millisecond) },
		"header":  s.header,
		"end":     s.endDrawnAttempt,
		"store":   s.answerDrawnStoreCall,
		"mark":    s.setLeavingMark,
		"gone":    s.disconnect,
		"burst":   s.serveShort,
		"slow":    s.waitForHedges,
		"slots": func(t *rapid.T) {
			b := s.config.Backends[rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "backend")]
			b.Slots = max(s.inFlight(b.Name), rapid.IntRange(0, 3).Draw(t, "slots"))
			s.config = s.config.WithBackend(b)
			s.configure()
		},
		"suspect": func(t *rapid.T) {
			s.reduce(suspect(s.now, uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint")), rapid.Bool().Draw(t, "cleared")))
		},
		"pause": func(t *rapid.T) {
			if rapid.IntRange(0, 20).Draw(t, "rare") != 0 {
				t.Skip("rare")
			}
			s.paused = true
			s.advance(time.Duration(rapid.IntRange(50, 70_000).Draw(t, "ms")) * time.Millisecond)
			s.paused = false
		},
		"stop": func(t *rapid.T) {
			if rapid.IntRange(0, 200).Draw(t, "rare") != 0 {
				t.Skip("rare")
			}
			s.reduce(event.StopRequested{At: event.At(s.now)})
		},
	})
	s.finish()
}

func (s *simulation) arrive(t *rapid.T) {
	s.lastRequest++
	r := &trackedRequest{waitingSince: s.now}
	r.RequestArrived = event.RequestArrived{
		At: event.At(s.now), ID: s.lastRequest, CallerRegion: "r1", BodyBytes: -1,
		Service:    rapid.SampledFrom([]string{"s1", "s1", "s1", "s2", "unknown"}).Draw(t, "service"),
		RouteKey:   rapid.SampledFrom([]string{"GET /a", "GET /b"}).Draw(t, "route"),
		Deadline:   s.now + time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline"))*time.Millisecond,
		Carried:    rapid.Bool().Draw(t, "carried"),
		Replayable: rapid.IntRange(0, 3).Draw(t, "replayable") > 0,
		Traits: model.Traits{
			Class:      rapid.SampledFrom([]model.Class{0, 0, 0, 1, 2}).Draw(t, "class"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
		},
		Fingerprint: uint64(s.lastRequest) + 1000,
	}
	if rapid.IntRange(0, 3).Draw(t, "keyed") == 0 {
		r.Key = "1000000000-abcdefghijklmnop" + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key")
	}
	switch rapid.IntRange(0, 9).Draw(t, "fingerprint kind") {
	case 0:
		if !s.crasherInFlight() {
			r.Fingerprint = crasher
		}
	case 1, 2:
		r.Fingerprint = uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint"))
	}
	s.request(r)
}

// request makes a request arrive.
func (s *simulation) request(r *trackedRequest) {
	r.short = s.state.backend.Class(r.Service, r.RouteKey, r.Traits.Class) == model.ClassShort
	s.requests[r.ID] = r
	s.reduce(r.RequestArrived)
}

// serveShort serves short requests within 1 ms each, so that the latencies of the
// backend servers and of the route "GET /a" are learned.
func (s *simulation) serveShort(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "requests") {
		s.lastRequest++
		r := &trackedRequest{waitingSince: s.now, RequestArrived: event.RequestArrived{
			At: event.At(s.now), ID: s.lastRequest, CallerRegion: "r1", Service: "s1", RouteKey: "GET /a",
			Deadline: s.now + time.Second, Traits: model.Traits{Idempotent: true}, Fingerprint: uint64(s.lastRequest) + 1000,
			Replayable: true,
		}}
		s.request(r)
		s.advance(time.Millisecond)
		for _, id := range s.attemptOrder {
			if a := s.attempts[id]; a.request == r && !a.canceled {
				s.reduce(event.HeaderReceived{At: event.At(s.now), Request: r.ID, Attempt: id, Status: 200})
				a.header = true
				s.end(a, event.ResultComplete)

				break
			}
		}
	}
}

// waitForHedges leaves idempotent requests without an answer until they are hedged.
func (s *simulation) waitForHedges(t *rapid.T) {
	s.endAll()
	for range rapid.IntRange(1, 3).Draw(t, "requests") {
		s.lastRequest++
		r := &trackedRequest{waitingSince: s.now, RequestArrived: event.RequestArrived{
			At: event.At(s.now), ID: s.lastRequest, CallerRegion: "r1", Service: "s1", RouteKey: "GET /a",
			Deadline: s.now + time.Second, Traits: model.Traits{Idempotent: true}, Fingerprint: uint64(s.lastRequest) + 1000,
			Replayable: true,
		}}
		s.request(r)
	}
	for range 12 {
		s.advance(5 * time.Millisecond)
	}
	s.endAll()
}

// crasherInFlight reports whether the request that crashes backend servers is in
// flight. The caller of that request sends it again only after an answer.
func (s *simulation) crasherInFlight() bool {
	for _, r := range s.requests {
		if r.Fingerprint == crasher && r.answers == 0 {
			return true
		}
	}
	for _, a := range s.attempts {
		if a.request.Fingerprint == crasher {
			return true
		}
	}

	return false
}

func (s *simulation) drawAttempt(t *rapid.T) *attempt {
	if len(s.attemptOrder) == 0 {
		t.Skip("no attempt")
	}

	return s.attempts[rapid.SampledFrom(s.attemptOrder).Draw(t, "attempt")]
}

// header lets an attempt receive its response header.
func (s *simulation) header(t *rapid.T) {
	a := s.drawAttempt(t)
	if a.header || a.request.Fingerprint == crasher {
		t.Skip("no response header can come")
	}
	a.header = true
	s.reduce(event.HeaderReceived{At: event.At(s.now), Request: a.request.ID, Attempt: a.id, Status: 200})
}

func (s *simulation) endDrawnAttempt(t *rapid.T) {
	a := s.drawAttempt(t)
	results := []event.Result{event.ResultComplete, event.ResultNotSent, event.ResultRefused, event.ResultBroken, event.ResultTimeout}
	if a.header {
		results = []event.Result{event.ResultComplete, event.ResultTruncated}
	}
	if a.request.Fingerprint == crasher {
		results = []event.Result{event.ResultBroken, event.ResultNotSent}
	}
	if a.canceled {
		results = append(results, event.ResultCanceled)
	}
	s.end(a, rapid.SampledFrom(results).Draw(t, "result"))
}

func (s *simulation) answerDrawnStoreCall(t *rapid.T) {
	if len(s.storeCalls) == 0 {
		t.Skip("no store call")
	}
	fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "lost", "unknown"}).Draw(t, "fault")
	s.answerStoreCall(rapid.IntRange(0, len(s.storeCalls)-1).Draw(t, "call"), fault)
}

// setLeavingMark sets or removes the leaving mark of one source for one backend server.
func (s *simulation) setLeavingMark(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "backend")
	source := rapid.IntRange(0, 2).Draw(t, "source")
	s.leavingMarks[name][source] = rapid.IntRange(0, 2).Draw(t, "leaving") == 0
	switch source {
	case 0:
		s.configure()
	case 1:
		list := event.VMsListed{At: event.At(s.now), Version: 1}
		for vm, marks := range s.leavingMarks {
			list.VMs = append(list.VMs, event.VM{Name: vm, Zone: "z1", Leaving: marks[1]})
		}
		s.reduce(list)
	default:
		s.reduce(event.LoadReported{At: event.At(s.now), Backend: name, Slots: 2, Leaving: s.leavingMarks[name][2]})
	}
}

func (s *simulation) disconnect(t *rapid.T) {
	if s.lastRequest == 0 {
		t.Skip("no request")
	}
	id := event.RequestID(rapid.IntRange(1, int(s.lastRequest)).Draw(t, "request"))
	s.requests[id].disconnected = true
	s.reduce(event.CallerDisconnected{At: event.At(s.now), ID: id})
}
