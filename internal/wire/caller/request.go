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
	// defaultDeadline is the deadline of a service that sets none.
	defaultDeadline = 30 * time.Second
	// readBodyTimeout bounds how long a caller may take to send the part of the body that
	// is read before the request is admitted: all of a short body, the start of any
	// other.
	readBodyTimeout = 10 * time.Second
)

// AnswerFetcher fetches held answers from other entry VMs.
type AnswerFetcher interface {
	// FetchAnswer asks holder, the entry VM that claimed the key, for the answer that it
	// holds for a request with this fingerprint. It returns false when holder has no such
	// answer or cannot be asked.
	FetchAnswer(ctx context.Context, holder event.Member, key string, fingerprint uint64) (Answer, bool)
}

// Metrics counts requests by how they ended.
type Metrics interface {
	// Served counts a request for a service; took is how long the request took. A request
	// whose response was broken off is not counted.
	Served(service string, took time.Duration)
	// Refused counts a request that no backend server answered.
	Refused(outcome, reason string)
}

// Options are the settings and dependencies of a RequestHandler.
type Options struct {
	// Self is this entry VM.
	Self          event.EntryView
	Reducer       Reducer
	BackendSender Sender
	EntrySender   Sender
	// CarryScheme is "https", or "http" when entry VMs connect to each other without TLS.
	CarryScheme string
	AnswerCache *AnswerCache
	// Fetcher may be nil; then no answers are fetched from other entry VMs.
	Fetcher AnswerFetcher
	Metrics Metrics
}

// RequestHandler handles requests that callers send, or that other entry VMs carry
// here.
type RequestHandler struct {
	self          event.EntryView
	reducer       Reducer
	backendSender Sender
	entrySender   Sender
	carryScheme   string
	answers       *AnswerCache
	fetcher       AnswerFetcher
	metrics       Metrics
}

// NewRequestHandler returns the handler for the listener that callers send requests to.
// Its CarriedHandler is for the listener that receives carried requests.
func NewRequestHandler(o Options) *RequestHandler {
	return &RequestHandler{
		self: o.Self, reducer: o.Reducer, backendSender: o.BackendSender, entrySender: o.EntrySender,
		carryScheme: o.CarryScheme, answers: o.AnswerCache, fetcher: o.Fetcher, metrics: o.Metrics,
	}
}

// ServeHTTP serves a request of a caller.
func (h *RequestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, origin{region: h.self.Region, timeout: r.Header.Get(headerTimeout)})
}

// CarriedHandler returns the handler of requests that other entry VMs carry here. It
// refuses requests whose header headerVM names another VM.
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

// origin describes where a request comes from: from a caller, or from an entry VM that
// carried the request here.
type origin struct {
	carried bool
	// region is the region of the entry VM that received the request from the caller.
	region string
	// service is the name of the service when carried is true, otherwise "".
	service string
	// timeout is the Greengagetally-Timeout header, in milliseconds, or "".
	timeout string
}

// serve handles a request. It refuses the request itself or lets the reducer decide, and
// writes the response.
func (h *RequestHandler) serve(w http.ResponseWriter, r *http.Request, from origin) {
	start := h.reducer.Now()
	sanitizeRequest(r)
	service, reason := h.service(r, from)
	if reason != "" {
		h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: reason})

		return
	}
	if lacksLength(r) {
		h.writeRefusal(w, event.Refuse{Outcome: event.OutcomeNotRun, Reason: event.ReasonLengthMissing})

		return
	}
	key, reason := h.idempotencyKey(r)
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
		key: key, atMostOnce: key != "" && !traits.Idempotent, fingerprint: fingerprint(service.Name, r, key, body),
		callerRegion: from.region, carried: from.carried, effectReady: make(chan struct{}, 1),
	}
	if x.atMostOnce {
		h.answers.beginRequest(key)
		if body.replayable() {
			x.ctx = context.WithoutCancel(r.Context())
		}
	}
	x.id = h.reducer.NewRequestID()
	h.reducer.OpenRequest(x, event.RequestArrived{
		At: x.now(), ID: x.id, Service: service.Name, Traits: traits, RouteKey: routeKey(r), Key: key, Fingerprint: x.fingerprint,
		Deadline: deadline, CallerRegion: from.region, Carried: from.carried,
		BodyBytes: body.length, Replayable: body.replayable(),
	})
	x.serve(r.Context())
	h.metrics.Served(service.Name, h.reducer.Now()-start)
}

// lacksLength reports whether a request of HTTP/1.0 may have a body although it states no length.
// net/http removes a transfer encoding from it, which that version does not have, and takes the
// request for one without a body.
func lacksLength(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.ContentLength > 0 || r.Header["Content-Length"] != nil {
		return false
	}

	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}

// service returns the service of the request, or the reason to refuse it.
func (h *RequestHandler) service(r *http.Request, from origin) (model.Service, event.Reason) {
	config := h.reducer.Config()
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

// idempotencyKey returns the idempotency key, or the reason to refuse the request. Both
// are "" when the request has no key.
func (h *RequestHandler) idempotencyKey(r *http.Request) (string, event.Reason) {
	values := r.Header[headerKey]
	if len(values) == 0 {
		return "", ""
	}
	if len(values) > 1 {
		return "", event.ReasonKeyMalformed
	}
	key, err := store.ParseKey(values[0])
	if err == nil {
		err = key.CheckAge(h.reducer.Wall())
	}
	if errors.Is(err, store.ErrKeyExpired) {
		return "", event.ReasonKeyExpired
	}
	if err != nil {
		return "", event.ReasonKeyMalformed
	}

	return values[0], ""
}

// body reads the whole body of the request or its start, as readBody does. It returns an
// error when the caller takes longer than readBodyTimeout. When the body breaks off, it
// ends the connection by a panic with http.ErrAbortHandler.
func (h *RequestHandler) body(w http.ResponseWriter, r *http.Request) (*body, error) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	control := http.NewResponseController(w)
	timer := time.AfterFunc(readBodyTimeout, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	b, err := readBody(r)
	timer.Stop()
	if err == nil && !b.replayable() {
		// The response may begin before the body has ended.
		_ = control.EnableFullDuplex()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	stripSystemHeaders(r.Trailer)

	return b, err
}

// timeout returns the time that the request may take: the caller's value of the header
// headerTimeout, in milliseconds, but at most the deadline of the service. Without a
// valid value it returns the deadline of the service.
func timeout(service model.Service, header string) time.Duration {
	limit := service.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}

	return time.Duration(ms) * time.Millisecond
}

// routeKey returns the method and the first two path segments, such as "GET /a/b".
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

// fingerprint returns a hash that is the same when a request is sent again. The hash
// covers the service, method, path and query. It also covers the key or, without a key,
// the first maxFingerprintedBytes of the body.
func fingerprint(service string, r *http.Request, key string, b *body) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{service, r.Method, r.URL.Path, r.URL.RawQuery, key} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	if key == "" {
		_, _ = digest.Write(b.fingerprint())
	}

	return digest.Sum64()
}
