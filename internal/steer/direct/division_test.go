package direct

import (
	"testing"

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
