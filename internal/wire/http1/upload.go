package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// upload is the writing of a request, which may go on while the response is read.
type upload struct {
	// ended is closed once nothing more is written. Then err is why the writing failed, or
	// nil.
	ended chan struct{}
	err   error
}

// finishedUpload is a request that has been written.
var finishedUpload = func() *upload {
	u := &upload{ended: make(chan struct{})}
	close(u.ended)

	return u
}()

// errNothingSent means that the connection took no byte of a request.
var errNothingSent = errors.New("no byte was sent")

// sendRequest writes the header and the body. A body longer than maxInlineBody is written
// in a goroutine of its own, while the response is read.
func (c *serverConn) sendRequest(header *bytes.Buffer, body []byte) (*upload, error) {
	if len(body) <= maxInlineBody {
		header.Write(body)
		n, err := c.raw.Write(header.Bytes())
		buffers.Put(header)
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", errNothingSent, err)
		}

		return finishedUpload, err //nolint:wrapcheck // The caller adds the context.
	}
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		_, u.err = c.raw.Write(header.Bytes())
		if u.err == nil {
			_, u.err = c.raw.Write(body)
		}
		buffers.Put(header)
	}()

	return u, nil
}

// responseBody returns the body of the response to the request. If only the end of the
// connection ends the body, its end is reported once the request has been written, and the
// reading fails if that failed: the kernel reports a reset once only, and while it tells the
// writer, the reader sees an orderly end.
func (u *upload) responseBody(resp *http.Response) io.ReadCloser {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return resp.Body
	}

	return &closeDelimitedBody{ReadCloser: resp.Body, upload: u}
}

// closeDelimitedBody is a body that ends with the connection.
type closeDelimitedBody struct {
	io.ReadCloser

	upload *upload
}

func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // A reader returns the error as it is.
	}
	<-b.upload.ended
	if b.upload.err != nil {
		return n, fmt.Errorf("connection ended before the whole request was sent: %w", b.upload.err)
	}

	return n, io.EOF
}
