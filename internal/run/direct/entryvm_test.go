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
	"strconv"
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

// waitTimeout bounds every wait of these tests.
const waitTimeout = 20 * time.Second

var names = http1.Names{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ObjectCookie: "object", ExpectInstance: "Expect-Instance",
	NotRun: "Not-Run", Leaving: "Leaving", Load: "Load", Instance: "Instance", ColdMillis: "Cold-Ms",
	Key: "Authorization", Customer: "Customer-Name",
}

// deployment is an in-memory platform that entry VMs share. The field revision is the
// store's revision, which rises with every change. changedAt holds, for each table, the
// revision of the table's last change.
type deployment struct {
	mu  sync.Mutex
	era uint64
	// customerLimit is the limit of each customer.
	customerLimit intent.RateLimit
	// holder owns the key of the quotas in the era holderEra until holderEnd.
	holder         string
	holderEra      uint64
	holderEnd      time.Time
	revision       uint64
	configVersion  uint64
	routeTimeout   time.Duration
	evacuatedZones set.Set[string]
	// customerKeys holds the customers by key; requests need no keys while it is nil.
	customerKeys map[string]string
	servers      []steer.Server
	entryVMs     []direct.EntryVM
	changedAt    map[string]uint64
}

var errStoreUnreachable = errors.New("store is unreachable")

// view implements direct.Deployment for one entry VM, which cannot read the store while
// storeUnreachable is true.
type view struct {
	*deployment

	storeUnreachable atomic.Bool
}

// markChanged raises the revision for a change of a table. Callers hold d.mu.
func (d *deployment) markChanged(table string) {
	d.revision++
	d.changedAt[table] = d.revision
}

// change runs update, which changes a table.
func (d *deployment) change(table string, update func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update()
	d.markChanged(table)
}

// Range returns one item in place of a whole table. The revision of the item is that of
// the table's last change, so a mirror notices every change. The methods that decode
// the items ignore their contents.
func (v *view) Range(_ context.Context, prefix, _ string) (mirror.Page, error) {
	if v.storeUnreachable.Load() {
		return mirror.Page{}, errStoreUnreachable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	key := fmt.Sprintf("%s/%d", prefix, v.changedAt[prefix])

	return mirror.Page{Items: []mirror.Item{{Key: key, Revision: v.changedAt[prefix]}}, Revision: v.revision, Era: v.era}, nil
}

func (v *view) Prefix(table string) string { return table }

func (v *view) OperatorConfig(map[string]mirror.Item) (direct.OperatorConfig, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.configVersion == 0 {
		return direct.OperatorConfig{}, nil
	}
	route := func(name, prefix string, idempotent bool) intent.Route {
		return intent.Route{
			Name: name, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Timeout: v.routeTimeout, Target: v.routeTimeout / 2,
			MaxAttempts: 2, Sticky: true, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
		}
	}

	public := route("public", "/public/", true)
	public.Public = true
	current := intent.New(v.configVersion, []intent.Route{route("read", "/read/", true), route("write", "/write/", false), public},
		map[string]intent.Service{"s": {Name: "s", HealthPath: "/health"}}, intent.Limits{BodyBytes: 4 << 20, IdleTimeout: waitTimeout})
	if v.customerKeys != nil {
		customers, keys := map[string]intent.Customer{}, map[intent.KeyDigest]string{}
		for key, name := range v.customerKeys {
			customers[name], keys[intent.DigestKey(key)] = intent.Customer{Name: name, Limit: v.customerLimit}, name
		}
		current = current.WithCustomers(customers, keys)
	}

	return direct.OperatorConfig{EvacuatedZones: v.evacuatedZones, Intent: current}, nil
}

func (v *view) Servers(map[string]mirror.Item) ([]steer.Server, error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	return append([]steer.Server{}, v.servers...), nil
}

func (v *view) EntryVMs(map[string]mirror.Item) ([]direct.EntryVM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	return append([]direct.EntryVM{}, v.entryVMs...), nil
}

func (v *view) Announce(ctx context.Context, vm direct.EntryVM) error {
	v.change(direct.TableEntryVMs, func() { v.entryVMs = append(v.entryVMs, vm) })
	<-ctx.Done()

	return ctx.Err()
}

func (v *view) Withdraw(context.Context, direct.EntryVM) error { return nil }

// quotaRightTTL is the TTL of the right to hand out the quotas.
const quotaRightTTL = time.Second

func (v *view) TakeQuota(_ context.Context, vm direct.EntryVM) (direct.Right, error) {
	if v.storeUnreachable.Load() {
		return direct.Right{}, errStoreUnreachable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.holder != "" && time.Now().Before(v.holderEnd)
	if held && v.holder != vm.Name {
		return direct.Right{}, &direct.HeldError{Name: v.holder, Era: v.holderEra}
	}
	v.revision++
	v.holder, v.holderEra, v.holderEnd = vm.Name, v.revision, time.Now().Add(quotaRightTTL)

	return direct.Right{Lease: v.revision, Era: v.revision, TTL: quotaRightTTL}, nil
}

func (v *view) RenewRight(_ context.Context, right direct.Right) error {
	if v.storeUnreachable.Load() {
		return errStoreUnreachable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.holderEra != right.Era || time.Now().After(v.holderEnd) {
		return direct.ErrRightLost
	}
	v.holderEnd = time.Now().Add(quotaRightTTL)

	return nil
}

func (v *view) ReleaseRight(_ context.Context, right direct.Right) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.holderEra == right.Era {
		v.holder = ""
	}

	return nil
}

func (v *view) Names() http1.Names { return names }

// server is a backend server that counts the requests that it runs.
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

// listed returns the server as an entry of the list of backend servers.
func (s *server) listed(id, zone string) steer.Server {
	return steer.Server{ID: id, Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", Zone: zone, Region: "r", Slots: 4}
}

// runningEntryVM is an entry VM that a test has started, with its log lines.
type runningEntryVM struct {
	*direct.Process

	view    *view
	address string
	logs    *observer.ObservedLogs
	metrics *metrics.Metrics
	// end stops the process at once.
	end  context.CancelFunc
	done chan struct{}
}

// startEntryVM runs an entry VM in the region "r" on the loopback address ip.
func startEntryVM(t *testing.T, d *deployment, ip string, gracePeriod time.Duration) *runningEntryVM {
	t.Helper()

	return startEntryVMIn(t, d, ip, "r", gracePeriod)
}

// startEntryVMIn runs an entry VM in a region on the loopback address ip.
func startEntryVMIn(t *testing.T, d *deployment, ip, region string, gracePeriod time.Duration) *runningEntryVM {
	t.Helper()

	return startEntryVMWith(t, d, ip, func(s *direct.Settings) { s.Steering.Region, s.GracePeriod = region, gracePeriod })
}

// startEntryVMWith runs an entry VM on the loopback address ip, in the region "r" unless
// change sets another in its settings.
func startEntryVMWith(t *testing.T, d *deployment, ip string, change func(*direct.Settings)) *runningEntryVM {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	v, m := &view{deployment: d}, metrics.New()
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	settings := direct.Settings{
		Steering: steer.Settings{Name: "entry-" + ip, Zone: "z1", Region: "r", RetryRatio: 0.2, RetryAllowance: 20, RetryWindow: 10 * time.Second, MaxShift: 0.15},
		Requests: address, Reports: reportsPort, Tables: reportsPort + 1, LookupTTL: lookupTTL, GracePeriod: time.Second, TableMaxAge: 200 * time.Millisecond, ConfigurationTime: waitTimeout, MaxBufferedBodyBytes: 1 << 20, MaxBufferedResponseBytes: 4 << 20,
		Quota: direct.QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Allowance: quotaAllowance},
	}
	change(&settings)
	p, err := direct.New(ctx, settings, v, timer.NewSystem(), zap.New(core), m)
	require.NoError(t, err)
	e := &runningEntryVM{Process: p, metrics: m, view: v, address: address.String(), logs: logs, end: cancel, done: make(chan struct{})}
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

// quotaAllowance is the number of requests by which a customer may exceed its limit.
const quotaAllowance = 5

// lookupTTL is how long callers may use the result of a lookup.
const lookupTTL = time.Second

// reportsPort is the port for reports on every entry VM's loopback address; the port for
// tables is the next one.
const reportsPort = 17730

func newDeployment(servers ...steer.Server) *deployment {
	return &deployment{
		configVersion: 1, revision: 1, routeTimeout: 4 * time.Second, servers: servers,
		changedAt: map[string]uint64{direct.TableOperatorConfig: 1, direct.TableServers: 1, direct.TableEntryVMs: 1},
	}
}

// ok answers a request with a body.
func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// sendRequest sends a request without a body and returns the response and its body.
func sendRequest(t *testing.T, address, method, target string) (*http.Response, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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

// waitUntilReady waits until all entry VMs are ready and a lookup at any of them
// returns all of them.
func waitUntilReady(t *testing.T, entryVMs ...*runningEntryVM) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, e := range entryVMs {
			if !e.Ready() || len(e.Lookup("a.example", "z1", "r").Addresses) != len(entryVMs) {
				return false
			}
		}

		return true
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against an entry VM that goes on sending requests to a server which said in a
// response to another entry VM that it is leaving. The store's list is out of reach and
// says that the server is ready.
func TestLeavingResponseReachesOtherEntryVMs(t *testing.T) {
	t.Parallel()
	leaving, other := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Leaving, "1")
		ok(w, r)
	}), newServer(t, ok)
	d := newDeployment(leaving.listed("leaving", "z1"))
	a, b := startEntryVM(t, d, "127.0.0.26", time.Second), startEntryVM(t, d, "127.0.0.27", time.Second)
	waitUntilReady(t, a, b)
	resp, _ := sendRequest(t, a.address, http.MethodGet, "/read/first")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get(names.Leaving), "the caller gets the response as it is")
	for _, e := range []*runningEntryVM{a, b} {
		e.view.storeUnreachable.Store(true)
		require.Eventually(t, func() bool {
			return e.logs.FilterMessage("server state changed").FilterField(zap.String("state", "leaving")).Len() > 0
		}, waitTimeout, 20*time.Millisecond)
	}
	for _, e := range []*runningEntryVM{a, b} {
		resp, _ := sendRequest(t, e.address, http.MethodGet, "/read/second")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		e.view.storeUnreachable.Store(false)
	}
	// An entry VM that starts later learns it from the others.
	c := startEntryVM(t, d, "127.0.0.28", time.Second)
	require.Eventually(t, func() bool {
		return c.logs.FilterMessage("server state changed").FilterField(zap.String("state", "leaving")).Len() > 0
	}, waitTimeout, 20*time.Millisecond)
	d.change(direct.TableServers, func() {
		d.servers = []steer.Server{leaving.listed("leaving", "z1"), other.listed("other", "z1")}
	})
	for _, e := range []*runningEntryVM{a, b, c} {
		require.Eventually(t, func() bool {
			resp, _ := sendRequest(t, e.address, http.MethodGet, "/read/third")

			return resp.StatusCode == http.StatusOK
		}, waitTimeout, 20*time.Millisecond)
	}
	require.EqualValues(t, 1, leaving.runs.Load(), "a leaving server got another request")
}

// Guards against failures on the whole path of a request: lookup, answer, unknown route,
// and a planned stop with a request in flight.
func TestLookupRequestAndPlannedStop(t *testing.T) {
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
	a, b := startEntryVM(t, d, "127.0.0.11", 10*time.Second), startEntryVM(t, d, "127.0.0.12", 10*time.Second)
	waitUntilReady(t, a, b)
	for _, e := range []*runningEntryVM{a, b} {
		resp, body := sendRequest(t, e.address, http.MethodGet, "/read/1")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "whole", body)
		resp, _ = sendRequest(t, e.address, http.MethodGet, "/none/")
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
		return !a.Ready() && len(b.Lookup("a.example", "z1", "r").Addresses) == 1
	}, waitTimeout, 20*time.Millisecond, "lookups still return the stopping entry VM")
	close(release)
	require.Equal(t, http.StatusOK, <-slow)
	<-stopped
}

// Guards against an entry VM that misses the operators' configuration while it cannot read
// the store: it must copy the table from another entry VM.
func TestOperatorConfigReachesEntryVMCutOffFromStore(t *testing.T) {
	t.Parallel()
	evacuated, other := newServer(t, ok), newServer(t, ok)
	d := newDeployment(evacuated.listed("server", "z1"), other.listed("other", "z2"))
	a, b := startEntryVM(t, d, "127.0.0.21", time.Second), startEntryVM(t, d, "127.0.0.22", time.Second)
	waitUntilReady(t, a, b)
	a.view.storeUnreachable.Store(true)
	d.change(direct.TableOperatorConfig, func() { d.configVersion, d.evacuatedZones = 2, set.New("z1") })
	require.Eventually(t, func() bool {
		return a.logs.FilterMessage("configuration in force").FilterField(zap.Uint64("version", 2)).Len() > 0
	}, waitTimeout, 20*time.Millisecond)
	before := evacuated.runs.Load()
	for i := range 10 {
		resp, _ := sendRequest(t, a.address, http.MethodGet, fmt.Sprintf("/read/%d", i))
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Equal(t, before, evacuated.runs.Load(), "a server in an evacuated zone got a request")
}

// Guards against an entry VM that others do not know, because the store executed a late
// write or deletion of its last process after the announcement of the running one.
func TestRemovedAnnouncementIsWrittenAgain(t *testing.T) {
	t.Parallel()
	d := newDeployment()
	e := startEntryVM(t, d, "127.0.0.61", time.Second)
	waitUntilReady(t, e)
	listed := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()

		return len(d.entryVMs) > 0
	}
	require.Eventually(t, listed, waitTimeout, 20*time.Millisecond)
	d.change(direct.TableEntryVMs, func() { d.entryVMs = nil })
	require.Eventually(t, listed, waitTimeout, 20*time.Millisecond)
}

// Guards against three faults after a failed attempt: a request that must not be
// repeated runs twice, a request that may have run is refused as not run, and a request
// that may be repeated is not sent to another server.
func TestServerFailures(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method, target string
		fail                 func(w http.ResponseWriter, r *http.Request)
		status               int
		runs                 int64
		message              string
	}{
		{"lost answer, may repeat", http.MethodGet, "/read/", closeConnection, http.StatusOK, 2, "attempt failed"},
		{"lost answer, must not repeat", http.MethodPost, "/write/", closeConnection, http.StatusBadGateway, 1, "request failed"},
		{"refused, must not repeat", http.MethodPost, "/write/", refuseNotRun, http.StatusOK, 2, "attempt failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// The first request that reaches either server fails.
			var first atomic.Bool
			answer := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					c.fail(w, r)

					return
				}
				ok(w, r)
			}
			one, two := newServer(t, answer), newServer(t, answer)
			d := newDeployment(one.listed("one", "z1"), two.listed("two", "z1"))
			// The names of the cases differ in length, so each case has an address of
			// its own.
			e := startEntryVM(t, d, fmt.Sprintf("127.0.0.%d", 31+len(c.name)%50), time.Second)
			waitUntilReady(t, e)
			resp, _ := sendRequest(t, e.address, c.method, c.target)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.runs, one.runs.Load()+two.runs.Load())
			lines := e.logs.FilterMessage(c.message).FilterField(zap.String("request", "id-"+c.target))
			require.Equal(t, 1, lines.Len(), "the failure is not logged once")
		})
	}
}

// closeConnection breaks the connection without an answer.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// refuseNotRun answers that the request was not run.
func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a refusal without Retry-After when no backend server is known.
func TestRefusesWithRetryAfterWithoutServers(t *testing.T) {
	t.Parallel()
	e := startEntryVM(t, newDeployment(), "127.0.0.91", time.Second)
	waitUntilReady(t, e)
	resp, _ := sendRequest(t, e.address, http.MethodPost, "/write/")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against a request that is broken off after an assumed time although its caller
// states none and its route's timeout is longer.
func TestRequestWithoutDeadlineHasTheRoutesTimeout(t *testing.T) {
	t.Parallel()
	stated := make(chan string, 1)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		stated <- r.Header.Get(names.Deadline)
		ok(w, r)
	})
	d := newDeployment(s.listed("server", "z1"))
	d.routeTimeout = 2 * time.Minute
	e := startEntryVM(t, d, "127.0.0.45", stopGrace)
	waitUntilReady(t, e)
	resp, _ := sendRequest(t, e.address, http.MethodGet, "/read/1")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	left, err := strconv.Atoi(<-stated)
	require.NoError(t, err)
	require.Greater(t, left, 90_000)
}
