// Package logging builds the loggers of `greengagetally entry` (New) and
// `greengagetally-platform` (NewBounded).
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Formats of log lines.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

const (
	// bufferBytes and flushInterval configure the buffer for log lines, which keeps the
	// reducer from waiting for the output.
	bufferBytes   = 64 << 10
	flushInterval = 500 * time.Millisecond
)

// maxLinesPerSecond bounds the lines with the same message that a logger of NewBounded
// writes in a second. An entry VM of a small fleet answers fewer requests a second, so
// none of its lines is left out.
const maxLinesPerSecond = 200

// closeTimeout bounds how long ending a logger of NewBounded waits for its output.
const closeTimeout = 200 * time.Millisecond

// NewBounded returns a logger that limits the rate of lines with the same message
// and never waits for out, and a function that writes buffered lines and ends the
// logger. That function waits at most closeTimeout. The error reports an unknown
// format or level.
func NewBounded(out io.Writer, format, level string) (*zap.Logger, func(), error) {
	writer := NewAsyncWriter(out)
	logger, flush, err := New(writer, format, level)
	if err != nil {
		return nil, nil, err
	}
	logger = logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return NewRateLimitedCore(core, maxLinesPerSecond) }))

	return logger, func() {
		flush()
		timedOut := make(chan struct{})
		timer := time.AfterFunc(closeTimeout, func() { close(timedOut) })
		defer timer.Stop()
		writer.Close(timedOut)
	}, nil
}

// New returns a logger for lines of at least the given level, and a function that
// writes buffered lines and ends the logger. The error reports an unknown format or
// level.
func New(out io.Writer, format, level string) (*zap.Logger, func(), error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("parse log level: %w", err)
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoderConfig.TimeKey = "time"
	encoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	var encoder zapcore.Encoder
	switch format {
	case FormatJSON:
		encoder = zapcore.NewJSONEncoder(encoderConfig)
	case FormatConsole:
		encoder = zapcore.NewConsoleEncoder(encoderConfig)
	default:
		return nil, nil, fmt.Errorf("unknown log format %q", format)
	}
	buffer := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(out), Size: bufferBytes, FlushInterval: flushInterval}
	logger := zap.New(zapcore.NewCore(encoder, buffer, minLevel))

	return logger, func() { _ = buffer.Stop() }, nil
}
