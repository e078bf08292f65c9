package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection set-up; the farthest regions are 35 ms
	// apart one way, and trying another server is better than waiting for the
	// second that passes before a lost opening packet is sent again.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is used where a server states no Keep-Alive timeout.
	defaultIdle = 6 * time.Second
	// idleShare is the part of a server's idle timeout after which a connection
	// is not used again, so that the server does not close it meanwhile.
	idleShare = 0.7
	// keepAliveIdle and keepAliveInterval find connections that went silent.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// poolBuffer takes a usual answer's header.
	poolBuffer = 2 << 10
)

// Target is a backend server to which a request is sent.
type Target struct {
	// Instance is the server's identity; the server at the address refuses the
	// request when it is another one.
	Instance string
	Address  string
}

// Pool keeps connections to backend servers.
type Pool struct {
	names  Names
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[Target][]*serverConn
	opened uint64
}

// NewPool returns a pool without connections.
func NewPool(names Names) *Pool {
	return &Pool{
		names: names,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}},
		idle: map[Target][]*serverConn{},
	}
}

// serverConn is a connection to a backend server that carries one request at a
// time.
type serverConn struct {
	raw    net.Conn
	in     *bufio.Reader
	target Target
	// usable is when the connection must no longer be used.
	usable time.Time
	reused bool
	// dialTook is 0 once the connection is used again.
	dialTook time.Duration
}

// get returns a connection that is idle and sound, or opens one.
func (p *Pool) get(ctx context.Context, to Target) (*serverConn, error) {
	for {
		c := p.pop(to)
		if c == nil {
			break
		}
		if time.Now().Before(c.usable) && c.isQuiet() { //nolint:forbidigo // Deadlines of connections are wall-clock times.
			c.reused, c.dialTook = true, 0

			return c, nil
		}
		_ = c.raw.Close()
	}
	start := time.Now() //nolint:forbidigo // Durations of connections are measured where they are opened.
	raw, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", to.Address, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()

	return &serverConn{raw: raw, in: bufio.NewReaderSize(raw, poolBuffer), target: to, dialTook: time.Since(start)}, nil
}

func (p *Pool) pop(to Target) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[to] = list[:len(list)-1]

	return c
}

// put keeps a connection after a complete answer, if it may be used again.
func (p *Pool) put(c *serverConn, header http.Header, closing bool) {
	timeout := defaultIdle
	if stated, ok := keepAliveTimeout(header); ok {
		timeout = stated
	}
	if closing || timeout <= 0 || c.in.Buffered() > 0 || hasToken(header["Connection"], "close") {
		_ = c.raw.Close()

		return
	}
	c.usable = time.Now().Add(time.Duration(idleShare * float64(timeout))) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Prune closes idle connections that are too old, and all those to targets that
// are not kept.
func (p *Pool) Prune(keep func(Target) bool) {
	now := time.Now() //nolint:forbidigo // Deadlines of connections are wall-clock times.
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usable) && keep(target) {
				kept = append(kept, c)

				continue
			}
			_ = c.raw.Close()
		}
		if p.idle[target] = kept; len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// CloseIdle closes the idle connections to a target, because one of them turned
// out to be silent or reset.
func (p *Pool) CloseIdle(to Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		_ = c.raw.Close()
	}
	delete(p.idle, to)
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.opened
}

// isQuiet reports whether an idle connection is open and has no unread bytes;
// such bytes belong to no request.
func (c *serverConn) isQuiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && quiet
}

func hasToken(values []string, token string) bool {
	for _, value := range values {
		for _, part := range splitList(value) {
			if strings.EqualFold(part, token) {
				return true
			}
		}
	}

	return false
}
