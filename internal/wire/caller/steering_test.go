package caller_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/backend"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// script is a reducer that a test writes: decide returns the effects of an event.
type script struct {
	start   time.Time
	config  *model.Config
	members event.PublishEntries
	decide  func(ev event.Event) []event.Effect
	ids     atomic.Uint64

	mu      sync.Mutex
	sinks   map[event.RequestID]caller.Sink
	streams map[uint64]caller.Sink
	events  []event.Event
}

func newScript(config *model.Config, decide func(ev event.Event) []event.Effect) *script {
	return &script{
		start: time.Now(), config: config, decide: decide,
		sinks: map[event.RequestID]caller.Sink{}, streams: map[uint64]caller.Sink{},
	}
}

func (s *script) Now() time.Duration             { return time.Since(s.start) }
func (s *script) Wall() time.Time                { return time.Now() }
func (s *script) Config() *model.Config          { return s.config }
func (s *script) Members() *event.PublishEntries { return &s.members }
func (s *script) NewRequestID() event.RequestID  { return event.RequestID(s.ids.Add(1)) }

func (s *script) OpenRequest(sink caller.Sink, ev event.RequestArrived) {
	s.mu.Lock()
	s.sinks[ev.ID] = sink
	s.mu.Unlock()
	s.Apply(ev)
}

func (s *script) CloseRequest(id event.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sinks, id)
}

func (s *script) Apply(ev event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, ev)
	s.run(s.decide(ev))
}

// do runs effects that follow from no event, such as a hedge.
func (s *script) do(effects ...event.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run(effects)
}

func (s *script) run(effects []event.Effect) {
	for _, effect := range effects {
		var sink caller.Sink
		switch e := effect.(type) {
		case event.SendToBackend:
			sink = s.sinks[e.Request]
		case event.CarryToEntry:
			sink = s.sinks[e.Request]
		case event.CancelAttempt:
			sink = s.sinks[e.Request]
		case event.RelayResponse:
			sink = s.sinks[e.Request]
		case event.Refuse:
			sink = s.sinks[e.Request]
		case event.GrantLinkBytes:
			sink = s.streams[e.Stream]
		}
		if sink != nil {
			sink.Deliver(effect)
		}
	}
}

func (s *script) OpenStream(sink caller.Sink) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.streams) + 1)
	s.streams[id] = sink

	return id
}

func (s *script) CloseStream(uint64) {}

// ended returns the results of the attempts that have ended, once n have.
func (s *script) ended(t *testing.T, n int) map[event.AttemptID]event.Result {
	t.Helper()
	out := map[event.AttemptID]event.Result{}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		clear(out)
		for _, ev := range s.events {
			if e, ok := ev.(event.AttemptEnded); ok {
				require.NotContains(t, out, e.Attempt, "an attempt ended twice")
				out[e.Attempt] = e.Result
			}
		}

		return len(out) >= n
	}, 10*time.Second, time.Millisecond)

	return out
}

func (s *script) seen(match func(event.Event) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ev := range s.events {
		if match(ev) {
			return true
		}
	}

	return false
}

type noMetrics struct{}

func (noMetrics) Served(string, time.Duration) {}
func (noMetrics) Refused(string, string)       {}

// entryVM is the listeners of one entry VM with a scripted reducer.
type entryVM struct {
	self    event.EntryView
	script  *script
	request *httptest.Server
	carry   *httptest.Server
}

// startEntry starts the request and carry listeners; tlsFiles is nil for plain text.
func startEntry(t *testing.T, vm, region string, s *script, tlsFiles *wiretls.CertReloader, fetcher caller.AnswerFetcher) *entryVM {
	t.Helper()
	backends, carrier := backend.NewTransport(), caller.NewCarrier(tlsFiles)
	e := &entryVM{script: s, self: event.EntryView{Member: event.Member{VM: vm, Incarnation: 1}, Region: region}}
	requests := caller.NewRequestHandler(caller.Options{
		Self: e.self, Reducer: s, BackendSender: backends, EntrySender: carrier, CarryScheme: carrier.Scheme(),
		AnswerCache: caller.NewAnswerCache(s.Now), Fetcher: fetcher, Metrics: noMetrics{},
	})
	e.request = httptest.NewServer(requests)
	e.carry = httptest.NewUnstartedServer(requests.CarriedHandler())
	if tlsFiles != nil {
		e.carry.EnableHTTP2 = true
		e.carry.TLS = tlsFiles.Server()
		e.carry.StartTLS()
	} else {
		e.carry.Config.Protocols = new(http.Protocols)
		e.carry.Config.Protocols.SetUnencryptedHTTP2(true)
		e.carry.Start()
	}
	e.self.CarryAddress = e.carry.Listener.Addr().String()
	t.Cleanup(func() {
		carrier.Close()
		backends.Close()
		e.request.Close()
		e.carry.Close()
	})

	return e
}
