package world

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/load"
)

// Addresses returns addresses for callers of a region: 16 from each loopback
// block that is steered to the region or to one of its sites.
func (w *World) Addresses(region string) []string {
	var out []string
	for _, b := range w.Config.Blocks {
		a := b.Prefix.Addr()
		target := b.Target
		if site, ok := w.Config.Sites[target]; ok {
			target = w.Config.RegionOfZone(site.Zone)
		}
		if !a.IsLoopback() || target != region {
			continue
		}
		for range 16 {
			a = a.Next()
			out = append(out, a.String())
		}
	}

	return out
}

// Slots returns the sum of the slots of a service's backend servers in a region.
func (w *World) Slots(service, region string) int {
	var sum int
	for _, b := range w.Config.BackendsOf(service, region) {
		sum += b.Slots
	}

	return sum
}

// Profile returns traffic for one service from callers in one region; rate is in requests
// per second. Callers send lookups to all entry VMs, those in the callers' region first.
func (w *World) Profile(service, region string, rate float64, kinds ...load.RequestKind) load.Profile {
	regionIndex := slices.Index(w.Regions(), region)
	var lookups []string
	for _, e := range append(w.EntriesIn(region), w.Entries()...) {
		lookups = append(lookups, e.LookupAddress)
	}

	return load.Profile{
		Service: service, LookupAddresses: lookups, Addresses: w.Addresses(region), ArrivalsPerSecond: rate, Kinds: kinds,
		Timeout: 2 * time.Second, MaxRetries: 3, Seed: uint64(regionIndex + 1),
	}
}

// SendTraffic runs profiles concurrently and returns the results by service.
// The error is that of CheckInvariants.
func (w *World) SendTraffic(ctx context.Context, duration time.Duration, profiles ...load.Profile) (map[string]*load.Result, error) {
	results := load.RunAll(ctx, profiles, duration)

	return results, w.CheckInvariants(results)
}

// CheckInvariants returns an error when one of these has happened:
//   - A response is wrong.
//   - A request ran although its caller was told that it did not.
//   - Requests with the same idempotency key ran more than once.
//   - A request has no outcome, or more than one.
//   - A backend server had more requests in flight than slots.
func (w *World) CheckInvariants(results map[string]*load.Result) error {
	for _, r := range results {
		violations, err := w.Violations(r)
		if err != nil {
			return err
		}
		if r.Wrong > 0 || len(violations.RanTwice) > 0 || len(violations.RanDespiteNotRun) > 0 {
			return fmt.Errorf("%w: %s: %d wrong answers, %d idempotency keys ran more than once, %d refused attempts ran: %v",
				errInvariant, r.Service, r.Wrong, len(violations.RanTwice), len(violations.RanDespiteNotRun), r.Examples)
		}
		if sum := r.Answered + r.NotRunTotal() + r.Unknown + r.Duplicate + r.Failed + r.Unsent; sum != r.Sent {
			return fmt.Errorf("%w: %s: %d requests sent, %d outcomes", errInvariant, r.Service, r.Sent, sum)
		}
	}
	for _, s := range w.BackendStats() {
		if s.MaxInFlight > s.Slots {
			return fmt.Errorf("%w: %s had %d requests in flight and has %d slots", errInvariant, s.Name, s.MaxInFlight, s.Slots)
		}
	}

	return nil
}
