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

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// endlessBytes is how much an endless response has at the most. It is far more than
	// the socket buffers of both sides hold.
	endlessBytes = 64 << 20
	// attemptTime bounds an attempt on an endless response.
	attemptTime = 3 * time.Second
)

// startEndlessServer starts a server that responds to one request with a text, "%s" in it
// being the request's identifier, and then with a piece over and over. It reports whether
// the connection was closed before endlessBytes were written.
func startEndlessServer(t *testing.T, text, piece string) (address string, closedEarly chan bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closedEarly = make(chan bool, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			closedEarly <- false

			return
		}
		_, err = io.WriteString(c, strings.ReplaceAll(text, "%s", r.Header.Get("Request-Id")))
		block := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
		for written := 0; err == nil && written < endlessBytes; written += len(block) {
			_, err = c.Write(block)
		}
		closedEarly <- err != nil
	}()

	return l.Addr().String(), closedEarly
}

// Guards against a server in trouble that sends bytes without end: an attempt or a probe
// must read a bounded part of them, close the connection and count the request as one
// that may have run. The data file holds the responses.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	t.Parallel()
	unescape := strings.NewReplacer("\n", "", `\r`, "\r", `\n`, "\n")
	datadriven.RunTest(t, "testdata/endless", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		var piece string
		d.ScanArgs(t, "piece", &piece)
		address, closedEarly := startEndlessServer(t, unescape.Replace(d.Input), unescape.Replace(piece))
		ctx, cancel := context.WithTimeout(t.Context(), attemptTime)
		defer cancel()
		target, p := http1.Target{Instance: "i", Address: address}, http1.NewPool(testNames, testResponseMemory)
		var out string
		if d.Cmd == "probe" {
			_, err := p.Probe(ctx, target, "/health")
			out = fmt.Sprintf("failed: %t", err != nil)
		} else {
			result := p.Do(ctx, target, request("1"))
			out = fmt.Sprintf("%s, timed out: %t", result.Outcome, result.TimedOut)
			if result.Response.Rest != nil {
				n, err := io.Copy(io.Discard, io.LimitReader(result.Response.Rest, 1<<20))
				require.NoError(t, err)
				require.NoError(t, result.Response.Rest.Close())
				out += fmt.Sprintf(", streamed: %t", n == 1<<20)
			}
		}

		early := false
		select {
		case early = <-closedEarly:
		case <-time.After(testWait):
			// The server has got no connection.
		}

		return fmt.Sprintf("%s, closed early: %t\n", out, early)
	})
}

// Guards against a late copy of an earlier response that counts as "not run" for the next
// request on the connection: without an identifier it may belong to any request.
func TestLateResponseWithoutIdentifierIsNotUsed(t *testing.T) {
	t.Parallel()
	const late = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	address, _ := startScriptedServer(t, []string{okResponse, late + okResponse})
	p := http1.NewPool(testNames, testResponseMemory)
	require.Equal(t, http1.Answered, do(t, p, address, "1").Outcome)
	result := do(t, p, address, "2")
	require.Equal(t, http1.Answered, result.Outcome, "%v", result.Err)
	require.Equal(t, "ok", string(result.Response.Body))
}

// Guards against a request without an identifier that gets a late response to another
// one: it uses a connection of its own.
func TestRequestWithoutIdentifierUsesItsOwnConnection(t *testing.T) {
	t.Parallel()
	const noID = "HTTP/1.1 400 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	address, _ := startScriptedServer(t, []string{okResponse}, []string{noID}, []string{noID})
	p := http1.NewPool(testNames, testResponseMemory)
	require.Equal(t, http1.Answered, do(t, p, address, "1").Outcome)
	require.Equal(t, http1.NotRun, do(t, p, address, "").Outcome)
	require.Equal(t, http1.NotRun, do(t, p, address, "").Outcome)
	require.EqualValues(t, 3, p.Opened())
}

// Guards against the rest of a long response to another request that is read as a
// response of its own.
func TestBodyOfAnotherResponseIsNotReadAsResponse(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 256<<10)
	address, _ := startScriptedServer(t, []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: %d\r\n\r\n%s", len(body)+1000, body) + okResponse,
	})
	require.Equal(t, http1.Unknown, do(t, http1.NewPool(testNames, testResponseMemory), address, "1").Outcome)
}

// Guards against responses of a leaving server, and requests for a pause, that are not
// recognised.
func TestLeavingAndPauseAreRecognised(t *testing.T) {
	t.Parallel()
	address, _ := startScriptedServer(t, []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nRequest-Id: %s\r\nNot-Run: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 No\r\nRequest-Id: %s\r\nInstance: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	})
	p := http1.NewPool(testNames, testResponseMemory)
	result := do(t, p, address, "1")
	require.True(t, result.Leaving)
	require.Equal(t, time.Duration(0), result.PauseFor.Or(0))
	result = do(t, p, address, "2")
	require.False(t, result.Leaving)
	require.Equal(t, http1.NotRun, result.Outcome)
	require.Equal(t, 1500*time.Millisecond, result.PauseFor.Or(0))
	require.False(t, do(t, p, address, "3").Leaving, "another server at the address is leaving")
}
