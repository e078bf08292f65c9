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

// TestMain fixes the seed of the randomised runs.
func TestMain(m *testing.M) {
	os.Exit(soak.Main(m, "40"))
}

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

// allHeld reports whether the live entries hold the whole capacity.
func (s *sim) allHeld() bool {
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

func (s *sim) heal() {
	s.drop, s.dup, s.late, s.misreport, s.storeBad = 0, 0, 0, 0, false
	clear(s.cut)
}

// TestTokensNeverExceedCapacity guards against tokens that are counted twice,
// and against capacity that stays lost after the faults have ended.
func TestTokensNeverExceedCapacity(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 6).Draw(t, "entries")
		s := newSim(rapid.Uint64().Draw(t, "seed"), testConfig(4, rapid.IntRange(1, 8).Draw(t, "slots")))
		s.drop = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "drop")
		s.dup = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "dup")
		s.late = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "late")
		s.misreport = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "misreport")
		for i := range entries {
			vm := "vm" + strconv.Itoa(i)
			s.after(time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { s.start(vm) })
		}
		s.runUntil(10*time.Second, nil)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			vm := "vm" + strconv.Itoa(rapid.IntRange(0, entries-1).Draw(t, "vm"))
			kind := rapid.SampledFrom([]string{
				"restart", "gone", "freeze", "cut", "cut-all", "store-down", "resize", "leave", "hand-over",
			}).Draw(t, "kind")
			length := time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			s.fault(kind, vm, i, length)
			s.runUntil(s.now+time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause"))*time.Millisecond, nil)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.heal()
		s.runUntil(s.now+95*time.Second, nil) // delayed kills and frozen entries
		for i := range entries {
			vm := "vm" + strconv.Itoa(i)
			if s.running[vm] == nil {
				s.start(vm)
			}
		}
		healed := s.now
		s.runUntil(s.now+5*time.Minute, func() bool { return s.now > healed+5*time.Second && s.allHeld() })
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if !s.allHeld() {
			for _, n := range s.running {
				t.Logf("%v %v registered=%v need=%+v cut=%d applied=%d doc=%+v pools=%+v", n.id, n.state.c.farewell, n.state.c.registered, n.state.c.need,
					n.state.c.cut, n.state.c.applied, n.state.c.doc.Epoch, n.state.Pools())
			}
			t.Fatal("capacity is not in use again 5 minutes after the faults ended")
		}
	})
}

func (s *sim) fault(kind, vm string, i int, length time.Duration) {
	n := s.running[vm]
	switch kind {
	case "restart":
		s.kill(vm, false)
		s.after(length/20, func() {
			if s.running[vm] == nil {
				s.start(vm)
			}
		})
	case "gone":
		s.kill(vm, true)
		other := "new" + strconv.Itoa(i)
		s.after(length, func() { s.start(other) })
	case "freeze":
		if n != nil {
			s.freeze(n, length)
		}
	case "cut":
		s.cut[vm] = true
		s.after(length, func() { delete(s.cut, vm) })
	case "cut-all":
		for name := range s.running {
			s.cut[name] = true
			s.after(length, func() { delete(s.cut, name) })
		}
	case "store-down":
		s.storeBad = true
		s.after(length, func() { s.storeBad = false })
	case "resize", "leave":
		s.reconfigure(kind == "leave")
	case "hand-over":
		if n != nil {
			n.state = n.state.HandOver()
			s.after(length, func() {
				if s.running[vm] == n {
					s.kill(vm, true)
				}
			})
		}
	}
}

// reconfigure changes one backend server; the entries learn it one by one.
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
	s.raiseLimit()
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() {
			s.do(n, func() {
				if n.config.Version < next.Version {
					n.config = &next
					s.deliver(n, event.ConfigInForce{At: event.At(s.now), Config: &next})
				}
			})
		})
	}
}
