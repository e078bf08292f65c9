package process

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"
)

// bareForwarder starts a server that forwards requests to address with nothing but
// net/http, and returns the server's URL. The server is the baseline for the process.
func bareForwarder(tb testing.TB, address string) string {
	tb.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: benchIdleConns, DisableCompression: true}
	tb.Cleanup(transport.CloseIdleConnections)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL = &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
		out.RequestURI = ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)

			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		pooled, _ := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(pooled)
		// The struct hides the method ReadFrom of w, which would allocate a buffer of
		// its own.
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, *pooled)
	}))
	tb.Cleanup(server.Close)

	return server.URL
}

// benchIdleConns is the number of idle connections kept to each host.
const benchIdleConns = 256

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)

	return &b
}}

// BenchmarkForward compares the requests per second of a process with those of a
// bare forwarder; both forward to the same backend server in the same run.
func BenchmarkForward(b *testing.B) {
	content := strings.Repeat("x", 1024)
	address := backendServer(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, content)
	})
	f := startProcess(b, testSettings(), address)
	for _, target := range []struct{ name, url string }{
		{"bare", bareForwarder(b, address)},
		{"process", f.url()},
	} {
		b.Run(target.name, func(b *testing.B) { runLoad(b, target.url) })
	}
}

// BenchmarkForwardRatio reports the throughput of a process divided by that of a bare
// forwarder. It alternates between the two in short rounds, because other work on the
// machine changes both figures within seconds.
func BenchmarkForwardRatio(b *testing.B) {
	content := strings.Repeat("x", 1024)
	address := backendServer(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, content)
	})
	f := startProcess(b, testSettings(), address)
	targets := []string{bareForwarder(b, address), f.url()}
	took := [2]time.Duration{}
	clients := [2]*http.Transport{{MaxIdleConnsPerHost: benchIdleConns}, {MaxIdleConnsPerHost: benchIdleConns}}
	b.ResetTimer()
	for round := range 2 * max(b.N/requestsPerRound, 1) {
		start := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				for range requestsPerRound / 20 {
					sendGet(b, clients[round%2], targets[round%2])
				}
			})
		}
		wg.Wait()
		took[round%2] += time.Since(start)
	}
	for _, c := range clients {
		c.CloseIdleConnections()
	}
	b.ReportMetric(took[0].Seconds()/took[1].Seconds(), "process/bare")
}

// requestsPerRound is the number of requests in one round.
const requestsPerRound = 2000

func sendGet(b *testing.B, transport *http.Transport, target string) {
	b.Helper()
	req, err := http.NewRequest(http.MethodGet, target+"/v1/items", nil)
	if err != nil {
		b.Error(err)

		return
	}
	req.Host = "booking.test"
	resp, err := transport.RoundTrip(req)
	if err != nil {
		b.Error(err)

		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
}

func runLoad(b *testing.B, target string) {
	b.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: benchIdleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendGet(b, transport, target)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
