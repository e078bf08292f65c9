package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadStart and uploadBytes are how much of an upload its caller sends before it pauses, and
// its whole length.
const (
	uploadStart = 8 << 10
	uploadBytes = 1 << 20
)

// startPausedUpload begins an upload whose server sends a body without a length while the caller
// pauses. If readsOn is true, the server takes the rest of the upload; otherwise it closes the
// connection. It returns the response, and the writer of the rest of the upload. The end of ctx
// ends the exchange.
func startPausedUpload(ctx context.Context, t *testing.T, transport *Transport, readsOn bool) (*http.Response, *io.PipeWriter) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{})
	go func() {
		end := sync.OnceFunc(func() { close(ended) })
		defer end()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		// Closing a connection with unread bytes would reset it.
		if _, err := io.CopyN(io.Discard, r.Body, uploadStart); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		}
		if half, ok := c.(*net.TCPConn); ok && readsOn {
			_ = half.CloseWrite()
			end()
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	t.Cleanup(cancel)
	upload, caller := io.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), upload)
	require.NoError(t, err)
	req.ContentLength = uploadBytes
	go func() { _, _ = caller.Write(make([]byte, uploadStart)) }()
	resp, _, err := transport.Do(req, func() {}, cancel)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	<-ended

	return resp, caller
}

// Guards against a part of a body that looks whole: a server fails while the caller pauses in
// its upload, so that no write is in progress. As the server has read all that was sent, the
// connection ends orderly.
func TestEndDuringAPauseOfTheUploadEndsNoBody(t *testing.T) {
	t.Parallel()
	resp, caller := startPausedUpload(t.Context(), t, NewTransport(), false)
	go func() {
		_, _ = caller.Write(make([]byte, uploadBytes-uploadStart))
		_ = caller.Close()
	}()
	_, err := io.ReadAll(resp.Body)
	require.Error(t, err)
}

// Guards against an answer without a length that is lost although its server takes the upload.
func TestServerMayAnswerBeforeTheEndOfTheUpload(t *testing.T) {
	t.Parallel()
	resp, caller := startPausedUpload(t.Context(), t, NewTransport(), true)
	go func() {
		_, _ = caller.Write(make([]byte, uploadBytes-uploadStart))
		_ = caller.Close()
	}()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "part", string(body))
}

// Guards against an exchange that outlives its context, and a connection that stays open,
// because the end of a body waits for the rest of the upload.
func TestPauseOfTheUploadEndsWithTheContext(t *testing.T) {
	t.Parallel()
	transport := NewTransport()
	ctx, cancel := context.WithCancel(t.Context())
	resp, _ := startPausedUpload(ctx, t, transport, false)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Eventually(t, func() bool { return transport.OpenConnections(resp.Request.URL.Host) == 0 }, 5*time.Second, time.Millisecond)
}
