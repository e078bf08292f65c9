// Package backend sends requests, probes and load queries to backend servers.
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
)

// Limits of connections to backend servers.
const (
	// dialTimeout bounds a connection set-up; a backend server in the region
	// answers within a millisecond, and a lost SYN is repeated after one second.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout closes connections that carried nothing for a while.
	idleTimeout = 90 * time.Second
	// idlePerServer covers the slots of one backend server with some room.
	idlePerServer = 16
	// maxHeaderBytes bounds a backend server's response header.
	maxHeaderBytes = 256 << 10
)

// errConnectionLimit refuses a connection beyond the server's limit.
var errConnectionLimit = errors.New("connection limit of the backend server reached")

// Transport is the HTTP/1.1 transport to the backend servers of a region.
type Transport struct {
	http   *http.Transport
	dialer net.Dialer

	mu     sync.Mutex
	open   map[string]int
	limits map[string]int
}

// NewTransport returns a transport without connection limits.
func NewTransport() *Transport {
	t := &Transport{
		dialer: net.Dialer{Timeout: dialTimeout},
		open:   map[string]int{},
		limits: map[string]int{},
	}
	t.http = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Never adds a protocol upgrade; backend servers speak HTTP/1.1.
		Protocols: http1Only(),
	}

	return t
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)

	return p
}

// SetLimits replaces the greatest number of connections by "address:port".
func (t *Transport) SetLimits(limits map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
}

// OpenConnections returns the number of open connections to an address.
func (t *Transport) OpenConnections(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.open[address]
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !t.acquire(address) {
		return nil, errConnectionLimit
	}
	raw, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		t.release(address)

		return nil, fmt.Errorf("connect to backend server: %w", err)
	}

	return &conn{Conn: raw, release: func() { t.release(address) }, gone: make(chan struct{})}, nil
}

func (t *Transport) acquire(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit, ok := t.limits[address]; ok && t.open[address] >= limit {
		return false
	}
	t.open[address]++

	return true
}

func (t *Transport) release(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[address]--
	if t.open[address] <= 0 {
		delete(t.open, address)
	}
}

// Trip is one exchange of a request and its response with a backend server.
type Trip struct {
	first  func()
	cancel func()

	mu       sync.Mutex
	conn     *conn
	exchange uint64
	sent     bool
	foreign  bool
}

var errForeign = errors.New("response began before the request was sent")

// Do sends the request; first is called before its first byte is written, and
// cancel ends the context of the request. The caller closes the body of the
// response. Do never sends a byte of the request
// twice, in particular not when a kept-alive connection turns out to be closed.
func (t *Transport) Do(req *http.Request, first, cancel func()) (*http.Response, *Trip, error) {
	trip := &Trip{first: first, cancel: cancel}
	trace := &httptrace.ClientTrace{
		GotConn:              trip.gotConn,
		GotFirstResponseByte: trip.gotFirstByte,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	hideIdempotencyKey(req.Header)
	resp, err := t.http.RoundTrip(req)
	if err == nil && (trip.isForeign() || resp.StatusCode == http.StatusSwitchingProtocols) {
		_ = resp.Body.Close()
		err = errForeign
	}
	if err != nil {
		trip.seal()

		return nil, trip, fmt.Errorf("exchange with backend server: %w", err)
	}

	return resp, trip, nil
}

// hideIdempotencyKey stores the header under a spelling that http.Transport
// does not recognise. With the canonical one it would send a request again by
// itself after a kept-alive connection was closed.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[lowerName[name]] = values
		}
	}
}

var lowerName = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// gotConn is called for every connection that the transport chooses. The
// transport chooses a second one when the first was closed; that one may be
// used only when the first carried no byte.
func (p *Trip) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		p.cancel()

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.seal(p.exchange) {
		p.sent = true
	}
	p.conn = next
	if p.sent {
		p.exchange = next.begin(nil)
		next.seal(p.exchange)
		p.cancel()

		return
	}
	p.exchange = next.begin(p.first)
}

func (p *Trip) gotFirstByte() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.foreign() {
		p.foreign = true
		p.conn.seal(p.exchange)
	}
}

func (p *Trip) isForeign() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.foreign
}

// seal lets no further byte of the request reach the connection.
func (p *Trip) seal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.seal(p.exchange) {
		p.sent = true
	}
}

// Sent returns whether a byte of the request reached a connection.
func (p *Trip) Sent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.sent || (p.conn != nil && p.conn.sent(p.exchange))
}

// Abort closes the connection of an exchange that was given up. The channel is
// closed once the backend server cannot run the request any more; it is nil
// when no byte of the request was sent.
func (p *Trip) Abort() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || !p.conn.abort(p.exchange) {
		return nil
	}

	return p.conn.gone
}
