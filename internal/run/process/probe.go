package process

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// probe asks a backend server for its health and load. It reports the health to the
// reducer, and also the load if the server is healthy and sent a valid load report.
func (p *Process) probe(ctx context.Context, name string) {
	config := p.Config()
	if config == nil {
		return
	}
	server, ok := config.Backends[name]
	if !ok {
		p.Apply(event.ProbeEnded{At: p.eventTime(), Backend: name})

		return
	}
	load, healthy, err := p.backends.Probe(ctx, server.Address.String())
	if err != nil {
		p.log.Debug("probe failed", zap.String("backend", name), zap.Error(err))
	}
	p.Apply(event.ProbeEnded{At: p.eventTime(), Backend: name, OK: healthy})
	if healthy && err == nil {
		p.Apply(event.LoadReported{At: p.eventTime(), Backend: name, InFlight: load.InFlight, Slots: load.Slots, Leaving: load.Leaving})
	}
}
