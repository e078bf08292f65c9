// Package caller serves the HTTP requests of callers for `greengagetally entry`. It
// answers lookups of entry VMs, sends requests to the backend servers or entry VMs that
// the reducer chooses, and relays the responses.
//
// To carry a request is to send it to another entry VM, which serves it. This package
// also serves the requests that other entry VMs carry here.
package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Sink receives the effects of one request, or the grants for one stream of bytes to
// another region. Deliver is called while the reducer is locked; it must not block or
// apply events.
type Sink interface {
	Deliver(effect event.Effect)
}

// Reducer gives access to the reducer, which decides what happens to each request. It
// applies events and provides the reducer's clock and the state that the reducer
// publishes. It is safe for concurrent use.
type Reducer interface {
	// Now returns the time since the start of the process.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Config returns the configuration in force, or nil before the first one.
	Config() *model.Config
	// Members returns the entry VMs that are known.
	Members() *event.PublishEntries
	// NewRequestID returns the number for a new request.
	NewRequestID() event.RequestID
	// OpenRequest applies the event and delivers the request's effects to sink until
	// CloseRequest.
	OpenRequest(sink Sink, ev event.RequestArrived)
	// CloseRequest ends the delivery of the request's effects.
	CloseRequest(id event.RequestID)
	// Apply applies an event. Events are applied in the order of the calls; another
	// goroutine may deliver the effects shortly after the call returns.
	Apply(ev event.Event)
	// OpenStream returns the number for a new stream of bytes to another region. Its
	// event.GrantLinkBytes effects are delivered to sink until CloseStream.
	OpenStream(sink Sink) uint64
	// CloseStream ends the delivery of the stream's grants.
	CloseStream(stream uint64)
}
