package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response whose status is no HTTP status and that reaches the caller as an
// answer.
func TestResponsesWithoutAStatusAreRefused(t *testing.T) {
	t.Parallel()
	for _, statusLine := range []string{"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 +20 OK"} {
		t.Run(statusLine, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				raw, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = raw.Close() }()
				_, _ = io.WriteString(raw, statusLine+"\r\nContent-Length: 2\r\n\r\nno")
			}))
			defer server.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			resp, _, err := NewTransport().Do(req, func() {}, cancel)
			if err == nil {
				_ = resp.Body.Close()
			}
			require.Error(t, err)
		})
	}
}

// Guards against a connection that is used again after a response without an HTTP status: what
// follows on it may belong to that response.
func TestConnectionEndsWithAResponseWithoutAStatus(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{}, 4)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				defer func() { _ = raw.Close() }()
				in := bufio.NewReader(raw)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(raw, "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	transport := NewTransport()
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		require.NoError(t, err)
		resp, _, err := transport.Do(req, func() {}, cancel)
		if err == nil {
			_ = resp.Body.Close()
		}
		require.Error(t, err)
		cancel()
	}
	require.Len(t, accepted, 2)
}

// Guards against a slot that counts as free while the backend server still runs
// a request that was given up. The server in this test notices 100 ms late that the
// connection has ended.
func TestGoneWaitsForBackendServer(t *testing.T) {
	t.Parallel()
	handlerRunning, handlerEnded := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(handlerRunning)
		<-r.Context().Done()
		time.Sleep(100 * time.Millisecond)
		close(handlerEnded)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	transport := NewTransport()
	go func() {
		<-handlerRunning
		cancel()
	}()
	resp, trip, err := transport.Do(req, func() {}, cancel)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.ErrorIs(t, err, context.Canceled)
	require.NotNil(t, trip.Abort())
	<-trip.Abort()
	select {
	case <-handlerEnded:
	default:
		require.Fail(t, "the connection counts as gone while the backend server runs the request")
	}
	address := strings.TrimPrefix(server.URL, "http://")
	require.Eventually(t, func() bool { return transport.OpenConnections(address) == 0 }, 5*time.Second, time.Millisecond)
}
