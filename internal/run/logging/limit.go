package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// limitedCore writes at most a number of lines of each kind a second; the next
// line of a kind tells how many were left out. The kind is the line's message.
type limitedCore struct {
	zapcore.Core

	perSecond int
	kinds     *kinds
}

// kinds counts the lines of each kind; cores with added fields share it.
type kinds struct {
	mu     sync.Mutex
	counts map[string]*kind
}

type kind struct {
	second  int64
	written int
	leftOut int
}

// Limited returns a core that writes at most perSecond lines of each kind.
func Limited(core zapcore.Core, perSecond int) zapcore.Core {
	return &limitedCore{Core: core, perSecond: perSecond, kinds: &kinds{counts: map[string]*kind{}}}
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), perSecond: c.perSecond, kinds: c.kinds}
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}

	return checked
}

// Write implements zapcore.Core.
func (c *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	leftOut, ok := c.kinds.take(entry.Message, entry.Time, c.perSecond)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int("left-out", leftOut))
	}

	return c.Core.Write(entry, fields) //nolint:wrapcheck // The logger reports it.
}

// take reports whether a line may be written, and how many before it were not.
func (k *kinds) take(message string, at time.Time, perSecond int) (leftOut int, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	of, known := k.counts[message]
	if !known {
		of = &kind{}
		k.counts[message] = of
	}
	if second := at.Unix(); second != of.second {
		of.second, of.written = second, 0
	}
	if of.written >= perSecond {
		of.leftOut++

		return 0, false
	}
	of.written++
	leftOut, of.leftOut = of.leftOut, 0

	return leftOut, true
}
