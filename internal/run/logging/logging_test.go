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

// Guards against logs that grow with the load, and against lines that are left
// out without a trace.
func TestLinesOfAKindAreLimited(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zapcore.InfoLevel)
	now := time.Unix(100, 0)
	limited := logging.Limited(core, 3).With([]zapcore.Field{zap.String("entry", "e")})
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

// stuck is a reader that stopped reading until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.Buffer.Write(p)
}

// Guards against requests that wait for a log reader which has stopped.
func TestStoppedReaderBlocksNothing(t *testing.T) {
	t.Parallel()
	out := &stuck{release: make(chan struct{})}
	d := logging.NewDetached(out)
	for range 1000 {
		n, err := d.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, d.Dropped())
	close(out.release)
	d.Close(nil)
	require.NotZero(t, out.Len())
}
