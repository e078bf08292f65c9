package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

const booking = "booking"

// busyMs returns the service time that the servers of a region ran.
func busyMs(w *world.World, region string) float64 {
	var sum float64
	for _, s := range w.Servers() {
		if s.Region == region && s.Service == booking {
			sum += s.BusyMs
		}
	}

	return sum
}

// overload sends twice a region's capacity to it.
func overload(ctx context.Context, b *bench) error {
	return b.with(ctx, plan{example: voix, serviceMs: serviceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		profile := w.Profile(booking, region, 2*capacity(w, booking, region), lookup)
		// The first seconds, in which tokens move between entry VMs, do not count.
		if _, err := w.Send(ctx, 5*time.Second, profile); err != nil {
			return err
		}
		before := busyMs(w, region)
		results, err := w.Send(ctx, phase, profile)
		if err != nil {
			return err
		}
		r := results[booking]
		available := phase.Seconds() * 1000 * float64(w.Slots(booking, region))
		above := 0.0
		for _, s := range w.Servers() {
			above = max(above, float64(s.MaxInFlight-s.Slots))
		}
		b.add("goodput over capacity", "%", ">= 95", 100*(busyMs(w, region)-before)/available)
		b.add("answered over capacity", "%", ">= 95", 100*float64(r.Answered)/(phase.Seconds()*capacity(w, booking, region)))
		b.add("greatest work above the slots of a server", "requests", "0 or less", above)
		b.add("refused p99", "ms", "<= 50", load.PercentileMillis(r.RefusalLatency, 99))
		b.add("answered p99", "ms", "", load.PercentileMillis(r.TotalLatency(), 99))
		b.add("outcome unknown", "requests", "", float64(r.Unknown+r.Failed))

		return nil
	})
}

// retryStorm makes a region 20 times slower for a while; callers send again.
func retryStorm(ctx context.Context, b *bench) error {
	const calm, slow, after = 5, 30, 15

	return b.with(ctx, plan{example: voix, serviceMs: serviceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		profile := w.Profile(booking, region, 0.6*capacity(w, booking, region), lookup)
		profile.RetryRefused = true
		pace := func(factor int) {
			for _, s := range w.Config.BackendsOf(booking, region) {
				_ = w.Command(region, fmt.Sprintf("pace?name=%s&factor=%d", s.Name, factor), nil)
			}
		}
		stop := at(map[int]func(){calm: func() { pace(20) }, calm + slow: func() { pace(1) }})
		defer stop()
		before := runsOf(w)
		results, err := w.Send(ctx, (calm+slow+after)*time.Second, profile)
		if err != nil {
			return err
		}
		r := results[booking]
		b.add("work per first attempt", "ratio", "<= 1.1", (runsOf(w)-before)/float64(r.Sent))
		b.add("recovery after the end of the cause", "s", "<= 5", recovery(r, calm, calm+slow, true))
		b.add("attempts per request", "ratio", "", float64(r.Attempts)/float64(r.Sent))

		return nil
	})
}

// at calls functions at seconds from now until stop is called.
func at(calls map[int]func()) (stop func()) {
	var timers []*time.Timer
	for second, call := range calls {
		timers = append(timers, time.AfterFunc(time.Duration(second)*time.Second, call))
	}

	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}

// recovery returns how many seconds after the second end the p99 of all later
// seconds is at most 1.5 times that of the calm seconds and, with refusals,
// nothing is refused.
func recovery(r *load.Result, calm, end int, refusals bool) float64 {
	var usual float64
	for _, s := range r.Seconds[1:calm] {
		usual = max(usual, load.PercentileMillis(s.Latency, 99))
	}
	for i := len(r.Seconds) - 1; i >= end; i-- {
		s := r.Seconds[i]
		if load.PercentileMillis(s.Latency, 99) > 1.5*usual || (refusals && s.NotRun > 0) {
			return float64(i + 1 - end)
		}
	}

	return 0
}

// poison sends a request that crashes backend servers again and again.
func poison(ctx context.Context, b *bench) error {
	return b.with(ctx, plan{example: voix, serviceMs: serviceMs}, func(w *world.World) error {
		crash := load.RequestKind{Name: "crash", Method: "GET", Path: "/crash", Weight: 1, Crash: true}
		bad := w.Profile(booking, w.Regions()[0], 2, crash)
		bad.Addresses = bad.Addresses[:1]
		good := profiles(w, booking, 0.5, lookup, load.RequestKind{Name: "reserve", Method: "POST", Path: "/bookings", Weight: 0.1, Keyed: true})
		done := make(chan *load.Result, 1)
		go func() { done <- load.Run(ctx, bad, phase) }()
		results, err := w.Send(ctx, phase, good...)
		refused := <-done
		if err != nil {
			return err
		}
		var crashes float64
		for _, s := range w.Servers() {
			crashes += float64(s.Crashes)
		}
		b.add("backend servers that crashed", "servers", "<= 2", crashes)
		b.add("repeats refused as suspect", "requests", "", float64(refused.NotRun["suspect"]))
		b.add("other requests answered", "%", "", percent(results[booking]))
		b.add("other requests with unknown outcome", "requests", "", float64(results[booking].Unknown))

		return nil
	})
}

// zoneLoss ends the entry VMs and backend servers of one zone at 70 % load.
func zoneLoss(ctx context.Context, b *bench) error {
	const calm, after = 10, 20

	return b.with(ctx, plan{example: voix, serviceMs: serviceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		zone := w.Config.Regions[region].Zones[0]
		stop := at(map[int]func(){calm: func() {
			for _, e := range w.In(region) {
				if e.Zone == zone {
					e.Signal(syscall.SIGKILL)
				}
			}
			for _, s := range w.Config.BackendsOf(booking, region) {
				if s.Zone == zone {
					_ = w.Command(region, "crash?down-ms=600000&name="+s.Name, nil)
				}
			}
		}})
		defer stop()
		results, err := w.Send(ctx, (calm+after)*time.Second, profiles(w, booking, 0.7, lookup)...)
		if err != nil {
			return err
		}
		r := results[booking]
		b.add("p99 recovers after", "s", "<= 5", recovery(r, calm, calm, false))
		b.add("last refusal after", "s", "", recovery(r, calm, calm, true))
		b.add("answered", "%", "", percent(r))
		b.add("refused as not run", "requests", "", float64(r.NotRunTotal()))
		b.add("outcome unknown", "requests", "", float64(r.Unknown))

		return nil
	})
}
