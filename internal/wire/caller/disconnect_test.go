package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// dialRequestListener opens a connection to the request listener and writes raw bytes.
func dialRequestListener(t *testing.T, e *entryVM, raw string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.requestServer.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, raw)
	require.NoError(t, err)

	return c
}

// Guards against a caller that does not read its response. Its request must not occupy a
// slot of a backend server beyond the deadline.
func TestSlowReaderIsCutOff(t *testing.T) {
	t.Parallel()
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		chunk := make([]byte, 1<<20)
		for r.Context().Err() == nil {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	s := newScriptedReducer(newConfig(address), sendToBackend)
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	dialRequestListener(t, e, "GET / HTTP/1.1\r\nHost: booking\r\nGreengagetally-Timeout: 300\r\n\r\n")
	result := s.waitForResults(t, 1)[1]
	require.Contains(t, []event.Result{event.ResultTimeout, event.ResultCanceled}, result)
}

// Guards against a caller that stalls while it sends its body. Its request must not
// occupy a slot of a backend server beyond the deadline, and the backend server must not
// take a part of the body for the whole.
func TestSlowWriterIsCutOff(t *testing.T) {
	t.Parallel()
	bodyErrors := make(chan error, 1)
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		bodyErrors <- err
	})
	for _, framing := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		s := newScriptedReducer(newConfig(address), sendToBackend)
		e := startEntry(t, "entry-1", "a", s, nil, nil)
		part := strings.Repeat("x", 100_000)
		if strings.HasPrefix(framing, "Transfer") {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		dialRequestListener(t, e, "POST / HTTP/1.1\r\nHost: booking\r\nGreengagetally-Timeout: 300\r\n"+framing+"\r\n\r\n"+part)
		require.NotEqual(t, event.ResultComplete, s.waitForResults(t, 1)[1])
		require.Error(t, <-bodyErrors)
	}
}

// Guards against a request that goes on running after its caller has closed the
// connection.
func TestCallerGoneEndsAttempt(t *testing.T) {
	t.Parallel()
	running := make(chan struct{})
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		// A server notices that its client is gone only after it read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	})
	s := newScriptedReducer(newConfig(address), sendToBackend)
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	c := dialRequestListener(t, e, "POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: 1\r\n\r\nx")
	<-running
	require.NoError(t, c.Close())
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultCanceled}, s.waitForResults(t, 1))
	require.Eventually(t, func() bool {
		return s.hasEvent(func(ev event.Event) bool {
			_, ok := ev.(event.CallerDisconnected)

			return ok
		})
	}, 10*time.Second, time.Millisecond)
}
