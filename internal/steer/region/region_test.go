package region

import (
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/value/soak"
)

// TestMain sets the seed and the number of the randomised runs.
func TestMain(m *testing.M) {
	os.Exit(soak.Main(m, "40"))
}

// testConfig returns a configuration with one region and zone, the backend servers
// b0, b1, ... with the given slots each, and one link to another region.
func testConfig(backends, slots int) *model.Config {
	c := &model.Config{
		Regions:  map[string]model.Region{"r": {Name: "r", Zones: []string{"z"}}},
		Backends: map[string]model.Backend{},
		Links:    map[model.LinkID]model.Link{},
		Leaving:  set.New[string](),
	}
	for i := range backends {
		name := "b" + strconv.Itoa(i)
		c.Backends[name] = model.Backend{Name: name, Service: "s", Zone: "z", Slots: slots}
	}
	id := model.LinkID{From: "r", To: "q"}
	c.Links[id] = model.Link{ID: id, LimitBits: 300_000_000, HeadroomPercent: 10}

	return c
}

// allCapacityHeld reports whether the running nodes hold all tokens of the links
// and of the backend servers that are not leaving.
func (s *sim) allCapacityHeld() bool {
	sums := map[string]int64{}
	for _, n := range s.running {
		for name, p := range n.state.c.pools {
			sums[name] += p.held
		}
	}
	for _, b := range s.config.Backends {
		if !s.config.Leaving.Has(b.Name) && sums[BackendPoolName(b.Name)] != int64(b.Slots) {
			return false
		}
	}
	for _, l := range s.config.Links {
		if sums[LinkPoolName(l.ID)] != l.UsableBits()/1000 {
			return false
		}
	}

	return true
}

// stopFaults ends the faults of the network and the store; paused nodes stay
// paused.
func (s *sim) stopFaults() {
	s.dropRate, s.duplicateRate, s.lateRate, s.misreportRate, s.storeDown = 0, 0, 0, 0, false
	clear(s.isolated)
}

// TestTokensNeverExceedCapacity guards against tokens that are counted twice,
// and against capacity that stays lost after the faults have ended.
func TestTokensNeverExceedCapacity(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 6).Draw(t, "entries")
		s := newSim(rapid.Uint64().Draw(t, "seed"), testConfig(4, rapid.IntRange(1, 8).Draw(t, "slots")))
		s.dropRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "drop")
		s.duplicateRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "duplicate")
		s.lateRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "late")
		s.misreportRate = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "misreport")
		for i := range entries {
			vm := "vm" + strconv.Itoa(i)
			s.schedule(time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { s.start(vm) })
		}
		s.runUntil(10*time.Second, nil)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			vm := "vm" + strconv.Itoa(rapid.IntRange(0, entries-1).Draw(t, "vm"))
			kind := rapid.SampledFrom([]string{
				"restart", "gone", "pause", "isolate", "isolate-all", "store-down", "resize", "leave", "hand-over",
			}).Draw(t, "kind")
			duration := time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			s.injectFault(kind, vm, i, duration)
			s.runUntil(s.now+time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause"))*time.Millisecond, nil)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.stopFaults()
		s.runUntil(s.now+95*time.Second, nil) // faults last 90 s at most, delayed kills and pauses too
		for i := range entries {
			vm := "vm" + strconv.Itoa(i)
			if s.running[vm] == nil {
				s.start(vm)
			}
		}
		faultsEnded := s.now
		s.runUntil(s.now+5*time.Minute, func() bool { return s.now > faultsEnded+5*time.Second && s.allCapacityHeld() })
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if !s.allCapacityHeld() {
			for _, n := range s.running {
				t.Logf("%v farewellSent=%v registered=%v recountNeed=%+v cut=%d appliedEpoch=%d epoch=%+v pools=%+v", n.id, n.state.c.farewellSent, n.state.c.registered, n.state.c.recountNeed,
					n.state.c.cut, n.state.c.appliedEpoch, n.state.c.doc.Epoch, n.state.Pools())
			}
			t.Fatal("the running nodes do not hold the whole capacity 5 minutes after the faults ended")
		}
	})
}

// injectFault begins a fault at a VM, the network, the store or the configuration
// and schedules its end. faultIndex makes the name of a replacement VM unique.
func (s *sim) injectFault(kind, vm string, faultIndex int, duration time.Duration) {
	n := s.running[vm]
	switch kind {
	case "restart":
		s.kill(vm, false)
		s.schedule(duration/20, func() {
			if s.running[vm] == nil {
				s.start(vm)
			}
		})
	case "gone":
		s.kill(vm, true)
		replacement := "new" + strconv.Itoa(faultIndex)
		s.schedule(duration, func() { s.start(replacement) })
	case "pause":
		if n != nil {
			s.pause(n, duration)
		}
	case "isolate":
		s.isolated[vm] = true
		s.schedule(duration, func() { delete(s.isolated, vm) })
	case "isolate-all":
		for name := range s.running {
			s.isolated[name] = true
			s.schedule(duration, func() { delete(s.isolated, name) })
		}
	case "store-down":
		s.storeDown = true
		s.schedule(duration, func() { s.storeDown = false })
	case "resize", "leave":
		s.reconfigure(kind == "leave")
	case "hand-over":
		if n != nil {
			n.state = n.state.HandOver()
			s.schedule(duration, func() {
				if s.running[vm] == n {
					s.kill(vm, true)
				}
			})
		}
	}
}

// reconfigure changes one random backend server. If leave is true, it toggles whether
// the server is leaving; otherwise it draws a new number of slots. Each node receives
// the change up to 4 s later, so the nodes have different configurations for a
// time.
func (s *sim) reconfigure(leave bool) {
	name := "b" + strconv.Itoa(s.rng.IntN(len(s.config.Backends)))
	next := s.config.WithVersion(s.config.Version + 1)
	if leave {
		if next.Leaving.Has(name) {
			next.Leaving = next.Leaving.Without(name)
		} else {
			next.Leaving = next.Leaving.With(name)
		}
	} else {
		b := next.Backends[name]
		b.Slots = 1 + s.rng.IntN(8)
		next = next.WithBackend(b)
	}
	s.config = &next
	s.raiseMaxTokens()
	for _, n := range s.nodes {
		s.schedule(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() {
			s.runOrDefer(n, func() {
				if n.config.Version < next.Version {
					n.config = &next
					s.deliver(n, event.ConfigInForce{At: event.At(s.now), Config: &next})
				}
			})
		})
	}
}
