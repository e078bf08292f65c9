// Package event defines the events that the reducer takes and the effects that
// it returns, as plain data.
//
// Times are durations since the start of the process.
package event

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// RequestID numbers the requests of one process.
type RequestID uint64

// AttemptID numbers the attempts of one process.
type AttemptID uint64

// Member is one process incarnation of an entry VM.
type Member struct {
	VM          string
	Incarnation uint64
}

// Event is something that happened; every event has a time.
type Event interface {
	// Time returns when it happened, since the start of the process.
	Time() time.Duration
}

// Effect is something that the runtime must do.
type Effect interface {
	isEffect()
}

// At is the time of an event.
type At time.Duration

// Time implements Event.
func (a At) Time() time.Duration {
	return time.Duration(a)
}

type effect struct{}

func (effect) isEffect() {}

// Tick tells the time to parts that wait for something.
type Tick struct{ At }

// StopRequested starts the graceful shutdown.
type StopRequested struct{ At }

// ConfigInForce delivers a configuration with a higher version than before.
type ConfigInForce struct {
	At

	Config *model.Config
}

// ReportViolation reports that a check inside the program failed.
type ReportViolation struct {
	effect

	// Name is the invariant, such as "tokens-in-use".
	Name   string
	Detail string
}

// RaiseEvent is an event that one part of the reducer has for the others; the
// entry reducer handles it before it returns, and the runtime never sees it.
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
