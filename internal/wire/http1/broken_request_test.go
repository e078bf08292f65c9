package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// passedOn returns the statuses that a caller gets for what it sends on one connection, and the
// requests that are passed on, each with its body. Another request, for the path /after, comes
// with it and asks for the connection to be closed.
func passedOn(t *testing.T, text string) string {
	t.Helper()
	var mu sync.Mutex
	var requests []string
	_, address := startListener(t, func(x *http1.Exchange) {
		mu.Lock()
		requests = append(requests, fmt.Sprintf("%s %s %q", x.Method, x.Target, x.Body))
		mu.Unlock()
		x.Respond(http1.Response{Status: http.StatusOK})
	}, http1.RequestLimits{})
	c := dial(t, address)
	_, err := io.WriteString(c, text+"GET /after HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	in := bufio.NewReader(c)
	var out strings.Builder
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)

			break
		}
		require.NoError(t, resp.Body.Close())
		fmt.Fprintf(&out, "%d\n", resp.StatusCode)
	}
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(requests)
	for _, r := range requests {
		out.WriteString(r + "\n")
	}

	return out.String()
}

// Guards against a request that is passed on without the body that its caller sent, or whose
// body is passed on as another request, because the server or net/http sees a field that the
// other does not. The data file holds what callers send, as text of a Go string.
func TestBrokenRequestsAreRefused(t *testing.T) {
	t.Parallel()
	datadriven.RunTest(t, "testdata/broken-requests", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		text, err := strconv.Unquote(`"` + strings.ReplaceAll(d.Input, "\n", "") + `"`)
		require.NoError(t, err)
		const before = "GET /before HTTP/1.1\r\nHost: a\r\n\r\n"
		alone := passedOn(t, text)
		// The caller sends the two in one packet, so that the head is read with the request before.
		require.Equal(t, []string{"200", "GET /before \"\""}, without(passedOn(t, before+text), alone))

		return alone
	})
}

// without returns the lines of a text that are not in another one.
func without(text, other string) []string {
	left := strings.Split(strings.TrimSpace(text), "\n")
	for line := range strings.Lines(other) {
		for i := len(left) - 1; i >= 0; i-- {
			if left[i] == strings.TrimSpace(line) {
				left = append(left[:i], left[i+1:]...)

				break
			}
		}
	}

	return left
}
