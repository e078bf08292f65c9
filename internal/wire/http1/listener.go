package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Handler answers exchanges; Serve runs in a goroutine of its own for each
// request and ends with one call of Respond or Abort.
type Handler interface {
	Serve(x *Exchange)
}

// RequestLimits limit what a caller may send; 0 is no limit.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Listener serves callers' connections.
type Listener struct {
	names   Names
	handler Handler
	// bounds returns the bounds in force now.
	bounds func() RequestLimits

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	draining bool
	work     sync.WaitGroup
}

// NewListener returns a listener that gives requests to handler.
func NewListener(names Names, handler Handler, bounds func() RequestLimits) *Listener {
	return &Listener{names: names, handler: handler, bounds: bounds, conns: map[*callerConn]struct{}{}}
}

// acceptPause keeps a failing accept, such as one without descriptors, from
// spinning.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until ctx ends or l is closed.
func (s *Listener) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			var timeout net.Error
			if !errors.As(err, &timeout) && ctx.Err() != nil {
				return fmt.Errorf("accept caller: %w", err)
			}
			time.Sleep(acceptPause)

			continue
		}
		c := newCallerConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		draining := s.draining
		s.mu.Unlock()
		if draining {
			c.stopReading()
		}
		s.work.Go(c.run)
	}
}

// Drain closes idle connections and ends the others after their answers.
func (s *Listener) Drain() {
	s.mu.Lock()
	s.draining = true
	conns := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.stopReading()
	}
}

// OpenConnections returns the number of open connections.
func (s *Listener) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

func (s *Listener) forget(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
