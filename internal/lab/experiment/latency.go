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
	voix     = "voix-darmor"
	baignade = "baignade-sauvage"
	// phase is how long each part of a case sends traffic.
	phase = 15 * time.Second
	// serviceMs is the median service time; with it the machine carries the
	// users' fleets at the loads of the cases.
	serviceMs = 60
	// meanMs is the mean service time of a log-normal one with shape 0.3.
	meanMs = serviceMs * 1.046
)

var lookup = load.RequestKind{Name: "look-up", Method: "GET", Path: "/slots", Weight: 1, ResponseBodySize: 1 << 10}

// capacity returns the requests a second that a service can run in a region.
func capacity(w *world.World, service, region string) float64 {
	return float64(w.Slots(service, region)) / (meanMs / 1000)
}

// profiles returns traffic from all regions at a share of the capacity.
func profiles(w *world.World, service string, share float64, kinds ...load.RequestKind) []load.Profile {
	var out []load.Profile
	for _, region := range w.Regions() {
		out = append(out, w.Profile(service, region, share*capacity(w, service, region), kinds...))
	}

	return out
}

// runsOf returns how many requests the backend servers of all regions ran.
func runsOf(w *world.World) float64 {
	var sum int64
	for _, s := range w.Servers() {
		sum += s.Done + s.Cancelled
	}

	return float64(sum)
}

// straggler measures the tail with and without stragglers, for the product's
// policy and for each baseline.
func straggler(ctx context.Context, b *bench) error {
	var own float64
	for _, policy := range []string{"", "round-robin,no-hedging", "least-in-flight,no-hedging", "two-choices,no-hedging", "no-hedging"} {
		name := policy
		p := plan{example: voix, serviceMs: serviceMs}
		if policy == "" {
			name = "steering"
		} else {
			p.options = func(o *world.Options) { o.EntryArgs = []string{"--policy", policy} }
		}
		var slow float64
		err := b.with(ctx, p, func(w *world.World) (err error) {
			slow, err = b.stragglers(ctx, w, name)

			return err
		})
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if policy == "" {
			own = slow
		} else {
			b.add(name+" p99 over that of steering", "ratio", ">= 3 (best baseline)", slow/own)
		}
	}

	return nil
}

// stragglers measures one policy and returns the p99 with stragglers.
func (b *bench) stragglers(ctx context.Context, w *world.World, name string) (float64, error) {
	traffic := profiles(w, booking, 0.6, lookup)
	if _, err := w.Send(ctx, 5*time.Second, traffic...); err != nil {
		return 0, err
	}
	calm, err := w.Send(ctx, phase, traffic...)
	if err != nil {
		return 0, err
	}
	// Two of the 24 servers are slow at any moment, in two regions.
	for _, region := range w.Regions()[:2] {
		stalls := backend.Stalls{Service: booking, Count: 1, Factor: 20, MinMs: 200, MaxMs: 2000}
		if err := w.Command(region, "stalls", stalls); err != nil {
			return 0, err
		}
	}
	before := runsOf(w)
	stalled, err := w.Send(ctx, phase, traffic...)
	if err != nil {
		return 0, err
	}
	quiet, slow := calm[booking].TotalLatency(), stalled[booking].TotalLatency()
	p99 := load.PercentileMillis(slow, 99)
	b.add(name+" p99 without stragglers", "ms", "", load.PercentileMillis(quiet, 99))
	b.add(name+" p99 with stragglers", "ms", "", p99)
	b.add(name+" p99.9 with stragglers", "ms", "", load.PercentileMillis(slow, 99.9))
	b.add(name+" p99 ratio", "ratio", "<= 1.5 (steering)", p99/load.PercentileMillis(quiet, 99))
	b.add(name+" p99.9 ratio", "ratio", "<= 3 (steering)", load.PercentileMillis(slow, 99.9)/load.PercentileMillis(quiet, 99.9))
	b.add(name+" work per request", "ratio", "<= 1.05 (steering)", (runsOf(w)-before)/float64(stalled[booking].Sent))
	b.add(name+" answered", "%", "", percent(stalled[booking]))

	return p99, nil
}

func percent(r *load.Result) float64 {
	return 100 * float64(r.Answered) / float64(max(1, r.Sent))
}

// longWork adds 1 % of requests that run 50 times longer than the rest.
func longWork(ctx context.Context, b *bench) error {
	const service = "talent-directory"

	return b.with(ctx, plan{example: voix, serviceMs: serviceMs}, func(w *world.World) error {
		short, long := lookup, lookup
		short.Weight, long.Weight = 0.99, 0.01
		long.Name, long.Path, long.ServiceTimeFactor = "long", "/search/any", 50
		// The long requests are a third of the work, so the load is 60 % with them.
		alone, err := w.Send(ctx, phase, profiles(w, service, 0.4, short)...)
		if err != nil {
			return err
		}
		var mixed []load.Profile
		for _, p := range profiles(w, service, 0.4, short, long) {
			p.Timeout = 10 * time.Second
			mixed = append(mixed, p)
		}
		with, err := w.Send(ctx, 2*phase, mixed...)
		if err != nil {
			return err
		}
		before, after := alone[service].Latency[lookup.Name], with[service].Latency[lookup.Name]
		b.add("short p99 alone", "ms", "", load.PercentileMillis(before, 99))
		b.add("short p99 with long ones", "ms", "", load.PercentileMillis(after, 99))
		b.add("short p99 ratio", "ratio", "<= 1.5", load.PercentileMillis(after, 99)/load.PercentileMillis(before, 99))
		b.add("answered", "%", "", percent(with[service]))

		return nil
	})
}
