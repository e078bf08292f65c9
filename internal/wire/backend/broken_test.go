package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startRawServer starts a server that writes response to each request, of which it reads the
// head, and closes the connection, or resets it if reset is true.
func startRawServer(t *testing.T, response string, reset bool) (address string) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				if reset {
					_ = c.SetLinger(0)
				}
			}()
		}
	}()

	return l.Addr().String()
}

// exchange sends a request with a body and returns the status and body of the response. It
// fails if the response is not whole.
func exchange(t *testing.T, transport *Transport, address string, body []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	require.NoError(t, err)
	resp, _, err := transport.Do(req, func() {}, cancel)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)

	return fmt.Sprintf("%d %q", resp.StatusCode, content), err
}

// Guards against a response with a broken head that reaches the caller as an answer, or that
// passes for a probe.
func TestBrokenHeadsAreRefused(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX A: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x7fA: b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: b\x00\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			transport, address := NewTransport(), startRawServer(t, head+"ok", false)
			got, err := exchange(t, transport, address, nil)
			require.Error(t, err, got)
			_, healthy, _ := transport.Probe(t.Context(), address)
			require.False(t, healthy)
		})
	}
	got, err := exchange(t, NewTransport(), startRawServer(t, "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", false), nil)
	require.NoError(t, err)
	require.Equal(t, `200 "ok"`, got)
}

// Guards against a response whose server stops in the middle of the head and that counts as
// an answer.
func TestHeadsThatStopAreRefused(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"
	for end := range len(head) {
		for _, reset := range []bool{false, true} {
			transport, address := NewTransport(), startRawServer(t, head[:end], reset)
			got, err := exchange(t, transport, address, nil)
			require.Error(t, err, "after %q, reset: %t: %s", head[:end], reset, got)
			_, healthy, _ := transport.Probe(t.Context(), address)
			require.False(t, healthy, "after %q, reset: %t", head[:end], reset)
		}
	}
}

// Guards against a part of a body that looks whole: a server answers a long upload at once,
// without a length, and resets the connection while the upload is being written. The kernel
// reports a reset once, so the writer may take the error, and the reader sees an orderly end.
func TestResetDuringUploadEndsNoBody(t *testing.T) {
	t.Parallel()
	const tries = 33
	for _, part := range []int{1, 1 << 10, 300 << 10} {
		address := startRawServer(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part), true)
		transport, whole := NewTransport(), 0
		for range tries {
			if _, err := exchange(t, transport, address, make([]byte, 8<<20)); err == nil {
				whole++
			}
		}
		assert.Zero(t, whole, "parts of %d bytes taken for a whole body, of %d", part, tries)
	}
}
