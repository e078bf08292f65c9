package logging_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagetally/greengagetally/internal/run/logging"
)

// Guards against logs that grow with the load, and against left-out lines that are
// not counted in a later line.
func TestLinesWithOneMessageAreLimited(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zapcore.InfoLevel)
	now := time.Unix(100, 0)
	limited := logging.NewRateLimitedCore(core, 3).With([]zapcore.Field{zap.String("entry", "e")})
	write := func(message string) {
		entry := zapcore.Entry{Level: zapcore.InfoLevel, Message: message, Time: now}
		if checked := limited.Check(entry, nil); checked != nil {
			checked.Write()
		}
	}
	for range 10 {
		write("request refused")
	}
	write("stopped")
	require.Equal(t, 3, logs.FilterMessage("request refused").Len())
	require.Equal(t, 1, logs.FilterMessage("stopped").Len())
	now = now.Add(time.Second)
	write("request refused")
	require.Equal(t, 1, logs.FilterField(zap.Int("left-out", 7)).Len())
}

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.Buffer.Write(p)
}

// Guards against requests that wait because the reader of the log has stopped.
func TestWriteDoesNotWaitForReader(t *testing.T) {
	t.Parallel()
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewAsyncWriter(out)
	for range 1000 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close(nil)
	require.NotZero(t, out.Len())
}
