package direct

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// serveShare is the part of the time for a stop in which requests are still
	// accepted, while callers learn of other entry VMs; endShare is when the
	// remaining requests are given up.
	serveShare = 0.4
	endShare   = 0.94
	// withdrawTimeout bounds the removal of the announcement.
	withdrawTimeout = time.Second
	// stopPoll is how often the end of the last request is looked for.
	stopPoll = 50 * time.Millisecond
)

// Stop serves what is in flight and returns when the process may end.
func (p *Process) Stop(ctx context.Context) {
	start := p.clock.Now()
	p.stopping.Store(true)
	p.mu.Lock()
	within := p.settings.GracePeriod
	p.mu.Unlock()
	p.log.Info("stop requested", zap.Int("connections", p.listener.Open()))
	p.work.Go(func() {
		withdrawCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		if err := p.deployment.Withdraw(withdrawCtx, p.self); err != nil {
			p.log.Warn("announcement was not removed, its lease ends by itself", zap.Error(err))
		}
	})
	p.tell()
	p.listener.Drain()
	serveUntil := start + time.Duration(serveShare*float64(within))
	endAt := start + time.Duration(endShare*float64(within))
	for now := range p.clock.Subscribe(ctx, stopPoll) {
		if now >= endAt || now >= serveUntil && p.listener.Open() == 0 {
			break
		}
	}
	p.log.Info("stopped", zap.Int("connections", p.listener.Open()))
}
