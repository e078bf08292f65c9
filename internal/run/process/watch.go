package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call to the store.
	// The pause doubles with each failure. The time actually waited is random, between
	// 0.5 and 1.5 times the pause.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 15 * time.Second
	// watcherCheckInterval is the time between two checks of whether this entry has
	// become one of the watchers of its availability zone.
	watcherCheckInterval = time.Second
)

// watchVMs keeps a watch on the platform's list of VMs while this entry is one
// of the watchers of its availability zone.
func (p *Process) watchVMs(ctx context.Context) {
	var lastVersion uint64
	pause := minRetryPause
	for ctx.Err() == nil {
		if !p.zoneWatcher.Load() {
			sleep(ctx, watcherCheckInterval)

			continue
		}
		version, vms, err := p.store.VMs(ctx, lastVersion)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(pause*2, maxRetryPause)

			continue
		}
		pause = minRetryPause
		lastVersion = version
		// An unchanged list is applied too: a VM counts as gone once it has been
		// missing from the lists for longer than their lag.
		p.Apply(event.VMsListed{At: p.eventTime(), Version: version, VMs: vms})
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
