package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// startBrokenServer starts a server that answers the first goodAnswers requests with
// okResponse and then one with broken, after which it closes the connection, or resets it if
// reset is true. It does so on every connection; "%s" stands for the request's identifier.
func startBrokenServer(t *testing.T, goodAnswers int, broken string, reset bool) string {
	t.Helper()

	return startServer(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if n < goodAnswers {
				_, _ = fmt.Fprintf(c, okResponse, r.Header.Get("Request-Id"))

				continue
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(broken, "%s", r.Header.Get("Request-Id")))
			if reset {
				_ = c.SetLinger(0)
			}

			return
		}
	})
}

// describe returns the outcome of an attempt and, if it was answered, what the caller gets.
func describe(result http1.Result) string {
	defer result.Release()
	if result.Err != nil {
		return result.Outcome.String()
	}

	return fmt.Sprintf("%s %d %q", result.Outcome, result.Response.Status, result.Response.Body)
}

// outcomes returns what becomes of a broken response on a new connection, on a reused one and
// as the response of the health path.
func outcomes(t *testing.T, broken string, reset bool) string {
	t.Helper()
	p := http1.NewPool(testNames, testResponseMemory)
	fresh := describe(do(t, p, startBrokenServer(t, 0, broken, reset), "1"))
	address := startBrokenServer(t, 1, broken, reset)
	require.Equal(t, http1.Answered, do(t, p, address, "1").Outcome)
	reused := describe(do(t, p, address, "2"))
	require.EqualValues(t, 2, p.Opened(), "the second request must use the connection of the first")
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	health, err := p.Probe(ctx, http1.Target{Address: startBrokenServer(t, 0, broken, reset)}, "/health")
	probe := "failed"
	if err == nil {
		probe = fmt.Sprintf("healthy: %t", health.Healthy)
	}
	if fresh != reused {
		return fmt.Sprintf("new: %s, reused: %s, probe: %s", fresh, reused, probe)
	}

	return fmt.Sprintf("%s, probe: %s", fresh, probe)
}

// Guards against a response that is broken and reaches the caller as an answer: with a field
// that the server did not send, or with a body that ends elsewhere than the server's. The
// data file holds the responses, as text of a Go string.
func TestBrokenResponsesAreRefused(t *testing.T) {
	t.Parallel()
	datadriven.RunTest(t, "testdata/broken-responses", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		broken, err := strconv.Unquote(`"` + strings.ReplaceAll(d.Input, "\n", "") + `"`)
		require.NoError(t, err)

		return outcomes(t, broken, false) + "\n"
	})
}

// Guards against a response whose server stops in the middle of the head and that reaches the
// caller as an answer with a short body or none.
func TestHeadsThatStopAreRefused(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"
	for end := range len(head) {
		for _, reset := range []bool{false, true} {
			require.Equal(t, "unknown, probe: failed", outcomes(t, head[:end], reset), "after %q, reset: %t", head[:end], reset)
		}
	}
	require.Equal(t, `answered 200 "", probe: healthy: true`, outcomes(t, head, false))
}
