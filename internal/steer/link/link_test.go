package link

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/soak"
)

// TestMain fixes the seed of the randomised runs.
func TestMain(m *testing.M) {
	os.Exit(soak.Main(m, "50"))
}

var testLink = model.LinkID{From: "a", To: "b"}

type sent struct {
	at    time.Duration
	bytes int64
}

// mostInSecond returns the most bytes in any window of one second.
func mostInSecond(log []sent) int64 {
	most, sum, first := int64(0), int64(0), 0
	for _, s := range log {
		sum += s.bytes
		for log[first].at <= s.at-time.Second {
			sum -= log[first].bytes
			first++
		}
		most = max(most, sum)
	}

	return most
}

// TestBytesInAnySecond guards the operator's limit while two entries pass
// shares to and fro, and the use of at least 90 % of it.
func TestBytesInAnySecond(t *testing.T) {
	t.Parallel()
	least := 1.0
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(300_000, 4_000_000_000).Draw(t, "bits")
		moves := rapid.Bool().Draw(t, "moves")
		shares := [2]int64{total / 2, total - total/2}
		entries := [2]State{New(), New()}
		for i := range entries {
			entries[i] = entries[i].WithShare(testLink, shares[i])
		}
		var log []sent
		stream := uint64(0)
		collect := func(now time.Duration, effects []event.Effect) {
			for _, e := range effects {
				log = append(log, sent{now, e.(event.GrantLinkBytes).Bytes})
			}
		}
		const end = 10 * time.Second
		for now := time.Duration(0); now < end; now += 5 * time.Millisecond {
			for i := range entries {
				var out []event.Effect
				for range 2 {
					stream++
					class := model.Class(rapid.IntRange(0, 2).Draw(t, "class"))
					entries[i], out = entries[i].Handle(event.LinkBytesRequested{
						At: event.At(now), Stream: stream, Link: testLink, Class: class, Bytes: total / 8 / 200,
					})
					collect(now, out)
				}
				entries[i], out = entries[i].Handle(event.Tick{At: event.At(now)})
				collect(now, out)
			}
			if moves && rapid.IntRange(0, 20).Draw(t, "move") == 0 {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				part := shares[from] / 2
				shares[from] -= part
				shares[1-from] += part
				entries[from] = entries[from].WithShare(testLink, shares[from])
				entries[1-from] = entries[1-from].WithShare(testLink, shares[1-from])
			}
		}
		sum := int64(0)
		for _, s := range log {
			sum += s.bytes
		}
		if most := mostInSecond(log); most*8 > total {
			t.Fatalf("%d bits in a second, the limit is %d", most*8, total)
		}
		use := float64(sum*8) / end.Seconds() / float64(total)
		if !moves {
			least = min(least, use)
		}
		if !moves && use < 0.9 {
			t.Fatalf("only %.3f of the limit is used", use)
		}
	})
	t.Logf("least use without moving shares: %.3f", least)
}

// TestShortBeforeBulk guards short work against waiting for bulk, and bulk
// against losing what is left.
func TestShortBeforeBulk(t *testing.T) {
	t.Parallel()
	s := New().WithShare(testLink, 8_000_000)
	got := map[uint64]int64{}
	var slowest time.Duration
	asked := map[uint64]time.Duration{}
	apply := func(now time.Duration, ev event.Event) {
		var out []event.Effect
		s, out = s.Handle(ev)
		for _, e := range out {
			g := e.(event.GrantLinkBytes)
			got[g.Stream] += g.Bytes
			if at, ok := asked[g.Stream]; ok {
				slowest = max(slowest, now-at)
			}
		}
	}
	apply(0, event.LinkBytesRequested{Stream: 1, Link: testLink, Class: model.ClassBulk, Bytes: 1 << 40})
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if i%4 == 0 {
			id := uint64(10 + i)
			asked[id] = now
			apply(now, event.LinkBytesRequested{At: event.At(now), Stream: id, Link: testLink, Class: model.ClassShort, Bytes: 8000})
		}
		apply(now, event.Tick{At: event.At(now)})
	}
	short := int64(0)
	for id, n := range got {
		if id != 1 {
			short += n
		}
	}
	t.Logf("short waited at most %v, bulk got %.3f of the rest", slowest, float64(got[1])/float64(10_000_000-short))
	assert.LessOrEqual(t, slowest, 30*time.Millisecond)
	assert.Equal(t, int64(250*8000), short)
	assert.Greater(t, got[1], (10_000_000-short)*85/100)
	assert.Equal(t, 1, s.Uses()[0].Waiting[model.ClassBulk])
}

// TestFinishByRaisesBulk guards bulk work against missing its finishing time.
func TestFinishByRaisesBulk(t *testing.T) {
	t.Parallel()
	config := &model.Config{Services: map[string]model.Service{"carte-sync": {Name: "carte-sync", FinishBy: 60}}}
	s, _ := New().WithShare(testLink, 8_000_000).WithMidnight(0).Handle(event.ConfigInForce{Config: config})
	now := 20 * time.Minute
	want := func(id uint64, class model.Class, service string) {
		s, _ = s.Handle(event.LinkBytesRequested{
			At: event.At(now), Stream: id, Link: testLink, Class: class, Service: service, Bytes: 1 << 30,
		})
	}
	want(1, model.ClassShort, "guide-api")
	want(2, model.ClassBulk, "carte-sync")
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	assert.Equal(t, [classes]int{2, 0, 0}, s.Uses()[0].Waiting)
	s, _ = s.Handle(event.LinkStreamEnded{Stream: 2, Link: testLink})
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	now = 2 * time.Hour
	want(3, model.ClassBulk, "carte-sync")
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	assert.Equal(t, [classes]int{1, 0, 1}, s.Uses()[0].Waiting)
}
