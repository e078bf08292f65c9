package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// points returns points that are spread like those of objects.
func points() []float64 {
	out := make([]float64, 4000)
	point := 0.0
	for i := range out {
		point = nextPoint(point)
		out[i] = point
	}

	return out
}

// Guards against objects that change their region although only the share of a third region
// changes, and against shares that the points do not follow.
func TestPointsMoveOnlyBetweenTheOwnRegionAndOthers(t *testing.T) {
	t.Parallel()
	anywhere := func(string) bool { return true }
	rapid.Check(t, func(t *rapid.T) {
		share := func(name string) float64 { return float64(rapid.IntRange(5, 95).Draw(t, name)) / 100 }
		own, ownAfter, first := share("own"), share("own after"), share("first of the others")
		divide := func(own float64) division {
			return division{shares: map[string]float64{"own": own, "a": (1 - own) * first, "b": (1 - own) * (1 - first)}}
		}
		before, after := divide(own), divide(ownAfter)
		inRegion, all := map[string]float64{}, points()
		for _, point := range all {
			from, _ := before.regionAt(point, "own", anywhere)
			to, _ := after.regionAt(point, "own", anywhere)
			inRegion[from] += 1 / float64(len(all))
			require.True(t, from == to || from == "own" || to == "own", "point %v goes from %s to %s", point, from, to)
		}
		for region, want := range before.shares {
			require.InDelta(t, want, inRegion[region], 0.03, "region %s", region)
		}
	})
}

// Guards against entry VMs of a region that divide the same requests differently, because they
// measure different times or have started later, so that several regions learn one object.
func TestEntryVMsOfARegionDivideAlike(t *testing.T) {
	t.Parallel()
	const tick, startsAt, seconds = 100 * time.Millisecond, 20 * time.Second, 40
	var servers []Server
	for region, n := range map[string]int{"own": 3, "a": 10, "b": 12} {
		for i := range n {
			id := fmt.Sprint(region, i)
			servers = append(servers, Server{ID: id, Address: id, Service: "s", Zone: region, Region: region, Slots: 8})
		}
	}
	var vms []State
	for i := range 3 {
		vm := New(Settings{Name: fmt.Sprint(i), Region: "own", MaxShift: 0.15, RetryWindow: time.Second})
		vm, _ = Reduce(vm, ServersChanged{Servers: servers})
		vm.roundTrips["a"], vm.roundTrips["own"] = time.Duration(30+30*i)*time.Millisecond, time.Millisecond
		vms = append(vms, vm)
	}
	others := Report{Region: "others", Demand: map[string]float64{"s": 1}}
	for now := tick; now < seconds*time.Second; now += tick {
		running := vms
		if now < startsAt {
			running = vms[:2]
		}
		for i, vm := range running {
			if now < startsAt || i < 2 {
				// The second entry VM has more callers, and each takes another time.
				vm.demand("s").count(time.Duration(i+1)*tick, tick, true)
				for range 14 * (i + 1) {
					vm.demand("s").count(tick, tick, true)
				}
			}
			for j, peer := range running {
				if j != i {
					vm, _ = Reduce(vm, PeerReported{At: At(now), Peer: fmt.Sprint(j), Report: peer.Report()})
				}
			}
			vm, _ = Reduce(vm, PeerReported{At: At(now), Peer: "others", Report: others})
			running[i], _ = Reduce(vm, Tick{At: At(now)})
		}
		for _, vm := range running[1:] {
			require.InDelta(t, running[0].divisions["s"].shares["own"], vm.divisions["s"].shares["own"], 0.02, "at %s", now)
		}
	}
	require.Less(t, vms[0].divisions["s"].shares["own"], 0.7, "the own region cannot run all requests")
}
