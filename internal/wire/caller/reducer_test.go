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

// scriptedReducer records the events that it gets. For each event, it delivers the
// effects that decide returns, a function that the test sets.
type scriptedReducer struct {
	start   time.Time
	config  *model.Config
	members event.PublishEntries
	decide  func(ev event.Event) []event.Effect
	lastID  atomic.Uint64

	mu      sync.Mutex
	sinks   map[event.RequestID]caller.Sink
	streams map[uint64]caller.Sink
	events  []event.Event
}

func newScriptedReducer(config *model.Config, decide func(ev event.Event) []event.Effect) *scriptedReducer {
	return &scriptedReducer{
		start: time.Now(), config: config, decide: decide,
		sinks: map[event.RequestID]caller.Sink{}, streams: map[uint64]caller.Sink{},
	}
}

func (s *scriptedReducer) Now() time.Duration             { return time.Since(s.start) }
func (s *scriptedReducer) Wall() time.Time                { return time.Now() }
func (s *scriptedReducer) Config() *model.Config          { return s.config }
func (s *scriptedReducer) Members() *event.PublishEntries { return &s.members }
func (s *scriptedReducer) NewRequestID() event.RequestID  { return event.RequestID(s.lastID.Add(1)) }

func (s *scriptedReducer) OpenRequest(sink caller.Sink, ev event.RequestArrived) {
	s.mu.Lock()
	s.sinks[ev.ID] = sink
	s.mu.Unlock()
	s.Apply(ev)
}

func (s *scriptedReducer) CloseRequest(id event.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sinks, id)
}

func (s *scriptedReducer) Apply(ev event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, ev)
	s.deliver(s.decide(ev))
}

// runEffects delivers effects that follow from no event, such as a hedge.
func (s *scriptedReducer) runEffects(effects ...event.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(effects)
}

// deliver passes effects to the sinks of their requests and streams; s.mu is held.
func (s *scriptedReducer) deliver(effects []event.Effect) {
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

func (s *scriptedReducer) OpenStream(sink caller.Sink) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.streams) + 1)
	s.streams[id] = sink

	return id
}

func (s *scriptedReducer) CloseStream(uint64) {}

// waitForResults waits until n attempts have ended and returns the results of all
// attempts that have ended. It fails when an attempt ended twice.
func (s *scriptedReducer) waitForResults(t *testing.T, n int) map[event.AttemptID]event.Result {
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

// hasEvent returns whether match returns true for one of the recorded events.
func (s *scriptedReducer) hasEvent(match func(event.Event) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ev := range s.events {
		if match(ev) {
			return true
		}
	}

	return false
}

// noMetrics discards metrics.
type noMetrics struct{}

func (noMetrics) Served(string, time.Duration) {}
func (noMetrics) Refused(string, string)       {}

// entryVM is the request and carry listeners of one entry VM with a scripted reducer.
type entryVM struct {
	self            event.EntryView
	scriptedReducer *scriptedReducer
	requestServer   *httptest.Server
	carryServer     *httptest.Server
}

// startEntry starts the request and carry listeners. With a nil tlsFiles, the carry
// listener does not use TLS.
func startEntry(t *testing.T, vm, region string, s *scriptedReducer, tlsFiles *wiretls.CertReloader, fetcher caller.AnswerFetcher) *entryVM {
	t.Helper()
	backends, carrier := backend.NewTransport(), caller.NewCarrier(tlsFiles)
	e := &entryVM{scriptedReducer: s, self: event.EntryView{Member: event.Member{VM: vm, Incarnation: 1}, Region: region}}
	requests := caller.NewRequestHandler(caller.Options{
		Self: e.self, Reducer: s, BackendSender: backends, EntrySender: carrier, CarryScheme: carrier.Scheme(),
		AnswerCache: caller.NewAnswerCache(s.Now), Fetcher: fetcher, Metrics: noMetrics{},
	})
	e.requestServer = httptest.NewServer(requests)
	e.carryServer = httptest.NewUnstartedServer(requests.CarriedHandler())
	if tlsFiles != nil {
		e.carryServer.EnableHTTP2 = true
		e.carryServer.TLS = tlsFiles.Server()
		e.carryServer.StartTLS()
	} else {
		e.carryServer.Config.Protocols = new(http.Protocols)
		e.carryServer.Config.Protocols.SetUnencryptedHTTP2(true)
		e.carryServer.Start()
	}
	e.self.CarryAddress = e.carryServer.Listener.Addr().String()
	t.Cleanup(func() {
		carrier.Close()
		backends.Close()
		e.requestServer.Close()
		e.carryServer.Close()
	})

	return e
}
