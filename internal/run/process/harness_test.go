package process

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
)

// fixture is a running process with a configuration of backend servers.
type fixture struct {
	process *Process
	metrics *metrics.Metrics
	// done gets the result of Run.
	done   chan error
	cancel context.CancelFunc
}

func testSettings() Settings {
	return Settings{
		VM: "entry-1", Zone: "a1", Region: "a", Site: "s1",
		LookupAddress: "127.0.0.1:0", RequestAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		CarryAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		InsecurePlaintext: true, LookupTTL: 100 * time.Millisecond, ListLag: 30 * time.Second,
		// Gives the entry all tokens of its region without the store: in these tests,
		// every call to the store fails.
		Policy: "local-slots",
	}
}

// startProcess runs a process until the test ends. Its configuration has a backend
// server of service "booking" at each address; the servers are named b0, b1 and so on.
func startProcess(tb testing.TB, settings Settings, addresses ...string) *fixture {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m := metrics.New()
	p, err := New(ctx, settings, Dependencies{Clock: timer.NewSystem(), Log: zap.NewNop(), Metrics: m, Store: unavailableStore{}})
	require.NoError(tb, err)
	p.SetConfig(testConfig(tb, addresses...))
	f := &fixture{process: p, metrics: m, done: make(chan error, 1), cancel: cancel}
	go func() { f.done <- p.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		select {
		case err := <-f.done:
			require.NoError(tb, err)
		case <-time.After(20 * time.Second):
			tb.Error("process does not end")
		}
	})

	return f
}

func testConfig(tb testing.TB, addresses ...string) *model.Config {
	tb.Helper()
	config := model.Config{
		Version:  1,
		Regions:  map[string]model.Region{"a": {Name: "a", Zones: []string{"a1", "a2"}}, "b": {Name: "b", Zones: []string{"b1"}}},
		Sites:    map[string]model.Site{"s1": {Name: "s1", Zone: "a1"}},
		Services: map[string]model.Service{},
		Backends: map[string]model.Backend{},
	}
	config = config.WithService(model.Service{
		Name: "booking", Hosts: []string{"booking.test"}, Deadline: 5 * time.Second, FinishBy: -1,
		Serve: map[string]map[string]int{"a": {"a": 100}},
	})
	for i, address := range addresses {
		name := "b" + string(rune('0'+i))
		config = config.WithBackend(model.Backend{
			Name: name, Service: "booking", Zone: "a1", Address: netip.MustParseAddrPort(address), Slots: 64, Connections: 400,
		})
	}

	return &config
}

// url returns the base URL of the request listener.
func (f *fixture) url() string {
	return "http://" + f.process.listeners.request.Addr().String()
}

// request returns a request for service "booking".
func (f *fixture) request(tb testing.TB, method, path string, body string) *http.Request {
	tb.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, f.url()+path, strings.NewReader(body))
	require.NoError(tb, err)
	req.Host = "booking.test"

	return req
}

// backendServer starts a server that answers probes itself and passes other requests to
// handler. It returns the server's address.
func backendServer(tb testing.TB, handler http.HandlerFunc) string {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" && r.URL.Path != "/load" {
			handler(w, r)
		}
	}))
	tb.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// rawServer starts a server that passes each connection to serve. It returns the
// server's address.
func rawServer(tb testing.TB, serve func(net.Conn)) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()

	return l.Addr().String()
}
