package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/broken"
)

// startBroken starts a server that writes response to each request and ends the connection.
func startBroken(t *testing.T, response string, end broken.End) (address string) {
	t.Helper()
	address, stop, err := broken.Start(broken.Always(response, end))
	require.NoError(t, err)
	t.Cleanup(stop)

	return address
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

// Guards against a broken response that reaches the caller as an answer, or that passes for a
// probe. A probe does not need the body of the health path, but its length.
func TestBrokenResponsesAreRefused(t *testing.T) {
	t.Parallel()
	for name, response := range broken.Responses("", "ok") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport, address := NewTransport(), startBroken(t, response, broken.Close)
			got, err := exchange(t, transport, address, nil)
			require.Error(t, err, got)
			_, healthy, _ := transport.Probe(t.Context(), address)
			require.False(t, healthy)
		})
	}
	got, err := exchange(t, NewTransport(), startBroken(t, "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", broken.Close), nil)
	require.NoError(t, err)
	require.Equal(t, `200 "ok"`, got)
}

// Guards against a response whose server stops in the middle of the head and that counts as
// an answer.
func TestHeadsThatStopAreRefused(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"
	for end := range len(head) {
		for _, how := range []broken.End{broken.Close, broken.Reset} {
			transport, address := NewTransport(), startBroken(t, head[:end], how)
			got, err := exchange(t, transport, address, nil)
			require.Error(t, err, "after %q, end %d: %s", head[:end], how, got)
			_, healthy, _ := transport.Probe(t.Context(), address)
			require.False(t, healthy, "after %q, end %d", head[:end], how)
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
		address := startBroken(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part), broken.Reset)
		transport, whole := NewTransport(), 0
		for range tries {
			if _, err := exchange(t, transport, address, make([]byte, 8<<20)); err == nil {
				whole++
			}
		}
		assert.Zero(t, whole, "parts of %d bytes taken for a whole body, of %d", part, tries)
	}
}
