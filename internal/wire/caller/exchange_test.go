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

// startBackend starts a backend server and returns its address.
func startBackend(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// newConfig returns a configuration with two regions, limited links between them and the
// service "booking". The service has one backend server at each address, named b0, b1 and
// so on.
func newConfig(addresses ...string) *model.Config {
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

// sendRequest sends a request as a caller and returns the response with its body; the
// headers are pairs of name and value.
func sendRequest(t *testing.T, e *entryVM, method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, e.requestServer.URL+path, body)
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

// sendToBackend sends each request to b0 and relays its response. When the attempt fails,
// it refuses the request. It grants all bytes that are requested for links.
func sendToBackend(ev event.Event) []event.Effect {
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

// Guards against three faults when the hedge, which is the second attempt, responds
// first: relaying the response of the first attempt, not cancelling the first attempt at
// its backend server, and reporting the end of an attempt twice.
func TestHedgeWins(t *testing.T) {
	t.Parallel()
	canceled := make(chan struct{})
	slow := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(canceled)
	})
	fast := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("fast "), body...))
	})
	s := newScriptedReducer(newConfig(slow, fast), nil)
	s.decide = func(ev event.Event) []event.Effect {
		switch e := ev.(type) {
		case event.RequestArrived:
			require.True(t, e.Replayable)

			return []event.Effect{event.SendToBackend{Request: e.ID, Attempt: 1, Backend: "b0", Deadline: e.Deadline}}
		case event.AttemptStarted:
			if e.Attempt == 1 {
				time.AfterFunc(10*time.Millisecond, func() {
					s.runEffects(event.SendToBackend{Request: e.Request, Attempt: 2, Backend: "b1", Deadline: 5 * time.Second, Hedge: true})
				})
			}
		case event.HeaderReceived:
			return []event.Effect{event.CancelAttempt{Request: e.Request, Attempt: 1}, event.RelayResponse{Request: e.Request, Attempt: e.Attempt}}
		}

		return nil
	}
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	_, body, err := sendRequest(t, e, http.MethodPut, "/", strings.NewReader("content"))
	require.NoError(t, err)
	require.Equal(t, "fast content", body)
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultCanceled, 2: event.ResultComplete}, s.waitForResults(t, 2))
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the cancelled attempt still runs at its backend server")
	}
}

// Guards against sending only a part of a streamed body, and against holding large
// bodies in memory.
func TestLargeBodyStreams(t *testing.T) {
	t.Parallel()
	content := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	for _, announced := range []bool{true, false} {
		s := newScriptedReducer(newConfig(address), sendToBackend)
		e := startEntry(t, "entry-1", "a", s, nil, nil)
		var in io.Reader = bytes.NewReader(content)
		if !announced {
			in = io.MultiReader(in)
		}
		_, body, err := sendRequest(t, e, http.MethodPost, "/", in)
		require.NoError(t, err)
		require.Equal(t, sha256.Sum256(content), sha256.Sum256([]byte(body)), "announced %v", announced)
		require.True(t, s.hasEvent(func(ev event.Event) bool {
			e, ok := ev.(event.RequestArrived)

			return ok && !e.Replayable
		}))
	}
}

// Guards against passing on headers or trailers of this system that a caller forged, and
// against losing other headers or trailers.
func TestHeadersOfRequests(t *testing.T) {
	t.Parallel()
	got := make(chan *http.Request, 1)
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r
	})
	e := startEntry(t, "entry-1", "a", newScriptedReducer(newConfig(address), sendToBackend), nil, nil)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, e.requestServer.URL+"/x", io.MultiReader(strings.NewReader("body")))
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
	tlsFiles, err := wiretls.NewCertReloader(wiretls.Files{Cert: cert, Key: key, CA: a.CertFile})
	require.NoError(t, err)

	return tlsFiles
}

// carryToEntry carries each request to an entry VM and refuses it when the attempt
// fails.
func carryToEntry(to *entryVM) func(event.Event) []event.Effect {
	return func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok {
			return []event.Effect{event.CarryToEntry{
				Request: e.ID, Attempt: event.AttemptID(e.ID), Entry: to.self.Member, Region: to.self.Region, Deadline: e.Deadline,
			}}
		}
		if e, ok := ev.(event.AttemptEnded); ok && e.Result == event.ResultNotSent {
			return []event.Effect{event.Refuse{Request: e.Request, Outcome: event.OutcomeNotRun, Reason: event.ReasonNoBackend}}
		}

		return sendToBackend(ev)
	}
}

// Guards against losing bodies, trailers or refusals on the way over two entry VMs,
// against passing off a truncated response as complete, and against sending bytes over a
// link without requesting them.
func TestCarryOverTwoEntries(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	for _, secure := range []bool{true, false} {
		t.Run(fmt.Sprintf("TLS %v", secure), func(t *testing.T) {
			t.Parallel()
			address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
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
			var nearCerts, farCerts *wiretls.CertReloader
			if secure {
				nearCerts, farCerts = newCertReloader(t, authority, "entry-a"), newCertReloader(t, authority, "entry-b")
			}
			farReducer := newScriptedReducer(newConfig(address), sendToBackend)
			farEntry := startEntry(t, "entry-b", "b", farReducer, farCerts, nil)
			nearReducer := newScriptedReducer(newConfig(), carryToEntry(farEntry))
			nearReducer.members.Entries = []event.EntryView{farEntry.self}
			nearEntry := startEntry(t, "entry-a", "a", nearReducer, nearCerts, nil)

			content := strings.Repeat("x", 300_000)
			resp, body, err := sendRequest(t, nearEntry, http.MethodPost, "/", strings.NewReader(content))
			require.NoError(t, err)
			require.Equal(t, sha256.Sum256([]byte(content)), sha256.Sum256([]byte(body)))
			require.Equal(t, "9", resp.Trailer.Get("Sum"))
			require.Equal(t, "b0; region=b", resp.Header.Get("Greengagetally-Served-By"))
			for _, s := range []*scriptedReducer{nearReducer, farReducer} {
				require.GreaterOrEqual(t, s.requestedLinkBytes(), int64(len(content)))
			}

			resp, _, err = sendRequest(t, nearEntry, http.MethodGet, "/truncated", nil)
			if err == nil {
				// The connection broke before the header was relayed.
				require.Equal(t, "unknown", resp.Header.Get("Greengagetally-Outcome"))
			}

			resp, _, err = sendRequest(t, nearEntry, http.MethodPost, "/refused", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.True(t, farReducer.hasEvent(func(ev event.Event) bool {
				e, ok := ev.(event.AttemptEnded)

				return ok && e.Result == event.ResultRefused
			}))
			require.True(t, farReducer.hasEvent(func(ev event.Event) bool {
				e, ok := ev.(event.RequestArrived)

				return ok && e.Carried && e.CallerRegion == "a" && e.Service == "booking"
			}))
		})
	}
}

// requestedLinkBytes returns the number of bytes that were requested for links.
func (s *scriptedReducer) requestedLinkBytes() int64 {
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

// Guards against a request that reaches another VM than the chosen one because that VM
// now has the address. Such a request must fail and count as not sent.
func TestCarryToWrongVM(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	farEntry := startEntry(t, "entry-b", "b", newScriptedReducer(newConfig(), sendToBackend), newCertReloader(t, authority, "entry-b"), nil)
	impostor := *farEntry
	impostor.self.Member.VM = "entry-c"
	s := newScriptedReducer(newConfig(), carryToEntry(&impostor))
	s.members.Entries = []event.EntryView{impostor.self}
	nearEntry := startEntry(t, "entry-a", "a", s, newCertReloader(t, authority, "entry-a"), nil)
	resp, _, err := sendRequest(t, nearEntry, http.MethodPost, "/", strings.NewReader("x"))
	require.NoError(t, err)
	require.Equal(t, "not-run", resp.Header.Get("Greengagetally-Outcome"))
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultNotSent}, s.waitForResults(t, 1))
	require.Empty(t, farEntry.scriptedReducer.events)
}

// stubFetcher returns the field answer as the answer that another entry VM holds. When
// its Status is 0, there is no answer.
type stubFetcher struct {
	answer caller.Answer
	calls  atomic.Int64
}

func (p *stubFetcher) FetchAnswer(context.Context, event.Member, string, uint64) (caller.Answer, bool) {
	p.calls.Add(1)

	return p.answer, p.answer.Status != 0
}

// Guards against a duplicate of a request with an idempotency key getting anything but
// the response to the first request, and against a different request with the same key
// getting that response.
func TestDuplicateGetsHeldAnswer(t *testing.T) {
	t.Parallel()
	key := fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix())
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Booking", "17")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "reserved")
	})
	var arrived atomic.Int64
	refuseDuplicates := func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok && arrived.Add(1) > 1 {
			return []event.Effect{event.Refuse{
				Request: e.ID, Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed, Holder: event.Member{VM: "entry-9"},
			}}
		}

		return sendToBackend(ev)
	}
	peer := &stubFetcher{}
	e := startEntry(t, "entry-1", "a", newScriptedReducer(newConfig(address), refuseDuplicates), nil, peer)
	for range 2 {
		resp, body, err := sendRequest(t, e, http.MethodPost, "/book", strings.NewReader("x"), "Idempotency-Key", key)
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, resp.StatusCode)
		require.Equal(t, "17", resp.Header.Get("Booking"))
		require.Equal(t, "reserved", body)
	}
	require.Zero(t, peer.calls.Load())
	resp, _, err := sendRequest(t, e, http.MethodPost, "/other", nil, "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, resp.StatusCode)
	require.Equal(t, "duplicate", resp.Header.Get("Greengagetally-Outcome"))
	peer.answer = caller.Answer{Status: http.StatusAccepted, Body: []byte("from the holder")}
	resp, body, err := sendRequest(t, e, http.MethodPost, "/third", nil, "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.Equal(t, "from the holder", body)
}

// Guards against an answer that an entry VM of an earlier version holds, and whose status tells
// the caller that a request which may have run has not.
func TestHeldRefusalIsNotServed(t *testing.T) {
	t.Parallel()
	key := fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix())
	duplicate := func(ev event.Event) []event.Effect {
		e, ok := ev.(event.RequestArrived)
		if !ok {
			return nil
		}

		return []event.Effect{event.Refuse{
			Request: e.ID, Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed, Holder: event.Member{VM: "entry-9"},
		}}
	}
	peer := &stubFetcher{}
	e := startEntry(t, "entry-1", "a", newScriptedReducer(newConfig(), duplicate), nil, peer)
	for status, want := range map[int]int{
		http.StatusRequestTimeout: http.StatusConflict, http.StatusMisdirectedRequest: http.StatusConflict,
		http.StatusTooManyRequests: http.StatusConflict, http.StatusServiceUnavailable: http.StatusConflict,
		http.StatusInternalServerError: http.StatusInternalServerError,
	} {
		peer.answer = caller.Answer{Status: status}
		resp, _, err := sendRequest(t, e, http.MethodPost, "/book", nil, "Idempotency-Key", key)
		require.NoError(t, err)
		require.Equal(t, want, resp.StatusCode, "held with status %d", status)
	}
}

// Guards against ending a request with an idempotency key when its caller is gone. The
// caller sends the request again and would then get no answer about its reservation.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	t.Parallel()
	key := fmt.Sprintf("%d-0123456789abcdef", time.Now().Unix())
	running, release := make(chan struct{}), make(chan struct{})
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "reserved")
	})
	var arrived atomic.Int64
	s := newScriptedReducer(newConfig(address), func(ev event.Event) []event.Effect {
		if e, ok := ev.(event.RequestArrived); ok && arrived.Add(1) > 1 {
			return []event.Effect{event.Refuse{Request: e.ID, Outcome: event.OutcomeDuplicate, Reason: event.ReasonKeyClaimed}}
		}

		return sendToBackend(ev)
	})
	e := startEntry(t, "entry-1", "a", s, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.requestServer.URL+"/book", strings.NewReader("x"))
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
	require.Equal(t, map[event.AttemptID]event.Result{1: event.ResultComplete}, s.waitForResults(t, 1))
	_, body, err := sendRequest(t, e, http.MethodPost, "/book", strings.NewReader("x"), "Idempotency-Key", key)
	require.NoError(t, err)
	require.Equal(t, "reserved", body)
}
