package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

const (
	// linkLimitBytesPerSecond is the limit from qc-sud to qc-nord in linksYAML, 16 Mbit/s.
	linkLimitBytesPerSecond = 2_000_000
	linksYAML               = `links:
  qc-sud:
    qc-nord: {limit: 16Mbit/s, headroom: 5%}
    qc-est: {limit: 280Mbit/s, headroom: 10%}
  qc-nord:
    qc-sud: {limit: 280Mbit/s, headroom: 10%}
    qc-est: {limit: 280Mbit/s, headroom: 10%}
  qc-est:
    qc-sud: {limit: 280Mbit/s, headroom: 10%}
    qc-nord: {limit: 280Mbit/s, headroom: 10%}
`
	serviceYAML = `services:
  %s:
    deadline: 30s
    class: %s
    shift-cap: {percent: 100%%, window: 5s}
    serve:
      qc-sud: {qc-sud: 100%%}
      qc-nord: {qc-sud: 100%%}
      qc-est: {qc-est: 100%%}
`
)

// runLink sends responses to short requests and bulk transfers over a link, together
// three times as many bytes as its limit allows.
func runLink(ctx context.Context, c *caseRun) error {
	setup := worldSetup{example: exampleBaignadeSauvage, medianServiceMs: 10, files: map[string]string{
		"30-links.yaml":      linksYAML,
		"40-guide-api.yaml":  fmt.Sprintf(serviceYAML, "guide-api", "short"),
		"41-carte-sync.yaml": fmt.Sprintf(serviceYAML, "carte-sync", "bulk"),
	}, adjustOptions: func(o *world.Options) { o.EntryRelays = true }}

	return c.with(ctx, setup, func(w *world.World) error {
		page := load.RequestKind{Name: "page", Method: "GET", Path: "/spots", Weight: 1, ResponseBodySize: 10_000}
		tile := load.RequestKind{Name: "tile", Method: "GET", Path: "/map", Weight: 1, ResponseBodySize: 100_000}
		// Short requests demand 0.2 times the limit, bulk transfers 2.8 times.
		short := w.Profile("guide-api", "qc-nord", 0.2*linkLimitBytesPerSecond/float64(page.ResponseBodySize), page)
		bulk := w.Profile("carte-sync", "qc-nord", 2.8*linkLimitBytesPerSecond/float64(tile.ResponseBodySize), tile)
		bulk.Timeout = 20 * time.Second
		aloneResults, err := w.SendTraffic(ctx, phaseLength, short)
		if err != nil {
			return err
		}
		meter := newByteMeter(w, "qc-sud")
		bothResults, err := w.SendTraffic(ctx, 2*phaseLength, short, bulk)
		greatestPerSecond, meanPerSecond := meter.stop(2 * phaseLength)
		if err != nil {
			return err
		}
		aloneP99, bothP99 := load.PercentileMillis(aloneResults["guide-api"].TotalLatency(), 99), load.PercentileMillis(bothResults["guide-api"].TotalLatency(), 99)
		c.recordFigure("short p99 without bulk", "ms", "", aloneP99)
		c.recordFigure("short p99 with bulk", "ms", "", bothP99)
		c.recordFigure("short p99 ratio", "ratio", "<= 1.2", bothP99/aloneP99)
		c.recordFigure("greatest bytes in a second over the limit", "ratio", "<= 1", greatestPerSecond/linkLimitBytesPerSecond)
		c.recordFigure("utilisation of the limit", "ratio", ">= 0.9", meanPerSecond/linkLimitBytesPerSecond)
		c.recordFigure("short answered", "%", "", answeredPercent(bothResults["guide-api"]))
		c.recordFigure("bulk answered", "%", "", answeredPercent(bothResults["carte-sync"]))

		return nil
	})
}

// byteMeter samples the number of bytes that the entry VMs of a region sent to other
// entry VMs in responses.
type byteMeter struct {
	// done is closed to end the sampling.
	done chan struct{}
	// samples then receives the samples. Each sample is the number of bytes sent since
	// the relays started.
	samples chan []int64
}

const sampleInterval = 100 * time.Millisecond

func newByteMeter(w *world.World, region string) *byteMeter {
	m := &byteMeter{make(chan struct{}), make(chan []int64, 1)}
	go func() {
		var samples []int64
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			var sum int64
			for _, e := range w.EntriesIn(region) {
				_, down := e.CarryRelay.ForwardedBytes()
				sum += down
			}
			samples = append(samples, sum)
			select {
			case <-ticker.C:
			case <-m.done:
				m.samples <- samples

				return
			}
		}
	}()

	return m
}

// stop ends the sampling. It returns the greatest number of bytes in one second and the
// mean number of bytes per second. The mean covers only trafficTime, the time in which
// traffic was sent; later, only the remaining bulk transfers finish.
func (m *byteMeter) stop(trafficTime time.Duration) (greatestPerSecond, meanPerSecond float64) {
	close(m.done)
	samples := <-m.samples
	const samplesPerSecond = int(time.Second / sampleInterval)
	for i := samplesPerSecond; i < len(samples); i++ {
		greatestPerSecond = max(greatestPerSecond, float64(samples[i]-samples[i-samplesPerSecond]))
	}
	// The first two seconds, before requests queue for the link, do not count.
	first, last := 2*samplesPerSecond, min(len(samples)-1, int(trafficTime/sampleInterval))
	if last <= first {
		return greatestPerSecond, 0
	}

	return greatestPerSecond, float64(samples[last]-samples[first]) / (float64(last-first) / float64(samplesPerSecond))
}

const (
	// shiftWindowSeconds is the window of the shift-cap in shiftServiceYAML.
	shiftWindowSeconds = 5
	shiftServiceYAML   = `services:
  booking:
    deadline: 2s
    class: short
    shift-cap: {percent: 10%%, window: %ds}
    serve:
      finistere: {%s: 100%%}
      ille-vilaine: {ille-vilaine: 100%%}
      morbihan: {morbihan: 100%%}
`
)

// runShift moves all traffic of a region to another region with cold servers.
func runShift(ctx context.Context, c *caseRun) error {
	const secondsBeforeChange, secondsAfterChange = 15, 75
	setup := worldSetup{
		example: exampleVoixDarmor, medianServiceMs: medianServiceMs,
		files: map[string]string{"40-booking.yaml": fmt.Sprintf(shiftServiceYAML, shiftWindowSeconds, "finistere")},
		backend: func(s backend.Spec) backend.Spec {
			s.ColdFactor, s.ColdRequests = 3, 20

			return s
		},
	}

	return c.with(ctx, setup, func(w *world.World) error {
		file := filepath.Join(w.Folder, "40-booking.yaml")
		applied := make(chan error, 1)
		stop := schedule(map[int]func(){secondsBeforeChange: func() {
			err := os.WriteFile(file, fmt.Appendf(nil, shiftServiceYAML, shiftWindowSeconds, "ille-vilaine"), 0o600)
			if err == nil {
				err = w.ApplyConfig(ctx, w.Folder)
			}
			applied <- err
		}})
		defer stop()
		results, err := w.SendTraffic(ctx, (secondsBeforeChange+secondsAfterChange)*time.Second,
			w.Profile(bookingService, "finistere", 0.4*requestCapacity(w, bookingService, "finistere"), lookupKind))
		if err != nil {
			return err
		}
		if err := <-applied; err != nil {
			return err
		}
		r := results[bookingService]
		c.recordFigure("greatest movement between windows", "points", "<= 10", greatestMovement(r.Seconds, "ille-vilaine"))
		// The first 5 s do not count: the servers of the first region are cold then.
		p99Before, p99During := p99Millis(r.Seconds[5:secondsBeforeChange]), p99Millis(r.Seconds[secondsBeforeChange:])
		last := r.Seconds[len(r.Seconds)-2]
		c.recordFigure("p99 before", "ms", "", p99Before)
		c.recordFigure("p99 while moving", "ms", "", p99During)
		c.recordFigure("p99 while moving over that before", "ratio", "<= 1.5", p99During/p99Before)
		c.recordFigure("moved at the end", "%", "100", 100*fractionServedBy([]load.Second{last}, "ille-vilaine"))
		c.recordFigure("answered", "%", "", answeredPercent(r))

		return nil
	})
}

// p99Millis returns the p99 latency over some seconds in milliseconds.
func p99Millis(seconds []load.Second) float64 {
	all := load.Histogram()
	for _, s := range seconds {
		all.Merge(s.Latency)
	}

	return load.PercentileMillis(all, 99)
}

// fractionServedBy returns the fraction of answers that came from servers of a region.
func fractionServedBy(seconds []load.Second, region string) float64 {
	var served, all int64
	for _, s := range seconds {
		for name, n := range s.ByRegion {
			all += n
			if name == region {
				served += n
			}
		}
	}

	return float64(served) / float64(max(1, all))
}

// greatestMovement returns the greatest change of the share that a region
// serves between two adjacent windows, in percentage points.
func greatestMovement(seconds []load.Second, region string) float64 {
	greatest := 0.0
	for i := 0; i+2*shiftWindowSeconds <= len(seconds); i++ {
		before := fractionServedBy(seconds[i:i+shiftWindowSeconds], region)
		after := fractionServedBy(seconds[i+shiftWindowSeconds:i+2*shiftWindowSeconds], region)
		greatest = max(greatest, 100*(after-before), 100*(before-after))
	}

	return greatest
}

// runForwarder compares the throughput of an entry VM with that of a forwarder
// without steering, each on one core.
func runForwarder(ctx context.Context, c *caseRun) error {
	const workers, rounds = 32, 3
	setup := worldSetup{example: exampleVoixDarmor, medianServiceMs: 0, adjustOptions: func(o *world.Options) {
		o.EntryCount, o.EntryEnv = 6, []string{"GOMAXPROCS=1"}
	}}

	return c.with(ctx, setup, func(w *world.World) error {
		region := w.Regions()[0]
		var targets []string
		for _, s := range w.Config.BackendsOf(bookingService, region) {
			targets = append(targets, s.Address.String())
		}
		const address = "127.32.0.3:7400"
		forwarder, err := w.StartForwarder(address, targets)
		if err != nil {
			return fmt.Errorf("forwarder: %w", err)
		}
		defer forwarder.Kill()
		entry := w.EntriesIn(region)[0]
		var entryRate, forwarderRate float64
		for range rounds {
			entryRate += load.MeasureThroughput(ctx, entry.RequestAddress, bookingService, lookupKind, workers, 4*time.Second)
			forwarderRate += load.MeasureThroughput(ctx, address, bookingService, lookupKind, workers, 4*time.Second)
		}
		c.recordFigure("entry VM", "requests/s", "", entryRate/rounds)
		c.recordFigure("bare forwarder", "requests/s", "", forwarderRate/rounds)
		c.recordFigure("entry VM over bare forwarder", "ratio", ">= 0.7", entryRate/forwarderRate)

		return nil
	})
}
