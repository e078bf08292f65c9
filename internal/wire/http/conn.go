package http

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// Conn is a connection over which net/http sends requests. It fails reads that would let
// net/http take a broken response for an answer: in a head that HeadScanner refuses, and at
// an end of the connection before the whole request was sent.
type Conn struct {
	net.Conn

	// mu guards the fields below. written is signalled when those of the writing change.
	mu      sync.Mutex
	written *sync.Cond
	// sending is true from the beginning of an exchange until its request has been written.
	sending bool
	// writing counts the writes in progress. writeErr is why one has failed, or nil.
	writing  int
	writeErr error
	// abandoned is true once nobody waits for the rest of the response.
	abandoned bool
	// scanning is true until the end of the head that scanner scans.
	scanning bool
	scanner  HeadScanner
}

// NewConn returns a Conn over raw.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.written = sync.NewCond(&c.mu)

	return c
}

// BeginExchange expects a request to be written, and the head of its response to be read next.
func (c *Conn) BeginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending, c.scanning, c.scanner = true, true, HeadScanner{}
}

// RequestWritten records that the writing of a request has ended, with an error or nil.
func (c *Conn) RequestWritten(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	if err != nil {
		c.writeErr = err
	}
	c.written.Broadcast()
}

// Abandon ends a read that waits for the rest of a request to be written.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.written.Broadcast()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.Abandon()

	return c.Conn.Close() //nolint:wrapcheck // A connection returns the error as it is.
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n, headErr := c.scan(p[:n])
	switch {
	case headErr != nil:
		// What was read before the broken byte is returned too, so that net/http does not
		// send the request again as if there was no response.
		return n, fmt.Errorf("read head of response: %w", headErr)
	case errors.Is(err, io.EOF):
		return n, c.end()
	}

	return n, err //nolint:wrapcheck // A connection returns the error as it is.
}

// scan returns how many of the bytes that were read are not broken.
func (c *Conn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := 0; c.scanning && n < len(p); {
		scanned, err := c.scanner.Scan(p[n:])
		n += scanned
		if err != nil {
			return n, err //nolint:wrapcheck // Read adds the context.
		}
		if c.scanner.Ended() {
			c.scanning, c.scanner = c.scanner.Interim(), HeadScanner{}
		}
	}

	return len(p), nil
}

// end returns the error with which the connection ends. The kernel reports a reset once only,
// and while it tells a writer, the reader sees an orderly end, which may end a body. A server
// that fails between two writes ends the connection orderly. So an end after the head of a
// response counts once the whole request has been written.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanning {
		return io.EOF
	}
	for (c.sending || c.writing > 0) && c.writeErr == nil && !c.abandoned {
		c.written.Wait()
	}
	switch {
	case c.writeErr != nil:
		return fmt.Errorf("connection ended before the whole request was sent: %w", c.writeErr)
	case c.abandoned:
		return net.ErrClosed
	}

	return io.EOF
}

func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil {
		c.writeErr = err
	}
	c.written.Broadcast()

	return n, err //nolint:wrapcheck // A connection returns the error as it is.
}
