package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/port"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// startScriptedServer starts a server that sends scripted responses. Each element of
// connections holds the responses of one connection, one for each request. An empty
// response closes the connection; "%s" stands for the request's identifier. The requests
// are sent to received.
func startScriptedServer(t *testing.T, connections ...[]string) (address string, received chan *http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	received = make(chan *http.Request, 16)
	go func() {
		for _, responses := range connections {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for _, response := range responses {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.ReadAll(r.Body); err != nil {
						return
					}
					received <- r
					if response == "" {
						return
					}
					if _, err := io.WriteString(c, fmt.Sprintf(response, r.Header.Get("Request-Id"))); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()

	return l.Addr().String(), received
}

func request(id string) *http1.Request {
	return &http1.Request{Method: http.MethodGet, Target: "/a/b?c=%20", Host: "host", ID: id, Header: http.Header{"Request-Id": {id}}}
}

func do(t *testing.T, p *http1.Pool, address, id string) http1.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()

	return p.Do(ctx, http1.Target{Instance: "i", Address: address}, request(id))
}

const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\nLoad: 3,1,6,150\r\n\r\nok"

// Guards against a response that is returned for another request, a truncated response
// that counts as complete, and an attempt that counts as "not run" although the server
// did not say so.
func TestAttemptOutcomes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		response string
		outcome  http1.Outcome
		body     string
	}{
		{"whole", okResponse, http1.Answered, "ok"},
		{"chunks", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http1.Answered, "ok"},
		{"after another's answer", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad" + okResponse, http1.Answered, "ok"},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, http1.Answered, "ok"},
		{"truncated", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", http1.Unknown, ""},
		{"no answer", "", http1.Unknown, ""},
		{"no protocol", "nonsense %s\r\n\r\n", http1.Unknown, ""},
		{"status 000", "HTTP/1.1 000 None\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", http1.Unknown, ""},
		{"answer after status 000", "HTTP/1.1 000 None\r\n\r\n" + okResponse, http1.Unknown, ""},
		{"answer after status 099", "HTTP/1.1 099 None\r\n\r\n" + okResponse, http1.Unknown, ""},
		{"status with a sign", "HTTP/1.1 +20 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", http1.Unknown, ""},
		{"status with two digits", "HTTP/1.1 20 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", http1.Unknown, ""},
		{"status with four digits", "HTTP/1.1 2000 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", http1.Unknown, ""},
		{"another protocol version", "HTTP/3.0 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", http1.Unknown, ""},
		{"refused", "HTTP/1.1 503 No\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", http1.NotRun, ""},
		{"refused with 200", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", http1.NotRun, ""},
		{"another instance", "HTTP/1.1 421 No\r\nRequest-Id: %s\r\nInstance: other\r\nContent-Length: 0\r\n\r\n", http1.NotRun, ""},
		{"some instance, not run", "HTTP/1.1 421 No\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", http1.NotRun, ""},
		{"some instance", "HTTP/1.1 421 No\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", http1.Unknown, ""},
		{"the expected instance", "HTTP/1.1 421 No\r\nRequest-Id: %s\r\nInstance: i\r\nContent-Length: 2\r\n\r\nno", http1.Answered, "no"},
		{"own failure", "HTTP/1.1 503 No\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", http1.Answered, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := startOneResponseServer(t, c.response)
			result := do(t, http1.NewPool(testNames, testResponseMemory), address, "1")
			require.Equal(t, c.outcome, result.Outcome, "%v", result.Err)
			require.Equal(t, c.body, string(result.Response.Body))
		})
	}
}

// startOneResponseServer responds to one request and closes the connection.
func startOneResponseServer(t *testing.T, response string) string {
	t.Helper()
	if response == "" {
		address, _ := startScriptedServer(t, []string{""})

		return address
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, fmt.Sprintf(response, r.Header.Get("Request-Id")))
	}()

	return l.Addr().String()
}

// Guards against a request that was not sent but has the outcome of a request that may
// have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	t.Parallel()
	refusing, free, err := port.Refusing()
	require.NoError(t, err)
	t.Cleanup(free)
	require.Equal(t, http1.NotSent, do(t, http1.NewPool(testNames, testResponseMemory), refusing, "1").Outcome)
}

// Guards against a new connection for every request, and against requests that arrive
// changed.
func TestConnectionIsUsedAgain(t *testing.T) {
	t.Parallel()
	address, received := startScriptedServer(t, []string{okResponse, okResponse})
	p := http1.NewPool(testNames, testResponseMemory)
	for _, id := range []string{"1", "2"} {
		result := do(t, p, address, id)
		require.Equal(t, http1.Answered, result.Outcome, "%v", result.Err)
		load, ok := result.Load.Get()
		require.True(t, ok)
		require.Equal(t, http1.Load{RunningRequests: 3, WaitingRequests: 1, Slots: 6, Slowdown: 1.5}, load)
		r := <-received
		require.Equal(t, "/a/b?c=%20", r.RequestURI)
		require.Equal(t, "host", r.Host)
		require.Equal(t, "i", r.Header.Get("Expect-Instance"))
		require.NotEmpty(t, r.Header.Get("Deadline-Ms"))
	}
	require.EqualValues(t, 1, p.Opened())
}

// Guards against the reuse of a connection that has surplus bytes, or that the server has
// closed.
func TestUnusableConnectionsAreNotReused(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		first []string
	}{
		{"surplus bytes", []string{okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"}},
		{"closed by the server", []string{"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startScriptedServer(t, c.first, []string{okResponse})
			p := http1.NewPool(testNames, testResponseMemory)
			for _, id := range []string{"1", "2"} {
				result := do(t, p, address, id)
				require.Equal(t, http1.Answered, result.Outcome, "%v", result.Err)
				require.Equal(t, "ok", string(result.Response.Body))
			}
			require.EqualValues(t, 2, p.Opened())
		})
	}
}

// Guards against work that goes on at a server after the caller has left: the connection
// of a cancelled attempt must be closed.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testWait))
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		cancel()
		_, _ = io.Copy(io.Discard, c)
	}()
	result := http1.NewPool(testNames, testResponseMemory).Do(ctx, http1.Target{Instance: "i", Address: l.Addr().String()}, request("1"))
	require.Equal(t, http1.Unknown, result.Outcome)
	require.False(t, result.TimedOut)
	<-ended
}

// Guards against a read of a connection's fields after the connection went back to the
// pool, where another attempt may change them. Only the race detector sees it.
func TestConcurrentAttemptsShareConnections(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	t.Cleanup(server.Close)
	p := http1.NewPool(testNames, testResponseMemory)
	var attempts sync.WaitGroup
	for i := range 8 {
		attempts.Go(func() {
			for k := range 100 {
				result := p.Do(t.Context(), http1.Target{Instance: "i", Address: server.Listener.Addr().String()}, request(fmt.Sprint(i, "-", k)))
				assert.Equal(t, http1.Answered, result.Outcome)
			}
		})
	}
	attempts.Wait()
}

// Guards against a server that writes an earlier refusal once more on a kept connection: the
// next request must not count as not run, nor may it run at a second server.
func TestRepeatedRefusalIsNotUsed(t *testing.T) {
	t.Parallel()
	const refusal = "HTTP/1.1 503 No\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	repeated := strings.ReplaceAll(refusal, "%s", "1")
	for _, c := range []struct {
		name, response string
		outcome        http1.Outcome
	}{
		{"before the response", repeated + okResponse, http1.Answered},
		{"after the response", okResponse + repeated, http1.Answered},
		{"twice before the response", repeated + repeated + okResponse, http1.Answered},
		{"without end", strings.Repeat(repeated, 10), http1.Unknown},
		{"in place of the response", repeated + "%.0s", http1.Unknown},
		{"without its identifier", strings.ReplaceAll(refusal, "Request-Id: %s\r\n", "") + okResponse, http1.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startScriptedServer(t, []string{refusal, c.response, okResponse}, []string{okResponse})
			p := http1.NewPool(testNames, testResponseMemory)
			require.Equal(t, http1.NotRun, do(t, p, address, "1").Outcome)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			require.Equal(t, c.outcome, p.Do(ctx, http1.Target{Instance: "i", Address: address}, request("2")).Outcome)
			require.Equal(t, http1.Answered, do(t, p, address, "3").Outcome)
		})
	}
}

// Guards against an identity of a server that ends the header early, so that the server runs
// the request without its body and answers it.
func TestIdentityOfAServerEndsNoHeader(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	t.Cleanup(server.Close)
	p := http1.NewPool(testNames, testResponseMemory)
	r := request("1")
	r.Method, r.Body = http.MethodPost, []byte("body")
	for _, instance := range []string{"i\r\n", "i\n", "i\r\nContent-Length: 0\r\n\r\n", "i\x00", "i ", "\t", "\u00ef"} {
		result := p.Do(t.Context(), http1.Target{Instance: instance, Address: server.Listener.Addr().String()}, r)
		require.Equal(t, http1.NotSent, result.Outcome, "instance %q: %v", instance, result.Err)
		require.Zero(t, runs.Load(), "instance %q", instance)
	}
}

// Guards against a probe whose path ends the request line, so that the server gets another
// request than the health check.
func TestProbeSendsOnlyPaths(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	t.Cleanup(server.Close)
	p := http1.NewPool(testNames, testResponseMemory)
	for _, path := range []string{"", "health", "/health HTTP/1.1\r\nHost: a\r\n\r\nDELETE /x", "/\n", "/ ", "/\x00", "/\u00e9"} {
		_, err := p.Probe(t.Context(), http1.Target{Address: server.Listener.Addr().String()}, path)
		require.Error(t, err, "path %q", path)
		require.Zero(t, requests.Load(), "path %q", path)
	}
	health, err := p.Probe(t.Context(), http1.Target{Address: server.Listener.Addr().String()}, "/health")
	require.NoError(t, err)
	require.True(t, health.Healthy)
}
