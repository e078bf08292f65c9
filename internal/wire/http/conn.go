package http

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection over which net/http sends requests. It fails reads that would let
// net/http take a broken response for an answer: in a head that HeadScanner refuses.
type Conn struct {
	net.Conn

	// mu guards the fields below.
	mu sync.Mutex
	// scanning is true until the end of the head that scanner scans.
	scanning bool
	scanner  HeadScanner
}

// NewConn returns a Conn over raw.
func NewConn(raw net.Conn) *Conn {
	return &Conn{Conn: raw}
}

// BeginResponse expects a response: what is read next is its head.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanning, c.scanner = true, HeadScanner{}
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n, headErr := c.scan(p[:n])
	if headErr != nil {
		// What was read before the broken byte is returned too, so that net/http does not
		// send the request again as if there was no response.
		return n, fmt.Errorf("read head of response: %w", headErr)
	}

	return n, err //nolint:wrapcheck // A connection returns the error as it is.
}

// scan returns how many of the bytes that were read are not broken.
func (c *Conn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 0; c.scanning && n < len(p); {
		scanned, err := c.scanner.Scan(p[n:])
		n += scanned
		if err != nil {
			return n, err //nolint:wrapcheck // Read adds the context.
		}
		if c.scanner.Ended() {
			c.scanning, c.scanner = c.scanner.Interim(), HeadScanner{}
		}
	}

	return len(p), nil
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and makes a Conn of each.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return NewConn(raw), nil
	}
}

// Transport is an http.Transport whose connections are, or embed, a Conn.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. It tells each connection that a response follows.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ BeginResponse() }); ok {
			c.BeginResponse()
		}
	}}

	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))) //nolint:wrapcheck // A transport returns the error as it is.
}
