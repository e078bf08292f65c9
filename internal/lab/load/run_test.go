package load_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
)

// startEntry simulates an entry VM and returns its address. The handler answer serves all
// requests except lookups.
func startEntry(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()

	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/lookup" {
			answer(w, r)

			return
		}
		address := strings.TrimPrefix(s.URL, "http://")
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"service":"s","region":"r","ttl-seconds":10,"stale":false,"config-version":1,"idempotency-key":"k",
			"entries":[{"vm":"v","zone":"z","request-address":%q,"lookup-address":%q}]}`, address, address)
	}))
	t.Cleanup(s.Close)

	return strings.TrimPrefix(s.URL, "http://")
}

func run(t *testing.T, answer http.HandlerFunc) *load.Result {
	t.Helper()

	return load.Run(t.Context(), load.Profile{
		Service: "s", LookupAddresses: []string{startEntry(t, answer)}, Addresses: []string{"127.101.1.1"}, ArrivalsPerSecond: 200, Timeout: 20 * time.Second, MaxRetries: 2, Seed: 1,
		Kinds: []load.RequestKind{{Name: "book", Method: "POST", Path: "/x", Weight: 1, Keyed: true, RequestBodySize: 10, ResponseBodySize: 100}},
	}, 200*time.Millisecond)
}

// respond writes the response that the load generator expects.
func respond(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	size, _ := strconv.Atoi(r.Header.Get(backend.HeaderSize))
	w.Header().Set(backend.HeaderRegion, "r")
	_, _ = w.Write(backend.ResponseBody(r.Header.Get(backend.HeaderID), body, size))
}

// Guards against a request that is counted under no outcome or under two outcomes. Such a
// count would hide lost requests.
func TestEachRequestIsCountedOnce(t *testing.T) {
	t.Parallel()
	var failedAttempts atomic.Int64
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		count  func(*load.Result) int64
	}{
		"answered": {respond, func(r *load.Result) int64 { return r.ByRegion["r"] }},
		"not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Greengagetally-Outcome", "not-run")
			w.Header().Set("Greengagetally-Reason", "no-capacity")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(r *load.Result) int64 { return r.NotRun["no-capacity"] }},
		"another request's answer": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(backend.ResponseBody("other", nil, 100))
		}, func(r *load.Result) int64 { return r.Wrong }},
		"incomplete response": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, func(r *load.Result) int64 { return r.Unknown }},
		"answered when retried": {func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(backend.HeaderAttempt) == "0" {
				failedAttempts.Add(1)
				panic(http.ErrAbortHandler)
			}
			respond(w, r)
		}, func(r *load.Result) int64 { return min(r.Answered, failedAttempts.Load()) }},
	} {
		r := run(t, c.answer)
		assert.Positive(t, r.Sent, name)
		assert.Equal(t, r.Sent, c.count(r), "%s: %v", name, r.Examples)
	}
}
