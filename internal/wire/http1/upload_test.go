package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// startServer starts a server that calls serve for each connection and closes it then.
func startServer(t *testing.T, serve func(c *net.TCPConn)) string {
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
				serve(c)
			}()
		}
	}()

	return l.Addr().String()
}

// Guards against a part of a body that looks whole: a server answers a long upload at once,
// without a length, and resets the connection while the upload is being written. The kernel
// reports a reset once, so the writer may take the error, and the reader sees an orderly end.
func TestResetDuringUploadEndsNoBody(t *testing.T) {
	t.Parallel()
	const tries = 33
	for _, part := range []int{1, 1 << 10, 300 << 10} {
		for _, upload := range []int{40 << 10, 8 << 20} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d of %d, reused: %t", part, upload, reused), func(t *testing.T) {
					t.Parallel()
					address := startResettingServer(t, part, reused)
					p := http1.NewPool(testNames, testResponseMemory)
					whole := 0
					for i := range tries {
						if reused {
							require.Equal(t, http1.Answered, do(t, p, address, "first").Outcome)
						}
						if isWhole(t, p, address, fmt.Sprint(i), make([]byte, upload)) {
							whole++
						}
					}
					require.EqualValues(t, tries, p.Opened())
					require.Zero(t, whole, "parts taken for a whole body, of %d", tries)
				})
			}
		}
	}
}

// startResettingServer starts a server that answers a request with a body at once, with a part
// of a body without a length, and resets the connection. If reused is true, it answers another
// request on the connection before.
func startResettingServer(t *testing.T, part int, reused bool) string {
	t.Helper()

	return startServer(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if reused {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, okResponse, r.Header.Get("Request-Id"))
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n%s", r.Header.Get("Request-Id"), strings.Repeat("x", part))
		_ = c.SetLinger(0)
	})
}

// isWhole reports whether the response to a request with a body seems to be whole.
func isWhole(t *testing.T, p *http1.Pool, address, id string, body []byte) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	r := request(id)
	r.Method, r.Body = http.MethodPost, body
	result := p.Do(ctx, http1.Target{Instance: "i", Address: address}, r)
	defer result.Release()
	if result.Err != nil || result.Response.Rest == nil {
		return result.Err == nil
	}
	_, err := io.Copy(io.Discard, result.Response.Rest)

	return err == nil
}

// Guards against an answer without a length that is lost although the server took the whole
// upload, before or after it answered.
func TestUploadMayOutliveTheResponse(t *testing.T) {
	t.Parallel()
	for _, answerFirst := range []bool{false, true} {
		address := startServer(t, func(c *net.TCPConn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			answer := func() {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nwhole", r.Header.Get("Request-Id"))
				_ = c.CloseWrite()
			}
			if answerFirst {
				answer()
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !answerFirst {
				answer()
			}
		})
		require.True(t, isWhole(t, http1.NewPool(testNames, testResponseMemory), address, "1", make([]byte, 8<<20)))
	}
}
