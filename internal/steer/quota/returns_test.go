package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

// Guards against tokens that are made by requests which are refused at once and come back: while
// a token is away the bucket fills.
func TestReturnedTokensAreNotMade(t *testing.T) {
	t.Parallel()
	tolerance := quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Allowance: 20}
	limit := intent.RateLimit{PerSecond: 3, Burst: 3}
	for _, vms := range []int{1, 4} {
		w := newWorld(1, vms, tolerance, map[string]intent.RateLimit{"c": limit})
		w.latency = func(_, _ *vm) (time.Duration, bool) { return 500 * time.Microsecond, true }
		w.storeLatency = func(*vm) (time.Duration, bool) { return 2 * time.Millisecond, true }
		w.returnRate, w.returnTime = 1, 40*time.Millisecond
		var arrive func()
		arrive = func() {
			w.arrive(w.vms[w.random.IntN(vms)], "c", 100*time.Millisecond)
			w.after(w.uniform(500*time.Microsecond), arrive)
		}
		w.runUntil(7 * time.Second)
		arrive()
		w.runUntil(67 * time.Second)
		w.returnRate = 0
		w.runUntil(80 * time.Second)
		require.LessOrEqual(t, float64(w.mostInWindow("c", 0)), bound(limit, tolerance), "%d entry VMs", vms)
	}
}
