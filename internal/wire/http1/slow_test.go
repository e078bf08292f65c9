package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

// serve answers all requests on l with a body and returns its address.
func serve(t *testing.T, l net.Listener, body []byte) string {
	t.Helper()
	listener := http1.NewListener(testNames, handlerFunc(func(x *http1.Exchange) {
		x.Respond(http1.Response{Status: 200, Body: body})
	}), func() http1.RequestLimits { return http1.RequestLimits{} }, testBodyMemory)
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = listener.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})

	return l.Addr().String()
}

// answerSlowCaller answers a caller that takes perWrite bytes in the time of each write, and
// returns what it has received when its connection was closed.
func answerSlowCaller(t *testing.T, perWrite int, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := dial(t, serve(t, slowListener{Listener: l, perWrite: perWrite}, []byte(body)))
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

// capturingListener passes on the connections that it accepts.
type capturingListener struct {
	net.Listener

	accepted chan *net.TCPConn
}

func (l capturingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		l.accepted <- tcp
	}

	return c, err //nolint:wrapcheck // The listener's own error.
}

// Guards against answers that are held in the kernel's buffers, beyond the bound on the memory
// for responses, while callers do not read.
func TestSendBuffersOfCallersAreBounded(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	captured := capturingListener{Listener: l, accepted: make(chan *net.TCPConn, 1)}
	address := serve(t, captured, []byte("body"))
	c := dial(t, address)
	_, err = io.WriteString(c, get("/1"))
	require.NoError(t, err)
	status, _, _ := readResponse(t, bufio.NewReader(c))
	require.Equal(t, 200, status)
	raw, err := (<-captured.accepted).SyscallConn()
	require.NoError(t, err)
	size := 0
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
	}))
	require.NoError(t, optErr)
	require.LessOrEqual(t, size, 128<<10)
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

// BenchmarkSlowCallers shows the heap while 400 callers have not read their answers of 256 KB,
// or of 1 MB, which are streamed.
func BenchmarkSlowCallers(b *testing.B) {
	for _, bytes := range []int{200 << 10, 1 << 20} {
		b.Run(strconv.Itoa(bytes), func(b *testing.B) {
			for range b.N {
				benchmarkSlowCallers(b, bytes)
			}
		})
	}
}

func benchmarkSlowCallers(b *testing.B, bytes int) {
	b.Helper()
	const callers = 400
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %%s\r\nContent-Length: %d\r\n\r\n", bytes)
	server := startFaultyServer(b, head, strings.Repeat("x", bytes))
	p := http1.NewPool(testNames, 28<<20)
	before := heapBytes()
	var answered, running sync.WaitGroup
	answered.Add(callers)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	listener := http1.NewListener(testNames, handlerFunc(func(x *http1.Exchange) {
		result := p.Do(b.Context(), http1.Target{Instance: "i", Address: server}, x.Request)
		answered.Done()
		x.Respond(result.Response)
		result.Release()
	}), func() http1.RequestLimits { return http1.RequestLimits{} }, testBodyMemory)
	ctx, cancel := context.WithCancel(b.Context())
	running.Go(func() { _ = listener.Serve(ctx, l) })
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		require.NoError(b, err)
		_, err = io.WriteString(conns[i], get("/1"))
		require.NoError(b, err)
	}
	answered.Wait()
	for _, c := range conns {
		_, err = c.Read(make([]byte, 1))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB-heap")
	for _, c := range conns {
		_ = c.Close()
	}
	cancel()
	running.Wait()
}
