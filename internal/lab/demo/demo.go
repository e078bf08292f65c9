// Package demo runs a configuration folder with real processes and sends traffic to
// them, for `greengagetally-lab demo`.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

const (
	// medianServiceMs is the median service time of backend servers in milliseconds.
	medianServiceMs = 40
	// loadShare is the share of the capacity that the traffic uses.
	loadShare = 0.2
	// trafficLength is how long traffic is sent.
	trafficLength = 15 * time.Second
)

var errNothingAnswered = errors.New("no request was answered")

// Run starts the processes, sends traffic and prints the outcomes to out. The parameters
// productBinary and labBinary are the paths of the binaries, folderDir is the
// configuration folder. Run returns an error when a process cannot be started or stopped,
// an invariant is violated or a service answers no request. After an error, the logs are
// kept and the error names their folder.
func Run(ctx context.Context, productBinary, labBinary, folderDir string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "greengagetally-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	started := time.Now()
	w, err := world.Start(ctx, world.Options{
		ProductBinary: productBinary, LabBinary: labBinary, Dir: dir, Folder: folderDir, SecondOctet: 31, EntryCount: 12,
		AdjustBackend: func(s backend.Spec) backend.Spec {
			s.ServiceMs = medianServiceMs

			return s
		},
	})
	if err == nil {
		_, _ = fmt.Fprintf(out, "started %d entry VMs and %d backend servers in %.1f s; logs in %s\n",
			len(w.Entries()), len(w.Config.Backends), time.Since(started).Seconds(), dir)
		err = sendTraffic(ctx, w, out)
	}
	// Stop passes over processes that have ended, such as one killed by hand.
	if stopErr := w.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	_, _ = fmt.Fprintf(out, "stopped after %.0f s\n", time.Since(started).Seconds())

	return os.RemoveAll(dir)
}

func sendTraffic(ctx context.Context, w *world.World, out io.Writer) error {
	var profiles []load.Profile
	for _, name := range slices.Sorted(maps.Keys(w.Config.Services)) {
		for _, region := range w.Regions() {
			if len(w.Config.BackendsOf(name, region)) == 0 {
				continue
			}
			rate := loadShare * float64(w.Slots(name, region)) / (medianServiceMs / 1000.)
			profiles = append(profiles, w.Profile(name, region, rate, requestKinds(w.Config.Services[name])...))
		}
	}
	_, _ = fmt.Fprintf(out, "sending traffic of %d profiles for %s\n", len(profiles), trafficLength)
	results, err := w.SendTraffic(ctx, trafficLength, profiles...)
	for _, name := range slices.Sorted(maps.Keys(results)) {
		results[name].Print(out)
		if results[name].Answered == 0 && err == nil {
			err = fmt.Errorf("%s: %w", name, errNothingAnswered)
		}
	}
	for _, e := range w.Entries() {
		if !e.Running() {
			_, _ = fmt.Fprintf(out, "%s ended during the demo\n", e.VM)
		}
	}

	return err
}

// requestKinds returns look-ups and bookings, or map transfers for a bulk service.
func requestKinds(s model.Service) []load.RequestKind {
	if s.Class == model.ClassBulk {
		return []load.RequestKind{{Name: "refresh", Method: "GET", Path: "/map", Weight: 1, ResponseBodySize: 64 << 10}}
	}

	return []load.RequestKind{
		{Name: "look-up", Method: "GET", Path: "/slots", Weight: 0.9, ResponseBodySize: 2 << 10},
		{Name: "booking", Method: "POST", Path: "/bookings", Weight: 0.1, Keyed: true, RequestBodySize: 512, ResponseBodySize: 256},
	}
}
