// Package backend sends requests, health checks and load queries from an entry VM
// to the backend servers of its region; `greengagetally entry` uses it.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

// Limits of connections to backend servers.
const (
	// dialTimeout bounds the set-up of a connection. A backend server of the region
	// accepts within 1 ms. The kernel sends a lost SYN again after 1 s, so one lost SYN
	// does not make the set-up fail.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = 90 * time.Second
	// maxIdlePerServer is the most idle connections kept to one address. It is higher
	// than the number of slots of a usual backend server.
	maxIdlePerServer = 16
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 256 << 10
)

// errConnectionLimit is returned when a backend server has as many connections
// as its limit allows.
var errConnectionLimit = errors.New("connection limit of the backend server reached")

// Transport is the HTTP/1.1 transport to the backend servers of a region. It
// limits and counts the connections to each address.
type Transport struct {
	http   wirehttp.Transport
	dialer net.Dialer

	mu sync.Mutex
	// openCounts holds the number of open connections and limits the number allowed,
	// both by address ("host:port").
	openCounts map[string]int
	limits     map[string]int
}

// NewTransport returns a transport without connection limits.
func NewTransport() *Transport {
	t := &Transport{
		dialer:     net.Dialer{Timeout: dialTimeout},
		openCounts: map[string]int{},
		limits:     map[string]int{},
	}
	t.http = wirehttp.Transport{Transport: &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Backend servers speak HTTP/1.1; an upgrade to another protocol is never
		// offered.
		Protocols: http1Only(),
	}}

	return t
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)

	return p
}

// SetLimits replaces the limits, which are numbers of connections by "host:port".
// An address that is not listed has no limit.
func (t *Transport) SetLimits(limits map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
}

// OpenConnections returns the number of connections to an address ("host:port"),
// including connections that are being opened and closed connections that wait for
// the server to close its side.
func (t *Transport) OpenConnections(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.openCounts[address]
}

// Close closes the idle connections; connections with a request stay open.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// dial opens a connection within the limit of its address.
func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !t.acquire(address) {
		return nil, errConnectionLimit
	}
	raw, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		t.release(address)

		return nil, fmt.Errorf("connect to backend server: %w", err)
	}

	return &conn{Conn: wirehttp.NewConn(raw), release: func() { t.release(address) }, lingerEnded: make(chan struct{})}, nil
}

// acquire counts one more connection to the address, or returns false if the address
// has reached its limit.
func (t *Transport) acquire(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit, ok := t.limits[address]; ok && t.openCounts[address] >= limit {
		return false
	}
	t.openCounts[address]++

	return true
}

// release counts one connection to the address less.
func (t *Transport) release(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openCounts[address]--
	if t.openCounts[address] <= 0 {
		delete(t.openCounts, address)
	}
}

// Trip is one exchange of a request and its response with a backend server.
type Trip struct {
	// onFirstByte is called before the first byte of the request is written.
	// Calling cancel ends the context of the request.
	onFirstByte func()
	cancel      func()

	mu sync.Mutex
	// conn is the connection that http.Transport chose last, or nil if it has chosen
	// none yet. exchange is the number that conn gave to this exchange.
	conn     *conn
	exchange uint64
	// sent is true when a byte of the request was written to an earlier connection,
	// or to conn before seal was called.
	sent bool
	// leftover is true when the response began before the request was sent.
	leftover bool
}

// errUnusableResponse is returned instead of a response that belongs to an earlier
// request, or has status 101, which switches the protocol.
var errUnusableResponse = errors.New("response began before the request was sent, or switches the protocol")

// Do sends the request; onFirstByte is called before the first byte of the request is
// written, and cancel must end the context of the request. The response body must be
// closed. The Trip is never nil, and tells after an error whether the request was sent.
// Do never sends a byte of the request twice, in particular not when a kept-alive
// connection turns out to be closed.
func (t *Transport) Do(req *http.Request, onFirstByte, cancel func()) (*http.Response, *Trip, error) {
	trip := &Trip{onFirstByte: onFirstByte, cancel: cancel}
	trace := &httptrace.ClientTrace{
		GotConn:              trip.gotConn,
		GotFirstResponseByte: trip.gotFirstByte,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	lowercaseIdempotencyKeys(req.Header)
	resp, err := t.http.RoundTrip(req)
	if err == nil && (trip.isLeftover() || resp.StatusCode == http.StatusSwitchingProtocols) {
		// What follows on the connection may belong to this response.
		trip.Abort()
		_ = resp.Body.Close()
		err = errUnusableResponse
	}
	if err != nil {
		trip.seal()

		return nil, trip, fmt.Errorf("exchange with backend server: %w", err)
	}

	return resp, trip, nil
}

// lowercaseIdempotencyKeys puts the names of idempotency key headers in lower case,
// so that http.Transport does not recognise the headers. http.Transport sends a request
// with a recognised idempotency key again when the kept-alive connection was closed.
func lowercaseIdempotencyKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[lowercaseName[name]] = values
		}
	}
}

// lowercaseName holds the lower-case names of the headers of idempotency keys.
var lowercaseName = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// gotConn is called for each connection that http.Transport chooses for the
// request. It chooses a second connection when the first was closed. The second may
// carry the request only if no byte of the request was written to the first.
func (t *Trip) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		t.cancel()

		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal(t.exchange) {
		t.sent = true
	}
	t.conn = next
	if t.sent {
		t.exchange = next.begin(nil)
		next.seal(t.exchange)
		t.cancel()

		return
	}
	t.exchange = next.begin(t.onFirstByte)
}

// gotFirstByte is called when the first byte of the response has been read.
func (t *Trip) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.leftover() {
		t.leftover = true
		t.conn.seal(t.exchange)
	}
}

func (t *Trip) isLeftover() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.leftover
}

// seal prevents further bytes of the request from being written.
func (t *Trip) seal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal(t.exchange) {
		t.sent = true
	}
}

// Sent returns whether a byte of the request was written to a connection.
func (t *Trip) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.sent || (t.conn != nil && t.conn.sent(t.exchange))
}

// Abort closes the connection of an exchange that was given up. The returned channel
// is closed when the backend server has closed its side, and so does not run the
// request any more, or after 5 s. The channel is nil if no byte of the request was
// sent or the connection already carries another request.
func (t *Trip) Abort() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || !t.conn.abort(t.exchange) {
		return nil
	}

	return t.conn.lingerEnded
}
