// Package logging builds the logger of a process.
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Formats of log entries.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

const (
	// bufferBytes and flushInterval keep the reducer from waiting for the output.
	bufferBytes   = 64 << 10
	flushInterval = 500 * time.Millisecond
)

// linesPerSecond bounds the lines of each kind that NewBounded writes; an entry
// VM of a small fleet answers fewer requests a second.
const linesPerSecond = 200

// closeTimeout bounds the wait for the output at the end of a process.
const closeTimeout = 200 * time.Millisecond

// NewBounded returns a logger whose volume is bounded and which never waits for
// its output, and the function that writes out what is buffered.
func NewBounded(out io.Writer, format, level string) (*zap.Logger, func(), error) {
	detached := NewDetached(out)
	logger, flush, err := New(detached, format, level)
	if err != nil {
		return nil, nil, err
	}
	logger = logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return Limited(core, linesPerSecond) }))

	return logger, func() {
		flush()
		within := make(chan struct{})
		timer := time.AfterFunc(closeTimeout, func() { close(within) })
		defer timer.Stop()
		detached.Close(within)
	}, nil
}

// New returns a logger and the function that writes out what is buffered.
func New(out io.Writer, format, level string) (*zap.Logger, func(), error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("parse log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.TimeKey = "time"
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	var encoder zapcore.Encoder
	switch format {
	case FormatJSON:
		encoder = zapcore.NewJSONEncoder(encoding)
	case FormatConsole:
		encoder = zapcore.NewConsoleEncoder(encoding)
	default:
		return nil, nil, fmt.Errorf("unknown log format %q", format)
	}
	buffer := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(out), Size: bufferBytes, FlushInterval: flushInterval}
	logger := zap.New(zapcore.NewCore(encoder, buffer, at))

	return logger, func() { _ = buffer.Stop() }, nil
}
