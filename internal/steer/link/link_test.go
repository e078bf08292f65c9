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

// TestMain sets the seed and the number of the randomised runs.
func TestMain(m *testing.M) {
	os.Exit(soak.Main(m, "50"))
}

var testLink = model.LinkID{From: "a", To: "b"}

// grantRecord is one grant to any stream.
type grantRecord struct {
	at    time.Duration
	bytes int64
}

// maxBytesInSecond returns the largest number of bytes that were granted in any window
// of one second.
func maxBytesInSecond(grants []grantRecord) int64 {
	most, sum, first := int64(0), int64(0), 0
	for _, g := range grants {
		sum += g.bytes
		for grants[first].at <= g.at-time.Second {
			sum -= grants[first].bytes
			first++
		}
		most = max(most, sum)
	}

	return most
}

// TestBytesInAnySecond guards against two entries that together exceed the operators'
// limit in some second, also while they transfer shares to each other. It also guards
// against a use of less than 90 % of the limit when no shares are transferred.
func TestBytesInAnySecond(t *testing.T) {
	t.Parallel()
	leastUse := 1.0
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(300_000, 4_000_000_000).Draw(t, "bits")
		transfers := rapid.Bool().Draw(t, "transfers")
		shares := [2]int64{total / 2, total - total/2}
		entries := [2]State{New(), New()}
		for i := range entries {
			entries[i] = entries[i].WithShare(testLink, shares[i])
		}
		var grants []grantRecord
		stream := uint64(0)
		collect := func(now time.Duration, effects []event.Effect) {
			for _, e := range effects {
				grants = append(grants, grantRecord{now, e.(event.GrantLinkBytes).Bytes})
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
			if transfers && rapid.IntRange(0, 20).Draw(t, "transfer") == 0 {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				moved := shares[from] / 2
				shares[from] -= moved
				shares[1-from] += moved
				entries[from] = entries[from].WithShare(testLink, shares[from])
				entries[1-from] = entries[1-from].WithShare(testLink, shares[1-from])
			}
		}
		sum := int64(0)
		for _, g := range grants {
			sum += g.bytes
		}
		if most := maxBytesInSecond(grants); most*8 > total {
			t.Fatalf("%d bits in a second, the limit is %d", most*8, total)
		}
		use := float64(sum*8) / end.Seconds() / float64(total)
		if !transfers {
			leastUse = min(leastUse, use)
		}
		if !transfers && use < 0.9 {
			t.Fatalf("only %.3f of the limit is used", use)
		}
	})
	t.Logf("least use without transfers of shares: %.3f", leastUse)
}

// TestShortBeforeBulk guards against short work that waits for bulk work, and
// against bulk work that does not get the bandwidth left unused by short work.
func TestShortBeforeBulk(t *testing.T) {
	t.Parallel()
	s := New().WithShare(testLink, 8_000_000)
	granted := map[uint64]int64{}
	var slowest time.Duration
	requestedAt := map[uint64]time.Duration{}
	apply := func(now time.Duration, ev event.Event) {
		var out []event.Effect
		s, out = s.Handle(ev)
		for _, e := range out {
			g := e.(event.GrantLinkBytes)
			granted[g.Stream] += g.Bytes
			if at, ok := requestedAt[g.Stream]; ok {
				slowest = max(slowest, now-at)
			}
		}
	}
	apply(0, event.LinkBytesRequested{Stream: 1, Link: testLink, Class: model.ClassBulk, Bytes: 1 << 40})
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if i%4 == 0 {
			id := uint64(10 + i)
			requestedAt[id] = now
			apply(now, event.LinkBytesRequested{At: event.At(now), Stream: id, Link: testLink, Class: model.ClassShort, Bytes: 8000})
		}
		apply(now, event.Tick{At: event.At(now)})
	}
	short := int64(0)
	for id, n := range granted {
		if id != 1 {
			short += n
		}
	}
	t.Logf("short waited at most %v, bulk was granted %.3f of the rest", slowest, float64(granted[1])/float64(10_000_000-short))
	assert.LessOrEqual(t, slowest, 30*time.Millisecond)
	assert.Equal(t, int64(250*8000), short)
	assert.Greater(t, granted[1], (10_000_000-short)*85/100)
	assert.Equal(t, 1, s.Uses()[0].Waiting[model.ClassBulk])
}

// TestFinishByRaisesBulk guards against bulk work that misses its finishing time
// because it is never raised, and against bulk work that is raised long before its
// finishing time.
func TestFinishByRaisesBulk(t *testing.T) {
	t.Parallel()
	config := &model.Config{Services: map[string]model.Service{"carte-sync": {Name: "carte-sync", FinishBy: 60}}}
	s, _ := New().WithShare(testLink, 8_000_000).WithMidnight(0).Handle(event.ConfigInForce{Config: config})
	now := 20 * time.Minute
	request := func(id uint64, class model.Class, service string) {
		s, _ = s.Handle(event.LinkBytesRequested{
			At: event.At(now), Stream: id, Link: testLink, Class: class, Service: service, Bytes: 1 << 30,
		})
	}
	request(1, model.ClassShort, "guide-api")
	request(2, model.ClassBulk, "carte-sync")
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	assert.Equal(t, [classCount]int{2, 0, 0}, s.Uses()[0].Waiting)
	s, _ = s.Handle(event.LinkStreamEnded{Stream: 2, Link: testLink})
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	now = 2 * time.Hour
	request(3, model.ClassBulk, "carte-sync")
	s, _ = s.Handle(event.Tick{At: event.At(now)})
	assert.Equal(t, [classCount]int{1, 0, 1}, s.Uses()[0].Waiting)
}
