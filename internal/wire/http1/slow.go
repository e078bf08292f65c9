package http1

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// writeTimeout is how long a caller may take no byte of a response.
	writeTimeout = 20 * time.Second
	// writeTries is how often in that time the connection is asked to take more. The kernel
	// reports room only once a third of the send buffer is free, which a slow caller may not
	// reach in writeTimeout.
	writeTries = 4
	// callerSendBuffer is the size in bytes of a connection's send buffer, of which the kernel
	// reserves twice as much. By default it grows to 4 MB, which no bound on the memory for
	// responses would count.
	callerSendBuffer = 64 << 10
)

// errCallerStuck means that a caller has taken no byte for writeTimeout.
var errCallerStuck = errors.New("caller reads nothing")

// callerWriter writes to a caller that may read slowly. It gives up when the caller takes
// nothing for writeTimeout, however long the whole takes.
type callerWriter struct {
	conn net.Conn
}

func (w callerWriter) Write(p []byte) (int, error) {
	written := 0
	err := w.persist(func() (int64, error) {
		n, err := w.conn.Write(p[written:])
		written += n

		return int64(n), err //nolint:wrapcheck // Only its presence matters.
	})

	return written, err
}

// writeParts writes the parts one after the other, without a copy.
func (w callerWriter) writeParts(parts ...[]byte) error {
	left := net.Buffers(parts)

	return w.persist(func() (int64, error) { return left.WriteTo(w.conn) })
}

// persist repeats a write, which continues where the one before has ended, while the caller
// takes any bytes.
func (w callerWriter) persist(write func() (int64, error)) error {
	for tries := 0; tries < writeTries; tries++ {
		_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout / writeTries)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
		n, err := write()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if n > 0 {
			tries = 0
		}
	}

	return errCallerStuck
}
