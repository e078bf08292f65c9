package http

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

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
