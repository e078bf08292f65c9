package direct_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
)

// TestHedgedLoads runs each scenario of testdata/hedged with hedges and without, and
// with -v also with other ways to cut slow answers. It guards against hedges that cut nothing, that exceed the
// operators' share, or that cost callers their answers or servers their slots. The figures of
// docs/design/hedging.md are from its log.
func TestHedgedLoads(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/hedged/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			sc := readScenario(t, file)
			play := func(policy string) outcome {
				got := newSimulation(sc, policy).run()
				t.Logf("%-8s %s hedges %.4f slot time %s for a caller, p99.9 %s", policy, got, float64(got.hedges)/float64(got.requests),
					got.slotTime/time.Duration(got.callers), got.percentile(99.9))

				return got
			}
			if testing.Verbose() {
				for _, policy := range []string{copies, tied, probing} {
					play(policy)
				}
			}
			got, without := play(""), play(withoutHedges)
			require.Zero(t, without.hedges)
			require.LessOrEqual(t, float64(got.hedges), sc.HedgeShare*float64(got.requests)+float64(sc.Entries*sc.Regions))
			require.GreaterOrEqual(t, float64(without.percentile(99))/float64(got.percentile(99)), sc.MinTailGain)
			require.LessOrEqual(t, float64(got.slotTime), sc.MaxSlotTime*float64(without.slotTime))
			require.GreaterOrEqual(t, float64(got.answered)/float64(got.callers), float64(without.answered)/float64(without.callers)-0.002)
		})
	}
}

// TestHedgesStayWithinTheShare guards against more hedges than operators allow, in any window
// and at any rhythm of requests, and against a share that allows none.
func TestHedgesStayWithinTheShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.01, 0.05, 0.2}).Draw(t, "share")
		f := newScriptFixture()
		f.settings.HedgeShares = direct.HedgeShares{Default: 1, ByService: map[string]float64{"s": share}}
		f.apply(direct.SettingsChanged{Settings: f.settings})
		var servers []direct.Server
		for i := range 10 {
			id := fmt.Sprint("server-", i)
			servers = append(servers, direct.Server{ID: id, Address: id, Service: "s", Zone: "z", Region: "r", Slots: 4})
		}
		f.apply(direct.ServersChanged{Servers: servers})
		f.learn()
		f.now += 20 * time.Second
		var requests, hedges []time.Duration
		countRecent := func(times []time.Duration) int {
			n := 0
			for _, at := range times {
				if at > f.now-10*time.Second {
					n++
				}
			}

			return n
		}
		for range rapid.IntRange(1, 8).Draw(t, "stretches") {
			gap := time.Duration(rapid.IntRange(1, 100).Draw(t, "gap")) * time.Millisecond
			lateEvery := rapid.IntRange(8, 20).Draw(t, "late every")
			for i := range 300 {
				f.now += gap
				id := direct.RequestID(10_000 + len(requests))
				requests = append(requests, f.now)
				f.apply(direct.RequestArrived{At: direct.At(f.now), ID: id, Route: f.route, Deadline: f.now + 5*time.Second})
				if i%lateEvery == 0 {
					f.now += 200 * time.Millisecond
					if f.apply(direct.HedgeDue{At: direct.At(f.now), ID: id}) != "" {
						hedges = append(hedges, f.now)
						require.LessOrEqual(t, float64(countRecent(hedges)), share*float64(countRecent(requests))+1)
					}
				}
				f.now += 10 * time.Millisecond
				f.apply(direct.AttemptEnded{At: direct.At(f.now), ID: id, Outcome: direct.Answered, Status: 200})
			}
		}
		require.True(t, share < 0.05 || len(hedges) > 0, "no hedges")
	})
}
