package http1

import "time"

// This file decides when a caller's connection closes, and what happens to what the caller
// sends meanwhile: a request is answered, or left unread, unless a response has said that
// the connection closes.

// lingerTimeout is how long a connection stays open after its sending side was closed.
// Closing a connection with unread bytes resets it, and a reset could discard the last
// response on its way.
const lingerTimeout = 500 * time.Millisecond

// closeExpected reports whether the caller expects no answer to what it sends now, because
// a response says that the connection closes, or will say so. The caller of this method
// holds mu.
func (c *callerConn) closeExpected() bool {
	last := len(c.outstanding) - 1

	return c.closeAnnounced || c.readStopped && last >= 0 && !c.outstanding[last].headerWritten
}

// announcesClose reports whether the response to x must say that the connection closes:
// asked is true, or the connection closes after the responses that are due, and x gets the
// last of them.
func (c *callerConn) announcesClose(x *Exchange, asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopping := c.readStopped || c.listener.closeAfterResponses.Load()
	last := stopping && !c.readingRequest && len(c.outstanding) == 1 && c.outstanding[0] == x
	c.closeAnnounced = c.closeAnnounced || asked || last
	c.readStopped = c.readStopped || c.closeAnnounced
	x.headerWritten = true

	return asked || last
}

// responsesEnded decides what follows when no response is due and no request is being read.
// It reports whether the connection must be closed now. The caller of this method holds mu.
func (c *callerConn) responsesEnded() bool {
	switch {
	case c.closeAnnounced:
		return true
	case c.readStopped:
		// The reading goroutine closes the connection, unless it has read a request meanwhile.
		c.endWait()
	case c.awaitingRequest:
		c.setIdleDeadline()
	}

	return false
}

// discardUntilClosed discards what the caller sends after the last request that is read,
// until the connection ends. It returns at once when no response is due. It reports
// whether the connection ended before all responses were written, which means that the
// caller left.
func (c *callerConn) discardUntilClosed() bool {
	c.mu.Lock()
	c.readStopped = true
	if len(c.outstanding) == 0 {
		c.mu.Unlock()

		return false
	}
	c.limited.remaining = -1
	_ = c.raw.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	c.discard(c.reader)
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.outstanding) > 0
}

// closeGracefully closes the sending side before it closes the connection. Otherwise
// unread bytes would reset the connection, which could discard the last response on its
// way.
func (c *callerConn) closeGracefully() {
	c.closeOnce.Do(func() {
		half, ok := c.raw.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			_ = c.raw.Close()

			return
		}
		c.mu.Lock()
		c.sendingClosed = true
		announced := c.closeAnnounced
		c.mu.Unlock()
		if announced {
			c.linger()

			return
		}
		// The caller may send a request before it learns of the close. It must stay unread:
		// there is no way to answer it any more.
		time.AfterFunc(lingerTimeout, func() { _ = c.raw.Close() })
	})
}

// linger discards what the caller still sends, for at most lingerTimeout, and closes the
// connection.
func (c *callerConn) linger() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	c.listener.goroutines.Go(func() {
		c.discard(c.raw)
		_ = c.raw.Close()
	})
}
