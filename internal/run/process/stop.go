package process

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// drainTimeout bounds the wait for requests in flight; each request has a far
	// shorter deadline of its own.
	drainTimeout = 10 * time.Minute
	// farewellTimeout bounds the wait until this entry has handed over its tokens and
	// sent Farewell messages, which tell the other entries that it will never hold
	// tokens again. A recount (see package steer/region) grants the other entries the
	// tokens that were not handed over.
	farewellTimeout = 3 * time.Second
	// startingTimeout is how long after its start an entry without tokens reports
	// itself as starting. After that it reports itself as live, because it can
	// forward requests to other entries of its region even while the store is down.
	startingTimeout = 10 * time.Second
	// drainPollInterval is the time between two checks for the end of a shutdown.
	drainPollInterval = 10 * time.Millisecond
)

// Stop starts the graceful shutdown; Run returns when it is complete.
func (p *Process) Stop() {
	p.stopOnce.Do(func() {
		close(p.stopping)
		p.Apply(event.StopRequested{At: p.eventTime()})
		p.log.Info("graceful shutdown begins", zap.Duration("lookup-ttl", p.settings.LookupTTL))
	})
}

// health returns the state that the health check reports.
func (p *Process) health() entryapi.HealthState {
	select {
	case <-p.stopping:
		return entryapi.HealthStateStopping
	default:
	}
	if p.config.Load() == nil || !p.capacityDivided() && p.clock.Now() < startingTimeout {
		return entryapi.HealthStateStarting
	}

	return entryapi.HealthStateLive
}

// capacityDivided reports whether the tokens of the region have been divided among
// its entries, so that this one can serve.
func (p *Process) capacityDivided() bool {
	// Applies the events that were queued while this call held the lock.
	defer p.applyQueued()
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.state.Divided()
}

// shutDownGracefully goes on serving for LookupTTL, until callers' lookup responses
// have expired. Then it finishes all requests and waits until this entry's tokens are
// handed over.
func (p *Process) shutDownGracefully(ctx context.Context) {
	sleep(ctx, p.settings.LookupTTL)
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var servers sync.WaitGroup
	for _, s := range p.servers {
		if !s.drainOnStop {
			continue
		}
		servers.Go(func() {
			if err := s.http.Shutdown(drainCtx); err != nil {
				p.log.Warn("requests were cut off", zap.String("server", s.name), zap.Error(err))
			}
		})
	}
	servers.Wait()
	p.pollUntil(drainCtx, func() bool { return p.Status().InFlight == 0 })
	// During this wait, the reducer hands over its tokens and sends Farewell messages.
	farewellCtx, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	p.pollUntil(farewellCtx, func() bool {
		return p.drained() && p.sendsInProgress.Load() == 0
	})
	p.log.Info("graceful shutdown is complete")
}

// drained reports whether the reducer has nothing left to finish or to hand over.
func (p *Process) drained() bool {
	defer p.applyQueued()
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.state.Drained(p.clock.Now())
}

// pollUntil waits until done returns true or ctx ends.
func (p *Process) pollUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		sleep(ctx, drainPollInterval)
	}
}
