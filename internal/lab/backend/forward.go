package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Forwarder is a plain round-robin HTTP forwarder on net/http, the baseline that
// entry VMs are compared with.
type Forwarder struct {
	// Targets are the addresses (host:port) of the backend servers.
	Targets []string

	next      atomic.Uint64
	transport http.Transport
}

// Serve forwards requests from listener until ctx ends; it returns an error when
// listener fails before.
func (f *Forwarder) Serve(ctx context.Context, listener net.Listener) error {
	f.transport.MaxIdleConnsPerHost = 1024
	server := &http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve forwarder: %w", err)
	}

	return nil
}

// ServeHTTP forwards one request; it responds with 502 when the target cannot be
// reached and aborts the response when the target's body ends early.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = f.Targets[f.next.Add(1)%uint64(len(f.Targets))]
	res, err := f.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)

		return
	}
	defer func() { _ = res.Body.Close() }()
	maps.Copy(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
