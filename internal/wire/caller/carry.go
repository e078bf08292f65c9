package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

const (
	// carryDialTimeout leaves time for TCP and TLS over a slow link, one lost
	// packet included.
	carryDialTimeout = 3 * time.Second
	// carryPing and carryPingTimeout end connections to entry VMs that vanished.
	carryPing        = 5 * time.Second
	carryPingTimeout = 5 * time.Second
	carryIdle        = 2 * time.Minute
)

var errWrongVM = errors.New("connection leads to another VM")

// Carrier sends requests to other entry VMs over HTTP/2.
type Carrier struct {
	http     *http.Transport
	dialer   net.Dialer
	tlsFiles *wiretls.CertReloader
}

var _ Sender = (*Carrier)(nil)

type vmKey struct{}

// NewCarrier returns a carrier; tlsFiles is nil for plain text.
func NewCarrier(tlsFiles *wiretls.CertReloader) *Carrier {
	c := &Carrier{tlsFiles: tlsFiles, dialer: net.Dialer{Timeout: carryDialTimeout}}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsFiles == nil)
	c.http = &http.Transport{
		DialContext:        c.dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    carryIdle,
		Protocols:          protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: carryPing, PingTimeout: carryPingTimeout},
	}
	if tlsFiles != nil {
		c.http.DialTLSContext = c.dialTLS
	}

	return c
}

// Scheme is the scheme of URLs that the carrier sends to.
func (c *Carrier) Scheme() string {
	if c.tlsFiles == nil {
		return "http"
	}

	return "https"
}

// Close closes the idle connections.
func (c *Carrier) Close() {
	c.http.CloseIdleConnections()
}

func (c *Carrier) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	vm, _ := ctx.Value(vmKey{}).(string)
	ctx, cancel := context.WithTimeout(ctx, carryDialTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &c.dialer, Config: c.tlsFiles.Client(vm)}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to entry VM %s: %w", vm, err)
	}

	return conn, nil
}

// carryTrip is one exchange with an entry VM.
type carryTrip struct {
	sent atomic.Bool
}

// Sent implements Trip. A header that was encoded counts as sent.
func (t *carryTrip) Sent() bool {
	return t.sent.Load()
}

// Abort implements Trip. The entry VM that serves the request accounts for what
// still runs, so there is nothing to wait for here.
func (t *carryTrip) Abort() <-chan struct{} {
	return nil
}

// Send implements Sender.
func (c *Carrier) Send(req *http.Request, first, cancel func()) (*http.Response, Trip, error) {
	vm := req.Header.Get(headerVM)
	ctx := context.WithValue(req.Context(), vmKey{}, vm)
	trip := &carryTrip{}
	var once sync.Once
	var wrong atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*tls.Conn)
			if c.tlsFiles != nil && (!ok || !wiretls.PeerIsVM(conn.ConnectionState(), vm)) {
				wrong.Store(true)
				cancel()
			}
		},
		WroteHeaderField: func(string, []string) {
			trip.sent.Store(true)
			once.Do(first)
		},
	}
	resp, err := c.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if wrong.Load() {
			err = errWrongVM
		}

		return nil, trip, fmt.Errorf("carry request: %w", err)
	}

	return resp, trip, nil
}
