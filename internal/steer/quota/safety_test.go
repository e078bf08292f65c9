package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

// troubled makes the network and the store of a world lose, repeat, delay and reorder.
func troubled(w *world, loss, late float64) {
	w.latency = func(_, _ *vm) (time.Duration, bool) {
		delay := w.uniform(80 * time.Millisecond)
		if w.random.Float64() < late {
			delay += w.uniform(3 * time.Second)
		}

		return delay, w.random.Float64() >= loss
	}
	w.storeLatency = func(v *vm) (time.Duration, bool) {
		delay := w.uniform(100 * time.Millisecond)
		if w.random.Float64() < late {
			delay += w.uniform(6 * time.Second)
		}

		return delay, w.random.Float64() >= loss && !v.cut
	}
}

// flood lets requests arrive at random VMs, far more than the limit, until a time.
func flood(w *world, customer string, perSecond float64, end time.Duration) {
	if w.now >= end {
		return
	}
	// Now and then all at once.
	n := 1
	if w.random.IntN(50) == 0 {
		n = 1 + w.random.IntN(int(perSecond)+1)
	}
	for range n {
		w.arrive(w.vms[w.random.IntN(len(w.vms))], customer, w.uniform(time.Second))
	}
	w.after(w.uniform(time.Duration(2*float64(n)/perSecond*float64(time.Second))), func() { flood(w, customer, perSecond, end) })
}

// mishap lets something happen to a random VM, or all of them, until a time.
func mishap(w *world, kinds []string, end time.Duration) {
	if w.now >= end {
		return
	}
	w.after(w.uniform(3*time.Second), func() { mishap(w, kinds, end) })
	v := w.vms[w.random.IntN(len(w.vms))]
	if w.random.IntN(3) == 0 && w.key.owner != nil {
		v = w.key.owner
	}
	switch kinds[w.random.IntN(len(kinds))] {
	case "kill":
		w.restart(v, w.uniform(4*time.Second))
	case "kill-all":
		for _, v := range w.vms {
			w.restart(v, w.uniform(2*time.Second))
		}
	case "freeze":
		v.frozenUntil = w.now + w.uniform(8*time.Second)
	case "cut":
		v.cut = true
		w.after(w.uniform(9*time.Second), func() { v.cut = false })
	case "join":
		if len(w.vms) < 9 {
			w.addVM(len(w.vms))
			if w.key.owner != nil {
				w.list(w.key.owner)
			}
		}
	}
}

// restart ends the process of a VM and starts it again after a time.
func (w *world) restart(v *vm, after time.Duration) {
	w.kill(v)
	w.after(after, func() {
		if !v.up {
			w.start(v)
		}
	})
}

// TestLimitHoldsInEveryWindow guards against more requests than the tolerance allows, and
// against shares whose sum is greater than the limit, whatever happens to messages,
// processes, the store and the list of entry VMs.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tolerance := quota.Tolerance{
			Window:    rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 10 * time.Second}).Draw(t, "window"),
			Overage:   rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "overage"),
			Allowance: rapid.SampledFrom([]float64{0, 5, 20}).Draw(t, "allowance"),
		}
		drawLimit := func(name string) intent.RateLimit {
			return intent.RateLimit{PerSecond: rapid.Float64Range(0.3, 80).Draw(t, name+"-rate"), Burst: rapid.Float64Range(0, 80).Draw(t, name+"-burst")}
		}
		limit := drawLimit("first")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "vms"), tolerance, map[string]intent.RateLimit{"c": limit})
		troubled(w, rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss"), rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "late"))
		w.repeatRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeated")
		w.returnRate = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "returned")
		kinds := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"kill", "kill-all", "freeze", "cut", "join", "none"}), 1, 6, rapid.ID).Draw(t, "mishaps")
		const end = 40 * time.Second
		changeAt := end + time.Hour
		next := limit
		if rapid.Bool().Draw(t, "changes") {
			changeAt, next = end/2, drawLimit("next")
		}
		w.after(changeAt, func() {
			w.changeLimit("c", next)
			for _, v := range w.vms {
				w.after(w.uniform(time.Second), func() { w.configure(v) })
			}
		})
		key := quota.KeyOf("c")
		w.check = func() { checkShares(t, w, key, limit, next, changeAt) }
		flood(w, "c", rapid.Float64Range(2, 8).Draw(t, "load")*max(limit.PerSecond, next.PerSecond), end)
		mishap(w, kinds, end)
		w.runUntil(end)
		most := max(bound(limit, tolerance), bound(next, tolerance))
		require.LessOrEqual(t, float64(w.mostInWindow("c", 0)), most, "with tolerance %+v", tolerance)
		if changeAt < end {
			// All entry VMs have the configuration by then, and the last shares have ended.
			settled := changeAt + time.Second + 8*time.Second + quota.ShareTTL
			require.LessOrEqual(t, float64(w.mostInWindow("c", settled)), bound(next, tolerance), "after the change")
		}
	})
}

// Guards against a limit that was lowered while an entry VM was frozen at its start, and that
// does not hold there when the VM goes on.
func TestLoweredLimitHoldsAfterFreezeAtStart(t *testing.T) {
	t.Parallel()
	tolerance := quota.Tolerance{Window: time.Second}
	next := intent.RateLimit{PerSecond: 1, Burst: 1}
	w := newWorld(1, 1, tolerance, map[string]intent.RateLimit{"c": {PerSecond: 20, Burst: 20}})
	troubled(w, 0, 0)
	v := w.vms[0]
	w.kill(v)
	v.frozenUntil = 5 * time.Second
	w.start(v)
	// A second freeze holds back the configuration of the start, but not the new one.
	w.after(4*time.Second, func() { v.frozenUntil = 10 * time.Second })
	w.after(4500*time.Millisecond, func() {
		w.changeLimit("c", next)
		w.configure(v)
	})
	flood(w, "c", 20, 40*time.Second)
	w.runUntil(40 * time.Second)
	require.NotEmpty(t, w.admitted["c"])
	require.LessOrEqual(t, float64(w.mostInWindow("c", 0)), bound(next, tolerance))
}

// checkShares checks the sums of the shares that entry VMs use and of those in the books of
// the holder.
func checkShares(t *rapid.T, w *world, key quota.Key, limit, next intent.RateLimit, changeAt time.Duration) {
	most := quota.EffectiveLimit(limit, w.tolerance)
	if w.now > changeAt {
		after := quota.EffectiveLimit(next, w.tolerance)
		most = quota.Limit{Rate: max(most.Rate, after.Rate), Depth: max(most.Depth, after.Depth)}
	}
	var used, centre quota.Limit
	for _, v := range w.vms {
		if !v.up {
			continue
		}
		now := time.Duration(w.at(v))
		share := v.shares.Usable(now, key)
		used.Rate += share.Rate
		used.Depth += share.Depth
		if _, ok := v.ledger.Era(now); ok {
			var committed quota.Limit
			committed, centre = v.ledger.Committed(key)
			if w.now <= changeAt {
				require.LessOrEqual(t, committed.Rate, most.Rate)
				require.LessOrEqual(t, committed.Depth, most.Depth)
			}
		}
	}
	require.LessOrEqual(t, used.Rate+centre.Rate, most.Rate, "rates at %s", w.now)
	require.LessOrEqual(t, used.Depth+centre.Depth, most.Depth, "depths at %s", w.now)
}

// TestEffectiveLimitKeepsTolerance guards against an effective limit that admits more than
// the tolerance allows when every token is used as late as possible.
func TestEffectiveLimitKeepsTolerance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tolerance := quota.Tolerance{
			Window:    time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "window")),
			Overage:   rapid.Float64Range(0, 1).Draw(t, "overage"),
			Allowance: rapid.Float64Range(0, 100).Draw(t, "allowance"),
		}
		limit := intent.RateLimit{PerSecond: rapid.Float64Range(0, 1e6).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1e6).Draw(t, "burst")}
		effective := quota.EffectiveLimit(limit, tolerance)
		settled := tolerance.Window + min(tolerance.Window/20, 250*time.Millisecond)
		most := (float64(effective.Rate)*settled.Seconds() + float64(effective.Depth)) / float64(quota.One)
		require.LessOrEqual(t, most, bound(limit, tolerance)*(1+1e-9)+1e-9)
	})
}

// Guards against a process that was frozen and believes in a right that has ended meanwhile,
// because the answer to its renewal was waiting.
func TestLateRenewalGivesNoRight(t *testing.T) {
	t.Parallel()
	l := quota.NewLedger("a")
	l.Reduce(quota.RightGained{At: quota.At(time.Second), Era: 1, End: 5 * time.Second})
	_, ok := l.Era(4 * time.Second)
	require.True(t, ok)
	l.Reduce(quota.RightRenewed{At: quota.At(9 * time.Second), Era: 1, End: 8 * time.Second})
	_, ok = l.Era(9 * time.Second)
	require.False(t, ok)
	require.Empty(t, l.Reduce(quota.Asked{At: quota.At(9 * time.Second), Request: quota.Request{Name: "b", Era: 1, Full: true, Sequence: 1}}))
}

// FuzzRequests guards against requests with any content that end the process, make shares
// greater than the limit, or make tokens.
func FuzzRequests(f *testing.F) {
	f.Add(uint64(1), uint32(5), uint32(3), uint64(7))
	f.Add(uint64(2), uint32(1), uint32(0), uint64(1)<<20)
	f.Fuzz(func(t *testing.T, seed uint64, waiting, serial uint32, rate uint64) {
		random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A test needs no unpredictable numbers.
		l := quota.NewLedger("a")
		limit := quota.Limit{Rate: 2 * quota.One, Depth: 50 * quota.One}
		l.Reduce(quota.LimitsChanged{Limits: map[quota.Key]quota.Limit{1: limit}})
		l.Reduce(quota.RightGained{At: 1, Era: 1, End: time.Hour, OpensAt: 1})
		serials, given := map[string]uint32{}, quota.Amount(0)
		for i := range uint64(200) {
			at := time.Duration(i+1) * time.Second / 20
			name := string(rune('b' + random.IntN(3)))
			ask := quota.Ask{Key: 1, Demand: quota.Clamp(rate >> random.IntN(64)), Waiting: waiting >> random.IntN(32), Serial: serials[name]}
			if random.IntN(4) == 0 {
				ask.Serial = serial >> random.IntN(32)
			}
			request := quota.Request{Name: name, Era: 1, Full: true, Sequence: i + 1, Asks: []quota.Ask{ask}}
			for _, effect := range l.Reduce(quota.Asked{At: quota.At(at), Request: request}) {
				if answer, ok := effect.(quota.Answer); ok && len(answer.Grant.Gives) == 1 {
					give := answer.Grant.Gives[0]
					serials[name] = give.Serial
					given += quota.Amount(give.Tokens)*quota.One + give.Fill
				}
			}
			committed, _ := l.Committed(1)
			require.LessOrEqual(t, committed.Rate, limit.Rate)
			require.LessOrEqual(t, committed.Depth, limit.Depth)
			require.LessOrEqual(t, float64(given), float64(limit.Rate)*at.Seconds(), "tokens that left the centre")
		}
	})
}
