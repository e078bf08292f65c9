package http1

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Exchange is one request of a caller and the response to it.
type Exchange struct {
	*Request

	conn *callerConn
	// headerWritten is true once it is decided whether the response says that the
	// connection closes. The connection's mu guards it.
	headerWritten bool
	// turn is closed when the responses to all earlier requests have been written.
	turn       chan struct{}
	callerLeft chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// left is true once callerLeft is closed.
	left bool
	// onCallerLeft is the function that OnCallerLeft has set, or nil.
	onCallerLeft func()
}

// CallerLeft returns a channel that is closed when no response can reach the caller any
// more: the caller has closed its connection, or the connection broke.
func (x *Exchange) CallerLeft() <-chan struct{} {
	return x.callerLeft
}

// OnCallerLeft calls f when the caller leaves, or at once if it has left. The function f
// replaces that of an earlier call; a nil f only removes it.
func (x *Exchange) OnCallerLeft(f func()) {
	x.mu.Lock()
	left := x.left
	x.onCallerLeft = f
	x.mu.Unlock()
	if left && f != nil {
		f()
	}
}

// setCallerLeft records that the caller has left and calls the function that OnCallerLeft
// has set.
func (x *Exchange) setCallerLeft() {
	x.mu.Lock()
	if x.left {
		x.mu.Unlock()

		return
	}
	x.left = true
	f := x.onCallerLeft
	close(x.callerLeft)
	x.mu.Unlock()
	if f != nil {
		f()
	}
}

// Abort closes the caller's connection without a response, after the responses to
// earlier requests.
func (x *Exchange) Abort() {
	select {
	case <-x.turn:
	case <-x.callerLeft:
	}
	x.conn.finish(x, true)
}

// buffers holds buffers for reuse. A buffer takes the header of a request or response
// and, if the body is short, the body too.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Respond writes the response after the responses to earlier requests, and closes r.Rest.
// If the response cannot be written completely, it closes the connection.
func (x *Exchange) Respond(r Response) {
	if r.Rest != nil {
		defer func() { _ = r.Rest.Close() }()
	}
	select {
	case <-x.turn:
	case <-x.callerLeft:
		x.conn.finish(x, true)

		return
	}
	x.conn.finish(x, x.writeResponse(r) != nil)
}

// maxCopiedBody is the size in bytes of the longest body that is written together with the
// header. A longer one is not copied, because its memory is reserved only once.
const maxCopiedBody = 4 << 10

// writeResponse writes the header and the body. The response to a HEAD request has no
// body.
func (x *Exchange) writeResponse(r Response) error {
	out, _ := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(out)
	out.Reset()
	chunked := r.Rest != nil && r.Length < 0
	x.writeHeader(out, r, chunked)
	w := callerWriter{conn: x.conn.raw}
	if x.Method == http.MethodHead {
		_, err := w.Write(out.Bytes())

		return err
	}
	if chunked {
		return writeChunks(w, out.Bytes(), r)
	}
	var err error
	if len(r.Body) <= maxCopiedBody {
		out.Write(r.Body)
		_, err = w.Write(out.Bytes())
	} else {
		err = w.writeParts(out.Bytes(), r.Body)
	}
	if err != nil || r.Rest == nil {
		return err
	}
	n, err := io.Copy(w, r.Rest)
	if err == nil && n != r.Length-int64(len(r.Body)) {
		err = io.ErrUnexpectedEOF
	}

	return err //nolint:wrapcheck // Only its presence matters.
}

// writeChunks writes a header and a body of unknown length in chunks.
func writeChunks(w callerWriter, header []byte, r Response) error {
	if _, err := w.Write(header); err != nil {
		return err
	}
	chunks := chunkWriter{dst: w}
	if _, err := chunks.Write(r.Body); err != nil {
		return err
	}
	if _, err := io.Copy(chunks, r.Rest); err != nil {
		return err //nolint:wrapcheck // Only its presence matters.
	}

	_, err := w.Write([]byte("0\r\n\r\n"))

	return err
}

// chunkWriter writes every slice as one chunk of the chunked transfer encoding.
type chunkWriter struct {
	dst callerWriter
}

func (w chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	size := append(strconv.AppendInt(nil, int64(len(p)), 16), "\r\n"...)
	if err := w.dst.writeParts(size, p, []byte("\r\n")); err != nil {
		return 0, err
	}

	return len(p), nil
}

// writeHeader encodes the status line and the header. It adds the headers that frame the
// body and, when the connection closes after this response, Connection: close.
func (x *Exchange) writeHeader(out *bytes.Buffer, r Response, chunked bool) {
	out.WriteString("HTTP/1.1 ")
	out.WriteString(strconv.Itoa(r.Status))
	out.WriteByte(' ')
	out.WriteString(http.StatusText(r.Status))
	out.WriteString("\r\n")
	for name, values := range r.Header {
		if name == "Connection" {
			continue
		}
		for _, value := range values {
			out.WriteString(name)
			out.WriteString(": ")
			out.WriteString(value)
			out.WriteString("\r\n")
		}
	}
	switch {
	case chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
	default:
		length := max(int64(len(r.Body)), r.Length)
		out.WriteString("Content-Length: ")
		out.WriteString(strconv.FormatInt(length, 10))
		out.WriteString("\r\n")
	}
	if x.conn.announcesClose(x, r.Header.Get("Connection") == "close") {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
}
