package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// slowConn is a caller's connection that takes at most perWrite bytes until the deadline of
// each write passes.
type slowConn struct {
	net.Conn

	perWrite int
}

func (c slowConn) Write(p []byte) (int, error) {
	if len(p) <= c.perWrite {
		return c.Conn.Write(p) //nolint:wrapcheck // The connection's own error.
	}
	n, err := c.Conn.Write(p[:c.perWrite])
	if err == nil {
		err = os.ErrDeadlineExceeded
	}

	return n, err //nolint:wrapcheck // The connection's own error.
}

// slowListener accepts callers with slow connections.
type slowListener struct {
	net.Listener

	perWrite int
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()

	return slowConn{Conn: c, perWrite: l.perWrite}, err //nolint:wrapcheck // The listener's own error.
}

// answerSlowCaller answers a caller that takes perWrite bytes in the time of each write, and
// returns what it has received when its connection was closed.
func answerSlowCaller(t *testing.T, perWrite int, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := http1.NewListener(testNames, handlerFunc(func(x *http1.Exchange) {
		x.Respond(http1.Response{Status: 200, Body: []byte(body)})
	}), func() http1.RequestLimits { return http1.RequestLimits{} }, testBodyMemory)
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = listener.Serve(ctx, slowListener{Listener: l, perWrite: perWrite}) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	c := dial(t, l.Addr().String())
	_, err = io.WriteString(c, strings.Replace(get("/1"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	require.NoError(t, err)
	received, err := io.ReadAll(c)
	require.NoError(t, err)

	return string(received)
}

// Guards against an answer that is cut off although its caller goes on reading, only because
// the whole takes long.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 256<<10)
	require.True(t, strings.HasSuffix(answerSlowCaller(t, 1<<10, body), "\r\n\r\n"+body))
}

// Guards against the memory of an answer that is held for ever because its caller reads
// nothing.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	t.Parallel()
	require.Empty(t, answerSlowCaller(t, 0, "body"))
}

// Guards against copies of long answers that are held, beside the memory reserved for them,
// until slow callers have read them.
func TestLongAnswersAreNotCopied(t *testing.T) { //nolint:paralleltest // Measures the heap.
	const callers, bodyBytes = 16, 8 << 20
	body := make([]byte, bodyBytes)
	_, address := startListener(t, func(x *http1.Exchange) {
		x.Respond(http1.Response{Status: 200, Body: body})
	}, http1.RequestLimits{})
	before := heapBytes()
	for range callers {
		c := dial(t, address)
		_, err := io.WriteString(c, get("/1"))
		require.NoError(t, err)
		// The rest stays unread: it is longer than the socket buffers.
		_, err = bufio.NewReaderSize(c, 16).ReadByte()
		require.NoError(t, err)
	}
	require.Less(t, heapBytes()-before, int64(callers*bodyBytes/4))
}

// heapBytes returns the size of the heap in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return int64(stats.HeapAlloc)
}
