package backend

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

// lingerTimeout bounds the wait for a backend server to close its side of a
// connection that was closed here. Even a straggler (a server that is slow for a
// short period) usually closes its side sooner.
const lingerTimeout = 5 * time.Second

// errSealed is returned by writes to a connection after seal, abort or Close.
var errSealed = errors.New("connection is closed for writing")

// conn is a connection to a backend server that carries one exchange (a request
// and its response) after another. It counts the bytes, so that a request is
// reported as not sent only when the operating system accepted none of its bytes.
type conn struct {
	*wirehttp.Conn

	// release frees the connection's place under the limit of its address.
	release   func()
	closeOnce sync.Once
	// lingerEnded is closed after Close, once either the backend server has closed its
	// side or lingerTimeout has passed. A server that has closed its side does not run
	// the request any more.
	lingerEnded chan struct{}
	// readMu is held while a read is in progress.
	readMu sync.Mutex

	mu sync.Mutex
	// bytesWritten and bytesRead are totals since the connection was opened.
	bytesWritten int64
	bytesRead    int64
	// sealed is true when every later write fails.
	sealed bool
	// closing is true when Close was called; every later read fails.
	closing bool
	// exchange is the number of the exchange that began last. The first exchange has
	// number 1; 0 means that none has begun.
	exchange uint64
	// bytesWrittenAtStart and bytesReadAtStart are the values of bytesWritten and
	// bytesRead when this exchange began.
	bytesWrittenAtStart int64
	bytesReadAtStart    int64
	// readBeforeWrite is true when bytes were read after the exchange began and
	// before any byte of its request was written.
	readBeforeWrite bool
	// onFirstByte is called before the first byte of the exchange is written; it is
	// nil after that.
	onFirstByte func()
}

// begin starts an exchange and returns its number. onFirstByte is called before the
// first byte of the exchange is written, unless onFirstByte is nil.
func (c *conn) begin(onFirstByte func()) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesWrittenAtStart, c.bytesReadAtStart, c.readBeforeWrite, c.onFirstByte = c.bytesWritten, c.bytesRead, false, onFirstByte
	c.exchange++

	return c.exchange
}

// sent returns whether a byte of the exchange was written. When the connection has
// begun a later exchange, sent returns true, because the connection begins an
// exchange only after the request of the previous exchange was written.
func (c *conn) sent(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.exchange != exchange || c.bytesWritten > c.bytesWrittenAtStart
}

// seal makes every later write fail and returns whether a byte of the exchange
// was written before. When the connection has begun another exchange, seal changes
// nothing and returns true.
func (c *conn) seal(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != exchange {
		return true
	}
	c.sealed = true

	return c.bytesWritten > c.bytesWrittenAtStart
}

// abort closes the connection if no later exchange has begun and a byte of the
// exchange was written. It returns whether it closed the connection.
func (c *conn) abort(exchange uint64) bool {
	c.mu.Lock()
	shouldClose := c.exchange == exchange && c.bytesWritten > c.bytesWrittenAtStart
	if shouldClose {
		c.sealed = true
	}
	c.mu.Unlock()
	if shouldClose {
		_ = c.Close()
	}

	return shouldClose
}

// leftover returns whether the first bytes of the response were received before
// the first byte of the request was written. Such bytes are left over from an earlier
// response that was longer than announced. leftover is called when the first byte of
// the response is available: if nothing was read since the exchange began, that byte
// was already buffered.
func (c *conn) leftover() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.readBeforeWrite || c.bytesRead == c.bytesReadAtStart
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()

		return 0, errSealed
	}
	onFirstByte := c.onFirstByte
	c.onFirstByte = nil
	// Counts the bytes before the write, because seal may be called during the write.
	c.bytesWritten += int64(len(p))
	c.mu.Unlock()
	if onFirstByte != nil {
		onFirstByte()
	}
	n, err := c.Conn.Write(p)
	if n < len(p) {
		c.mu.Lock()
		c.bytesWritten -= int64(len(p) - n)
		c.mu.Unlock()
	}

	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.bytesRead += int64(n)
		if c.bytesWritten == c.bytesWrittenAtStart {
			c.readBeforeWrite = true
		}
		c.mu.Unlock()
	}

	return n, err
}

// Close closes the sending side of the connection and returns at once. The
// connection stays open and counts towards the limit until the server has closed
// its side or lingerTimeout has passed. A server notices with a delay that its
// client is gone, and the request occupies one of the server's slots until then.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.sealed, c.closing = true, true
		c.mu.Unlock()
		// Ends the read and the write in progress.
		_ = c.SetDeadline(time.Unix(1, 0))
		c.Abandon()
		go c.linger()
	})

	return nil
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing
}

// linger closes the sending side, waits for the server to close its side, for
// lingerTimeout at most, and then closes the connection.
func (c *conn) linger() {
	defer close(c.lingerEnded)
	defer c.release()
	defer func() { _ = c.Conn.Close() }()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	raw := c.Conn.Conn
	writer, ok := raw.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil { //nolint:forbidigo // Deadlines of connections are wall-clock times.
		return
	}
	_, _ = io.Copy(io.Discard, raw)
}
