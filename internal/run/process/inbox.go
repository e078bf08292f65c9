package process

import (
	"sync"
	"sync/atomic"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

// handOffAfterItems is the number of items that a goroutine applies before it leaves
// the rest of the inbox to a new goroutine and goes on with its own request.
const handOffAfterItems = 32

// inboxItem is one event for the reducer, or the end of a request.
type inboxItem struct {
	// event is nil at the end of a request.
	event event.Event
	// sink is set only for the event that starts a request.
	sink caller.Sink
	// request is 0 unless the item starts or ends a request.
	request event.RequestID
}

// inbox queues the events that are not applied yet. A goroutine that finds the
// reducer locked leaves its event here for the goroutine that holds the lock, so
// that no request waits for the lock.
type inbox struct {
	mu     sync.Mutex
	queued []inboxItem
	// spare is an emptied slice that is used again as queued.
	spare []inboxItem
	// length is the length of queued; it is read without mu.
	length atomic.Int64
}

func (b *inbox) push(item inboxItem) {
	b.mu.Lock()
	b.queued = append(b.queued, item)
	b.length.Store(int64(len(b.queued)))
	b.mu.Unlock()
}

func (b *inbox) empty() bool {
	return b.length.Load() == 0
}

// take empties the inbox and returns its items; the caller gives the slice back
// with recycle.
func (b *inbox) take() []inboxItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.queued
	b.queued, b.spare = b.spare[:0], nil
	b.length.Store(0)

	return items
}

func (b *inbox) recycle(items []inboxItem) {
	clear(items)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare = items
}

// applyQueued applies the queued events unless another goroutine holds the
// reducer's lock and so applies them.
func (p *Process) applyQueued() {
	for applied := 0; !p.inbox.empty() && p.mu.TryLock(); {
		items := p.inbox.take()
		for _, item := range items {
			p.applyItem(item)
		}
		next := never
		if at, ok := p.state.NextTick(); ok {
			next = at
		}
		p.tickState.setNext(next)
		applied += len(items)
		p.inbox.recycle(items)
		p.mu.Unlock()
		if applied >= handOffAfterItems && !p.inbox.empty() {
			go p.applyQueued()

			return
		}
	}
}

// applyItem applies one item; p.mu is held.
func (p *Process) applyItem(item inboxItem) {
	switch {
	case item.event == nil:
		delete(p.sinks, item.request)
	case item.sink != nil:
		p.sinks[item.request] = item.sink
		p.reduce(item.event)
	default:
		p.reduce(item.event)
	}
}
