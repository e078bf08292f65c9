package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

func serverAt(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

func configOf(addresses ...string) *model.Config {
	config := model.Config{
		Regions: map[string]model.Region{"a": {Name: "a", Zones: []string{"a1"}}, "b": {Name: "b", Zones: []string{"b1"}}},
		Links: map[model.LinkID]model.Link{
			{From: "a", To: "b"}: {LimitBits: 1e9}, {From: "b", To: "a"}: {LimitBits: 1e9},
		},
	}
	config = config.WithService(model.Service{Name: "booking", Deadline: 5 * time.Second})
	for i, address := range addresses {
		config = config.WithBackend(model.Backend{Name: fmt.Sprintf("b%d", i), Service: "booking", Address: netip.MustParseAddrPort(address)})
	}

	return &config
}

func send(t *testing.T, e *entryVM, method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, e.request.URL+path, body)
	require.NoError(t, err)
	req.Host = "booking"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	return resp, string(content), err
}

// toBackend sends each request to b0 and relays its response; a failure is
// refused.
func toBackend(ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case event.RequestArrived:
		return []event.Effect{event.SendToBackend{Request: e.ID, Attempt: event.AttemptID(e.ID), Backend: "b0", Deadline: e.Deadline}}
	case event.HeaderReceived:
		return []event.Effect{event.RelayResponse{Request: e.Request, Attempt: e.Attempt}}
	case event.AttemptEnded:
		if e.Result != event.ResultComplete {
			return []event.Effect{event.Refuse{Request: e.Request, Outcome: event.OutcomeUnknown, Reason: event.ReasonBackendFailed}}
		}
	case event.LinkBytesRequested:
		return []event.Effect{event.GrantLinkBytes{Stream: e.Stream, Bytes: e.Bytes}}
	}

	return nil
}

// Guards against a hedge that loses being relayed, the loser not being
// cancelled at its backend server, and an attempt that ends twice.
func TestHedgeWins(t *testing.T) {
	t.Parallel()
	canceled := make(chan struct{})
	slow := serverAt(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(canceled)
	})
	fast := serverAt(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("fast "), body...))
	})
	s := newScript(configOf(slow, fast), nil)
	s.decide = func(ev event.Event) []event.Effect {
		switch e := ev.(type) {
		case event.RequestArrived:
			require.True(t, e.Replayable)

			return []event.Effect{event.SendToBackend{Request: e.ID, Attempt: 1, Backend: "b0", Deadline: e.Deadline}}
		case event.AttemptStarted:
			if e.Attempt == 1 {
				time.AfterFunc(10*time.Millisecond, func() {
					s.do(event.SendToBackend{Request: e.Request, Attempt: 2, Backend: "b1", Deadline: 5 * time.Second, Hedge: true})
				})
			}
		case event.HeaderReceived:
			return []event.Effect{event.CancelAttempt{Request: e.Request, Attempt: 1}, event.RelayResponse{Request: e.Request, Attempt: e.Attempt}}
		}

		return nil
	}
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	_, body, err := send(t, e, http.MethodPut, "/", strings.NewReader("content"))
	require.NoError(t, err)
	require.Equal(t, "fast content", body)
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultCanceled, 2: event.ResultComplete}, s.ended(t, 2))
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the loser still runs at its backend server")
	}
}

// Guards against a request that cannot be replayed being sent with half of its
// body, and against large bodies being held in memory.
func TestLargeBodyStreams(t *testing.T) {
	t.Parallel()
	content := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	address := serverAt(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	for _, announced := range []bool{true, false} {
		s := newScript(configOf(address), toBackend)
		e := startEntry(t, "entry-1", "a", s, nil, nil)
		var in io.Reader = bytes.NewReader(content)
		if !announced {
			in = io.MultiReader(in)
		}
		_, body, err := send(t, e, http.MethodPost, "/", in)
		require.NoError(t, err)
		require.Equal(t, sha256.Sum256(content), sha256.Sum256([]byte(body)), "announced %v", announced)
		require.True(t, s.seen(func(ev event.Event) bool {
			e, ok := ev.(event.RequestArrived)

			return ok && !e.Replayable
		}))
	}
}

// Guards against the caller's forged headers or trailers reaching backend
// servers or other entry VMs, and against losing what must be passed on.
func TestHeadersOfRequests(t *testing.T) {
	t.Parallel()
	got := make(chan *http.Request, 1)
	address := serverAt(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r
	})
	e := startEntry(t, "entry-1", "a", newScript(configOf(address), toBackend), nil, nil)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, e.request.URL+"/x", io.MultiReader(strings.NewReader("body")))
	require.NoError(t, err)
	req.Host = "booking"
	req.Trailer = http.Header{"Sum": {"7"}, "Greengagetally-Service": {"forged"}}
	for name, value := range map[string]string{
		"Greengagetally-Service": "forged", "greengagetally-outcome": "not-run", "Greengagetally-Timeout": "3000",
		"Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "1", "Upgrade": "h2c", "Proxy-Authorization": "p",
		"X-Kept": "kept", "Authorization": "a",
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	r := <-got
	for name := range r.Header {
		require.Contains(t, []string{"X-Kept", "Authorization", "User-Agent", "Accept-Encoding", "Greengagetally-Timeout"}, name)
	}
	left, err := strconv.Atoi(r.Header.Get("Greengagetally-Timeout"))
	require.NoError(t, err)
	require.Positive(t, left)
	require.LessOrEqual(t, left, 3000)
	require.Equal(t, http.Header{"Sum": {"7"}}, r.Trailer)
	require.Equal(t, "booking", r.Host)
}

func newCertReloader(t *testing.T, a *keys.Authority, vm string) *wiretls.CertReloader {
	t.Helper()
	cert, key, err := a.Issue(vm)
	require.NoError(t, err)
	tlsFiles, err := wiretls.NewCertReloader(wiretls.Files{Cert: cert, Key: key, CA: a.File})
	require.NoError(t, err)

	return tlsFiles
}

// carryTo carries each request to an entry VM; a failure is refused.
func carryTo(to *entryVM) func(event.Event) []event.Effect {
	return func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok {
			return []event.Effect{event.CarryToEntry{
				Request: e.ID, Attempt: event.AttemptID(e.ID), Entry: to.self.Member, Region: to.self.Region, Deadline: e.Deadline,
			}}
		}
		if e, ok := ev.(event.AttemptEnded); ok && e.Result == event.ResultNotSent {
			return []event.Effect{event.Refuse{Request: e.Request, Outcome: event.OutcomeNotRun, Reason: event.ReasonNoBackend}}
		}

		return toBackend(ev)
	}
}

// Guards against bodies, trailers, refusals or truncation being lost on the way
// over two entry VMs, and against bytes that pass a link unasked.
func TestCarryOverTwoEntries(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	for _, secure := range []bool{true, false} {
		t.Run(fmt.Sprintf("TLS %v", secure), func(t *testing.T) {
			t.Parallel()
			address := serverAt(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/truncated":
					w.Header().Set("Content-Length", "1000")
					_, _ = io.WriteString(w, "part")
					panic(http.ErrAbortHandler)
				case "/refused":
					w.Header().Set("Greengagetally-Outcome", "not-run")
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					_ = http.NewResponseController(w).EnableFullDuplex()
					w.Header().Set("Trailer", "Sum")
					_, _ = io.Copy(w, r.Body)
					w.Header().Set("Sum", "9")
				}
			})
			var near, far *wiretls.CertReloader
			if secure {
				near, far = newCertReloader(t, authority, "entry-a"), newCertReloader(t, authority, "entry-b")
			}
			farScript := newScript(configOf(address), toBackend)
			there := startEntry(t, "entry-b", "b", farScript, far, nil)
			nearScript := newScript(configOf(), carryTo(there))
			nearScript.members.Entries = []event.EntryView{there.self}
			here := startEntry(t, "entry-a", "a", nearScript, near, nil)

			content := strings.Repeat("x", 300_000)
			resp, body, err := send(t, here, http.MethodPost, "/", strings.NewReader(content))
			require.NoError(t, err)
			require.Equal(t, sha256.Sum256([]byte(content)), sha256.Sum256([]byte(body)))
			require.Equal(t, "9", resp.Trailer.Get("Sum"))
			require.Equal(t, "b0; region=b", resp.Header.Get("Greengagetally-Served-By"))
			for _, s := range []*script{nearScript, farScript} {
				require.GreaterOrEqual(t, s.bytesWanted(), int64(len(content)))
			}

			resp, _, err = send(t, here, http.MethodGet, "/truncated", nil)
			if err == nil {
				// The break came before the header was passed on.
				require.Equal(t, "unknown", resp.Header.Get("Greengagetally-Outcome"))
			}

			resp, _, err = send(t, here, http.MethodPost, "/refused", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.True(t, farScript.seen(func(ev event.Event) bool {
				e, ok := ev.(event.AttemptEnded)

				return ok && e.Result == event.ResultRefused
			}))
			require.True(t, farScript.seen(func(ev event.Event) bool {
				e, ok := ev.(event.RequestArrived)

				return ok && e.Carried && e.CallerRegion == "a" && e.Service == "booking"
			}))
		})
	}
}

func (s *script) bytesWanted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, ev := range s.events {
		if e, ok := ev.(event.LinkBytesRequested); ok {
			n += e.Bytes
		}
	}

	return n
}

// Guards against a request reaching a VM that is not the chosen one, and
// against that being reported as possibly run.
func TestCarryToWrongVM(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	there := startEntry(t, "entry-b", "b", newScript(configOf(), toBackend), newCertReloader(t, authority, "entry-b"), nil)
	impostor := *there
	impostor.self.Member.VM = "entry-c"
	s := newScript(configOf(), carryTo(&impostor))
	s.members.Entries = []event.EntryView{impostor.self}
	here := startEntry(t, "entry-a", "a", s, newCertReloader(t, authority, "entry-a"), nil)
	resp, _, err := send(t, here, http.MethodPost, "/", strings.NewReader("x"))
	require.NoError(t, err)
	require.Equal(t, "not-run", resp.Header.Get("Greengagetally-Outcome"))
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultNotSent}, s.ended(t, 1))
	require.Empty(t, there.script.events)
}

// peerAnswers is the holder of another entry VM.
type peerAnswers struct {
	answer caller.Answer
	asked  atomic.Int64
}

func (p *peerAnswers) FetchAnswer(context.Context, event.Member, string, uint64) (caller.Answer, bool) {
	p.asked.Add(1)

	return p.answer, p.answer.Status != 0
}

// Guards against a duplicate of a keyed request getting anything but the
// response of the first one, and against another request with the same key
// getting it.
func TestDuplicateGetsHeldAnswer(t *testing.T) {
	t.Parallel()
	key := fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix())
	address := serverAt(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Booking", "17")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "reserved")
	})
	var arrived atomic.Int64
	duplicate := func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok && arrived.Add(1) > 1 {
			return []event.Effect{event.Refuse{
				Request: e.ID, Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed, Holder: event.Member{VM: "entry-9"},
			}}
		}

		return toBackend(ev)
	}
	peer := &peerAnswers{}
	e := startEntry(t, "entry-1", "a", newScript(configOf(address), duplicate), nil, peer)
	for range 2 {
		resp, body, err := send(t, e, http.MethodPost, "/book", strings.NewReader("x"), "Idempotency-Key", key)
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, resp.StatusCode)
		require.Equal(t, "17", resp.Header.Get("Booking"))
		require.Equal(t, "reserved", body)
	}
	require.Zero(t, peer.asked.Load())
	resp, _, err := send(t, e, http.MethodPost, "/other", nil, "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, resp.StatusCode)
	require.Equal(t, "duplicate", resp.Header.Get("Greengagetally-Outcome"))
	peer.answer = caller.Answer{Status: http.StatusAccepted, Body: []byte("from the holder")}
	resp, body, err := send(t, e, http.MethodPost, "/third", nil, "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.Equal(t, "from the holder", body)
}

// Guards against a keyed request being cut off with its caller, which would
// leave a reservation without an answer for the caller's next try.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	t.Parallel()
	key := fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix())
	running, release := make(chan struct{}), make(chan struct{})
	address := serverAt(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "reserved")
	})
	var arrived atomic.Int64
	s := newScript(configOf(address), func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok && arrived.Add(1) > 1 {
			return []event.Effect{event.Refuse{Request: e.ID, Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed}}
		}

		return toBackend(ev)
	})
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.request.URL+"/book", strings.NewReader("x"))
	require.NoError(t, err)
	req.Host = "booking"
	req.Header.Set("Idempotency-Key", key)
	go func() {
		<-running
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	close(release)
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultComplete}, s.ended(t, 1))
	_, body, err := send(t, e, http.MethodPost, "/book", strings.NewReader("x"), "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, "reserved", body)
}
