package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Guards against an entry that sends work without tokens of its region, never gets
// tokens, or ends a planned stop with work in flight.
func TestRegionTokens(t *testing.T) {
	t.Parallel()
	s := New(Settings{
		Self: event.EntryView{Member: event.Member{VM: "e1", Incarnation: 1}, Region: "r1", Zone: "z1"},
		Seed: 1, ListLag: 30 * time.Second, LookupTTL: time.Second,
	})
	config := model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"svc": {Name: "svc"}},
		Links:    map[model.LinkID]model.Link{},
	}
	link := model.LinkID{From: "r1", To: "r2"}
	config.Links[link] = model.Link{ID: link, LimitBits: 1_000_000, HeadroomPercent: 20}
	config = config.WithBackend(model.Backend{Name: "b", Service: "svc", Zone: "z1", Slots: 2})
	store, versions := map[string][]byte{}, map[string]uint64{}
	now := time.Duration(0)
	var sent []event.SendToBackend
	var reduce func(ev event.Event) []event.Effect
	reduce = func(ev event.Event) []event.Effect {
		var effects []event.Effect
		s, effects = Reduce(s, ev)
		for _, effect := range effects {
			switch e := effect.(type) {
			case event.ReadDocument:
				reduce(event.DocumentRead{At: event.At(now), Key: e.Key, Version: versions[e.Key], Value: store[e.Key]})
			case event.WriteDocument:
				versions[e.Key]++
				store[e.Key] = e.Value
				reduce(event.DocumentWritten{At: event.At(now), Key: e.Key, Nonce: e.Nonce, Version: versions[e.Key]})
			case event.SendToBackend:
				sent = append(sent, e)
			case event.ReportViolation:
				t.Fatalf("invariant %s: %s", e.Name, e.Detail)
			}
		}

		return effects
	}
	arrive := func(id event.RequestID) []event.Effect {
		return reduce(event.RequestArrived{At: event.At(now), ID: id, Service: "svc", CallerRegion: "r1", Deadline: now + time.Minute})
	}
	tickUntil := func(failure string, done func() bool) {
		for range 2000 {
			if done() {
				return
			}
			now += 5 * time.Millisecond
			reduce(event.Tick{At: event.At(now)})
		}
		t.Fatal(failure)
	}

	reduce(event.ConfigInForce{Config: &config})
	arrive(1)
	require.Empty(t, sent, "no token is held")
	tickUntil("entry does not get tokens", func() bool { return s.Status().Pools[0].Held == 2 })
	arrive(2)
	arrive(3)
	arrive(4)
	require.Len(t, sent, 2)
	assert.EqualValues(t, 2, s.Status().Pools[0].InUse)
	assert.EqualValues(t, 800_000, s.linkShares[link])

	reduce(event.StopRequested{At: event.At(now)})
	now += time.Second
	for range 10 {
		reduce(event.Tick{At: event.At(now)})
	}
	assert.False(t, s.Drained(now), "requests are in flight")
	for _, e := range sent {
		reduce(event.AttemptEnded{At: event.At(now), Request: e.Request, Attempt: e.Attempt})
	}
	tickUntil("entry is not drained", func() bool { return s.Drained(now) })
	assert.Equal(t, event.ReasonStopping, arrive(5)[0].(event.Refuse).Reason)
}
