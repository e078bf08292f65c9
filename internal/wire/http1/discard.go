package http1

import (
	"io"
	"net"
)

// Discarded describes bytes of a caller that were read and not taken as a request.
type Discarded struct {
	// Caller is the address of the caller.
	Caller net.Addr
	Bytes  int64
	// Requests counts the requests that were read on the connection before.
	Requests int
	// CloseAnnounced is true when a response had said that the connection closes. Then no
	// caller expects an answer to what it sends behind that response.
	CloseAnnounced bool
	// SendingClosed is true when the connection was closed for sending already.
	SendingClosed bool
}

// OnDiscard calls f whenever bytes of a caller are discarded. It must be called before
// Serve.
func (l *Listener) OnDiscard(f func(Discarded)) {
	l.onDiscard = f
}

// discard reads from r until the connection ends and reports what it has read.
func (c *callerConn) discard(r io.Reader) {
	n, _ := io.Copy(io.Discard, r)
	c.reportDiscarded(n)
}

func (c *callerConn) reportDiscarded(bytes int64) {
	if bytes == 0 || c.listener.onDiscard == nil {
		return
	}
	c.mu.Lock()
	d := Discarded{
		Caller: c.raw.RemoteAddr(), Bytes: bytes, Requests: c.requests,
		CloseAnnounced: c.closeAnnounced, SendingClosed: c.sendingClosed,
	}
	c.mu.Unlock()
	c.listener.onDiscard(d)
}
