package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// BenchmarkReduce measures how fast Reduce handles the four events of a request:
// arrival, start, header and end. There are 24 backend servers and 60 requests in
// flight.
func BenchmarkReduce(b *testing.B) {
	s := New(Settings{Self: event.EntryView{Member: event.Member{VM: "e1", Incarnation: 1}, Region: "r1", Zone: "z1"}, Policy: "local-slots"})
	config := model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"svc": {Name: "svc"}},
	}
	for i := range 24 {
		config = config.WithBackend(model.Backend{Name: fmt.Sprintf("b%02d", i), Service: "svc", Zone: "z1", Slots: 6})
	}
	s, _ = Reduce(s, event.ConfigInForce{Config: &config})
	var inFlight []event.SendToBackend
	now := time.Duration(0)
	events := 0
	reduce := func(ev event.Event) []event.Effect {
		events++
		var effects []event.Effect
		s, effects = Reduce(s, ev)

		return effects
	}
	b.ReportAllocs()
	for id := event.RequestID(1); b.Loop(); id++ {
		now += 100 * time.Microsecond
		for _, e := range reduce(event.RequestArrived{
			At: event.At(now), ID: id, Service: "svc", CallerRegion: "r1", Fingerprint: uint64(id),
			Deadline: now + time.Second, Traits: model.Traits{Idempotent: true}, Replayable: true,
		}) {
			if send, ok := e.(event.SendToBackend); ok {
				inFlight = append(inFlight, send)
				reduce(event.AttemptStarted{At: event.At(now), Request: send.Request, Attempt: send.Attempt})
			}
		}
		if len(inFlight) < 60 {
			continue
		}
		first := inFlight[0]
		inFlight = inFlight[1:]
		reduce(event.HeaderReceived{At: event.At(now), Request: first.Request, Attempt: first.Attempt, Status: 200})
		reduce(event.AttemptEnded{At: event.At(now), Request: first.Request, Attempt: first.Attempt})
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
