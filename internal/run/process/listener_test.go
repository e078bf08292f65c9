package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// rawExchange writes raw bytes to the request listener and returns the response, or an
// error when the connection was closed without a response.
func rawExchange(t *testing.T, f *fixture, raw string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", f.process.listeners.request.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	go func() { _, _ = io.WriteString(c, raw) }()

	return http.ReadResponse(bufio.NewReader(c), nil)
}

// Guards against malformed or oversized requests reaching a backend server.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	f := startProcess(t, testSettings(), backendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s %s reached the backend server", r.Method, r.URL)
	}))
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"no request":              {"BANANA\r\n\r\n", http.StatusBadRequest},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"two hosts":               {"GET / HTTP/1.1\r\nHost: booking\r\nHost: other\r\n\r\n", http.StatusBadRequest},
		"two lengths":             {"POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", http.StatusBadRequest},
		"negative length":         {"POST / HTTP/1.1\r\nHost: booking\r\nContent-Length: -1\r\n\r\n", http.StatusBadRequest},
		"unknown encoding":        {"POST / HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		"space before colon":      {"GET / HTTP/1.1\r\nHost: booking\r\nA : b\r\n\r\n", http.StatusBadRequest},
		"oversized header":        {"GET / HTTP/1.1\r\nHost: booking\r\nA: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"unknown service":         {"GET / HTTP/1.1\r\nHost: other\r\n\r\n", http.StatusNotFound},
		"tunnel":                  {"CONNECT booking:80 HTTP/1.1\r\nHost: booking:80\r\n\r\n", http.StatusNotFound},
		"malformed key":           {"POST / HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: x\r\n\r\n", http.StatusBadRequest},
		"two keys":                {"POST / HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: x\r\nIdempotency-Key: y\r\n\r\n", http.StatusBadRequest},
		"expired key":             {"POST / HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: 1000000000-0123456789abcdef\r\n\r\n", http.StatusBadRequest},
		"HTTP/1.0 without a host": {"GET / HTTP/1.0\r\n\r\n", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resp, err := rawExchange(t, f, c.raw)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}

// Guards against a request with an idempotency key that runs while the store is down.
// Such a request must first be claimed in the store.
func TestKeyedRequestWithoutStore(t *testing.T) {
	t.Parallel()
	f := startProcess(t, testSettings(), backendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s %s ran without a claim", r.Method, r.URL)
	}))
	req := f.request(t, http.MethodPost, "/", "x")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix()))
	status, header, _, err := send(f, newClient(t), req)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, string(event.OutcomeNotRun), header.Get("Greengagetally-Outcome"))
	require.Equal(t, string(event.ReasonStoreUnavailable), header.Get("Greengagetally-Reason"))
	require.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against lookup responses without an entry VM or a valid idempotency key.
func TestLookup(t *testing.T) {
	t.Parallel()
	f := startProcess(t, testSettings(), "127.0.0.1:1")
	client, err := entryapi.NewClient("http://" + f.process.listeners.lookup.Addr().String())
	require.NoError(t, err)
	ctx := context.Background()
	res, err := client.Lookup(ctx, entryapi.LookupParams{Service: "booking", Address: entryapi.NewOptString("10.1.2.3")})
	require.NoError(t, err)
	answer, ok := res.(*entryapi.LookupAnswer)
	require.True(t, ok, "%T", res)
	require.Equal(t, "a", answer.Region)
	require.Len(t, answer.Entries, 1)
	require.Equal(t, f.process.listeners.request.Addr().String(), answer.Entries[0].RequestMinusAddress)
	require.Regexp(t, `^[0-9]+-[0-9A-Za-z]{16,64}$`, answer.IdempotencyMinusKey)
	for params, status := range map[entryapi.LookupParams]int{
		{Service: "other"}: http.StatusNotFound,
		{Service: "booking", Address: entryapi.NewOptString("nowhere")}: http.StatusBadRequest,
	} {
		res, err := client.Lookup(ctx, params)
		require.NoError(t, err)
		failure, ok := res.(*entryapi.FailureStatusCode)
		require.True(t, ok, "%T", res)
		require.Equal(t, status, failure.StatusCode)
	}
	health, err := client.Health(ctx)
	require.NoError(t, err)
	require.IsType(t, &entryapi.HealthOK{}, health)
}

// Guards against HTTP/2 callers not being served.
func TestHTTP2Caller(t *testing.T) {
	t.Parallel()
	f := startProcess(t, testSettings(), backendServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	resp, err := (&http.Client{Transport: transport}).Do(f.request(t, http.MethodPost, "/", "over HTTP/2"))
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NoError(t, err)
	require.Equal(t, 2, resp.ProtoMajor)
	require.Equal(t, "over HTTP/2", string(body))
}

// Guards against metrics that are not JSON or lack served or refused requests.
func TestMetrics(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	f := startProcess(t, secureSettings(t, authority), backendServer(t, func(http.ResponseWriter, *http.Request) {}))
	client := newClient(t)
	status, _, _, err := send(f, client, f.request(t, http.MethodGet, "/", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	other := f.request(t, http.MethodGet, "/", "")
	other.Host = "other"
	status, _, _, err = send(f, client, other)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	resp, err := operatorHTTP(t, authority).Get(f.operatorURL() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var got map[string]map[string]any
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	require.InDelta(t, 1, got["latency-us/booking"]["count"], 0)
	require.InDelta(t, 1, got["refused/not-run/unknown-service"]["count"], 0)
}
