package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

const bookingService = "booking"

// regionBusyMs returns the sum of Stats.BusyMs, in milliseconds, of the servers of
// bookingService in a region.
func regionBusyMs(w *world.World, region string) float64 {
	var sum float64
	for _, s := range w.BackendStats() {
		if s.Region == region && s.Service == bookingService {
			sum += s.BusyMs
		}
	}

	return sum
}

// runOverload sends requests to a region at twice the rate that the region can serve.
func runOverload(ctx context.Context, c *caseRun) error {
	return c.with(ctx, worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		profile := w.Profile(bookingService, region, 2*requestCapacity(w, bookingService, region), lookupKind)
		// The first 5 s, in which the entry VMs shift capacity to each other, do not count.
		if _, err := w.SendTraffic(ctx, 5*time.Second, profile); err != nil {
			return err
		}
		busyBeforeMs := regionBusyMs(w, region)
		results, err := w.SendTraffic(ctx, phaseLength, profile)
		if err != nil {
			return err
		}
		r := results[bookingService]
		availableMs := phaseLength.Seconds() * 1000 * float64(w.Slots(bookingService, region))
		maxExcess := 0.0
		for _, s := range w.BackendStats() {
			maxExcess = max(maxExcess, float64(s.MaxInFlight-s.Slots))
		}
		c.recordFigure("goodput over capacity", "%", ">= 95", 100*(regionBusyMs(w, region)-busyBeforeMs)/availableMs)
		c.recordFigure("answered over capacity", "%", ">= 95", 100*float64(r.Answered)/(phaseLength.Seconds()*requestCapacity(w, bookingService, region)))
		c.recordFigure("greatest work above the slots of a server", "requests", "0 or less", maxExcess)
		c.recordFigure("refused p99", "ms", "<= 50", load.PercentileMillis(r.RefusalLatency, 99))
		c.recordFigure("answered p99", "ms", "", load.PercentileMillis(r.TotalLatency(), 99))
		c.recordFigure("outcome unknown", "requests", "", float64(r.Unknown+r.Failed))

		return nil
	})
}

// runRetryStorm makes a region 20 times slower for 30 s while callers retry
// requests that were refused or have an unknown outcome.
func runRetryStorm(ctx context.Context, c *caseRun) error {
	const secondsBeforeSlowdown, slowdownSeconds, secondsAfterSlowdown = 5, 30, 15

	return c.with(ctx, worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		profile := w.Profile(bookingService, region, 0.6*requestCapacity(w, bookingService, region), lookupKind)
		profile.RetryRefused = true
		setSlowdown := func(factor int) {
			for _, s := range w.Config.BackendsOf(bookingService, region) {
				_ = w.ControlBackends(region, fmt.Sprintf("pace?name=%s&factor=%d", s.Name, factor), nil)
			}
		}
		stop := schedule(map[int]func(){secondsBeforeSlowdown: func() { setSlowdown(20) }, secondsBeforeSlowdown + slowdownSeconds: func() { setSlowdown(1) }})
		defer stop()
		executedBefore := executedRequests(w)
		results, err := w.SendTraffic(ctx, (secondsBeforeSlowdown+slowdownSeconds+secondsAfterSlowdown)*time.Second, profile)
		if err != nil {
			return err
		}
		r := results[bookingService]
		c.recordFigure("work per first attempt", "ratio", "<= 1.1", (executedRequests(w)-executedBefore)/float64(r.Sent))
		c.recordFigure("recovery after the end of the cause", "s", "<= 5", secondsToRecover(r, secondsBeforeSlowdown, secondsBeforeSlowdown+slowdownSeconds, true))
		c.recordFigure("attempts per request", "ratio", "", float64(r.Attempts)/float64(r.Sent))

		return nil
	})
}

// schedule calls each function after as many seconds as its key says; stop cancels the
// calls that have not started.
func schedule(calls map[int]func()) (stop func()) {
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

// secondsToRecover returns how many seconds after endSecond the last disturbed second
// ends, 0 when there is none. In a disturbed second, the p99 is greater than 1.5 times
// the baseline or, with includeRefusals, a request is refused. The baseline is the
// highest p99 in the first baselineSeconds of the run, except in the very first second.
func secondsToRecover(r *load.Result, baselineSeconds, endSecond int, includeRefusals bool) float64 {
	var baselineP99 float64
	for _, s := range r.Seconds[1:baselineSeconds] {
		baselineP99 = max(baselineP99, load.PercentileMillis(s.Latency, 99))
	}
	for i := len(r.Seconds) - 1; i >= endSecond; i-- {
		s := r.Seconds[i]
		if load.PercentileMillis(s.Latency, 99) > 1.5*baselineP99 || (includeRefusals && s.NotRun > 0) {
			return float64(i + 1 - endSecond)
		}
	}

	return 0
}

// runPoison repeatedly sends a request that crashes the backend server that runs it.
func runPoison(ctx context.Context, c *caseRun) error {
	return c.with(ctx, worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}, func(w *world.World) error {
		crash := load.RequestKind{Name: "crash", Method: "GET", Path: "/crash", Weight: 1, Crash: true}
		poisonTraffic := w.Profile(bookingService, w.Regions()[0], 2, crash)
		poisonTraffic.Addresses = poisonTraffic.Addresses[:1]
		otherTraffic := profilesOfAllRegions(w, bookingService, 0.5, lookupKind, load.RequestKind{Name: "reserve", Method: "POST", Path: "/bookings", Weight: 0.1, Keyed: true})
		poisonDone := make(chan *load.Result, 1)
		go func() { poisonDone <- load.Run(ctx, poisonTraffic, phaseLength) }()
		results, err := w.SendTraffic(ctx, phaseLength, otherTraffic...)
		poisonResult := <-poisonDone
		if err != nil {
			return err
		}
		var crashes float64
		for _, s := range w.BackendStats() {
			crashes += float64(s.Crashes)
		}
		c.recordFigure("backend servers that crashed", "servers", "<= 2", crashes)
		c.recordFigure("repeats refused as suspect", "requests", "", float64(poisonResult.NotRun["suspect"]))
		c.recordFigure("other requests answered", "%", "", answeredPercent(results[bookingService]))
		c.recordFigure("other requests with unknown outcome", "requests", "", float64(results[bookingService].Unknown))

		return nil
	})
}

// runZoneLoss kills the entry VMs and backend servers of one zone at 70 % load.
func runZoneLoss(ctx context.Context, c *caseRun) error {
	const secondsBeforeLoss, secondsAfterLoss = 10, 20

	return c.with(ctx, worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}, func(w *world.World) error {
		region := w.Regions()[0]
		zone := w.Config.Regions[region].Zones[0]
		stop := schedule(map[int]func(){secondsBeforeLoss: func() {
			for _, e := range w.EntriesIn(region) {
				if e.Zone == zone {
					e.Signal(syscall.SIGKILL)
				}
			}
			for _, s := range w.Config.BackendsOf(bookingService, region) {
				if s.Zone == zone {
					_ = w.ControlBackends(region, "crash?down-ms=600000&name="+s.Name, nil)
				}
			}
		}})
		defer stop()
		results, err := w.SendTraffic(ctx, (secondsBeforeLoss+secondsAfterLoss)*time.Second, profilesOfAllRegions(w, bookingService, 0.7, lookupKind)...)
		if err != nil {
			return err
		}
		r := results[bookingService]
		c.recordFigure("p99 recovers after", "s", "<= 5", secondsToRecover(r, secondsBeforeLoss, secondsBeforeLoss, false))
		c.recordFigure("last refusal after", "s", "", secondsToRecover(r, secondsBeforeLoss, secondsBeforeLoss, true))
		c.recordFigure("answered", "%", "", answeredPercent(r))
		c.recordFigure("refused as not run", "requests", "", float64(r.NotRunTotal()))
		c.recordFigure("outcome unknown", "requests", "", float64(r.Unknown))

		return nil
	})
}
