// Package caller serves callers: look-ups, requests, and requests that other
// entry VMs carry here.
package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Sink takes the effects of one request or one paced body. Deliver is called
// while the reducer is locked; it must not block or apply events.
type Sink interface {
	Deliver(effect event.Effect)
}

// Reducer is the reducer as the listeners use it.
type Reducer interface {
	// Now returns the time since the start of the process.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Config returns the configuration in force, or nil before the first one.
	Config() *model.Config
	// Members returns the entry VMs that are known.
	Members() *event.PublishEntries
	// NewRequestID returns the number of a new request.
	NewRequestID() event.RequestID
	// OpenRequest applies the event and sends the request's effects to sink until
	// CloseRequest.
	OpenRequest(sink Sink, ev event.RequestArrived)
	// CloseRequest ends the delivery of the request's effects.
	CloseRequest(id event.RequestID)
	// Apply applies an event. Events are applied in their order; the effects may
	// be run by another goroutine shortly after the call returns.
	Apply(ev event.Event)
	// OpenStream numbers a paced body whose grants go to sink until CloseStream.
	OpenStream(sink Sink) uint64
	// CloseStream ends the delivery of grants.
	CloseStream(stream uint64)
}
