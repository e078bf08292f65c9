package http

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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

// exchanger is a Conn, or embeds one.
type exchanger interface {
	BeginExchange()
	RequestWritten(err error)
}

// RoundTrip implements http.RoundTripper. It tells each connection when an exchange begins and
// when its request has been written.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// http.Transport may send a request again on another connection. The end of the first
	// writing then counts for the second connection too, which at worst refuses a response.
	var current atomic.Value
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(exchanger); ok {
				current.Store(c)
				c.BeginExchange()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c, ok := current.Load().(exchanger); ok {
				c.RequestWritten(info.Err)
			}
		},
	}

	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))) //nolint:wrapcheck // A transport returns the error as it is.
}
