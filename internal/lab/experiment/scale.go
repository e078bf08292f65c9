package experiment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/world"
)

// errNoUsage is returned when the usage of no entry VM could be read.
var errNoUsage = errors.New("no entry VM runs")

// runScale measures the resources that 10 to 100 entry VMs use without callers' traffic.
func runScale(ctx context.Context, c *caseRun) error {
	for _, size := range []int{10, 25, 50, 100} {
		setup := worldSetup{example: exampleVoixDarmor, medianServiceMs: medianServiceMs, adjustOptions: func(o *world.Options) { o.EntryCount = size }}
		err := c.with(ctx, setup, func(w *world.World) error { return c.measureControlCost(ctx, w, fmt.Sprintf("%d entries: ", size)) })
		if err != nil {
			return fmt.Errorf("%d entries: %w", size, err)
		}
	}

	return nil
}

// measureControlCost measures the memory, CPU time, bytes and platform calls of the entry
// VMs. The names of the figures begin with prefix.
func (c *caseRun) measureControlCost(ctx context.Context, w *world.World, prefix string) error {
	const settleTime, measureTime = 10 * time.Second, 20 * time.Second
	time.Sleep(settleTime)
	before, callsBefore := entryUsage(w), w.PlatformCalls()
	time.Sleep(measureTime)
	after, callsAfter := entryUsage(w), w.PlatformCalls()
	var residentMB, cpuPercent, bytesPerSecond []float64
	if len(after) == 0 {
		return errNoUsage
	}
	for name, u := range after {
		residentMB = append(residentMB, float64(u.ResidentBytes)/(1<<20))
		cpuPercent = append(cpuPercent, 100*(u.CPUTime-before[name].CPUTime).Seconds()/measureTime.Seconds())
		bytesPerSecond = append(bytesPerSecond, float64(u.IOBytes-before[name].IOBytes)/measureTime.Seconds())
	}
	c.recordFigure(prefix+"resident memory, mean", "MB", "", mean(residentMB))
	c.recordFigure(prefix+"resident memory, greatest", "MB", "", slices.Max(residentMB))
	c.recordFigure(prefix+"CPU, mean", "% of a core", "<= 3.2", mean(cpuPercent))
	c.recordFigure(prefix+"CPU, greatest", "% of a core", "<= 3.2", slices.Max(cpuPercent))
	c.recordFigure(prefix+"bytes read and written, mean", "bytes/s", "", mean(bytesPerSecond))
	c.recordFigure(prefix+"bytes read and written, greatest", "bytes/s", "", slices.Max(bytesPerSecond))
	for _, kind := range slices.Sorted(maps.Keys(callsAfter)) {
		c.recordFigure(prefix+"store calls, "+kind, "calls/s", "", float64(callsAfter[kind]-callsBefore[kind])/measureTime.Seconds())
	}

	return c.measureConfigChange(ctx, w, prefix)
}

// measureConfigChange measures how long a configuration change takes until it
// is accepted and until it is in force on all entry VMs.
func (c *caseRun) measureConfigChange(ctx context.Context, w *world.World, prefix string) error {
	emptyFile := "regions: {}\n"
	if err := os.WriteFile(filepath.Join(w.Folder, "90-none.yaml"), []byte(emptyFile), 0o600); err != nil {
		return fmt.Errorf("change: %w", err)
	}
	start := time.Now()
	if err := w.ApplyConfig(ctx, w.Folder); err != nil {
		return err
	}
	accepted := time.Since(start)
	if err := w.WaitFor(ctx, "the change is in force", func() bool { return w.ConfigInForce(ctx, 2) }); err != nil {
		return err
	}
	c.recordFigure(prefix+"change accepted after", "s", "", accepted.Seconds())
	c.recordFigure(prefix+"change in force everywhere after", "s", "<= 9", time.Since(start).Seconds())

	return nil
}

func entryUsage(w *world.World) map[string]world.Usage {
	out := map[string]world.Usage{}
	for _, e := range w.Entries() {
		if u, err := e.Usage(); err == nil {
			out[e.VM] = u
		}
	}

	return out
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}

	return sum / float64(max(1, len(values)))
}
