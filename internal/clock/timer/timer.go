// Package timer provides the time of day, the time since the start and ticks to both
// programs, and a time source for tests that is advanced by hand.
package timer

import (
	"context"
	"sync"
	"time"
)

// TimeSource tells the time and delivers ticks.
type TimeSource interface {
	// Now returns the time since the source was created; it never decreases.
	Now() time.Duration
	// Wall returns the wall-clock time, which may be wrong or set back.
	Wall() time.Time
	// Subscribe returns a channel that receives the result of Now every interval and is
	// closed after ctx has ended. At most one tick is queued; while it waits, further
	// ticks are dropped.
	Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration
}

// System is the time source backed by the operating system's clocks.
type System struct {
	start time.Time
}

// NewSystem returns a time source whose time starts at zero.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now implements TimeSource.
func (s *System) Now() time.Duration {
	return time.Since(s.start)
}

// Wall implements TimeSource.
func (s *System) Wall() time.Time {
	return time.Now()
}

// Subscribe implements TimeSource.
func (s *System) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration {
	out := make(chan time.Duration, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		defer close(out)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				offer(out, s.Now())
			}
		}
	}()

	return out
}

// Manual is a time source for tests. Only Advance changes its time.
type Manual struct {
	mu   sync.Mutex
	now  time.Duration
	wall time.Time
	subs []*subscription
}

// subscription is one call of Subscribe; next is when the next tick is due.
type subscription struct {
	ctx      context.Context
	interval time.Duration
	next     time.Duration
	out      chan time.Duration
}

// NewManual returns a time source at time zero. Its wall clock starts at wall.
func NewManual(wall time.Time) *Manual {
	return &Manual{wall: wall}
}

// Now implements TimeSource.
func (m *Manual) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// Wall implements TimeSource.
func (m *Manual) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.wall.Add(m.now)
}

// Subscribe implements TimeSource.
func (m *Manual) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	sub := &subscription{ctx: ctx, interval: interval, next: m.now + interval, out: make(chan time.Duration, 1)}
	m.subs = append(m.subs, sub)

	return sub.out
}

// Advance moves the time forward by d and delivers at most one tick to each
// subscription that is due. It closes the channels of subscriptions whose ctx has
// ended.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	live := m.subs[:0]
	for _, sub := range m.subs {
		if sub.ctx.Err() != nil {
			close(sub.out)

			continue
		}
		if sub.next <= m.now {
			offer(sub.out, m.now)
			sub.next = m.now + sub.interval
		}
		live = append(live, sub)
	}
	m.subs = live
}

// offer sends a tick unless the previous one is still queued.
func offer(out chan<- time.Duration, now time.Duration) {
	select {
	case out <- now:
	default:
	}
}
