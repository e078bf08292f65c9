package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

const (
	exampleVoixDarmor      = "voix-darmor"
	exampleBaignadeSauvage = "baignade-sauvage"
	// phaseLength is how long each part of a case sends traffic.
	phaseLength = 15 * time.Second
	// medianServiceMs is the median service time in milliseconds. With this service time,
	// one machine can run the fleets of the examples at the loads of the cases.
	medianServiceMs = 60
	// meanServiceMs is the mean of a log-normal service time with the median
	// medianServiceMs and sigma 0.3, in milliseconds.
	meanServiceMs = medianServiceMs * 1.046
)

var lookupKind = load.RequestKind{Name: "look-up", Method: "GET", Path: "/slots", Weight: 1, ResponseBodySize: 1 << 10}

// requestCapacity returns how many requests per second a service can run in a
// region.
func requestCapacity(w *world.World, service, region string) float64 {
	return float64(w.Slots(service, region)) / (meanServiceMs / 1000)
}

// profilesOfAllRegions returns traffic from each region at a share of the
// region's own capacity.
func profilesOfAllRegions(w *world.World, service string, share float64, kinds ...load.RequestKind) []load.Profile {
	var out []load.Profile
	for _, region := range w.Regions() {
		out = append(out, w.Profile(service, region, share*requestCapacity(w, service, region), kinds...))
	}

	return out
}

// executedRequests returns how many requests ended on the backend servers of all regions.
// Cancelled requests count too, even if they never got a slot.
func executedRequests(w *world.World) float64 {
	var sum int64
	for _, s := range w.BackendStats() {
		sum += s.Done + s.Cancelled
	}

	return float64(sum)
}

// runStraggler measures the tail latency with and without stragglers (servers that
// are slow for up to 2 s), for the product's own policy and for each baseline policy.
func runStraggler(ctx context.Context, c *caseRun) error {
	var steeringP99 float64
	for _, policy := range []string{"", "round-robin,no-hedging", "least-in-flight,no-hedging", "two-choices,no-hedging", "no-hedging"} {
		name := policy
		setup := worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}
		if policy == "" {
			name = "steering"
		} else {
			setup.adjustOptions = func(o *world.Options) { o.EntryArgs = []string{"--policy", policy} }
		}
		var p99 float64
		err := c.with(ctx, setup, func(w *world.World) (err error) {
			p99, err = c.measurePolicy(ctx, w, name)

			return err
		})
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if policy == "" {
			steeringP99 = p99
		} else {
			c.recordFigure(name+" p99 over that of steering", "ratio", ">= 3 (best baseline)", p99/steeringP99)
		}
	}

	return nil
}

// measurePolicy measures one policy and returns the p99 with stragglers in
// milliseconds.
func (c *caseRun) measurePolicy(ctx context.Context, w *world.World, name string) (float64, error) {
	traffic := profilesOfAllRegions(w, bookingService, 0.6, lookupKind)
	if _, err := w.SendTraffic(ctx, 5*time.Second, traffic...); err != nil {
		return 0, err
	}
	calmResults, err := w.SendTraffic(ctx, phaseLength, traffic...)
	if err != nil {
		return 0, err
	}
	// Two of the 24 servers are slow at any moment, one in each of two regions.
	for _, region := range w.Regions()[:2] {
		stalls := backend.Stalls{Service: bookingService, Count: 1, Factor: 20, MinMs: 200, MaxMs: 2000}
		if err := w.ControlBackends(region, "stalls", stalls); err != nil {
			return 0, err
		}
	}
	executedBefore := executedRequests(w)
	stalledResults, err := w.SendTraffic(ctx, phaseLength, traffic...)
	if err != nil {
		return 0, err
	}
	calmLatency, stalledLatency := calmResults[bookingService].TotalLatency(), stalledResults[bookingService].TotalLatency()
	p99 := load.PercentileMillis(stalledLatency, 99)
	c.recordFigure(name+" p99 without stragglers", "ms", "", load.PercentileMillis(calmLatency, 99))
	c.recordFigure(name+" p99 with stragglers", "ms", "", p99)
	c.recordFigure(name+" p99.9 with stragglers", "ms", "", load.PercentileMillis(stalledLatency, 99.9))
	c.recordFigure(name+" p99 ratio", "ratio", "<= 1.5 (steering)", p99/load.PercentileMillis(calmLatency, 99))
	c.recordFigure(name+" p99.9 ratio", "ratio", "<= 3 (steering)", load.PercentileMillis(stalledLatency, 99.9)/load.PercentileMillis(calmLatency, 99.9))
	c.recordFigure(name+" work per request", "ratio", "<= 1.05 (steering)", (executedRequests(w)-executedBefore)/float64(stalledResults[bookingService].Sent))
	c.recordFigure(name+" answered", "%", "", answeredPercent(stalledResults[bookingService]))

	return p99, nil
}

func answeredPercent(r *load.Result) float64 {
	return 100 * float64(r.Answered) / float64(max(1, r.Sent))
}

// runLongWork measures short requests alone and with 1 % of requests that run
// 50 times longer.
func runLongWork(ctx context.Context, c *caseRun) error {
	const service = "talent-directory"

	return c.with(ctx, worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs}, func(w *world.World) error {
		short, long := lookupKind, lookupKind
		short.Weight, long.Weight = 0.99, 0.01
		long.Name, long.Path, long.ServiceTimeFactor = "long", "/search/any", 50
		// The long requests are a third of the work, so the load is 60 % with them.
		aloneResults, err := w.SendTraffic(ctx, phaseLength, profilesOfAllRegions(w, service, 0.4, short)...)
		if err != nil {
			return err
		}
		var mixed []load.Profile
		for _, p := range profilesOfAllRegions(w, service, 0.4, short, long) {
			p.Timeout = 10 * time.Second
			mixed = append(mixed, p)
		}
		with, err := w.SendTraffic(ctx, 2*phaseLength, mixed...)
		if err != nil {
			return err
		}
		aloneLatency, mixedLatency := aloneResults[service].Latency[lookupKind.Name], with[service].Latency[lookupKind.Name]
		c.recordFigure("short p99 alone", "ms", "", load.PercentileMillis(aloneLatency, 99))
		c.recordFigure("short p99 with long ones", "ms", "", load.PercentileMillis(mixedLatency, 99))
		c.recordFigure("short p99 ratio", "ratio", "<= 1.5", load.PercentileMillis(mixedLatency, 99)/load.PercentileMillis(aloneLatency, 99))
		c.recordFigure("answered", "%", "", answeredPercent(with[service]))

		return nil
	})
}
