package direct

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptFraction is the part of the grace period in which new requests are still
	// accepted, while callers look up other entry VMs. After abortFraction of it the
	// remaining requests are abandoned.
	acceptFraction = 0.4
	abortFraction  = 0.94
	// withdrawTimeout bounds the deletion of the announcement.
	withdrawTimeout = time.Second
	// stopPollInterval is the interval at which Stop checks for open connections.
	stopPollInterval = 50 * time.Millisecond
)

// Stop withdraws the entry VM, serves the requests in flight and returns when the
// process may end.
func (p *Process) Stop(ctx context.Context) {
	start := p.clock.Now()
	p.stopping.Store(true)
	p.mu.Lock()
	gracePeriod := p.settings.GracePeriod
	p.mu.Unlock()
	p.log.Info("stop requested", zap.Int("connections", p.listener.OpenConnections()))
	p.goroutines.Go(func() {
		withdrawCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		if err := p.deployment.Withdraw(withdrawCtx, p.self); err != nil {
			p.log.Warn("announcement was not removed, its lease ends by itself", zap.Error(err))
		}
	})
	p.reportNow()
	p.listener.Drain()
	acceptUntil := start + time.Duration(acceptFraction*float64(gracePeriod))
	abortAt := start + time.Duration(abortFraction*float64(gracePeriod))
	for now := range p.clock.Subscribe(ctx, stopPollInterval) {
		if now >= abortAt || now >= acceptUntil && p.listener.OpenConnections() == 0 {
			break
		}
	}
	p.log.Info("stopped", zap.Int("connections", p.listener.OpenConnections()))
}
