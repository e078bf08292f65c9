package direct

import (
	"context"
	"time"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

const (
	// minStopFraction is the part of the grace period that Stop always waits. Meanwhile
	// new connections are accepted and closed without a response, so that their callers
	// look up other entry VMs. maxStopFraction is the part of the grace period after
	// which Stop abandons the remaining requests.
	minStopFraction = 0.4
	maxStopFraction = 0.94
	// answerFraction is the part of the grace period after which the attempts in flight end
	// and their callers are told so. What is left until maxStopFraction is for writing these
	// answers, and those that wait behind them on the same connections.
	answerFraction = 0.9
	// withdrawTimeout bounds the deletion of the announcement.
	withdrawTimeout = time.Second
	// stopPollInterval is the interval at which Stop checks whether it may return.
	stopPollInterval = 50 * time.Millisecond
)

// Stop withdraws the entry VM, lets the requests in flight finish and returns when the
// process may end, before GracePeriod is over. It breaks off requests that take longer, in
// time for the answers that wait behind them on their connections.
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
	answerBy := start + time.Duration(answerFraction*float64(gracePeriod))
	p.apply(steer.StopRequested{At: steer.At(start), AnswerBy: answerBy})
	p.listener.Drain()
	earliestEnd := start + time.Duration(minStopFraction*float64(gracePeriod))
	latestEnd := start + time.Duration(maxStopFraction*float64(gracePeriod))
	for now := range p.clock.Subscribe(ctx, stopPollInterval) {
		if now >= answerBy {
			p.endAttempts()
		}
		if now >= latestEnd || now >= earliestEnd && p.listener.OpenConnections() == 0 {
			break
		}
	}
	p.log.Info("stopped", zap.Int("connections", p.listener.OpenConnections()))
}
