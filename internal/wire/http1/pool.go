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

	"github.com/greengagetally/greengagetally/internal/value/units"
)

const (
	// dialTimeout bounds the opening of a connection. The farthest regions are 35 ms
	// apart one way. A lost SYN packet is sent again only after a second; trying another
	// server is better than waiting for that.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a server whose responses state none in
	// the header Keep-Alive.
	defaultIdleTimeout = 6 * time.Second
	// idleTimeoutShare is a share of a server's idle timeout. A connection that has been
	// idle for longer than this share is not reused, because the server could close it
	// while a request is sent.
	idleTimeoutShare = 0.7
	// tcpKeepAliveIdle, tcpKeepAliveInterval and tcpKeepAliveCount are the parameters of
	// TCP keep-alive, which detects connections that broke without a FIN or RST packet.
	tcpKeepAliveIdle     = 3 * time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 3
	// responseBufferSize is the size of the buffer for reading responses, in bytes. It is
	// enough for the header of a usual response.
	responseBufferSize = 2 << 10
)

// Target is a backend server to which a request is sent. It has nothing to do with
// Request.Target, which is a path and query.
type Target struct {
	// Instance is the server's identity, or "" for whichever server has the address. A
	// server with another identity refuses the request with status 421.
	Instance string
	// Address is the host and the port.
	Address string
}

// Pool sends requests to backend servers and keeps idle connections for reuse.
type Pool struct {
	names  Names
	dialer net.Dialer
	// memory is the memory for long heads and bodies of responses, until Result.Release.
	memory memory

	// mu guards the fields below.
	mu   sync.Mutex
	idle map[Target][]*serverConn
	// opened counts the connections opened for requests.
	opened uint64
}

// NewPool returns a pool without connections. The responses that are not released take at
// most maxResponseMemory bytes, apart from the first few kilobytes of each.
func NewPool(names Names, maxResponseMemory int64) *Pool {
	return &Pool{
		names: names, memory: memory{limit: maxResponseMemory},
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
		}},
		idle: map[Target][]*serverConn{},
	}
}

// serverConn is a connection to a backend server; it carries one request at a time.
type serverConn struct {
	raw    net.Conn
	head   *headReader
	reader *bufio.Reader
	target Target
	// usableUntil is when an idle connection gets too old to be reused.
	usableUntil time.Time
	reused      bool
	// dialTook is how long the connection took to open. It is 0 once the connection is
	// reused.
	dialTook time.Duration
}

func newServerConn(raw net.Conn, to Target) *serverConn {
	head := &headReader{source: raw}

	return &serverConn{raw: raw, head: head, reader: bufio.NewReaderSize(head, responseBufferSize), target: to}
}

// get returns an idle connection that can be reused, or opens one. If mayReuse is false,
// it always opens one.
func (p *Pool) get(ctx context.Context, to Target, mayReuse bool) (*serverConn, error) {
	for mayReuse {
		c := p.takeIdle(to)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isReusable() { //nolint:forbidigo // Deadlines of connections are wall-clock times.
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

	c := newServerConn(raw, to)
	c.dialTook = time.Since(start)

	return c, nil
}

// takeIdle removes and returns the idle connection that was used last, or nil.
func (p *Pool) takeIdle(to Target) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[to] = conns[:len(conns)-1]

	return c
}

// release takes a connection back after a complete response with the given header. It
// keeps the connection for reuse, or closes it when it cannot be reused. If mustClose is
// true, it always closes the connection.
func (p *Pool) release(c *serverConn, header http.Header, mustClose bool) {
	timeout := defaultIdleTimeout
	if stated, ok := keepAliveTimeout(header); ok {
		timeout = stated
	}
	if mustClose || timeout <= 0 || c.reader.Buffered() > 0 || hasToken(header["Connection"], "close") {
		_ = c.raw.Close()

		return
	}
	c.usableUntil = time.Now().Add(units.ClampSeconds(idleTimeoutShare*timeout.Seconds(), timeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Prune closes idle connections that are too old, and all idle connections to targets for
// which keep returns false.
func (p *Pool) Prune(keep func(Target) bool) {
	now := time.Now() //nolint:forbidigo // Deadlines of connections are wall-clock times.
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.usableUntil) && keep(target) {
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

// CloseIdle closes the idle connections to a target. Do calls it when an attempt on a
// reused connection failed or timed out, because the other connections may be broken too.
func (p *Pool) CloseIdle(to Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		_ = c.raw.Close()
	}
	delete(p.idle, to)
}

// Opened returns how many connections were opened for requests so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.opened
}

// isReusable reports whether an idle connection is open and has no unread bytes, which
// would belong to no request.
func (c *serverConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
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
	reusable := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && reusable
}

// hasToken reports whether a comma-separated header contains a token, ignoring case.
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
