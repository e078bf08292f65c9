package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an entry VM that counts its own requests twice, because a relay's sum
// includes its own report, or that misses the requests of other entry VMs.
func TestSumWithoutAReportIsTheSumOfTheOthers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				InFlight: rapid.MapOfN(rapid.Uint32Range(1, 9), rapid.IntRange(1, 40), 0, 6).Draw(t, "in flight"),
				Demand:   map[string]float64{"s": float64(rapid.IntRange(0, 9).Draw(t, "demand"))},
			}
		}), 1, 6).Draw(t, "reports")
		got := SumReports("r", reports).Without(reports[0])
		want := SumReports("r", reports[1:])
		require.Equal(t, want.InFlight, got.InFlight)
		require.InDelta(t, want.Demand["s"], got.Demand["s"], 1e-9)
		require.Equal(t, "r", got.Region)
	})
}

// Guards against slots in other regions that stay idle while requests are on the
// network. A request takes a slot only for its processing time.
func TestRequestsTakeSlotsForTheirProcessingTime(t *testing.T) {
	t.Parallel()
	s := New(Settings{Name: "a", Region: "near"})
	far := newServer(0, Server{ID: "far", Region: "far", Slots: 4})
	near := newServer(0, Server{ID: "near", Region: "near", Slots: 4})
	s.roundTrips["far"] = msec(100)
	r := &request{}
	r.route.Name = "r"
	require.Equal(t, portionsPerSlot, s.slotPortions(r, far), "the processing time is not known")
	times := s.typicalTimes(r)
	times.byRank[otherRank] = times.byRank[otherRank].With(float64(msec(300)), typicalPercentile, typicalStep)
	require.Equal(t, msec(300), s.processingTime(r, near, otherRank))
	require.Equal(t, portionsPerSlot, s.slotPortions(r, near))
	require.Equal(t, portionsPerSlot*3/4, s.slotPortions(r, far))
	s.roundTrips["far"] = msec(1000_000)
	require.Equal(t, 1, s.slotPortions(r, far), "a request takes at least one portion of a slot")
}

func msec(n int) time.Duration { return time.Duration(n) * time.Millisecond }
