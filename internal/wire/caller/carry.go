package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

const (
	// carryDialTimeout bounds the opening of a connection. It leaves time for the TCP and
	// TLS handshakes over a slow link, even when one packet is lost.
	carryDialTimeout = 3 * time.Second
	// carryPingInterval and carryPingTimeout set the HTTP/2 pings that detect that the
	// entry VM at the other end does not respond any more.
	carryPingInterval = 5 * time.Second
	carryPingTimeout  = 5 * time.Second
	// carryIdleTimeout is how long a connection without requests is kept open.
	carryIdleTimeout = 2 * time.Minute
)

var (
	errWrongVM = errors.New("connection leads to another VM")
	// errUnusableResponse is returned instead of a response that is not usable.
	errUnusableResponse = errors.New("response has no valid status or several lengths")
)

// Carrier carries requests: it sends them over HTTP/2 to other entry VMs, which serve
// them.
type Carrier struct {
	http     *http.Transport
	dialer   net.Dialer
	tlsFiles *wiretls.CertReloader
}

var _ Sender = (*Carrier)(nil)

// vmContextKey is the context key for the name of the VM to connect to.
type vmContextKey struct{}

// NewCarrier returns a carrier. With a nil tlsFiles, it connects without TLS.
func NewCarrier(tlsFiles *wiretls.CertReloader) *Carrier {
	c := &Carrier{tlsFiles: tlsFiles, dialer: net.Dialer{Timeout: carryDialTimeout}}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(tlsFiles == nil)
	c.http = &http.Transport{
		DialContext:        c.dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    carryIdleTimeout,
		Protocols:          protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: carryPingInterval, PingTimeout: carryPingTimeout},
	}
	if tlsFiles != nil {
		c.http.DialTLSContext = c.dialTLS
	}

	return c
}

// Scheme returns the scheme of the URLs that the carrier sends to, "http" or "https".
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

// dialTLS opens a TLS connection. It fails unless the certificate at the other end is
// that of the VM named in the context.
func (c *Carrier) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	vm, _ := ctx.Value(vmContextKey{}).(string)
	ctx, cancel := context.WithTimeout(ctx, carryDialTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &c.dialer, Config: c.tlsFiles.Client(vm)}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to entry VM %s: %w", vm, err)
	}

	return conn, nil
}

// carryTrip is one carried request with its response.
type carryTrip struct {
	sent atomic.Bool
}

// Sent implements Trip. It returns true once net/http has encoded a header field of the
// request. net/http does not report the first byte that it writes, which follows later.
// So Sent can be true before the first byte is written, but is never false afterwards.
func (t *carryTrip) Sent() bool {
	return t.sent.Load()
}

// Abort implements Trip. There is nothing to wait for here: the entry VM that serves the
// request keeps a slot of the backend server for it while the request may run.
func (t *carryTrip) Abort() <-chan struct{} {
	return nil
}

// Send implements Sender. The header headerVM of the request names the VM to connect to.
// With TLS, Send fails when the connection leads to another VM.
func (c *Carrier) Send(req *http.Request, onFirstByte, cancel func()) (*http.Response, Trip, error) {
	vm := req.Header.Get(headerVM)
	ctx := context.WithValue(req.Context(), vmContextKey{}, vm)
	trip := &carryTrip{}
	var once sync.Once
	var wrongVM atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*tls.Conn)
			if c.tlsFiles != nil && (!ok || !wiretls.PeerIsVM(conn.ConnectionState(), vm)) {
				wrongVM.Store(true)
				cancel()
			}
		},
		WroteHeaderField: func(string, []string) {
			trip.sent.Store(true)
			once.Do(onFirstByte)
		},
	}
	resp, err := c.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && !isUsable(resp) {
		_ = resp.Body.Close()
		err = errUnusableResponse
	}
	if err != nil {
		if wrongVM.Load() {
			err = errWrongVM
		}

		return nil, trip, fmt.Errorf("carry request: %w", err)
	}

	return resp, trip, nil
}

// isUsable checks what net/http leaves open for HTTP/2: whether the status is one, of three
// digits, and whether there is more than one length.
func isUsable(resp *http.Response) bool {
	status, _, _ := strings.Cut(resp.Status, " ")

	return len(status) == 3 && resp.StatusCode >= http.StatusContinue && len(resp.Header["Content-Length"]) <= 1
}
