package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// watchedListener wraps the connections that it accepts in watchedConn.
type watchedListener struct {
	net.Listener
	accepted chan *watchedConn
	// afterRead is called with each result of a Read before it is returned; nil does nothing.
	afterRead func(c *watchedConn, bytes int)
}

func (l *watchedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // Passed on as it is.
	}
	c := &watchedConn{Conn: raw, afterRead: l.afterRead, closed: make(chan struct{}), sendingEnded: make(chan time.Time, 1)}
	l.accepted <- c

	return c, nil
}

// watchedConn counts the bytes that are read after it was closed for sending.
type watchedConn struct {
	net.Conn
	afterRead     func(c *watchedConn, bytes int)
	sendingClosed atomic.Bool
	readTooLate   atomic.Int64
	closeOnce     sync.Once
	closed        chan struct{}
	// sendingEnded gets the time at which the connection is closed for sending.
	sendingEnded chan time.Time
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.sendingClosed.Load() {
		c.readTooLate.Add(int64(n))
	}
	if c.afterRead != nil {
		c.afterRead(c, n)
	}

	return n, err //nolint:wrapcheck // A reader must return io.EOF as it is.
}

func (c *watchedConn) CloseWrite() error {
	c.sendingClosed.Store(true)
	c.sendingEnded <- time.Now()
	half, _ := c.Conn.(*net.TCPConn)

	return half.CloseWrite() //nolint:wrapcheck // Passed on as it is.
}

func (c *watchedConn) Close() error {
	defer c.closeOnce.Do(func() { close(c.closed) })

	return c.Conn.Close() //nolint:wrapcheck // Passed on as it is.
}

// startWatched serves h on connections that are watched.
func startWatched(t *testing.T, h handlerFunc, limits http1.RequestLimits, afterRead func(c *watchedConn, bytes int)) (*http1.Listener, *watchedListener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	watched := &watchedListener{Listener: l, accepted: make(chan *watchedConn, 8), afterRead: afterRead}
	listener := http1.NewListener(testNames, h, func() http1.RequestLimits { return limits }, testBodyMemory)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = listener.Serve(ctx, watched) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})

	return listener, watched
}

// Guards against a request that is read and thrown away because its caller has not yet
// learned that the connection was closed: it would have neither an answer nor a refusal.
func TestRequestAfterTheCloseIsLeftUnread(t *testing.T) {
	t.Parallel()
	respond := func(x *http1.Exchange) { x.Respond(http1.Response{Status: 200, Body: []byte(x.ID)}) }
	for _, c := range []struct {
		name   string
		limits http1.RequestLimits
		// served is true when the connection has served a request, drained when the entry VM is
		// stopped, before the connection if it has served none.
		served, drained bool
	}{
		{name: "new connection after the stop", drained: true},
		{name: "idle connection at the stop", served: true, drained: true},
		{name: "idle timeout", limits: http1.RequestLimits{IdleTimeout: 50 * time.Millisecond}, served: true},
		{name: "idle timeout without a request", limits: http1.RequestLimits{IdleTimeout: 50 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			listener, watched := startWatched(t, respond, c.limits, nil)
			if c.drained && !c.served {
				listener.Drain()
			}
			caller := dial(t, watched.Addr().String())
			in := bufio.NewReader(caller)
			if c.served {
				_, err := io.WriteString(caller, get("/1"))
				require.NoError(t, err)
				status, _, closes := readResponse(t, in)
				require.Equal(t, 200, status)
				require.False(t, closes)
			}
			if c.drained && c.served {
				listener.Drain()
			}
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			_, err = io.WriteString(caller, get("/2"))
			require.NoError(t, err)
			conn := <-watched.accepted
			<-conn.closed
			require.Zero(t, conn.readTooLate.Load())
		})
	}
}

// Guards against a stop that throws away a request which was read in the same moment, or
// whose first part was.
func TestRequestReadAtTheStopIsAnswered(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		parts []string
		body  string
	}{
		{"whole", []string{get("/1")}, "1"},
		{"in parts", []string{"POST /1 HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nContent-", "Length: 4\r\n\r\n", "body"}, "1body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			drain := make(chan func(), 1)
			read := make(chan struct{}, len(c.parts))
			listener, watched := startWatched(t, func(x *http1.Exchange) {
				x.Respond(http1.Response{Status: 200, Body: []byte(x.ID + string(x.Body))})
			}, http1.RequestLimits{}, func(_ *watchedConn, bytes int) {
				if bytes == 0 {
					return
				}
				select {
				case stop := <-drain:
					stop()
				default:
				}
				read <- struct{}{}
			})
			drain <- listener.Drain
			caller := dial(t, watched.Addr().String())
			for _, part := range c.parts {
				_, err := io.WriteString(caller, part)
				require.NoError(t, err)
				<-read
			}
			status, body, closes := readResponse(t, bufio.NewReader(caller))
			require.Equal(t, 200, status)
			require.Equal(t, c.body, body)
			require.True(t, closes)
		})
	}
}

// Guards against a stop that discards what callers send behind a response which was begun
// before and does not say that the connection closes.
func TestStopDuringResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// behind is true when another request is sent after the stop.
		behind bool
	}{{"with a request behind it", true}, {"without", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			in, out := io.Pipe()
			read := make(chan struct{}, 2)
			listener, watched := startWatched(t, func(x *http1.Exchange) {
				r := http1.Response{Status: 200, Body: []byte(x.ID)}
				if x.ID == "1" {
					r.Rest, r.Length = in, int64(len(x.ID+"-rest"))
				}
				x.Respond(r)
			}, http1.RequestLimits{}, func(_ *watchedConn, bytes int) {
				if bytes > 0 {
					read <- struct{}{}
				}
			})
			caller := dial(t, watched.Addr().String())
			_, err := io.WriteString(caller, get("/1"))
			require.NoError(t, err)
			<-read
			responses := bufio.NewReader(caller)
			_, err = responses.Peek(1)
			require.NoError(t, err)
			listener.Drain()
			if c.behind {
				_, err = io.WriteString(caller, get("/2"))
				require.NoError(t, err)
				<-read
			}
			_, err = io.WriteString(out, "-rest")
			require.NoError(t, err)
			require.NoError(t, out.Close())
			status, body, closes := readResponse(t, responses)
			require.Equal(t, 200, status)
			require.Equal(t, "1-rest", body)
			require.False(t, closes)
			if c.behind {
				status, body, closes = readResponse(t, responses)
				require.Equal(t, 200, status)
				require.Equal(t, "2", body)
				require.True(t, closes)
			}
			_, err = responses.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against an idle timeout that counts the time of a response, and so closes the
// connection of a caller that may still use it.
func TestIdleTimeoutBeginsAfterTheResponse(t *testing.T) {
	t.Parallel()
	const idle = 400 * time.Millisecond
	responding := make(chan time.Time, 1)
	_, watched := startWatched(t, func(x *http1.Exchange) {
		time.Sleep(idle * 3 / 4)
		responding <- time.Now()
		x.Respond(http1.Response{Status: 200})
	}, http1.RequestLimits{IdleTimeout: idle}, nil)
	caller := dial(t, watched.Addr().String())
	_, err := io.WriteString(caller, get("/1"))
	require.NoError(t, err)
	conn := <-watched.accepted
	require.GreaterOrEqual(t, (<-conn.sendingEnded).Sub(<-responding), idle)
}
