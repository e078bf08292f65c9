package direct

import (
	"context"
	"time"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

const (
	// endTime is reserved for the end of the process, and answerTime before that for the
	// answers to the attempts that are broken off and those that wait behind them on the
	// same connections. A late processor takes several ticks for either.
	endTime    = 300 * time.Millisecond
	answerTime = 500 * time.Millisecond
	// maxReservedPart bounds both as a part of the grace period: before its last sixth, the
	// rules of the platform allow no request to be broken off while a server works at it.
	maxReservedPart = 1.0 / 6
	// withdrawTimeout bounds the deletion of the announcement.
	withdrawTimeout = time.Second
	// stopPollInterval is the interval at which Stop checks whether it may return.
	stopPollInterval = 50 * time.Millisecond
)

// Stop withdraws the entry VM and returns when the process may end, before GracePeriod is
// over. Callers may use the result of their last lookup for LookupTTL. So long requests are
// taken, each response closing its connection; then those in flight finish. Stop breaks off
// requests that take longer than GracePeriod allows, in time for the answers that wait behind
// them on their connections.
func (p *Process) Stop(ctx context.Context) {
	start := p.clock.Now()
	p.stopping.Store(true)
	p.mu.Lock()
	gracePeriod, lookupTTL := p.settings.GracePeriod, p.settings.LookupTTL
	p.mu.Unlock()
	reserved := min(endTime+answerTime, time.Duration(maxReservedPart*float64(gracePeriod)))
	answerBy := start + gracePeriod - reserved
	p.apply(steer.StopRequested{At: steer.At(start), AnswerBy: answerBy})
	p.listener.CloseAfterResponses()
	p.log.Info("stop requested", zap.Int("connections", p.listener.OpenConnections()))
	p.goroutines.Go(func() {
		withdrawCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		if err := p.deployment.Withdraw(withdrawCtx, p.self); err != nil {
			p.log.Warn("announcement was not removed, its lease ends by itself", zap.Error(err))
		}
	})
	p.reportNow()
	drainAt := start + min(lookupTTL, gracePeriod-reserved)
	latestEnd := start + gracePeriod - min(endTime, reserved/2)
	draining := false
	for now := range p.clock.Subscribe(ctx, stopPollInterval) {
		if !draining && now >= drainAt {
			p.listener.Drain()
			draining = true
		}
		if now >= answerBy {
			p.endAttempts()
		}
		if now >= latestEnd || draining && p.listener.OpenConnections() == 0 {
			break
		}
	}
	p.log.Info("stopped", zap.Int("connections", p.listener.OpenConnections()))
}
