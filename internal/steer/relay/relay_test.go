package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/relay"
)

// digestInterval is the time between two digests of a relay.
const digestInterval = 100 * time.Millisecond

// region simulates the elections of several entry VMs. Entry VMs that are down neither
// send nor receive digests.
type region struct {
	now        time.Duration
	candidates []relay.Candidate
	elections  []*relay.Election
	down       map[int]bool
}

func newRegion(n int) *region {
	r := &region{down: map[int]bool{}}
	for i := range n {
		r.candidates = append(r.candidates, relay.Candidate{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint(i % 2), Strength: i % 3})
	}
	relay.SortCandidates(r.candidates)
	for _, c := range r.candidates {
		r.elections = append(r.elections, relay.New(c.Name))
	}

	return r
}

// advance lets digestInterval pass and returns the entry VMs that relayed.
func (r *region) advance() []string {
	r.now += digestInterval
	var relayNames []string
	for i, e := range r.elections {
		name := r.candidates[i].Name
		if relayName, _ := e.RelayAndStandIn(r.now, r.candidates); r.down[i] || relayName != name {
			continue
		}
		relayNames = append(relayNames, name)
		for j, other := range r.elections {
			if !r.down[j] {
				other.Heard(r.now, name)
			}
		}
	}

	return relayNames
}

// Guards against a region without a relay, or with several, after entry VMs have
// stopped or come back.
func TestOneRelayAfterStops(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entry VMs")
		r := newRegion(n)
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			aliveIndex := rapid.IntRange(0, n-1).Draw(t, "alive for sure")
			for i := range n {
				r.down[i] = i != aliveIndex && rapid.Bool().Draw(t, "down")
			}
			// Each entry VM that is down may be expected to relay once, and again some time
			// later.
			for range n*int(relay.SilenceTimeout/digestInterval+1) + 60 {
				r.advance()
			}
			stepsWithOneRelay := 0
			for range 100 {
				if len(r.advance()) == 1 {
					stepsWithOneRelay++
				}
			}
			require.GreaterOrEqual(t, stepsWithOneRelay, 100-n, "all but a few steps have one relay")
		}
	})
}

// Guards against the loss of a relay and its stand-in together with their
// availability zone.
func TestStandInIsInAnotherZone(t *testing.T) {
	t.Parallel()
	r := newRegion(6)
	relayName, standIn := r.elections[0].RelayAndStandIn(0, r.candidates)
	zones := map[string]string{}
	for _, c := range r.candidates {
		zones[c.Name] = c.Zone
	}
	require.NotEqual(t, zones[relayName], zones[standIn])
	relayName, standIn = relay.New("a").RelayAndStandIn(0, []relay.Candidate{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}})
	require.NotEqual(t, relayName, standIn)
	require.NotEmpty(t, standIn)
	relayName, standIn = relay.New("a").RelayAndStandIn(0, nil)
	require.Empty(t, relayName+standIn)
}

// Guards against a digest that covers only a part of a region and replaces the relay's
// digest of the whole region. An entry VM that receives no digests takes itself for the
// relay and sends such digests.
func TestOtherDigestsCountOnlyWhileTheRelayIsSilent(t *testing.T) {
	t.Parallel()
	candidates := []relay.Candidate{{Name: "strong", Strength: 2}, {Name: "weak", Strength: 1}, {Name: "self"}}
	e := relay.New("self")
	e.Heard(0, "strong")
	require.True(t, e.Accepts(digestInterval, "strong", candidates))
	require.False(t, e.Accepts(digestInterval, "weak", candidates))
	later := relay.SilenceTimeout + 2*digestInterval
	require.True(t, e.Accepts(later, "weak", candidates))
	e.Heard(later, "weak")
	require.False(t, e.Accepts(later, "self", candidates))
	e.Heard(later, "strong")
	require.False(t, e.Accepts(later, "weak", candidates), "a relay that is back comes first")
}

// Guards against two relays of large regions that pass over each other after the loss of a
// datagram each way, and are then deaf to each other until all others were passed over.
func TestRelaysOfTwoRegionsSurviveLostDigests(t *testing.T) {
	t.Parallel()
	const interval = 3 * digestInterval
	views := []*relay.Election{relay.New(""), relay.New("")}
	candidates := newRegion(28).candidates
	for step := range 100 {
		now := time.Duration(step) * interval
		for i, view := range views {
			// View i is that of relay i, which sends its digest to the other region.
			name, _ := view.RelayAndStandIn(now, candidates)
			require.Equal(t, candidates[0].Name, name, "step %d", step)
			if lost := step%9 == 5+i; !lost {
				views[1-i].Heard(now, name)
			}
		}
	}
}
