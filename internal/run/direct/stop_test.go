package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/run/direct"
)

// stopGrace is the grace period of these tests; it is shorter than the route's timeout.
const stopGrace = 2 * time.Second

// stopping starts the planned stop of an entry VM, waits until the stop has begun, and
// returns a channel that is closed when the process may end. The process ends then.
func stopping(t *testing.T, e *runningEntryVM) <-chan struct{} {
	t.Helper()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop(context.Background())
		e.end()
	}()
	require.Eventually(t, func() bool { return e.logs.FilterMessage("stop requested").Len() > 0 }, waitTimeout, time.Millisecond)

	return stopped
}

// connect opens a connection to an entry VM and sends text.
func connect(t *testing.T, e *runningEntryVM, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)

	return c, bufio.NewReader(c)
}

// readBody reads a response and returns it with its body.
func readBody(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return resp, string(body)
}

// Guards against a planned stop that drops a response which is ready and waits behind a
// request that takes longer than the grace period.
func TestStopDeliversResponsesBehindSlowRequest(t *testing.T) {
	t.Parallel()
	begun := make(chan string, 2)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		if r.URL.Path == "/read/slow" {
			<-r.Context().Done()

			return
		}
		ok(w, r)
	})
	d := newDeployment(s.listed("server", "z1"))
	// Only the stop can end the slow request while the test waits.
	d.routeTimeout = 2 * waitTimeout
	e := startEntryVM(t, d, "127.0.0.41", stopGrace)
	waitUntilReady(t, e)
	get := func(id string) string {
		return "GET /read/" + id + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\n\r\n"
	}
	_, in := connect(t, e, get("slow")+get("quick"))
	<-begun
	<-begun
	// The quick response is in the entry VM's memory when its attempt has ended.
	require.Eventually(t, func() bool { return e.logs.FilterMessage("request ended").Len() > 0 }, waitTimeout, time.Millisecond)
	stopped := stopping(t, e)
	resp, _ := readBody(t, in)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	resp, body := readBody(t, in)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "quick", resp.Header.Get(names.RequestID))
	require.Equal(t, "whole", body)
	<-stopped
}

// Guards against a request whose upload ends after the stop was requested, and which
// reaches a server so late that the end of the process breaks it off. It may not be
// repeated, so its caller could not find out whether it ran.
func TestStopRefusesRequestThatMayNotEndInTime(t *testing.T) {
	t.Parallel()
	s := newServer(t, ok)
	e := startEntryVM(t, newDeployment(s.listed("server", "z1")), "127.0.0.42", stopGrace)
	waitUntilReady(t, e)
	body := strings.Repeat("x", 1000)
	c, in := connect(t, e, "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nContent-Length: 1000\r\n\r\n"+body[:500])
	// The entry VM answers a second connection, so it has read from the first one.
	resp, _ := sendRequest(t, e.address, http.MethodGet, "/read/1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	stopped := stopping(t, e)
	_, err := io.WriteString(c, body[500:])
	require.NoError(t, err)
	resp, _ = readBody(t, in)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close, "the connection closes after the response")
	<-stopped
	require.EqualValues(t, 1, s.runs.Load(), "only the request before the stop runs")
}

// Guards against requests on new connections that are passed on in the stop although they
// may not end in time, and against such requests that are read and get no answer.
func TestStopPassesOnNoRequestThatMayNotEndInTime(t *testing.T) {
	t.Parallel()
	s := newServer(t, ok)
	e := startEntryVM(t, newDeployment(s.listed("server", "z1")), "127.0.0.43", stopGrace)
	waitUntilReady(t, e)
	stopped := stopping(t, e)
	refused := 0
	for {
		c, err := net.Dial("tcp", e.address)
		if err != nil {
			break
		}
		_, _ = io.WriteString(c, "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.True(t, resp.Close, "the connection closes after the response")
			require.NoError(t, resp.Body.Close())
			refused++
		}
		require.NoError(t, c.Close())
		select {
		case <-stopped:
			e.end()
		default:
		}
	}
	require.Positive(t, refused)
	require.Zero(t, s.runs.Load())
	require.Zero(t, e.logs.FilterMessage("bytes of a caller discarded").Len())
}

// Guards against a stop that turns callers away while their lookups still name the entry VM.
func TestStopServesAsLongAsLookupsHold(t *testing.T) {
	t.Parallel()
	s := newServer(t, ok)
	e := startEntryVMWith(t, newDeployment(s.listed("server", "z1")), "127.0.0.47", func(s *direct.Settings) {
		s.LookupTTL, s.GracePeriod = 3*time.Second, waitTimeout
	})
	waitUntilReady(t, e)
	get := "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\n\r\n"
	kept, in := connect(t, e, get)
	resp, _ := readBody(t, in)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.False(t, resp.Close)
	unused, _ := connect(t, e, "")
	stopped := stopping(t, e)
	_, err := io.WriteString(kept, get)
	require.NoError(t, err)
	_, inNew := connect(t, e, get)
	for _, in := range []*bufio.Reader{in, inNew} {
		resp, body := readBody(t, in)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "whole", body)
		require.True(t, resp.Close, "the connection closes after the response")
		_, err = in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	_, err = unused.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	<-stopped
	require.EqualValues(t, 3, s.runs.Load())
}

// Guards against a process that ends while callers may still use the lookups that named it:
// they would find nobody at its address.
func TestStopListensAsLongAsLookupsHold(t *testing.T) {
	t.Parallel()
	s := newServer(t, ok)
	e := startEntryVM(t, newDeployment(s.listed("server", "z1")), "127.0.0.44", stopGrace)
	waitUntilReady(t, e)
	start := time.Now()
	<-stopping(t, e)
	require.GreaterOrEqual(t, time.Since(start), lookupTTL)
}
