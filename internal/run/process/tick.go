package process

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// fastTickInterval is the time between fast ticks, and so the resolution of the
	// reducer's waits. Queue times, hedge delays and waits for link bandwidth are a few
	// times longer.
	fastTickInterval = 2 * time.Millisecond
	// idleTickInterval is the longest time between ticks. Permanent fast ticks would
	// take most of the CPU time that an idle process may use.
	idleTickInterval = 100 * time.Millisecond
	// fastTickLinger is how long fast ticks go on after a tick was last needed.
	fastTickLinger = time.Second
)

// never is later than any time of the process.
const never = time.Duration(math.MaxInt64)

// tickState decides how often the reducer gets a Tick.
type tickState struct {
	// nextNs is when the reducer needs its next tick, in nanoseconds since the start of
	// the process; it equals never if no tick is needed.
	nextNs *atomic.Int64
	// streamCount is the number of bodies that may wait for link bandwidth.
	streamCount *atomic.Int64
	fastRunning *atomic.Bool
	// wake makes runTicks start fast ticks.
	wake chan struct{}
}

func newTickState() tickState {
	t := tickState{nextNs: new(atomic.Int64), streamCount: new(atomic.Int64), fastRunning: new(atomic.Bool), wake: make(chan struct{}, 1)}
	t.nextNs.Store(int64(never))

	return t
}

// setNext sets when the next tick is needed; the value never means that no tick is
// needed.
func (t tickState) setNext(at time.Duration) {
	t.nextNs.Store(int64(at))
	if at != never {
		t.wakeFast()
	}
}

// addStreams adds n to the number of bodies that may wait for link bandwidth.
func (t tickState) addStreams(n int64) {
	if t.streamCount.Add(n) > 0 {
		t.wakeFast()
	}
}

// wakeFast starts fast ticks unless they run already.
func (t tickState) wakeFast() {
	if t.fastRunning.Load() {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// needed reports whether something waits for a tick.
func (t tickState) needed() bool {
	return t.streamCount.Load() > 0 || time.Duration(t.nextNs.Load()) != never
}

// runTicks applies Tick events until ctx ends, more often while something waits for a
// tick.
func (p *Process) runTicks(ctx context.Context) {
	idle := p.clock.Subscribe(ctx, idleTickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case now, ok := <-idle:
			if !ok {
				return
			}
			p.Apply(event.Tick{At: event.At(now)})
		case <-p.tickState.wake:
			p.runFastTicks(ctx)
		}
	}
}

// runFastTicks applies Tick events when they are due, until none has been needed
// for fastTickLinger.
func (p *Process) runFastTicks(ctx context.Context) {
	p.tickState.fastRunning.Store(true)
	defer p.tickState.fastRunning.Store(false)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lastTick, needed := p.Now(), p.Now()
	for now := range p.clock.Subscribe(ctx, fastTickInterval) {
		if p.tickState.needed() {
			needed = now
		}
		if now > needed+fastTickLinger {
			return
		}
		if now < lastTick+idleTickInterval && now < time.Duration(p.tickState.nextNs.Load()) && p.tickState.streamCount.Load() == 0 {
			continue
		}
		lastTick = now
		p.Apply(event.Tick{At: event.At(now)})
	}
}
