package direct

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// Guards against a cold server that gets more requests in a second than its rate, also
// when some entry VMs do not know all other entry VMs.
func TestColdServersStayWithinTheirRate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "entries")
		perSecond := float64(rapid.IntRange(5, 40).Draw(t, "rate"))
		unknownCount := rapid.IntRange(0, n/6).Draw(t, "unknown")
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("entry-", i))
		}
		total := 0
		for i, self := range all {
			// Some entry VMs do not know the last unknownCount entry VMs.
			known := all
			if i%2 == 0 && i < n-unknownCount {
				known = all[:n-unknownCount]
			}
			rate := divideColdRate(self, "server", known, nil, perSecond)
			sent := 0
			for at := time.Duration(0); rate > 0 && at < time.Second; at = coldSendAfter(at, rate) {
				sent++
			}
			total += sent
		}
		require.LessOrEqual(t, float64(total), perSecond)
	})
}

// Guards against cold servers that get no requests, because only weak entry VMs, to
// which lookups need not send callers, have a share of the servers' rate.
func TestColdServersAreWarmedByTheStrongest(t *testing.T) {
	t.Parallel()
	strengths := map[string]int{"strong-1": 8, "strong-2": 8}
	names := []string{"strong-1", "strong-2"}
	for i := range 30 {
		names = append(names, fmt.Sprint("weak-", i))
	}
	for _, name := range names[:2] {
		require.InDelta(t, 1, divideColdRate(name, "server", names, strengths, 10), 0)
	}
}

// Guards against retries beyond the budget in any window.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const (
		window    = 10 * time.Second
		ratio     = 0.2
		allowance = 20.0
	)
	rapid.Check(t, func(t *rapid.T) {
		b := retryBudget{bucketWidth: window / budgetBuckets}
		var firstAttempts, retries []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.countFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			} else if b.allowRetry(now, ratio, allowance) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// The first attempts that allow these retries may be those of the same window, or of
			// a window that ends half a window or a whole window earlier.
			maxFirstAttempts := max(within(firstAttempts, end, window), within(firstAttempts, end-window/2, window), within(firstAttempts, end-window, window))
			require.LessOrEqual(t, float64(within(retries, end, window)), ratio*float64(maxFirstAttempts)+allowance/2)
		}
	})
}

// Guards against a free slot that no entry VM, or more than one, takes in a turn.
func TestEachFreeSlotHasOneTurn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		contenders := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 30, rapid.ID[uint32]).Draw(t, "contenders")
		turn, server := rapid.Uint64().Draw(t, "turn"), rapid.Uint64().Draw(t, "server")
		ranks := map[int]int{}
		for _, own := range contenders {
			ranks[rankInTurn(turn, server, own, contenders)]++
		}
		require.Len(t, ranks, len(contenders))
	})
}

// Guards against turns that are taken, at the cost of free slots, because servers refuse
// requests for other reasons than their load, and against turns that end as soon as they work.
func TestTurnsFollowFullServers(t *testing.T) {
	t.Parallel()
	f := refusals{}
	for range 200 {
		f.count(0, 1)
		f.count(1, 0)
		f.count(0, 0)
	}
	require.False(t, f.takeTurns)
	for range 200 {
		f.count(1, 0)
		f.count(0, 0)
	}
	require.True(t, f.takeTurns)
	for range 100 {
		f.count(0, 0)
	}
	require.True(t, f.takeTurns)
	for range 300 {
		f.count(0, 0)
	}
	require.False(t, f.takeTurns)
}

// within counts the times in the window that ends at end, with end itself included.
func within(times []time.Duration, end, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at <= end && at > end-window {
			n++
		}
	}

	return n
}

// Guards against a call of moveTowards that moves more than maxMoved of the requests, or
// after which the shares do not add up to 1.
func TestDivisionChangesSlowlyAndAddsUp(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) map[string]float64 {
			out := map[string]float64{}
			for _, r := range []string{"a", "b", "c"} {
				out[r] = float64(rapid.IntRange(1, 100).Draw(t, name+r))
			}

			return out
		}
		slots := draw("slots")
		d := division{shares: divide("a", assumedDemands(slots), slots)}
		for range 20 {
			before := d.shares
			d.moveTowards(divide("a", draw("demand"), slots), 0.05)
			sum, moved := 0.0, 0.0
			for region, share := range d.shares {
				sum += share
				moved += math.Abs(share-before[region]) / 2
			}
			require.InDelta(t, 1, sum, 1e-9)
			require.LessOrEqual(t, moved, 0.05+1e-9)
		}
	})
}

// Guards against a region with few servers that serves all its callers itself at the
// start of traffic and then moves a third of them to other regions within seconds.
func TestDivisionStartsNearItsGoal(t *testing.T) {
	t.Parallel()
	slots := map[string]float64{"small": 12, "b": 66, "c": 66}
	shares := divide("small", assumedDemands(slots), slots)
	goal := divide("small", map[string]float64{"small": 40, "b": 40, "c": 40}, slots)
	require.InDelta(t, goal["small"], shares["small"], 0.15)
}

// Guards against a request that crashes one server after the other, and against the
// refusal of a request after losses that had other causes.
func TestRequestsThatLoseServersAreRefused(t *testing.T) {
	t.Parallel()
	s := suspects{}
	for i := range lossesToRefuse {
		require.False(t, s.refuses(0, 1))
		s.recordLoss(0, 1, Incarnation(i), true)
	}
	require.True(t, s.refuses(0, 1))
	require.False(t, s.refuses(0, 2))
	require.False(t, s.refuses(suspectTTL, 1), "the refusal ends")
	s.clear(1)
	require.False(t, s.refuses(0, 1), "a response clears the suspicion")
}

// Guards against the refusal of content because one server that ended had several requests
// for it, at one entry VM or at several.
func TestOneLostServerCountsOnce(t *testing.T) {
	t.Parallel()
	s, other := suspects{}, suspects{}
	for range 2 * lossesToRefuse {
		s.recordLoss(0, 1, 7, true)
		s.recordLoss(0, 1, 8, true)
		other.recordLoss(0, 1, 8, true)
	}
	for fingerprint, lost := range s.lossesToReport(0) {
		for _, incarnation := range lost {
			other.recordLoss(0, fingerprint, incarnation, false)
		}
	}
	require.False(t, s.refuses(0, 1))
	require.False(t, other.refuses(0, 1))
	other.recordLoss(0, 1, 9, true)
	require.True(t, other.refuses(0, 1), "losses at two entry VMs are counted together")
}

// Guards against content that is refused for ever because entry VMs learn it again from each
// other: they must forget it suspectTTL after the last loss, or after the last report.
func TestSuspicionEndsAmongEntryVMs(t *testing.T) {
	t.Parallel()
	const step = 100 * time.Millisecond
	vms := []suspects{{}, {}, {}}
	for i := range lossesToRefuse {
		vms[0].recordLoss(0, 1, Incarnation(i), true)
	}
	now := time.Duration(0)
	for ; now < suspectTTL+suspectReportFor; now += step {
		for i, from := range vms {
			for fingerprint, lost := range from.lossesToReport(now) {
				for _, incarnation := range lost {
					vms[(i+1)%len(vms)].recordLoss(now, fingerprint, incarnation, false)
				}
			}
		}
		for _, vm := range vms {
			vm.removeExpired(now)
		}
	}
	for _, vm := range vms {
		require.False(t, vm.refuses(now, 1))
	}
}

// Guards against a third of a region's requests moving to other regions in the first
// seconds, and back once the region's servers know the objects; and against steering that
// knows one cap, whatever the operators set.
func TestFewRequestsLeaveTheirRegionWithoutAFault(t *testing.T) {
	t.Parallel()
	for _, maxShift := range []float64{0.05, 0.15, 0.4} {
		t.Run(fmt.Sprint(maxShift), func(t *testing.T) {
			t.Parallel()
			s := &spillover{}
			var at []time.Duration
			now := time.Duration(0)
			const every = 5 * time.Millisecond
			for range 2000 {
				now += every
				mayLeave := s.allowed(now, maxShift)
				if mayLeave {
					at = append(at, now)
				}
				s.count(now, mayLeave)
			}
			const inWindow = int(spilloverWindow / every)
			// What the division may move in a window counts too.
			moved := divisionChange(maxShift, spilloverWindow)
			for end := spilloverWindow; end <= now; end += 100 * time.Millisecond {
				outside, outsideBefore := within(at, end, spilloverWindow), within(at, end-spilloverWindow, spilloverWindow)
				require.LessOrEqual(t, float64(outside), (maxShift-moved)*float64(inWindow)+minSpillover+1)
				require.LessOrEqual(t, float64(outside-outsideBefore)+moved*float64(inWindow), maxShift*float64(inWindow)+minSpillover+1, "at %s", end)
			}
			require.NotEmpty(t, at, "no request leaves its region")
			fill := func(at time.Duration) {
				for i := 0; s.allowed(at, maxShift); i++ {
					require.Less(t, i, inWindow, "requests leave their region without limit")
					s.count(at, true)
				}
			}
			fill(now)
			s.liftLimit(now + time.Second)
			require.True(t, s.allowed(now, maxShift), "a fault lets requests go anywhere")
			fill(now + time.Second)
		})
	}
}

// Guards against a request that comes too soon after the previous one to a cold server,
// because the server has restarted under its ID in between.
func TestColdPauseHoldsAfterARestart(t *testing.T) {
	t.Parallel()
	s := New(Settings{Name: "a"})
	listed := Server{ID: "s", Address: "s:1", Service: "x", Slots: 2, ColdFor: 3 * time.Second, StartedUnixMS: 1}
	s, _ = Reduce(s, ServersChanged{Servers: []Server{listed}})
	s.servers["s"].nextColdSendAt = time.Second
	listed.StartedUnixMS = 2
	s, _ = Reduce(s, ServersChanged{At: At(100 * time.Millisecond), Servers: []Server{listed}})
	require.False(t, s.servers["s"].isUsable(900*time.Millisecond))
	require.True(t, s.servers["s"].isUsable(time.Second))
}

// Guards against too many requests to a cold server in a large fleet. Entry VMs without
// a share of the server's rate sent it one request a second all the same. So did entry
// VMs that had just started and knew no others.
func TestColdServerInALargeFleet(t *testing.T) {
	t.Parallel()
	const (
		entryVMs     = 89
		maxPerSecond = 15 // 5 a second x 1.5 + 8, rounded down
		every        = 50 * time.Millisecond
		coldFor      = 4 * time.Second
		startedAt    = 10 * time.Second
	)
	names := make([]string, entryVMs)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	route := intent.Route{Name: "r", Idempotent: true, Target: time.Second, MaxAttempts: 2, ServiceWeights: []intent.ServiceWeight{{Service: "x", Weight: 1}}}
	in := intent.New(1, []intent.Route{route}, map[string]intent.Service{"x": {Name: "x", WarmupPerSecond: 5}}, intent.Limits{})
	cold := Server{ID: "s", Address: "s:1", Service: "x", Slots: 100, ColdFor: coldFor}
	for name, known := range map[string]func(i int) []string{
		"all are known":              func(int) []string { return names },
		"none is known":              func(int) []string { return nil },
		"some have not heard of all": func(i int) []string { return names[:entryVMs-5*(i%2)] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent []time.Duration
			for i, self := range names {
				s := New(Settings{Name: self, WarmupFactor: 1.5, WarmupAllowance: 8, RetryWindow: time.Second})
				s, _ = Reduce(s, IntentChanged{Intent: in})
				if list := known(i); list != nil {
					s, _ = Reduce(s, EntryVMsChanged{Names: list})
				}
				s, _ = Reduce(s, ServersChanged{At: At(startedAt), Servers: []Server{cold}})
				for at := startedAt; at < startedAt+coldFor; at += every {
					var effects []Effect
					s, effects = Reduce(s, RequestArrived{At: At(at), ID: RequestID(at), Route: route, Deadline: at + 5*time.Second})
					for _, effect := range effects {
						if _, ok := effect.(Send); ok {
							sent = append(sent, at)
						}
					}
				}
			}
			for _, end := range sent {
				require.LessOrEqual(t, within(sent, end, time.Second), maxPerSecond, "at %s", end)
			}
			if known(0) != nil {
				require.NotEmpty(t, sent, "a cold server gets no requests")
			}
		})
	}
}

// Guards against a small region that sends no request away until its slots are nearly full,
// where each request waits, and against a large one that sends requests away although many
// of its slots are free.
func TestRegionsKeepTheirRequestsWhileFewWait(t *testing.T) {
	t.Parallel()
	small := divide("own", map[string]float64{"own": 3.2, "other": 1}, map[string]float64{"own": 4, "other": 100})
	require.Less(t, small["own"], 0.8)
	large := divide("own", map[string]float64{"own": 1480, "other": 800}, map[string]float64{"own": 1600, "other": 1600})
	require.InDelta(t, 1, large["own"], 1e-9)
}
