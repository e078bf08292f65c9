package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/greengagetally/greengagetally/internal/value/units"
	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes. A usual request
	// fits in the buffer; what the caller sends beyond it stays unread in the socket.
	readBufferSize = 4 << 10
	// maxPipelined is the greatest number of requests on one connection that are read and
	// not yet answered. Further requests stay unread, which bounds the memory of the
	// connection.
	maxPipelined = 32
)

// callerConn is a caller's connection. One goroutine reads the requests. The exchange of
// each request writes its response after the responses to earlier requests.
type callerConn struct {
	listener *Listener
	raw      net.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	// pipelineSlots holds an element for each request that is awaited, or read and not
	// yet answered.
	pipelineSlots chan struct{}

	// mu guards the fields up to broken.
	mu sync.Mutex
	// awaitingRequest is true while the reading goroutine waits for the first byte of a
	// request.
	awaitingRequest bool
	// idleUntil is when the wait for a request ends by the idle timeout; zero is never.
	idleUntil time.Time
	// readingRequest is true from the first byte of a request until its exchange is
	// outstanding.
	readingRequest bool
	// readStopped is true once no further request is awaited. One that comes before the
	// close is still read if no response has told its caller of the close.
	readStopped bool
	// outstanding are the exchanges whose responses are not complete, in the order of
	// their requests.
	outstanding []*Exchange
	// bodyAwaited is true while the caller of the request that is being read waits for 100
	// Continue, and earlier responses are due.
	bodyAwaited bool
	// requests counts the requests that were read.
	requests int
	// closeAnnounced is true once a response says that the connection closes.
	closeAnnounced bool
	// sendingClosed is true once the connection is closed for sending.
	sendingClosed bool
	// broken is true when the caller has left, or a response was not written completely.
	broken bool

	closeOnce sync.Once
}

func newCallerConn(l *Listener, raw net.Conn) *callerConn {
	if bounded, ok := raw.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = bounded.SetWriteBuffer(callerSendBuffer)
	}
	limited := &limitedReader{source: raw, remaining: -1}

	return &callerConn{
		listener: l, raw: raw, limited: limited,
		reader: bufio.NewReaderSize(limited, readBufferSize), pipelineSlots: make(chan struct{}, maxPipelined),
	}
}

// errHeaderTooLong means that the header of a request or a response exceeds its limit.
var errHeaderTooLong = errors.New("header is too long")

// limitedReader returns at most as many bytes as the field remaining says, then fails
// with errHeaderTooLong. A negative value of remaining means no limit. While it reads a head,
// it fails if the head is broken.
type limitedReader struct {
	source    io.Reader
	remaining int
	// scanning is true while a head is read and its end has not been seen.
	scanning bool
	scanner  wirehttp.HeadScanner
}

// beginHead expects the head of a request, whose first bytes have been read before.
func (l *limitedReader) beginHead(first []byte) error {
	l.scanning, l.scanner = true, wirehttp.NewRequestScanner()

	return l.scan(first)
}

// endHead expects no further bytes of the head.
func (l *limitedReader) endHead() {
	l.scanning = false
}

func (l *limitedReader) scan(p []byte) error {
	if !l.scanning {
		return nil
	}
	if _, err := l.scanner.Scan(p); err != nil {
		return fmt.Errorf("read head of request: %w", err)
	}
	l.scanning = !l.scanner.Ended()

	return nil
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLong
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	if scanErr := l.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}

	return n, err //nolint:wrapcheck // A reader must return io.EOF as it is.
}

// run reads requests until the caller leaves or reading is stopped. It then closes the
// connection. If reading is stopped while responses are due, finish closes it after the
// last response.
func (c *callerConn) run() {
	defer c.listener.removeConn(c)
	err := c.readRequests()
	if errors.Is(err, errReadStopped) && c.discardUntilClosed() {
		err = errCallerLeft
	}
	c.mu.Lock()
	c.readStopped = true
	idle := len(c.outstanding) == 0
	if err != nil && !errors.Is(err, errReadStopped) {
		// The caller has left: nobody takes the remaining responses.
		c.broken = true
		for _, x := range c.outstanding {
			x.setCallerLeft()
		}
	}
	c.mu.Unlock()
	switch {
	case err != nil && !errors.Is(err, errReadStopped):
		_ = c.raw.Close()
	case idle:
		c.closeGracefully()
	}
}

var (
	errReadStopped = errors.New("no further request is read")
	errCallerLeft  = errors.New("caller left before all responses were written")
)

// readRequests passes requests to the handler until reading fails or is stopped. A
// request that must be refused does not reach the handler: readRequests responds to it
// and stops reading. It returns errReadStopped when reading is stopped, otherwise the
// error of the read.
func (c *callerConn) readRequests() error {
	for {
		c.pipelineSlots <- struct{}{}
		if err := c.awaitRequest(); err != nil {
			return err
		}
		x, status, err := c.readRequest()
		if status != 0 {
			x = c.enqueue(&Request{Method: http.MethodGet})
			x.Respond(Response{Status: status, Header: http.Header{"Connection": {"close"}}})

			return errReadStopped
		}
		if err != nil {
			return err
		}
		c.listener.goroutines.Go(func() {
			c.listener.handler.Serve(x)
			c.listener.bodies.release(int64(cap(x.Body)))
		})
		if x.BodyRefused {
			return errReadStopped
		}
	}
}

// awaitRequest waits for the first byte of a request. When the idle timeout passes and no
// response is due, it stops reading and returns errReadStopped. While a response is due,
// it goes on waiting.
func (c *callerConn) awaitRequest() error {
	c.mu.Lock()
	// What is buffered was read from the connection, so nobody else can answer it.
	if c.closeExpected() || c.readStopped && len(c.outstanding) == 0 && c.reader.Buffered() == 0 {
		c.mu.Unlock()

		return errReadStopped
	}
	c.awaitingRequest = true
	c.limited.remaining = -1
	c.setIdleDeadline()
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	for isTimeout(err) {
		if !c.awaitLonger() {
			return errReadStopped
		}
		_, err = c.reader.Peek(1)
	}
	c.mu.Lock()
	c.awaitingRequest = false
	dropped := err == nil && c.closeExpected()
	c.readingRequest = err == nil && !dropped
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("wait for request: %w", err)
	}
	if dropped {
		c.reportDiscarded(int64(c.reader.Buffered()))

		return errReadStopped
	}

	return nil
}

// awaitLonger reports whether to wait for a request again after a timeout. Otherwise it
// stops reading.
func (c *callerConn) awaitLonger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.outstanding) == 0
	if idle && !c.readStopped && time.Now().Before(c.idleUntil) { //nolint:forbidigo // Deadlines of connections are wall-clock times.
		// A response ended just before the timeout.
		return true
	}
	if idle || c.closeExpected() {
		c.awaitingRequest = false
		c.readStopped = true

		return false
	}
	c.setIdleDeadline()

	return true
}

// setIdleDeadline bounds the wait for a request by the idle timeout. After a stop, finish
// ends the wait. The caller of this method holds mu.
func (c *callerConn) setIdleDeadline() {
	c.idleUntil = time.Time{}
	if timeout := c.listener.limits().IdleTimeout; timeout > 0 && !c.readStopped {
		c.idleUntil = time.Now().Add(timeout) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	}
	_ = c.raw.SetReadDeadline(c.idleUntil)
}

// endWait ends a wait for a request. The caller of this method holds mu.
func (c *callerConn) endWait() {
	if c.awaitingRequest {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

func isTimeout(err error) bool {
	var netErr net.Error

	return errors.As(err, &netErr) && netErr.Timeout()
}

// readRequest reads a request and returns its exchange. If the request must be refused,
// it returns the HTTP status of the refusal instead; otherwise the status is 0.
func (c *callerConn) readRequest() (*Exchange, int, error) {
	limits := c.listener.limits()
	// Replaces the deadline of the wait for the request, which a stop may have ended.
	deadline := time.Time{}
	if limits.HeaderTimeout > 0 {
		deadline = time.Now().Add(limits.HeaderTimeout) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	}
	_ = c.raw.SetReadDeadline(deadline)
	c.limited.remaining = max(limits.HeaderBytes-c.reader.Buffered(), 0)
	first, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.limited.beginHead(first); err != nil {
		return nil, http.StatusBadRequest, nil //nolint:nilerr // The status says it to the caller.
	}
	r, err := http.ReadRequest(c.reader)
	c.limited.endHead()
	c.limited.remaining = -1
	if err == nil && !httpguts.ValidHostHeader(r.Host) {
		return nil, http.StatusBadRequest, nil
	}
	if err != nil {
		status := refusalStatus(err)
		if status == 0 {
			return nil, 0, fmt.Errorf("read request: %w", err)
		}

		return nil, status, nil
	}
	body, status, err := c.readBody(r, limits)
	refused := errors.Is(err, errNoBodyMemory)
	if status != 0 || err != nil && !refused {
		return nil, status, err
	}
	req := &Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body,
		ID:      r.Header.Get(c.listener.names.RequestID),
		Object:  cookie(r.Header, c.listener.names.ObjectCookie),
		hasBody: r.ContentLength != 0, BodyRefused: refused, keyHeaders: valuesOf(r.Header, c.listener.names.Key),
	}
	if ms, err := strconv.ParseUint(r.Header.Get(c.listener.names.Deadline), 10, 64); err == nil {
		req.Patience = units.ClampMillis(float64(ms))
	}
	req.Header = endToEndHeader(r.Header)
	if r.Close || !r.ProtoAtLeast(1, 1) || refused {
		c.mu.Lock()
		c.readStopped = true
		c.mu.Unlock()
	}

	return c.enqueue(req), 0, nil
}

// refusalStatus returns the HTTP status for a request that cannot be read, or 0 when the
// caller has left.
func refusalStatus(err error) int {
	var netErr net.Error
	var targetErr *url.Error
	switch {
	case errors.As(err, &targetErr):
		// It implements net.Error, too.
		return http.StatusBadRequest
	case errors.Is(err, errHeaderTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}

	return http.StatusBadRequest
}

// enqueue adds an exchange for a request. If no response to an earlier request is due,
// the exchange may respond at once.
func (c *callerConn) enqueue(req *Request) *Exchange {
	x := &Exchange{Request: req, conn: c, turn: make(chan struct{}), callerLeft: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding = append(c.outstanding, x)
	c.requests++
	c.readingRequest = false
	if len(c.outstanding) == 1 {
		close(x.turn)
	}

	return x
}

// stopReading ends the reading of requests. The connection is closed after the responses
// to the requests that were already read. A caller that was not told so in a response
// may still send a request, which is answered if it comes before the close.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readStopped = true
	c.endWait()
}

// finish removes an exchange that has ended and lets the next exchange respond. If broken
// is true, the response was not written completely and finish closes the connection.
func (c *callerConn) finish(x *Exchange, broken bool) {
	c.mu.Lock()
	if c.bodyAwaited && !broken && len(c.outstanding) == 1 {
		c.bodyAwaited = false
		c.mu.Unlock()
		// The next exchange can't respond before x is removed.
		broken = c.writeContinue() != nil
		c.mu.Lock()
	}
	index := slices.Index(c.outstanding, x)
	c.outstanding = slices.Delete(c.outstanding, index, index+1)
	if broken && !c.broken {
		c.broken = true
		for _, other := range c.outstanding {
			other.setCallerLeft()
		}
		_ = c.raw.Close()
	}
	if index == 0 && len(c.outstanding) > 0 {
		close(c.outstanding[0].turn)
	}
	closing := len(c.outstanding) == 0 && !c.readingRequest && !c.broken && c.responsesEnded()
	c.mu.Unlock()
	<-c.pipelineSlots
	if closing {
		c.closeGracefully()
	}
}
