package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// announcePause is the mean pause between two attempts to announce this entry VM.
	announcePause = 300 * time.Millisecond
	// maxListingDelay is how long it may take until a written announcement is in the own
	// copy of the list: a few reads of the table.
	maxListingDelay = 3 * entryVMsMaxAge
	// listingCheckInterval is the interval at which the own copy is searched for the
	// announcement.
	listingCheckInterval = 500 * time.Millisecond
)

// errNotListed means that the announcement is missing from the store's list although its
// lease holds. A write or deletion by an earlier process of this entry VM, which the store
// executed late, may have replaced it.
var errNotListed = errors.New("announcement is not in the store's list")

// announce keeps this entry VM announced in the store until ctx ends or a stop is
// requested.
func (p *Process) announce(ctx context.Context) {
	for ctx.Err() == nil && !p.stopping.Load() {
		err := p.announceOnce(ctx)
		if ctx.Err() != nil || p.stopping.Load() {
			return
		}
		p.log.Warn("announcement in the store was lost, writing it again", zap.Error(err))
		retryTimer := time.NewTimer(time.Duration(float64(announcePause) * (0.5 + rand.Float64()))) //nolint:gosec // Spreads retries.
		select {
		case <-retryTimer.C:
		case <-ctx.Done():
			retryTimer.Stop()
		}
	}
}

// announceOnce announces this entry VM until the announcement is lost, and returns why.
func (p *Process) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.goroutines.Go(func() {
		missingSince := p.clock.Now()
		for now := range p.clock.Subscribe(ctx, listingCheckInterval) {
			switch {
			case p.isListed():
				missingSince = now
			case now-missingSince > maxListingDelay:
				cancel(errNotListed)

				return
			}
		}
	})
	err := p.deployment.Announce(ctx, p.self)
	if cause := context.Cause(ctx); cause != nil {
		return cause //nolint:wrapcheck // The cause is an error of this package, or that of the parent context.
	}

	return err //nolint:wrapcheck // The deployment describes its calls.
}

// isListed reports whether the own copy of the store's list has this entry VM. Without a
// copy it counts as listed.
func (p *Process) isListed() bool {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()

	return !p.mirrors[TableEntryVMs].Loaded() || p.peers.selfListed
}
