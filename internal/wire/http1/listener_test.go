package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// testWait bounds every wait of these tests.
const testWait = 10 * time.Second

// testBodyMemory is the memory for bodies of a listener, in bytes.
const testBodyMemory = 4 << 20

// testResponseMemory is the memory for responses of a pool, in bytes.
const testResponseMemory = 4 << 20

var testNames = http1.Names{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ObjectCookie: "object", ExpectInstance: "Expect-Instance",
	NotRun: "Not-Run", Leaving: "Leaving", Load: "Load", Instance: "Instance", ColdMillis: "Cold-Ms",
}

// handlerFunc adapts a function to http1.Handler.
type handlerFunc func(x *http1.Exchange)

func (f handlerFunc) Serve(x *http1.Exchange) { f(x) }

// startListener serves h and returns the listener and its address.
func startListener(t *testing.T, h handlerFunc, limits http1.RequestLimits) (*http1.Listener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := http1.NewListener(testNames, h, func() http1.RequestLimits { return limits }, testBodyMemory)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = listener.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})

	return listener, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testWait)))
	t.Cleanup(func() { _ = c.Close() })

	return c
}

// get returns a request whose identifier is the path without the slash.
func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\nRequest-Id: " + path[1:] + "\r\n\r\n"
}

// readResponse returns the status, the body, and whether the connection closes after the
// response.
func readResponse(t *testing.T, in *bufio.Reader) (int, string, bool) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return resp.StatusCode, string(body), resp.Close
}

// Guards against pipelined requests that wait for each other, and against responses that
// are written in the order in which the requests end.
func TestPipelinedRequestsRunTogetherAndAnswerInOrder(t *testing.T) {
	t.Parallel()
	second := make(chan struct{})
	_, address := startListener(t, func(x *http1.Exchange) {
		if x.Target == "/1" {
			<-second
		} else {
			close(second)
		}
		x.Respond(http1.Response{Status: 200, Body: []byte(x.ID)})
	}, http1.RequestLimits{})
	c := dial(t, address)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	require.NoError(t, err)
	in := bufio.NewReader(c)
	for _, want := range []string{"1", "2"} {
		status, body, _ := readResponse(t, in)
		require.Equal(t, 200, status)
		require.Equal(t, want, body)
	}
}

// Guards against a crash when a caller leaves with several requests in flight and these
// requests end in another order than they arrived.
func TestCallerLeavesWithRequestsInFlight(t *testing.T) {
	t.Parallel()
	const requests = 8
	var started, ended sync.WaitGroup
	started.Add(requests)
	ended.Add(requests)
	_, address := startListener(t, func(x *http1.Exchange) {
		defer ended.Done()
		started.Done()
		<-x.CallerLeft()
		x.Abort()
	}, http1.RequestLimits{})
	c := dial(t, address)
	for i := range requests {
		_, err := io.WriteString(c, get(fmt.Sprintf("/%d", i)))
		require.NoError(t, err)
	}
	started.Wait()
	require.NoError(t, c.Close())
	ended.Wait()
}

// Guards against a planned stop that drops requests. Requests that were read must be
// answered, the last response must close the connection, and idle connections must be
// closed at once.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}), make(chan struct{})
	listener, address := startListener(t, func(x *http1.Exchange) {
		close(started)
		<-release
		x.Respond(http1.Response{Status: 200, Body: []byte("whole")})
	}, http1.RequestLimits{})
	busy, idle := dial(t, address), dial(t, address)
	_, err := io.WriteString(busy, get("/1"))
	require.NoError(t, err)
	<-started
	listener.Drain()
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(release)
	status, body, closes := readResponse(t, bufio.NewReader(busy))
	require.Equal(t, 200, status)
	require.Equal(t, "whole", body)
	require.True(t, closes)
}

// Guards against requests that are passed on with another body than was sent, and against
// wrong statuses for requests that are malformed or exceed the limits.
func TestBodiesAreReadWhole(t *testing.T) {
	t.Parallel()
	_, address := startListener(t, func(x *http1.Exchange) {
		x.Respond(http1.Response{Status: 200, Body: x.Body})
	}, http1.RequestLimits{BodyBytes: 10, HeaderBytes: 4096})
	for _, c := range []struct {
		name, request string
		status        int
		body          string
	}{
		{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", 200, "hello"},
		{"too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world", 413, ""},
		{"chunks too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n", 413, ""},
		{"header too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", 431, ""},
		{"no request", "nonsense\r\n\r\n", 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.request)
			require.NoError(t, err)
			status, body, _ := readResponse(t, bufio.NewReader(conn))
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
		})
	}
}

// Guards against bodies that fill the memory: a request whose body does not fit is refused
// without its body being read, and the next one is served once there is room again.
func TestBodiesThatDoNotFitAreRefused(t *testing.T) {
	t.Parallel()
	const size = testBodyMemory / 4
	started, release := make(chan struct{}, 8), make(chan struct{})
	_, address := startListener(t, func(x *http1.Exchange) {
		if x.BodyRefused {
			x.Respond(http1.Response{Status: 503})

			return
		}
		started <- struct{}{}
		<-release
		x.Respond(http1.Response{Status: 200, Body: fmt.Appendf(nil, "%d", len(x.Body))})
	}, http1.RequestLimits{})
	post := func(header, body string) net.Conn {
		c := dial(t, address)
		go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+header+"\r\n\r\n"+body) }()

		return c
	}
	body := strings.Repeat("x", size)
	withLength := func() net.Conn { return post(fmt.Sprintf("Content-Length: %d", size), body) }
	var held []net.Conn
	for range 4 {
		held = append(held, withLength())
		<-started
	}
	for _, c := range []net.Conn{
		withLength(),
		post("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)),
		// The body never comes: the refusal does not wait for it.
		post(fmt.Sprintf("Content-Length: %d", 1<<40), ""),
		// The sum of the lengths is greater than an int64 holds.
		post(fmt.Sprintf("Content-Length: %d", math.MaxInt64), ""),
	} {
		status, _, closes := readResponse(t, bufio.NewReader(c))
		require.Equal(t, 503, status)
		require.True(t, closes)
	}
	close(release)
	for _, c := range held {
		status, got, _ := readResponse(t, bufio.NewReader(c))
		require.Equal(t, 200, status)
		require.Equal(t, fmt.Sprint(size), got)
	}
	require.Eventually(t, func() bool {
		status, _, _ := readResponse(t, bufio.NewReader(withLength()))

		return status == 200
	}, testWait, 10*time.Millisecond, "the memory of bodies is not released")
}

// Guards against a header without end before there is a configuration with a limit.
func TestHeaderIsLimitedWithoutConfiguration(t *testing.T) {
	t.Parallel()
	_, address := startListener(t, func(x *http1.Exchange) { x.Respond(http1.Response{Status: 200}) }, http1.RequestLimits{})
	c := dial(t, address)
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX: ")
		for err := error(nil); err == nil; {
			_, err = io.WriteString(c, strings.Repeat("x", 64<<10))
		}
	}()
	status, _, closes := readResponse(t, bufio.NewReader(c))
	require.Equal(t, 431, status)
	require.True(t, closes)
}

// Guards against work that goes on after the caller has left. The caller asks for its
// connection to be closed after the response, and leaves before the response.
func TestCallerLeavesAfterItsLastRequest(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	started := make(chan struct{})
	_, address := startListener(t, func(x *http1.Exchange) {
		close(started)
		<-x.CallerLeft()
		close(gone)
		x.Abort()
	}, http1.RequestLimits{})
	c := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	<-started
	require.NoError(t, c.Close())
	select {
	case <-gone:
	case <-time.After(testWait):
		require.Fail(t, "the caller's leaving was not noticed")
	}
}

// Guards against 100 Continue in the middle of the response to an earlier request, and
// against a caller that waits for it for ever.
func TestContinueWaitsForEarlierResponses(t *testing.T) {
	t.Parallel()
	first, rest := strings.Repeat("a", 1000), strings.Repeat("b", 1000)
	reading, writeRest := make(chan struct{}), make(chan struct{})
	_, address := startListener(t, func(x *http1.Exchange) {
		if x.ID == "long" {
			in, out := io.Pipe()
			go func() {
				close(reading)
				<-writeRest
				_, _ = io.WriteString(out, rest)
				_ = out.Close()
			}()
			x.Respond(http1.Response{Status: 200, Body: []byte(first), Rest: in, Length: int64(len(first + rest))})

			return
		}
		x.Respond(http1.Response{Status: 200, Body: x.Body})
	}, http1.RequestLimits{})
	c := dial(t, address)
	_, err := io.WriteString(c, get("/long")+"POST /2 HTTP/1.1\r\nHost: a\r\nRequest-Id: 2\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(c)
	<-reading
	// The header and the first part are written; what follows must be the rest.
	_, err = in.Peek(len(first))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(writeRest)
	status, body, _ := readResponse(t, in)
	require.Equal(t, 200, status)
	require.Equal(t, first+rest, body)
	status, _, _ = readResponse(t, in)
	require.Equal(t, http.StatusContinue, status)
	_, err = io.WriteString(c, "body")
	require.NoError(t, err)
	status, body, _ = readResponse(t, in)
	require.Equal(t, 200, status)
	require.Equal(t, "body", body)
}
