package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// rateLimitedCore writes at most perSecond lines with the same message in a second.
// The next line with that message says how many were left out before it.
type rateLimitedCore struct {
	zapcore.Core

	perSecond    int
	lineCounters *lineCounters
}

// lineCounters counts the lines of each message. A core shares its lineCounters with
// the cores that its method With returns.
type lineCounters struct {
	mu        sync.Mutex
	byMessage map[string]*lineCounter
}

// lineCounter counts the lines of one message.
type lineCounter struct {
	// second is the Unix time in seconds of the lines counted in written.
	second  int64
	written int
	// leftOut is the number of lines left out since the last line was written.
	leftOut int
}

// NewRateLimitedCore returns a core that writes to core, but at most perSecond lines
// with the same message in a second. The next line with that message says in the
// field left-out how many were left out.
func NewRateLimitedCore(core zapcore.Core, perSecond int) zapcore.Core {
	return &rateLimitedCore{Core: core, perSecond: perSecond, lineCounters: &lineCounters{byMessage: map[string]*lineCounter{}}}
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(fields), perSecond: c.perSecond, lineCounters: c.lineCounters}
}

// Check implements zapcore.Core.
func (c *rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}

	return checked
}

// Write implements zapcore.Core.
func (c *rateLimitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	leftOut, ok := c.lineCounters.count(entry.Message, entry.Time, c.perSecond)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int("left-out", leftOut))
	}

	return c.Core.Write(entry, fields) //nolint:wrapcheck // The logger reports it.
}

// count reports whether a line may be written and, if so, how many lines with its
// message were left out before it.
func (l *lineCounters) count(message string, at time.Time, perSecond int) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counter, known := l.byMessage[message]
	if !known {
		counter = &lineCounter{}
		l.byMessage[message] = counter
	}
	if second := at.Unix(); second != counter.second {
		counter.second, counter.written = second, 0
	}
	if counter.written >= perSecond {
		counter.leftOut++

		return 0, false
	}
	counter.written++
	leftOut, counter.leftOut = counter.leftOut, 0

	return leftOut, true
}
