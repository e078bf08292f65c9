package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// readBuffer and maxAhead bound what one connection holds: the buffer takes a
	// usual request, and further requests wait in the network.
	readBuffer = 4 << 10
	maxAhead   = 32
	// lingerTimeout is how long a closed connection still reads, so that unread
	// bytes do not reset it before the last answer has arrived.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout ends an answer that the caller does not take.
	writeTimeout = 20 * time.Second
)

// callerConn is a caller's connection: one goroutine reads requests, and each
// exchange writes its answer after the one before it.
type callerConn struct {
	server *Listener
	raw    net.Conn
	limit  *limitedReader
	in     *bufio.Reader
	slots  chan struct{}

	mu sync.Mutex
	// waiting is true while the reader waits for the first byte of a request.
	waiting bool
	// last is true when no further request is read.
	last bool
	// outstanding are the exchanges that are not answered, in order.
	outstanding []*Exchange
	broken      bool
	closing     sync.Once
}

func newCallerConn(s *Listener, raw net.Conn) *callerConn {
	limit := &limitedReader{from: raw}

	return &callerConn{
		server: s, raw: raw, limit: limit,
		in: bufio.NewReaderSize(limit, readBuffer), slots: make(chan struct{}, maxAhead),
	}
}

// errTooLong reports a header beyond the limit.
var errTooLong = errors.New("header is too long")

// limitedReader fails once more than left bytes were read; a negative left is
// no limit.
type limitedReader struct {
	from io.Reader
	left int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errTooLong
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.from.Read(p)
	if l.left > 0 {
		l.left -= n
	}

	return n, err //nolint:wrapcheck // A reader must return io.EOF as it is.
}

// run reads requests until the caller or the listener ends the connection.
func (c *callerConn) run() {
	defer c.server.forget(c)
	err := c.readAll()
	if errors.Is(err, errStopped) && c.watchLeaving() {
		err = errLeft
	}
	c.mu.Lock()
	c.last = true
	idle := len(c.outstanding) == 0
	if err != nil && !errors.Is(err, errStopped) {
		// The caller is gone: nobody takes the remaining answers.
		c.broken = true
		for _, x := range c.outstanding {
			x.leave()
		}
	}
	c.mu.Unlock()
	switch {
	case err != nil && !errors.Is(err, errStopped):
		_ = c.raw.Close()
	case idle:
		c.closePolitely()
	}
}

var (
	errStopped = errors.New("no further request is read")
	errLeft    = errors.New("caller left before its answers")
)

// watchLeaving discards what follows the last request and reports whether the
// caller left before all requests were answered.
func (c *callerConn) watchLeaving() bool {
	c.mu.Lock()
	c.last = true
	if len(c.outstanding) == 0 {
		c.mu.Unlock()

		return false
	}
	c.limit.left = -1
	_ = c.raw.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.in)
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.outstanding) > 0
}

func (c *callerConn) readAll() error {
	for {
		c.slots <- struct{}{}
		if err := c.awaitRequest(); err != nil {
			return err
		}
		x, status, err := c.readRequest()
		if status != 0 {
			x = c.push(&Request{Method: http.MethodGet})
			x.Respond(Response{Status: status, Header: http.Header{"Connection": {"close"}}})

			return errStopped
		}
		if err != nil {
			return err
		}
		c.server.work.Go(func() { c.server.handler.Serve(x) })
	}
}

// awaitRequest returns when the first byte of a request has arrived.
func (c *callerConn) awaitRequest() error {
	c.mu.Lock()
	if c.last {
		c.mu.Unlock()

		return errStopped
	}
	c.waiting = true
	c.limit.left = -1
	timeout := c.server.bounds().IdleTimeout
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	}
	_ = c.raw.SetReadDeadline(deadline)
	c.mu.Unlock()
	var err error
	for {
		_, err = c.in.Peek(1)
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			break
		}
		c.mu.Lock()
		busy := len(c.outstanding) > 0 && !c.last
		if !busy {
			c.last = true
			c.mu.Unlock()

			return errStopped
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.bounds().IdleTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if err != nil {
		return fmt.Errorf("wait for request: %w", err)
	}

	return nil
}

// readRequest returns the next exchange, or the status that refuses it.
func (c *callerConn) readRequest() (*Exchange, int, error) {
	bounds := c.server.bounds()
	if bounds.HeaderTimeout > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	}
	if bounds.HeaderBytes > 0 {
		c.limit.left = max(bounds.HeaderBytes-c.in.Buffered(), 0)
	}
	r, err := http.ReadRequest(c.in)
	c.limit.left = -1
	if err != nil {
		status := refusal(err)
		if status == 0 {
			return nil, 0, fmt.Errorf("read request: %w", err)
		}

		return nil, status, nil
	}
	body, status, err := c.readBody(r, bounds)
	if status != 0 || err != nil {
		return nil, status, err
	}
	req := &Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body,
		ID:      r.Header.Get(c.server.names.RequestID),
		Object:  cookie(r.Header, c.server.names.ObjectCookie),
		hasBody: r.ContentLength != 0,
	}
	if ms, err := strconv.ParseInt(r.Header.Get(c.server.names.Deadline), 10, 64); err == nil && ms > 0 {
		req.Patience = time.Duration(ms) * time.Millisecond
	}
	req.Header = forwardable(r.Header)
	if r.Close || !r.ProtoAtLeast(1, 1) {
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
	}

	return c.push(req), 0, nil
}

// refusal returns the status for a request that cannot be read, or 0 when the
// caller is gone.
func refusal(err error) int {
	var network net.Error
	switch {
	case errors.Is(err, errTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &network) && network.Timeout():
		return http.StatusRequestTimeout
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}

	return http.StatusBadRequest
}

// readBody returns the whole body, or the status that refuses it.
func (c *callerConn) readBody(r *http.Request, bounds RequestLimits) ([]byte, int, error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	if bounds.BodyBytes > 0 && r.ContentLength > bounds.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	if r.Header.Get("Expect") != "" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, fmt.Errorf("ask for body: %w", err)
		}
	}
	// The body may take as long as the caller needs to send it.
	_ = c.raw.SetReadDeadline(time.Time{})
	limit := bounds.BodyBytes
	if limit <= 0 {
		limit = 1 << 40
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, 1<<20)))
	}
	n, err := io.Copy(&body, io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, 0, fmt.Errorf("read body: %w", err)
	}
	if n > limit {
		return nil, http.StatusRequestEntityTooLarge, nil
	}

	return body.Bytes(), 0, nil
}

// push appends an exchange for a request.
func (c *callerConn) push(req *Request) *Exchange {
	x := &Exchange{Request: req, conn: c, turn: make(chan struct{}), gone: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding = append(c.outstanding, x)
	if len(c.outstanding) == 1 {
		close(x.turn)
	}

	return x
}

// stopReading lets the connection end after the answers to what was read.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	if c.waiting {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// finish removes the exchange that was answered and lets the next one write.
func (c *callerConn) finish(x *Exchange, broken bool) {
	c.mu.Lock()
	at := slices.Index(c.outstanding, x)
	c.outstanding = slices.Delete(c.outstanding, at, at+1)
	if broken && !c.broken {
		c.broken = true
		for _, other := range c.outstanding {
			other.leave()
		}
		_ = c.raw.Close()
	}
	if at == 0 && len(c.outstanding) > 0 {
		close(c.outstanding[0].turn)
	}
	closing := c.last && len(c.outstanding) == 0 && !c.broken
	c.mu.Unlock()
	<-c.slots
	if closing {
		c.closePolitely()
	}
}

// isLast reports whether x is the last exchange of the connection.
func (c *callerConn) isLast(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.last && len(c.outstanding) == 1 && c.outstanding[0] == x
}

// closePolitely ends the sending side first, so that a reset by unread bytes
// cannot destroy the last answer on its way.
func (c *callerConn) closePolitely() {
	c.closing.Do(c.linger)
}

func (c *callerConn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
		c.server.work.Go(func() {
			_, _ = io.Copy(io.Discard, c.raw)
			_ = c.raw.Close()
		})

		return
	}
	_ = c.raw.Close()
}
