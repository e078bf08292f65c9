package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/steer/store"
)

const (
	// defaultDeadline applies to services without a deadline.
	defaultDeadline = 30 * time.Second
	// heldBodyTimeout bounds the time to send a body, or the start of one, that
	// is read before the request is admitted.
	heldBodyTimeout = 10 * time.Second
)

// AnswerFetcher asks another entry VM for the held answer of a key.
type AnswerFetcher interface {
	FetchAnswer(ctx context.Context, holder event.Member, key string, fingerprint uint64) (Answer, bool)
}

// Metrics counts what callers are told.
type Metrics interface {
	// Served counts a request that ended, with its duration.
	Served(service string, took time.Duration)
	// Refused counts a request that the system answered itself.
	Refused(outcome, reason string)
}

// Options are what the request listeners are built from.
type Options struct {
	Self          event.EntryView
	Reducer       Reducer
	BackendSender Sender
	EntrySender   Sender
	// CarryScheme is "https", or "http" with plain text between entry VMs.
	CarryScheme string
	AnswerCache *AnswerCache
	// Fetcher may be nil.
	Fetcher AnswerFetcher
	Metrics Metrics
}

// RequestHandler handles requests of callers, and of entry VMs that carry them here.
type RequestHandler struct {
	self        event.EntryView
	steering    Reducer
	backends    Sender
	entries     Sender
	carryScheme string
	answers     *AnswerCache
	fetcher     AnswerFetcher
	metrics     Metrics
}

// NewRequestHandler returns the handler behind the request and carry listeners.
func NewRequestHandler(o Options) *RequestHandler {
	return &RequestHandler{
		self: o.Self, steering: o.Reducer, backends: o.BackendSender, entries: o.EntrySender,
		carryScheme: o.CarryScheme, answers: o.AnswerCache, fetcher: o.Fetcher, metrics: o.Metrics,
	}
}

// ServeHTTP serves a request of a caller.
func (h *RequestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, origin{region: h.self.Region, timeout: r.Header.Get(headerTimeout)})
}

// CarriedHandler returns the handler of requests that other entry VMs send here.
func (h *RequestHandler) CarriedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vm := r.Header.Get(headerVM); vm != h.self.Member.VM {
			h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: event.ReasonNoBackend})

			return
		}
		h.serve(w, r, origin{
			carried: true,
			region:  r.Header.Get(headerCallerRegion),
			service: r.Header.Get(headerService),
			timeout: r.Header.Get(headerTimeout),
		})
	})
}

// origin is what is known of where a request comes from.
type origin struct {
	carried bool
	region  string
	service string
	timeout string
}

func (h *RequestHandler) serve(w http.ResponseWriter, r *http.Request, from origin) {
	start := h.steering.Now()
	prepare(r)
	service, reason := h.service(r, from)
	if reason != "" {
		h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: reason})

		return
	}
	key, reason := h.checkKey(r)
	if reason != "" {
		h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: reason})

		return
	}
	deadline := start + timeout(service, from.timeout)
	body, err := h.body(w, r)
	if err != nil {
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: event.ReasonDeadline})

		return
	}
	traits := service.TraitsOf(r.Method, r.URL.Path)
	x := &exchange{
		RequestHandler: h, w: w, r: r, ctx: r.Context(), body: body, service: service, class: traits.Class,
		key: key, keyed: key != "" && !traits.Idempotent, fingerprint: fingerprint(service.Name, r, key, body),
		callerRegion: from.region, carried: from.carried, wake: make(chan struct{}, 1),
	}
	if x.keyed {
		h.answers.begin(key)
		if body.replayable() {
			x.ctx = context.WithoutCancel(r.Context())
		}
	}
	x.id = h.steering.NewRequestID()
	h.steering.OpenRequest(x, event.RequestArrived{
		At: x.at(), ID: x.id, Service: service.Name, Traits: traits, RouteKey: routeKey(r), Key: key, Fingerprint: x.fingerprint,
		Deadline: deadline, CallerRegion: from.region, Carried: from.carried,
		BodyBytes: body.length, Replayable: body.replayable(),
	})
	x.serve(r.Context())
	h.metrics.Served(service.Name, h.steering.Now()-start)
}

// service returns the service of the request, or the reason to refuse it.
func (h *RequestHandler) service(r *http.Request, from origin) (model.Service, event.Reason) {
	config := h.steering.Config()
	if config == nil {
		return model.Service{}, event.ReasonNoBackend
	}
	if from.carried {
		if service, ok := config.Services[from.service]; ok {
			return service, ""
		}

		return model.Service{}, event.ReasonUnknownService
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	service, ok := config.ServiceOfHost(strings.ToLower(host))
	if !ok || r.Method == http.MethodConnect {
		return model.Service{}, event.ReasonUnknownService
	}

	return service, ""
}

// checkKey returns the idempotency key, or the reason to refuse the request.
func (h *RequestHandler) checkKey(r *http.Request) (string, event.Reason) {
	values := r.Header[headerKey]
	if len(values) == 0 {
		return "", ""
	}
	if len(values) > 1 {
		return "", event.ReasonKeyMalformed
	}
	key, err := store.ParseKey(values[0])
	if err == nil {
		err = key.CheckAge(h.steering.Wall())
	}
	if errors.Is(err, store.ErrKeyExpired) {
		return "", event.ReasonKeyExpired
	}
	if err != nil {
		return "", event.ReasonKeyMalformed
	}

	return values[0], ""
}

// body reads the body, or its start; a caller that is too slow is cut off. A
// body that breaks off ends the connection.
func (h *RequestHandler) body(w http.ResponseWriter, r *http.Request) (*body, error) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	control := http.NewResponseController(w)
	watch := time.AfterFunc(heldBodyTimeout, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	b, err := readBody(r)
	watch.Stop()
	if err == nil && !b.replayable() {
		// The response may begin before the body has ended.
		_ = control.EnableFullDuplex()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	stripOwn(r.Trailer)

	return b, err
}

// timeout returns the time that the request may take: what the caller wants,
// at most what the service allows.
func timeout(service model.Service, wanted string) time.Duration {
	limit := service.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	ms, err := strconv.ParseInt(wanted, 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}

	return time.Duration(ms) * time.Millisecond
}

// routeKey names the route: method and first two path segments.
func routeKey(r *http.Request) string {
	path := r.URL.Path
	end := len(path)
	slashes := 0
	for i := range len(path) {
		if path[i] == '/' {
			slashes++
		}
		if slashes == 3 {
			end = i

			break
		}
	}

	return r.Method + " " + path[:end]
}

// fingerprint identifies a request that is sent again: service, method, path,
// and the key or the first 4 KB of the body.
func fingerprint(service string, r *http.Request, key string, b *body) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, r.Method, r.URL.Path, r.URL.RawQuery, key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if key == "" {
		_, _ = d.Write(b.fingerprint())
	}

	return d.Sum64()
}
