package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// defaultHeaderBytes replaces RequestLimits.HeaderBytes while there is no limit.
	defaultHeaderBytes = 64 << 10
	// bodyBlock is the number of bytes by which the buffer of a body without a stated
	// length grows.
	bodyBlock = 32 << 10
)

// errNoBodyMemory means that the body of a request does not fit into the memory for
// bodies.
var errNoBodyMemory = errors.New("no memory for the body of the request")

// readBody returns the whole body, for which cap(body) bytes of memory are reserved. If
// the request must be refused, it returns the HTTP status of the refusal instead;
// otherwise the status is 0. Without enough memory it fails with errNoBodyMemory; a body
// with a stated length is not read then.
func (c *callerConn) readBody(r *http.Request, limits RequestLimits) (body []byte, status int, err error) {
	size := r.ContentLength
	if size < 0 {
		size = bodyBlock
	}
	switch {
	case r.ContentLength == 0:
		return nil, 0, nil
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return nil, http.StatusRequestEntityTooLarge, nil
	case !c.listener.bodies.reserve(size):
		return nil, 0, errNoBodyMemory
	}
	body = make([]byte, 0, size)
	defer func() {
		if status != 0 || err != nil {
			c.listener.bodies.release(int64(cap(body)))
			body = nil
		}
	}()
	if r.Header.Get("Expect") != "" {
		if err := c.askForBody(); err != nil {
			return body, 0, err
		}
		defer c.stopAskingForBody()
	}
	// The body may take as long as the caller needs to send it.
	_ = c.raw.SetReadDeadline(time.Time{})
	for {
		if len(body) == cap(body) && r.ContentLength < 0 {
			// Doubling keeps the copying of long bodies short.
			if !c.listener.bodies.reserve(int64(cap(body))) {
				return body, 0, errNoBodyMemory
			}
			grown := make([]byte, len(body), 2*cap(body))
			copy(grown, body)
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limits.BodyBytes > 0 && int64(len(body)) > limits.BodyBytes:
			return body, http.StatusRequestEntityTooLarge, nil
		case errors.Is(err, io.EOF):
			return body, 0, nil
		case err != nil:
			return body, 0, fmt.Errorf("read body: %w", err)
		}
	}
}

// askForBody sends 100 Continue to a caller that waits for it before it sends the body.
// While responses to earlier requests are due, finish sends it after the last of them.
func (c *callerConn) askForBody() error {
	c.mu.Lock()
	c.bodyAwaited = len(c.outstanding) > 0
	deferred := c.bodyAwaited
	c.mu.Unlock()
	if deferred {
		return nil
	}

	return c.writeContinue()
}

// stopAskingForBody ends what askForBody has begun: the body has arrived, or never will.
func (c *callerConn) stopAskingForBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyAwaited = false
}

// writeContinue writes 100 Continue. No response may be written meanwhile.
func (c *callerConn) writeContinue() error {
	if _, err := (callerWriter{conn: c.raw}).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		return fmt.Errorf("send 100 Continue: %w", err)
	}

	return nil
}
