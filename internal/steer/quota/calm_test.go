package quota_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

const (
	fleetSize = 76
	// activeVMs get the callers' requests.
	activeVMs = 12
	patience  = 400 * time.Millisecond
	warmUp    = 3 * time.Second
	dayEnd    = 123 * time.Second
)

// regionDelay is the time one way between two regions.
const regionDelay = 35 * time.Millisecond

// calmDay simulates entry VMs of three regions without any trouble. load is the demand of
// each customer by its limit, from hotAt on multiplied by hot.
func calmDay(t *testing.T, load float64, hot float64) *world {
	t.Helper()
	limits := map[string]intent.RateLimit{}
	rates := map[string]float64{"small": 3, "middle": 30, "large": 800}
	for name, rate := range rates {
		limits[name] = intent.RateLimit{PerSecond: rate / load, Burst: rate / load}
	}
	w := newWorld(1, fleetSize, quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Allowance: 20}, limits)
	w.latency = func(from, to *vm) (time.Duration, bool) {
		if from.region == to.region {
			return 500 * time.Microsecond, true
		}

		return regionDelay, true
	}
	w.storeLatency = func(v *vm) (time.Duration, bool) {
		if v.region == 0 {
			return 2 * time.Millisecond, true
		}

		return regionDelay, true
	}
	var arrive func(name string)
	arrive = func(name string) {
		w.arrive(w.vms[w.random.IntN(activeVMs)], name, patience)
		w.after(time.Duration(w.random.ExpFloat64()/(rates[name]*hot)*float64(time.Second)), func() { arrive(name) })
	}
	w.runUntil(warmUp)
	for _, name := range []string{"small", "middle", "large"} {
		arrive(name)
	}
	w.runUntil(dayEnd)

	return w
}

// Guards against requests within the limit that are refused or wait long, when the limits
// are spread over many entry VMs in several regions.
func TestCalmDayRefusesFew(t *testing.T) {
	t.Parallel()
	w := calmDay(t, 0.6, 1)
	for name, o := range w.outcomes {
		slices.Sort(o.waits)
		median, late := o.waits[len(o.waits)/2], o.waits[len(o.waits)*99/100]
		t.Logf("%s: %d arrived, %d over, %d without holder, wait %s, of one in 100 %s", name, o.arrived, o.over, o.noHolder, median, late)
		require.Less(t, 200*(o.over+o.noHolder), o.arrived, name)
		require.LessOrEqual(t, median, 2*regionDelay+tickInterval, name)
		require.LessOrEqual(t, float64(w.mostInWindow(name, 0)), bound(w.limits[name], w.tolerance), name)
	}
}

// Guards against a customer that asks for six times its limit and is admitted much less than
// its limit.
func TestHotCustomerGetsItsLimit(t *testing.T) {
	t.Parallel()
	w := calmDay(t, 1, 6)
	for name, o := range w.outcomes {
		got := float64(o.admitted) / (w.limits[name].PerSecond * (dayEnd - warmUp).Seconds())
		t.Logf("%s: %d arrived, %d admitted, %.3f of the limit", name, o.arrived, o.admitted, got)
		require.Greater(t, got, 0.95, name)
		require.LessOrEqual(t, float64(w.mostInWindow(name, 0)), bound(w.limits[name], w.tolerance), name)
	}
}
