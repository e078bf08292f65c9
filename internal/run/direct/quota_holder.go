package direct

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/steer/quota"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

const (
	// rightCheckInterval is the interval at which an entry VM checks whether it should try to
	// become the holder of the quotas, or renew its right.
	rightCheckInterval = 100 * time.Millisecond
	// rightRenewDivisor divides the TTL of a right: it is renewed that often, which leaves time
	// for retries before it ends.
	rightRenewDivisor = 4
	// rightCallTimeout bounds one call to the store.
	rightCallTimeout = time.Second
	// holderSilence is the time without a sign of a holder after which the first entry VM in
	// rank tries to become the holder. Each rank waits for rightRankDelay more. Those ranks also
	// divide the retries, so that they do not grow with the fleet.
	holderSilence  = time.Second
	rightRankDelay = 500 * time.Millisecond
	// rightRetryPause is the pause of the first in rank between two tries, while the right of
	// the holder before has not ended.
	rightRetryPause = 250 * time.Millisecond
	// listRetryPause is the pause between two reads of the list of entry VMs by a new holder.
	listRetryPause = 300 * time.Millisecond
	// quotaRankKey orders entry VMs of equal strength.
	quotaRankKey = "quota"
)

// holdQuotas makes this entry VM the holder of the quotas when there is none, and keeps its
// right until ctx ends or a stop is requested.
func (p *Process) holdQuotas(ctx context.Context) {
	var right Right
	var renewAt, triedAt time.Duration
	tried := false
	for now := range p.clock.Subscribe(ctx, rightCheckInterval) {
		if p.stopping.Load() || !p.quotas.takesPart() {
			if right.Lease != 0 {
				p.releaseQuotas(ctx, right)
				right = Right{}
			}

			continue
		}
		held := p.quotas.era(now) > 0
		if right.Lease != 0 && !held {
			p.log.Warn("right as the holder of the quotas has ended", zap.Uint64("era", right.Era))
			right = Right{}
		}
		switch {
		case held && now >= renewAt:
			renewAt = now + right.TTL/rightRenewDivisor
			if !p.renewQuotas(ctx, right) {
				right = Right{}
			}
		case !held && p.shouldTakeQuotas(now, triedAt, tried):
			triedAt, tried = now, true
			right = p.takeQuotas(ctx)
			renewAt = now + right.TTL/rightRenewDivisor
		}
	}
}

// shouldTakeQuotas reports whether this entry VM should try to become the holder. The others
// may know that it was the holder before its restart; then it tries at once.
func (p *Process) shouldTakeQuotas(now, triedAt time.Duration, tried bool) bool {
	if !p.mirrors[TableEntryVMs].Loaded() {
		return false
	}
	rank := p.quotaRank(now)
	p.quotas.mu.Lock()
	defer p.quotas.mu.Unlock()
	claimed := p.quotas.claimed
	p.quotas.claimed = false
	if claimed && (!tried || now-triedAt > rightRankDelay) {
		return true
	}
	holder, heardAt := p.quotas.shares.Holder()
	rankDelay := time.Duration(rank) * rightRankDelay
	if holder == "" && !tried {
		return now >= rankDelay
	}

	return now-heardAt > holderSilence+rankDelay && now-triedAt > rightRetryPause+rankDelay
}

// quotaRank returns the number of entry VMs that should try to become the holder before this
// one: the stronger ones that are alive, or all that are listed if none is known to be alive.
func (p *Process) quotaRank(now time.Duration) int {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	alive, listed := 0, 0
	for _, other := range p.peers.byName {
		if !readsBefore(quotaRankKey, other.EntryVM, p.self) {
			continue
		}
		listed++
		if other.lastSeen > 0 && now-other.lastSeen < peerAliveTimeout {
			alive++
		}
	}
	if now < peerAliveTimeout {
		return listed
	}

	return alive
}

// takeQuotas tries to become the holder. The right counts from the start of the call.
func (p *Process) takeQuotas(ctx context.Context) Right {
	start := p.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, rightCallTimeout)
	defer cancel()
	right, err := p.deployment.TakeQuota(callCtx, p.self)
	var held *HeldError
	switch {
	case errors.As(err, &held):
		// If that entry VM has restarted, it learns that the key is its own.
		claim := gossip.QuotaRequest{Name: p.self.Name, Era: held.Era}
		p.sendQuota([]quotaMessage{{to: held.Name, message: gossip.Message{QuotaRequest: &claim}}})

		return Right{}
	case err != nil:
		p.log.Info("cannot become the holder of the quotas", zap.Error(err))

		return Right{}
	}
	now := p.clock.Now()
	// The shares of the holders before may have been extended until the right was gained, or
	// until an earlier process of this VM ended.
	opensAt := now + quota.ShareTTL
	if right.FromEarlierProcess {
		opensAt = quota.ShareTTL
	}
	p.quotas.mu.Lock()
	p.quotas.gainedAt = now
	p.quotas.mu.Unlock()
	p.sendQuota(p.quotas.useLedger(quota.RightGained{At: quota.At(now), Era: right.Era, End: start + right.TTL, OpensAt: opensAt}))
	p.log.Info("holder of the quotas", zap.Uint64("era", right.Era), zap.Duration("took", now-start))
	// The list must be newer than the right.
	p.reportNow()

	return right
}

// renewQuotas extends the right, and reports whether it holds.
func (p *Process) renewQuotas(ctx context.Context, right Right) bool {
	start := p.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, rightCallTimeout)
	defer cancel()
	err := p.deployment.RenewRight(callCtx, right)
	now := p.clock.Now()
	switch {
	case errors.Is(err, ErrRightLost):
		p.sendQuota(p.quotas.useLedger(quota.RightLost{At: quota.At(now)}))
		p.log.Warn("right as the holder of the quotas was lost", zap.Uint64("era", right.Era), zap.Error(err))

		return false
	case err != nil:
		p.log.Info("right as the holder of the quotas was not renewed", zap.Error(err))
	default:
		p.sendQuota(p.quotas.useLedger(quota.RightRenewed{At: quota.At(now), Era: right.Era, End: start + right.TTL}))
	}

	return true
}

// releaseQuotas gives up the right, so that another entry VM takes over at once.
func (p *Process) releaseQuotas(ctx context.Context, right Right) {
	p.sendQuota(p.quotas.useLedger(quota.RightLost{At: quota.At(p.clock.Now())}))
	callCtx, cancel := context.WithTimeout(ctx, rightCallTimeout)
	defer cancel()
	err := p.deployment.ReleaseRight(callCtx, right)
	p.log.Info("right as the holder of the quotas released", zap.Uint64("era", right.Era), zap.Error(err))
	p.reportNow()
}

// listQuotaUsers tells the ledger which entry VMs may hold shares. It reads the list until
// there is one that is newer than the right of the era.
func (p *Process) listQuotaUsers(ctx context.Context, now time.Duration, era uint64) {
	age, read := p.mirrors[TableEntryVMs].OwnReadAge()
	p.quotas.mu.Lock()
	gainedAt, known := p.quotas.gainedAt, p.quotas.listedEra == era
	due := !known && now-p.quotas.listReadAt >= listRetryPause
	if due {
		p.quotas.listReadAt = now
	}
	p.quotas.mu.Unlock()
	if !known && (!read || now-age < gainedAt) {
		if due {
			p.goroutines.Go(func() { p.mirrors[TableEntryVMs].Read(ctx) })
		}

		return
	}
	p.peers.mu.Lock()
	names := []string{p.self.Name}
	for name := range p.peers.byName {
		names = append(names, name)
	}
	p.peers.mu.Unlock()
	slices.Sort(names)
	p.quotas.mu.Lock()
	changed := p.quotas.listedEra != era || !slices.Equal(p.quotas.listedNames, names)
	p.quotas.listedEra, p.quotas.listedNames = era, names
	p.quotas.mu.Unlock()
	if changed {
		p.sendQuota(p.quotas.useLedger(quota.EntryVMsChanged{At: quota.At(now), Names: names}))
	}
}
