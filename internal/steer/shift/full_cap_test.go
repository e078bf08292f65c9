package shift

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// TestCapOf100PercentRefusesNothing guards against requests that are refused
// although a cap of 100 percent lets the whole traffic move at once. The region
// "east" is usable all the time, becomes usable later, or fails for a time.
func TestCapOf100PercentRefusesNothing(t *testing.T) {
	t.Parallel()
	eastAndWest, west := set.New("west", "east"), set.New("west")
	for title, usable := range map[string]func(now time.Duration) set.Set[string]{
		"both": func(time.Duration) set.Set[string] { return eastAndWest },
		"other later": func(now time.Duration) set.Set[string] {
			if now < 2*time.Second {
				return west
			}

			return eastAndWest
		},
		"other fails": func(now time.Duration) set.Set[string] {
			if now > 7*time.Second && now < 9*time.Second {
				return west
			}

			return eastAndWest
		},
	} {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				refused := refusedWithCapOf100Percent(seed, usable)
				assert.Empty(t, refused, "refused at these times with seed %d", seed)
			}
		})
	}
}

// refusedWithCapOf100Percent sends about 150 requests a second to one entry for
// 20 s and returns the times of the refused requests.
func refusedWithCapOf100Percent(seed uint64, usable func(time.Duration) set.Set[string]) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 3))
	s := New(Settings{Region: "west", Self: event.Member{VM: "vm", Incarnation: 1}})
	s, _ = s.Handle(event.ConfigInForce{Config: &model.Config{Version: 1, Services: map[string]model.Service{"s": {
		Name: "s", Shift: model.ShiftCap{Percent: 100, Window: 5 * time.Second},
		Serve: map[string]map[string]int{"west": {"west": 50, "east": 50}},
	}}}})
	s, _ = s.Handle(event.Tick{})
	s, _ = s.Handle(event.DocumentRead{Key: "shift/west"})
	var refused []time.Duration
	for now := time.Duration(0); now < 20*time.Second; {
		now += time.Duration(random.ExpFloat64() * float64(time.Second) / 150)
		s = s.WithUsableRegions(usable(now))
		nextState, region, ok := s.ChooseRegion("s", "west", now)
		s = nextState
		if !ok {
			refused = append(refused, now)

			continue
		}
		s = s.Sent("s", region, now)
	}

	return refused
}
