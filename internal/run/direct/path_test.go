package direct_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/direct"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// waitLimit bounds every wait of these tests.
const waitLimit = 20 * time.Second

var names = http1.Names{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ObjectCookie: "object", ExpectInstance: "Expect-Instance",
	NotRun: "Not-Run", Load: "Load", Instance: "Instance", ColdMillis: "Cold-Ms",
}

// deployment is an in-memory place to run in; away makes entry VMs that it names
// unable to reach the store.
type deployment struct {
	mu       sync.Mutex
	revision uint64
	version  uint64
	timeout  time.Duration
	evacuate set.Set[string]
	servers  []steer.Server
	entries  []direct.EntryVM
	changed  map[string]uint64
}

var errAway = errors.New("store is away")

// view is the deployment as one entry VM sees it.
type view struct {
	*deployment

	away atomic.Bool
}

func (d *deployment) touch(table string) {
	d.revision++
	d.changed[table] = d.revision
}

func (d *deployment) change(table string, do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.touch(table)
}

// Range returns one item that stands for a whole table.
func (v *view) Range(_ context.Context, prefix, _ string) (mirror.Page, error) {
	if v.away.Load() {
		return mirror.Page{}, errAway
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	key := fmt.Sprintf("%s/%d", prefix, v.changed[prefix])

	return mirror.Page{Items: []mirror.Item{{Key: key, Revision: v.changed[prefix]}}, Revision: v.revision}, nil
}

func (v *view) Prefix(table string) string { return table }

func (v *view) OperatorConfig(map[string]mirror.Item) (direct.OperatorConfig, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.version == 0 {
		return direct.OperatorConfig{}, nil
	}
	route := func(name, prefix string, idempotent bool) intent.Route {
		return intent.Route{
			Name: name, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Timeout: v.timeout, Target: v.timeout / 2,
			MaxAttempts: 2, Sticky: true, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
		}
	}

	return direct.OperatorConfig{
		EvacuatedZones: v.evacuate,
		Intent: intent.New(v.version, []intent.Route{route("read", "/read/", true), route("write", "/write/", false)},
			map[string]intent.Service{"s": {Name: "s", HealthPath: "/health"}}, intent.Limits{BodyBytes: 1 << 20, IdleTimeout: waitLimit}),
	}, nil
}

func (v *view) Servers(map[string]mirror.Item) ([]steer.Server, error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	return append([]steer.Server{}, v.servers...), nil
}

func (v *view) EntryVMs(map[string]mirror.Item) ([]direct.EntryVM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	return append([]direct.EntryVM{}, v.entries...), nil
}

func (v *view) Announce(ctx context.Context, e direct.EntryVM) error {
	v.change(direct.TableEntryVMs, func() { v.entries = append(v.entries, e) })
	<-ctx.Done()

	return ctx.Err()
}

func (v *view) Withdraw(context.Context, direct.EntryVM) error { return nil }

func (v *view) Names() http1.Names { return names }

// server is a backend server that counts what it runs.
type server struct {
	*httptest.Server

	runs atomic.Int64
}

func newServer(t *testing.T, answer func(w http.ResponseWriter, r *http.Request)) *server {
	t.Helper()
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		answer(w, r)
	}))
	t.Cleanup(s.Close)

	return s
}

func (s *server) listed(id, zone string) steer.Server {
	return steer.Server{ID: id, Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", Zone: zone, Region: "r", Slots: 4}
}

type runningEntry struct {
	*direct.Process

	view    *view
	address string
	logs    *observer.ObservedLogs
	// end stops the process at once.
	end  context.CancelFunc
	done chan struct{}
}

// startEntry runs an entry VM on a loopback address of its own.
func startEntry(t *testing.T, d *deployment, ip string, stop time.Duration) *runningEntry {
	t.Helper()

	return startEntryIn(t, d, ip, "r", stop)
}

// startEntryIn runs an entry VM in a region.
func startEntryIn(t *testing.T, d *deployment, ip, region string, stop time.Duration) *runningEntry {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	v := &view{deployment: d}
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	p, err := direct.New(ctx, direct.Settings{
		Steering: steer.Settings{Name: "entry-" + ip, Zone: "z1", Region: region, RetryRatio: 0.2, RetryAllowance: 20, RetryWindow: 10 * time.Second},
		Requests: address, Reports: reportsPort, Tables: reportsPort + 1, LookupTTL: time.Second, GracePeriod: stop, TableMaxAge: 200 * time.Millisecond, MaxBufferedBodyBytes: 1 << 20,
	}, v, timer.NewSystem(), zap.New(core), metrics.New())
	require.NoError(t, err)
	e := &runningEntry{Process: p, view: v, address: address.String(), logs: logs, end: cancel, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		_ = p.Run(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-e.done
	})

	return e
}

// reportsPort is the port between entry VMs on their loopback addresses.
const reportsPort = 17730

func newDeployment(servers ...steer.Server) *deployment {
	return &deployment{
		version: 1, revision: 1, timeout: 4 * time.Second, servers: servers,
		changed: map[string]uint64{direct.TableOperatorConfig: 1, direct.TableServers: 1, direct.TableEntryVMs: 1},
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

func ask(t *testing.T, address, method, target string) (*http.Response, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, nil)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set(names.RequestID, "id-"+target)
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	return resp, string(body)
}

func ready(t *testing.T, entries ...*runningEntry) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, e := range entries {
			if !e.Ready() || len(e.Lookup("z1", "r").Addresses) != len(entries) {
				return false
			}
		}

		return true
	}, waitLimit, 20*time.Millisecond)
}

// Guards against any break in the whole path: look-up, request, unknown route,
// planned stop with a request in flight.
func TestWholePath(t *testing.T) {
	t.Parallel()
	release, started := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/write/slow" {
			close(started)
			<-release
		}
		ok(w, r)
	})
	d := newDeployment(s.listed("server", "z1"))
	a, b := startEntry(t, d, "127.0.0.11", 10*time.Second), startEntry(t, d, "127.0.0.12", 10*time.Second)
	ready(t, a, b)
	for _, e := range []*runningEntry{a, b} {
		resp, body := ask(t, e.address, http.MethodGet, "/read/1")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "whole", body)
		resp, _ = ask(t, e.address, http.MethodGet, "/none/")
		require.Equal(t, http.StatusNotFound, resp.StatusCode)
	}
	slow := make(chan int, 1)
	conn, err := net.Dial("tcp", a.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /write/slow HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			slow <- 0

			return
		}
		_ = resp.Body.Close()
		slow <- resp.StatusCode
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.Stop(context.Background())
	}()
	require.Eventually(t, func() bool {
		return !a.Ready() && len(b.Lookup("z1", "r").Addresses) == 1
	}, waitLimit, 20*time.Millisecond, "an entry VM that stops is still named")
	close(release)
	require.Equal(t, http.StatusOK, <-slow)
	<-stopped
}

// Guards against an entry VM that misses orders while the store turns it away: it
// copies them from another entry VM.
func TestOrdersReachEntriesThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	s, other := newServer(t, ok), newServer(t, ok)
	d := newDeployment(s.listed("server", "z1"), other.listed("other", "z2"))
	a, b := startEntry(t, d, "127.0.0.21", time.Second), startEntry(t, d, "127.0.0.22", time.Second)
	ready(t, a, b)
	a.view.away.Store(true)
	d.change(direct.TableOperatorConfig, func() { d.version, d.evacuate = 2, set.New("z1") })
	require.Eventually(t, func() bool {
		return a.logs.FilterMessage("configuration in force").FilterField(zap.Uint64("version", 2)).Len() > 0
	}, waitLimit, 20*time.Millisecond)
	before := s.runs.Load()
	for i := range 10 {
		resp, _ := ask(t, a.address, http.MethodGet, fmt.Sprintf("/read/%d", i))
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Equal(t, before, s.runs.Load(), "a server in an evacuated zone got a request")
}

// Guards against requests that run twice, refusals that are untrue, and safe
// requests that are not tried at another server.
func TestFailuresOfServers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method, target string
		broken               func(w http.ResponseWriter, r *http.Request)
		status               int
		runs                 int64
		message              string
	}{
		{"lost answer, may repeat", http.MethodGet, "/read/", hangUp, http.StatusOK, 2, "attempt failed"},
		{"lost answer, must not repeat", http.MethodPost, "/write/", hangUp, http.StatusBadGateway, 1, "request failed"},
		{"refused, must not repeat", http.MethodPost, "/write/", refuse, http.StatusOK, 2, "attempt failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both servers fail the first request that reaches either of them.
			var first atomic.Bool
			answer := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					c.broken(w, r)

					return
				}
				ok(w, r)
			}
			one, two := newServer(t, answer), newServer(t, answer)
			d := newDeployment(one.listed("one", "z1"), two.listed("two", "z1"))
			e := startEntry(t, d, fmt.Sprintf("127.0.0.%d", 31+len(c.name)%50), time.Second)
			ready(t, e)
			resp, _ := ask(t, e.address, c.method, c.target)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.runs, one.runs.Load()+two.runs.Load())
			lines := e.logs.FilterMessage(c.message).FilterField(zap.String("request", "id-"+c.target))
			require.Equal(t, 1, lines.Len(), "the cause is not in the logs")
		})
	}
}

func hangUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a refusal without the time to come back, when no server is known.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	e := startEntry(t, newDeployment(), "127.0.0.91", time.Second)
	ready(t, e)
	resp, _ := ask(t, e.address, http.MethodPost, "/write/")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}
