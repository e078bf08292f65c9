package process

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

const (
	// headerTimeout is the time within which a client must have sent a request
	// header; slower clients are cut off.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
)

// listeners are the listening sockets of a process.
type listeners struct {
	lookup, request, peer, carry, operator net.Listener
}

// listen opens all listeners, or none when one of them fails.
func listen(ctx context.Context, s Settings) (*listeners, error) {
	l := &listeners{}
	for _, socket := range []struct {
		setting string
		address string
		field   *net.Listener
	}{
		{"lookup-address", s.LookupAddress, &l.lookup},
		{"request-address", s.RequestAddress, &l.request},
		{"peer-address", s.PeerAddress, &l.peer},
		{"carry-address", s.CarryAddress, &l.carry},
		{"operator-address", s.OperatorAddress, &l.operator},
	} {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", socket.address)
		if err != nil {
			l.close()

			return nil, fmt.Errorf("listen on %s: %w", socket.setting, err)
		}
		*socket.field = listener
	}

	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.lookup, l.request, l.peer, l.carry, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// advertisedAddress returns the configured address, or the listener's address if
// configured is empty.
func advertisedAddress(configured string, l net.Listener) string {
	if configured != "" {
		return configured
	}

	return l.Addr().String()
}

// server is one HTTP server with its listener.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
	// drainOnStop makes a graceful shutdown wait for the server's requests.
	drainOnStop bool
}

// newServer returns an HTTP server for callers, entry VMs or operators.
func newServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler:                      handler,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		Protocols:                    new(http.Protocols),
	}
	s.Protocols.SetHTTP1(true)

	return s
}

// buildServers builds the HTTP servers of all listeners but the peer listener,
// which serves gRPC.
func (p *Process) buildServers() error {
	requests := caller.NewRequestHandler(caller.Options{
		Self: p.self, Reducer: p, BackendSender: p.backends, EntrySender: p.carrier, CarryScheme: p.carrier.Scheme(),
		AnswerCache: p.answers, Fetcher: p, Metrics: p.metrics,
	})
	p.lookup = caller.NewLookup(p.self, p, p.settings.LookupTTL, p.health)
	lookups, err := p.lookup.Handler()
	if err != nil {
		return err
	}
	operators, err := p.operators()
	if err != nil {
		return err
	}
	lookup := newServer(p.closeConnectionsOnStop(lookups))
	request := newServer(p.closeConnectionsOnStop(requests))
	if p.callerTLSFiles == nil {
		request.Protocols.SetUnencryptedHTTP2(true)
	} else {
		lookup.Protocols.SetHTTP2(true)
		request.Protocols.SetHTTP2(true)
	}
	carry := newServer(p.closeConnectionsOnStop(requests.CarriedHandler()))
	carry.Protocols = new(http.Protocols)
	carry.Protocols.SetHTTP2(true)
	carryListener, operatorListener := p.listeners.carry, p.listeners.operator
	if p.tlsFiles == nil {
		carry.Protocols.SetUnencryptedHTTP2(true)
	} else {
		carryListener = tls.NewListener(carryListener, p.tlsFiles.Server())
		operatorListener = tls.NewListener(operatorListener, p.tlsFiles.ServerWithoutClientCert(tls.VersionTLS13, "http/1.1"))
	}
	p.servers = []server{
		{name: "lookups", http: lookup, listener: p.callerListener(p.listeners.lookup)},
		{name: "requests", http: request, listener: p.callerListener(p.listeners.request), drainOnStop: true},
		{name: "carried requests", http: carry, listener: carryListener, drainOnStop: true},
		{name: "operators", http: newServer(operators), listener: operatorListener},
	}

	return nil
}

// callerListener adds TLS when there is a certificate for callers.
func (p *Process) callerListener(l net.Listener) net.Listener {
	if p.callerTLSFiles == nil {
		return l
	}

	// TLS 1.2 is accepted because callers' programs are not updated together with
	// the entry VMs; it is still considered secure.
	return tls.NewListener(l, p.callerTLSFiles.ServerWithoutClientCert(tls.VersionTLS12, "h2", "http/1.1"))
}

// closeConnectionsOnStop adds the header "Connection: close" to all responses once the
// graceful shutdown has begun. The header closes each connection after its next
// response, so that no caller sends a request on a connection that is being closed.
func (p *Process) closeConnectionsOnStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-p.stopping:
			w.Header()["Connection"] = []string{"close"}
		default:
		}
		next.ServeHTTP(w, r)
	})
}

// connectionLimits returns how many connections this entry may open to each backend
// server of its region, by the server's address. The limit is this entry's equal share
// of Backend.Connections, but at least 1.
func (p *Process) connectionLimits(config *model.Config) map[string]int {
	regionEntries := 0
	for _, e := range p.Members().Entries {
		if e.Region == p.self.Region {
			regionEntries++
		}
	}
	limits := make(map[string]int)
	for _, b := range config.Backends {
		if b.Connections > 0 && config.RegionOfZone(b.Zone) == p.self.Region {
			limits[b.Address.String()] = max(b.Connections/max(regionEntries, 1), 1)
		}
	}

	return limits
}
