package process

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/entry"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

var _ caller.Reducer = (*Process)(nil)

// Now implements caller.Reducer.
func (p *Process) Now() time.Duration {
	return p.clock.Now()
}

// Wall implements caller.Reducer.
func (p *Process) Wall() time.Time {
	return p.clock.Wall()
}

// Config implements caller.Reducer.
func (p *Process) Config() *model.Config {
	return p.config.Load()
}

// Members implements caller.Reducer.
func (p *Process) Members() *event.PublishEntries {
	return p.members.Load()
}

// NewRequestID implements caller.Reducer.
func (p *Process) NewRequestID() event.RequestID {
	return event.RequestID(p.lastRequest.Add(1))
}

// OpenRequest implements caller.Reducer.
func (p *Process) OpenRequest(sink caller.Sink, ev event.RequestArrived) {
	p.inbox.push(inboxItem{event: ev, sink: sink, request: ev.ID})
	p.applyQueued()
}

// CloseRequest implements caller.Reducer.
func (p *Process) CloseRequest(request event.RequestID) {
	p.inbox.push(inboxItem{request: request})
	p.applyQueued()
}

// Apply implements caller.Reducer.
func (p *Process) Apply(ev event.Event) {
	p.inbox.push(inboxItem{event: ev})
	p.applyQueued()
}

// OpenStream implements caller.Reducer.
func (p *Process) OpenStream(sink caller.Sink) uint64 {
	p.streamsMu.Lock()
	defer p.streamsMu.Unlock()
	p.tickState.addStreams(1)
	p.lastStream++
	p.streams[p.lastStream] = sink

	return p.lastStream
}

// CloseStream implements caller.Reducer.
func (p *Process) CloseStream(stream uint64) {
	p.streamsMu.Lock()
	defer p.streamsMu.Unlock()
	if _, ok := p.streams[stream]; ok {
		p.tickState.addStreams(-1)
	}
	delete(p.streams, stream)
}

// Status returns the reducer's part of the status that operators see.
func (p *Process) Status() entry.Status {
	// Applies the events that were queued while this call held the lock.
	defer p.applyQueued()
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.state.Status()
}

// reduce applies one event to the reducer and runs its effects; p.mu is held.
func (p *Process) reduce(ev event.Event) {
	state, effects := entry.Reduce(p.state, ev)
	p.state = state
	for _, effect := range effects {
		p.runEffect(effect)
	}
}
