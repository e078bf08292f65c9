// Package event defines, for `greengagetally entry`, the events that the reducer
// handles and the effects that it returns, as plain data. The reducer (the package
// entry and its parts) makes every decision; the runtime (the package process)
// does the I/O that the effects ask for.
//
// An entry VM is called an entry for short. A carried request is one that an entry
// sends to another entry, which serves it.
//
// Times are durations since the start of the process.
package event

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// RequestID is the number of a request within the process.
type RequestID uint64

// AttemptID is the number of an attempt within the process: one sending of a
// request to a backend server or to another entry VM.
type AttemptID uint64

// Member is one process of an entry VM.
type Member struct {
	VM string
	// Incarnation is a random number that identifies the process, or 0 when only the VM
	// is known.
	Incarnation uint64
}

// Event is something that happened; every event has a time.
type Event interface {
	// Time returns when the event happened, since the start of the process.
	Time() time.Duration
}

// Effect is something that the runtime must do. RaiseEvent, ClaimKey and
// ReleaseClaim are handled within the reducer.
type Effect interface {
	isEffect()
}

// At is the time of an event.
type At time.Duration

// Time implements Event.
func (a At) Time() time.Duration {
	return time.Duration(a)
}

// effect makes a type that embeds it an Effect.
type effect struct{}

func (effect) isEffect() {}

// Tick reports that time has passed; the reducer does what has become due.
type Tick struct{ At }

// StopRequested starts the graceful shutdown of the entry VM.
type StopRequested struct{ At }

// ConfigInForce delivers the configuration to use from now on. A configuration with a
// lower version than the one in use is ignored.
type ConfigInForce struct {
	At

	Config *model.Config
}

// ReportViolation counts and logs an invariant that a check in the reducer found
// broken.
type ReportViolation struct {
	effect

	// Name is the invariant, such as "tokens-in-use".
	Name   string
	Detail string
}

// RaiseEvent passes an event from one part of the reducer to the others. The
// package entry handles it before the reducer returns; the runtime never sees it.
type RaiseEvent struct {
	effect

	Event Event
}

// Level orders log entries.
type Level int

// Levels of log entries.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
)

// WriteLog writes a log entry.
type WriteLog struct {
	effect

	Level   Level
	Message string
	Fields  []Field
}

// Field is one key and value of a log entry.
type Field struct {
	Key   string
	Value string
}
