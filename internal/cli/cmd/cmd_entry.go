package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/logging"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	"github.com/greengagetally/greengagetally/internal/run/process"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// Settings of the garbage collector. Without request buffers the live heap is a few MB,
// so gcPercent may let the heap grow to twice that size. When request buffers fill the
// heap up to softMemoryLimitBytes, the collector runs more often.
const (
	gcPercent            = 100
	softMemoryLimitBytes = 256 << 20
)

func entryCommand() command {
	return command{name: "entry", summary: "Run an entry VM's process.", handlesSignals: true, run: runEntry}
}

func runEntry(ctx context.Context, env environment, args []string) error {
	flags := newEntryFlags()
	if err := flags.set.parse(env, args); err != nil {
		return err
	}
	settings, err := flags.settings()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimitBytes)

	return serveEntry(ctx, env.stderr, settings)
}

// serveEntry runs the entry VM's process until it has stopped. The first SIGINT or
// SIGTERM starts the graceful shutdown, the second one ends the process at once.
func serveEntry(ctx context.Context, stderr io.Writer, settings process.Settings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log, flush, err := logging.New(stderr, settings.LogFormat, settings.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	// net/http logs faulty connections of clients through the standard logger.
	restoreStdLog, err := zap.RedirectStdLogAt(log, zap.DebugLevel)
	if err != nil {
		return fmt.Errorf("redirect standard logger: %w", err)
	}
	defer restoreStdLog()
	store, err := platform.NewClient(settings.PlatformURL)
	if err != nil {
		return err
	}
	defer store.Close()
	p, err := process.New(ctx, settings, process.Dependencies{
		Clock: timer.NewSystem(), Log: log, Metrics: metrics.New(), Store: store,
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	aborted := make(chan struct{})
	go func() {
		if awaitSignal(ctx, signals) {
			p.Stop()
		}
		if awaitSignal(ctx, signals) {
			close(aborted)
			cancel()
		}
	}()
	if err := p.Run(ctx); err != nil {
		return err
	}
	select {
	case <-aborted:
		return exitError{code: ExitFailed, message: "ended by a second signal before the graceful shutdown was complete"}
	default:
		return nil
	}
}

// awaitSignal waits for a signal and returns false when ctx ends first.
func awaitSignal(ctx context.Context, signals <-chan os.Signal) bool {
	select {
	case <-signals:
		return true
	case <-ctx.Done():
		return false
	}
}
