package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// startFaultyServer starts a server that answers every request with text, in which "%s"
// stands for the request's identifier, and then with a piece over and over until the
// connection is closed or has had endlessBytes.
func startFaultyServer(tb testing.TB, text, piece string) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = l.Close() })
	block := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, err = io.WriteString(c, strings.ReplaceAll(text, "%s", r.Header.Get("Request-Id")))
				for written := 0; err == nil && written < endlessBytes; written += len(block) {
					_, err = c.Write(block)
				}
			}()
		}
	}()

	return l.Addr().String()
}

// longHead is a head of many short fields, the longest that is read.
func longHead(lines int) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n")
	for i := range lines {
		fmt.Fprintf(&head, "f%d:x\r\n", i)
	}

	return head.String()
}

// faultyResponses are responses without end that an attempt does not reject at once.
var faultyResponses = []struct{ name, text, piece string }{
	{"body", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"stated length", fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %%s\r\nContent-Length: %d\r\n\r\n", endlessBytes), "x"},
	{"long head and body", longHead(240) + "\r\n", "x"},
	{"after another response", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000) + "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x"},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: x\r\n", 200) + "\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x"},
}

// attemptAtOnce makes attempts on a server at once and returns their results.
func attemptAtOnce(tb testing.TB, p *http1.Pool, address string, attempts int) []http1.Result {
	tb.Helper()
	results := make([]http1.Result, attempts)
	var running sync.WaitGroup
	for i := range attempts {
		running.Go(func() {
			results[i] = p.Do(tb.Context(), http1.Target{Instance: "i", Address: address}, request(fmt.Sprint(i)))
		})
	}
	running.Wait()

	return results
}

// heldBytes returns the memory of the bodies, and of the heads with an estimate of 256
// bytes for a field.
func heldBytes(results []http1.Result) (bytes int) {
	for _, r := range results {
		bytes += cap(r.Response.Body) + len(r.Response.Header)<<8
	}

	return bytes
}

// Guards against an entry VM that runs out of memory, and all requests on it with it,
// because a server in trouble sends many responses without end at once.
func TestManyEndlessResponsesStayWithinMemory(t *testing.T) {
	t.Parallel()
	const attempts, limit, free = 40, 1 << 20, 24 << 10
	for _, c := range faultyResponses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := http1.NewPool(testNames, limit)
			results := attemptAtOnce(t, p, startFaultyServer(t, c.text, c.piece), attempts)
			require.LessOrEqual(t, heldBytes(results), limit+attempts*free)
			for _, r := range results {
				if r.Response.Rest != nil {
					require.NoError(t, r.Response.Rest.Close())
				}
				r.Release()
			}
			// Once they are released, a long response is held as a whole again.
			long := strings.Repeat("x", 200<<10)
			address, _ := startScriptedServer(t, []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %%s\r\nContent-Length: %d\r\n\r\n%s", len(long), long)})
			result := do(t, p, address, "1")
			require.NoError(t, result.Err)
			require.Nil(t, result.Response.Rest)
			require.Len(t, result.Response.Body, len(long))
		})
	}
}

// Guards against short responses that are not whole while a server in trouble fills the
// memory for responses.
func TestShortResponsesNeedNoMemory(t *testing.T) {
	t.Parallel()
	address, _ := startScriptedServer(t, []string{okResponse})
	result := do(t, http1.NewPool(testNames, 0), address, "1")
	require.Equal(t, http1.Answered, result.Outcome, "%v", result.Err)
	require.Equal(t, "ok", string(result.Response.Body))
	require.Nil(t, result.Response.Rest)
}

// BenchmarkEndlessResponses shows the heap while 400 responses without end are open.
func BenchmarkEndlessResponses(b *testing.B) {
	for _, c := range faultyResponses {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				p := http1.NewPool(testNames, 28<<20)
				results := attemptAtOnce(b, p, startFaultyServer(b, c.text, c.piece), 400)
				runtime.GC()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				b.ReportMetric(float64(stats.HeapAlloc)/(1<<20), "MB-heap")
				for _, r := range results {
					if r.Response.Rest != nil {
						_ = r.Response.Rest.Close()
					}
					r.Release()
				}
			}
		})
	}
}
