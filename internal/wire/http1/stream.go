package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// streamBuffer is the size in bytes of the buffer by which the rest of a long response
	// is read; without memory for it freeResponseBody replaces it.
	streamBuffer = 32 << 10
	// pieceOverhead is what a piece takes beside its bytes.
	pieceOverhead = 64
	// streamSilence is how long a server may send nothing of a response with a stated length
	// after the deadline of its request.
	streamSilence = 5 * time.Second
)

// streamedBody is the rest of a response that is too long to be held; its connection is
// not reused. A goroutine reads ahead while there is memory, because a server cuts off a
// response that is not read for some seconds.
type streamedBody struct {
	body   io.Reader
	conn   *serverConn
	memory *memory
	// stop prevents the end of the request's context from interrupting the connection.
	stop func() bool
	// deadline is that of the request, zero if the end of its context interrupts the
	// connection.
	deadline time.Time
	// done is closed when nothing is read ahead any more.
	done chan struct{}

	// mu guards the fields below. changed is signalled when they change.
	mu      sync.Mutex
	changed *sync.Cond
	// pieces are read and not yet written to the caller. The last one is not reserved if
	// lastIsFree is true; it lies in the buffer, and nothing is read until it is taken.
	pieces     [][]byte
	lastIsFree bool
	// err is why nothing follows the pieces, io.EOF at the end.
	err error
	// interrupted is true once the connection must not be read any more.
	interrupted bool
}

// newStreamedBody starts to read the rest of a response ahead. A response with a stated
// length is read beyond the deadline of ctx while the server goes on sending: its caller may
// be the one that is late.
func (p *Pool) newStreamedBody(ctx context.Context, resp *http.Response, c *serverConn, stop func() bool) *streamedBody {
	r := &streamedBody{body: resp.Body, conn: c, memory: &p.memory, stop: stop, done: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	if deadline, ok := ctx.Deadline(); ok && resp.ContentLength >= 0 && stop() {
		r.deadline = deadline
		r.stop = context.AfterFunc(ctx, func() {
			if errors.Is(ctx.Err(), context.Canceled) {
				r.interrupt()
			}
		})
	}
	go r.readAhead()

	return r
}

// interrupt ends the reading.
func (r *streamedBody) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = true
	_ = r.conn.raw.SetDeadline(time.Unix(1, 0))
	r.changed.Broadcast()
}

// readAhead reads until the end, an error or an interruption.
func (r *streamedBody) readAhead() {
	defer close(r.done)
	size := int64(streamBuffer)
	if r.memory.reserve(size) {
		defer r.memory.release(size)
	} else {
		size = freeResponseBody
	}
	buffer := make([]byte, size)
	for r.extendDeadline() {
		n, err := r.body.Read(buffer)
		if !r.add(buffer[:n], err) {
			return
		}
	}
}

// extendDeadline lets the next read wait for the server until the deadline and for
// streamSilence at least. It returns false if the connection must not be read.
func (r *streamedBody) extendDeadline() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deadline.IsZero() && !r.interrupted {
		until := time.Now().Add(streamSilence) //nolint:forbidigo // Deadlines of connections are wall-clock times.
		if r.deadline.After(until) {
			until = r.deadline
		}
		_ = r.conn.raw.SetReadDeadline(until)
	}

	return !r.interrupted
}

// add adds a piece that was read. Without memory it waits until the piece is taken. It
// returns false if nothing must be read any more.
func (r *streamedBody) add(piece []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	switch {
	case len(piece) == 0:
	case r.memory.reserveHalf(pieceBytes(piece)):
		r.pieces = append(r.pieces, bytes.Clone(piece))
	default:
		r.pieces, r.lastIsFree = append(r.pieces, piece), true
	}
	r.changed.Broadcast()
	for r.lastIsFree && !r.interrupted {
		r.changed.Wait()
	}

	return err == nil && !r.interrupted
}

// pieceBytes returns what is reserved for a piece.
func pieceBytes(piece []byte) int64 {
	return int64(len(piece)) + pieceOverhead
}

// first waits for the first piece and returns it.
func (r *streamedBody) first() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pieces) == 0 && r.err == nil && !r.interrupted {
		r.changed.Wait()
	}
	switch {
	case len(r.pieces) > 0:
		return r.pieces[0], nil
	case r.err != nil:
		return nil, r.err
	}

	return nil, errInterrupted
}

// errInterrupted means that the context of a request has ended, or its response was closed.
var errInterrupted = errors.New("response was interrupted")

// taken drops n bytes of the first piece.
func (r *streamedBody) taken(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case n < len(r.pieces[0]):
		if !r.lastIsFree || len(r.pieces) > 1 {
			r.memory.release(int64(n))
		}
		r.pieces[0] = r.pieces[0][n:]
	case r.lastIsFree && len(r.pieces) == 1:
		r.pieces, r.lastIsFree = nil, false
	default:
		r.memory.release(pieceBytes(r.pieces[0]))
		r.pieces = r.pieces[1:]
	}
	r.changed.Broadcast()
}

func (r *streamedBody) Read(p []byte) (int, error) {
	piece, err := r.first()
	if err != nil {
		return 0, err
	}
	n := copy(p, piece)
	r.taken(n)

	return n, nil
}

// WriteTo implements io.WriterTo, which spares io.Copy a buffer that is not reserved.
func (r *streamedBody) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for {
		piece, err := r.first()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err //nolint:wrapcheck // A writer returns the error as it is.
		}
		r.taken(n)
	}
}

// Close closes the connection and gives back the memory.
func (r *streamedBody) Close() error {
	r.stop()
	r.interrupt()
	err := r.conn.raw.Close()
	<-r.done
	for len(r.pieces) > 0 {
		r.taken(len(r.pieces[0]))
	}

	return err //nolint:wrapcheck // Only its presence matters.
}
