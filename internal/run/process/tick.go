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
	// reducer's waits: queue times, hedge delays and waits for bandwidth of a link
	// are a few times longer.
	fastTickInterval = 2 * time.Millisecond
	// idleTickInterval is the longest time between ticks. Permanent fast ticks would
	// take most of the CPU time that an idle process may use.
	idleTickInterval = 100 * time.Millisecond
	// fastTickLinger is how long fast ticks go on after one was last needed.
	fastTickLinger = time.Second
)

// never is later than any time of the process.
const never = time.Duration(math.MaxInt64)

// tickState holds what decides how often the reducer gets a Tick.
type tickState struct {
	// next is when the reducer needs its next tick, in nanoseconds since the start
	// of the process.
	next *atomic.Int64
	// streams counts the bodies that may wait for bandwidth.
	streams     *atomic.Int64
	fastRunning *atomic.Bool
	// wake makes runTicks start fast ticks.
	wake chan struct{}
}

func newTickState() tickState {
	t := tickState{next: new(atomic.Int64), streams: new(atomic.Int64), fastRunning: new(atomic.Bool), wake: make(chan struct{}, 1)}
	t.next.Store(int64(never))

	return t
}

// setNext sets when the next tick is needed; never means that none is.
func (t tickState) setNext(at time.Duration) {
	t.next.Store(int64(at))
	if at != never {
		t.wakeFast()
	}
}

// addStreams adds n to the number of bodies that may wait for bandwidth.
func (t tickState) addStreams(n int64) {
	if t.streams.Add(n) > 0 {
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
	return t.streams.Load() > 0 || time.Duration(t.next.Load()) != never
}

// runTicks applies Tick events until ctx ends, more often while something waits for
// one.
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
		if now < lastTick+idleTickInterval && now < time.Duration(p.tickState.next.Load()) && p.tickState.streams.Load() == 0 {
			continue
		}
		lastTick = now
		p.Apply(event.Tick{At: event.At(now)})
	}
}
