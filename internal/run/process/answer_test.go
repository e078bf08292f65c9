package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/port"
)

// rawBackend starts a server and returns its address. The server answers each request
// with the bytes raw that respond returns; if closeAfter is true, it then closes the
// connection.
func rawBackend(tb testing.TB, respond func(r *http.Request) (raw string, closeAfter bool)) string {
	tb.Helper()

	return rawServer(tb, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			raw, closeAfter := respond(r)
			if _, err := io.WriteString(c, raw); err != nil || closeAfter {
				return
			}
		}
	})
}

// send sends a request and returns the response; err is set if there was no response or
// the response was cut off.
func send(f *fixture, client *http.Client, req *http.Request) (status int, header http.Header, body string, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	content, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	return resp.StatusCode, resp.Header, string(content), err
}

func newClient(tb testing.TB) *http.Client {
	tb.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	tb.Cleanup(transport.CloseIdleConnections)

	return &http.Client{Transport: transport, Timeout: 20 * time.Second}
}

// Guards against a caller getting another caller's response, when callers give
// up while their requests run and connections to backend servers are reused.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	t.Parallel()
	address := backendServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n := len(body)
		if n%3 == 0 {
			time.Sleep(time.Duration(n%7) * time.Millisecond)
		}
		if n%5 == 0 {
			w.Header().Set("Content-Length", fmt.Sprint(n+len(r.URL.Path)))
		}
		_, _ = io.WriteString(w, r.URL.Path)
		_, _ = w.Write(body)
	})
	f := startProcess(t, testSettings(), address)
	client := newClient(t)
	var wg sync.WaitGroup
	var complete atomic.Int64
	for worker := range 16 {
		wg.Go(func() {
			for i := range 60 {
				path := fmt.Sprintf("/w%d/r%d", worker, i)
				body := strings.Repeat("x", (worker*61+i*17)%3000)
				ctx, cancel := context.WithCancel(context.Background())
				if i%4 == 0 {
					time.AfterFunc(time.Duration(i%5)*time.Millisecond, cancel)
				}
				status, _, got, err := send(f, client, f.request(t, http.MethodPut, path, body).WithContext(ctx))
				cancel()
				if err == nil && status == http.StatusOK {
					complete.Add(1)
					assert.Equal(t, path+body, got)
				}
			}
		})
	}
	wg.Wait()
	require.Greater(t, complete.Load(), int64(600))
}

// Guards against bytes beyond a response's Content-Length that are taken for the
// response to the next request on the connection.
func TestExcessResponseBytesReachNoCaller(t *testing.T) {
	t.Parallel()
	excess := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	address := rawBackend(t, func(r *http.Request) (string, bool) {
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)

		return own + excess, false
	})
	f := startProcess(t, testSettings(), address)
	client := newClient(t)
	var wg sync.WaitGroup
	var complete atomic.Int64
	for worker := range 8 {
		wg.Go(func() {
			for i := range 100 {
				path := fmt.Sprintf("/w%d/r%d", worker, i)
				status, _, got, err := send(f, client, f.request(t, http.MethodGet, path, ""))
				if err == nil && status == http.StatusOK {
					complete.Add(1)
					assert.Equal(t, path, got)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, complete.Load())
}

// Guards against a truncated response looking complete to the caller.
func TestTruncatedResponseIsCutOff(t *testing.T) {
	t.Parallel()
	for name, raw := range map[string]string{
		"shorter than announced":      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part",
		"chunked without end":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"chunk shorter than its size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startProcess(t, testSettings(), rawBackend(t, func(*http.Request) (string, bool) { return raw, true }))
			_, _, _, err := send(f, newClient(t), f.request(t, http.MethodGet, "/", ""))
			require.Error(t, err)
		})
	}
}

// Guards against a line of a trailer that reaches the caller although it is broken.
func TestBrokenTrailerReachesNoCaller(t *testing.T) {
	t.Parallel()
	for _, trailer := range []string{"X A: b\r\n", "X-A : b\r\n", "X\x01A: b\r\n", ": b\r\n"} {
		f := startProcess(t, testSettings(), rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n", false
		}))
		c, err := net.Dial("tcp", f.process.listeners.request.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: booking.test\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.NoError(t, c.Close())
		_, body, found := strings.Cut(string(got), "\r\n\r\n")
		require.True(t, found)
		require.NotContains(t, body, ": b", "after the trailer %q", trailer)
	}
}

// Guards against a wrong outcome when a backend server fails before or after the
// first byte of a request is sent to it.
func TestOutcomeOfBackendFailures(t *testing.T) {
	t.Parallel()
	refusing, free, err := port.Refusing()
	require.NoError(t, err)
	t.Cleanup(free)
	for _, c := range []struct {
		name    string
		address string
		status  int
		outcome string
	}{
		{"refused connection", refusing, http.StatusServiceUnavailable, "not-run"},
		{"closed without response", rawBackend(t, func(*http.Request) (string, bool) { return "", true }), http.StatusBadGateway, "unknown"},
		{"malformed response", rawBackend(t, func(*http.Request) (string, bool) { return "BANANA\r\n\r\n", true }), http.StatusBadGateway, "unknown"},
		{"space in the name of a field", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", false
		}), http.StatusBadGateway, "unknown"},
		{"control byte in the name of a field", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 2\r\n\r\nok", false
		}), http.StatusBadGateway, "unknown"},
		{"status 000", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", false
		}), http.StatusBadGateway, "unknown"},
		{"head that stops", rawBackend(t, func(*http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Len", true }), http.StatusBadGateway, "unknown"},
		{"refused by the backend server", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 503 Busy\r\nGreengagetally-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", false
		}), http.StatusServiceUnavailable, "not-run"},
		// The server has run the request, and does not say otherwise.
		{"408 after the request ran", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 408 No\r\nContent-Length: 2\r\n\r\nno", false
		}), http.StatusBadGateway, "unknown"},
		{"421 after the request ran", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 421 No\r\nContent-Length: 2\r\n\r\nno", false
		}), http.StatusBadGateway, "unknown"},
		{"429 after the request ran", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", false
		}), http.StatusBadGateway, "unknown"},
		{"503 after the request ran", rawBackend(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", false
		}), http.StatusBadGateway, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startProcess(t, testSettings(), c.address)
			status, header, _, err := send(f, newClient(t), f.request(t, http.MethodPost, "/", "body"))
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.outcome, header.Get("Greengagetally-Outcome"))
			require.NotEmpty(t, header.Get("Greengagetally-Reason"))
			require.Equal(t, c.outcome == "not-run", header.Get("Retry-After") != "")
		})
	}
}

// A backend server may close keep-alive connections at any moment. Guards against the
// outcome "not-run" for a request that the server received, and against a request that
// reaches the server twice.
func TestNotRunOnlyIfNotReceived(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	runs := map[string]int{}
	var serverSteps atomic.Int64
	address := rawServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for {
			if serverSteps.Add(1)%3 == 0 {
				// Closes the keep-alive connection, perhaps as a request arrives.
				return
			}
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			runs[r.URL.Path]++
			mu.Unlock()
			_, _ = io.Copy(io.Discard, r.Body)
			if serverSteps.Add(1)%4 == 0 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	f := startProcess(t, testSettings(), address)
	client := newClient(t)
	var wg sync.WaitGroup
	outcomes := [3]atomic.Int64{}
	for worker := range 8 {
		wg.Go(func() {
			for i := range 150 {
				path := fmt.Sprintf("/w%d/r%d", worker, i)
				method := []string{http.MethodPost, http.MethodGet}[i%2]
				status, header, _, err := send(f, client, f.request(t, method, path, ""))
				if err != nil {
					t.Errorf("%s %s: %v", method, path, err)

					return
				}
				mu.Lock()
				ran := runs[path]
				mu.Unlock()
				assert.LessOrEqual(t, ran, 1, "%s %s ran more than once", method, path)
				switch {
				case status == http.StatusOK:
					outcomes[0].Add(1)
				case header.Get("Greengagetally-Outcome") == "not-run":
					outcomes[1].Add(1)
					assert.Zero(t, ran, "%s %s ran, but the caller was told that it did not", method, path)
				default:
					outcomes[2].Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("complete %d, not run %d, unknown %d", outcomes[0].Load(), outcomes[1].Load(), outcomes[2].Load())
	require.Positive(t, outcomes[0].Load())
	require.Positive(t, outcomes[2].Load())
}

// Guards against a response that is delivered after the deadline of its request, to its
// own caller or, on a reused connection, to another caller.
func TestLateResponseReachesNoCaller(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	address := backendServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	f := startProcess(t, testSettings(), address)
	client := newClient(t)
	req := f.request(t, http.MethodPost, "/late", "")
	req.Header.Set("Greengagetally-Timeout", "50")
	status, header, _, err := send(f, client, req)
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusGatewayTimeout, http.StatusBadGateway}, status)
	require.Equal(t, "unknown", header.Get("Greengagetally-Outcome"))
	close(release)
	for range 20 {
		_, _, body, err := send(f, client, f.request(t, http.MethodGet, "/other", ""))
		require.NoError(t, err)
		require.Equal(t, "/other", body)
	}
}

// Guards against a truncated request body looking complete to the backend server.
func TestTruncatedRequestBody(t *testing.T) {
	t.Parallel()
	result := make(chan error, 1)
	address := backendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		result <- err
	})
	f := startProcess(t, testSettings(), address)
	c, err := net.Dial("tcp", f.process.listeners.request.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: booking.test\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n%s", strings.Repeat("x", 100_000))
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	select {
	case err := <-result:
		require.Error(t, err)
		require.NotErrorIs(t, err, io.EOF)
	case <-time.After(10 * time.Second):
		t.Fatal("backend server did not see the end of the request body")
	}
	_ = c.Close()
}

// Guards against a request that reaches a backend server without its body, because its version
// of HTTP has no transfer encodings and it states no length.
func TestRequestWithoutLengthIsRefused(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	f := startProcess(t, testSettings(), backendServer(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	for _, c := range []struct {
		request string
		status  int
		ran     int64
	}{
		{"POST / HTTP/1.0\r\nHost: booking.test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusLengthRequired, 0},
		{"PUT / HTTP/1.0\r\nHost: booking.test\r\n\r\n", http.StatusLengthRequired, 0},
		{"POST / HTTP/1.0\r\nHost: booking.test\r\nContent-Length: 4\r\n\r\nbody", http.StatusOK, 1},
		{"POST / HTTP/1.0\r\nHost: booking.test\r\nContent-Length: 0\r\n\r\n", http.StatusOK, 1},
		{"GET / HTTP/1.0\r\nHost: booking.test\r\n\r\n", http.StatusOK, 1},
		{"POST / HTTP/1.1\r\nHost: booking.test\r\nConnection: close\r\n\r\n", http.StatusOK, 1},
	} {
		conn, err := net.Dial("tcp", f.process.listeners.request.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, c.request)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, conn.Close())
		require.Equal(t, c.status, resp.StatusCode, "%q", c.request)
		require.Equal(t, c.ran, ran.Swap(0), "%q", c.request)
	}
}
