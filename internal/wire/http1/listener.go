package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Handler responds to callers' requests. Serve runs in a goroutine of its own for each
// request and must call Respond or Abort of the exchange once.
type Handler interface {
	Serve(x *Exchange)
}

// RequestLimits are the limits on a caller's connection; 0 is no limit, but for
// HeaderBytes, where it is defaultHeaderBytes.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for a request while none is in progress.
	IdleTimeout time.Duration
}

// Listener serves callers' connections.
type Listener struct {
	names   Names
	handler Handler
	// limits returns the limits in force.
	limits func() RequestLimits
	// bodies is the memory for the bodies of requests that are read and not yet answered.
	bodies memory
	// onDiscard is the function that OnDiscard has set, or nil.
	onDiscard func(Discarded)

	// closeAfterResponses is true once CloseAfterResponses was called.
	closeAfterResponses atomic.Bool

	// mu guards conns and draining.
	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	draining bool

	goroutines sync.WaitGroup
}

// NewListener returns a listener that passes requests to handler. It calls limits for
// each request, so that changes apply to open connections too. The bodies of all requests
// that are read and not yet answered take at most maxBodyMemory bytes.
func NewListener(names Names, handler Handler, limits func() RequestLimits, maxBodyMemory int64) *Listener {
	withDefaults := func() RequestLimits {
		l := limits()
		if l.HeaderBytes <= 0 {
			l.HeaderBytes = defaultHeaderBytes
		}

		return l
	}

	return &Listener{
		names: names, handler: handler, limits: withDefaults, bodies: memory{limit: maxBodyMemory}, conns: map[*callerConn]struct{}{},
	}
}

// acceptRetryPause is the wait after a failed accept, for example for lack of file
// descriptors. It keeps the accept from being retried in a busy loop.
const acceptRetryPause = 20 * time.Millisecond

// Serve accepts connections until netListener is closed; the end of ctx closes it. Open
// connections stay open. After any other error, Serve accepts again, with one exception:
// once ctx has ended, it returns an error that is not a net.Error.
func (l *Listener) Serve(ctx context.Context, netListener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = netListener.Close() })
	defer stop()
	for {
		raw, err := netListener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			var netErr net.Error
			if !errors.As(err, &netErr) && ctx.Err() != nil {
				return fmt.Errorf("accept connection of a caller: %w", err)
			}
			time.Sleep(acceptRetryPause)

			continue
		}
		c := newCallerConn(l, raw)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		draining := l.draining
		l.mu.Unlock()
		if draining {
			c.stopReading()
		}
		l.goroutines.Go(c.run)
	}
}

// CloseAfterResponses makes each connection close after its next response, which says so, or
// after the last one if several are due. Requests are still taken, on new connections too.
func (l *Listener) CloseAfterResponses() {
	l.closeAfterResponses.Store(true)
}

// Drain closes idle connections at once, and does so with connections that are accepted
// later. Other connections are closed after the responses to the requests that were
// already read.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.stopReading()
	}
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.conns)
}

func (l *Listener) removeConn(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
