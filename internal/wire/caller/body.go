package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeldBodyBytes is the length of the longest request body that is held to be
	// sent again, and of the longest response body that is held for duplicates.
	maxHeldBodyBytes = 64 << 10
	// maxFingerprintedBytes is the length of the start of a request body that the
	// fingerprint covers.
	maxFingerprintedBytes = 4 << 10
)

// body is the body of a caller's request. A short body is held as a whole. Any other body
// is streamed to a single attempt, the first one that reads it.
type body struct {
	// start holds the whole body or, when the body is streamed, the part that was read
	// for the fingerprint or to find out whether the body is short.
	start []byte
	// rest reads what follows start. It is nil when the whole body is held.
	rest io.Reader
	// length is the length of the body in bytes, or -1 when it is not known.
	length int64
	// streamTaken is true once an attempt has read from the stream.
	streamTaken atomic.Bool
	// readFailed is true once reading from the caller failed.
	readFailed atomic.Bool
}

// errBodyTaken ends an attempt that reads a streamed body after another attempt has read
// from it.
var errBodyTaken = errors.New("request body was already read")

// readBody reads the whole body when its length is at most maxHeldBodyBytes. Of a body
// whose announced length is greater, it reads the first maxFingerprintedBytes. When the
// length is not announced, it reads up to maxHeldBodyBytes+1 bytes to find out whether
// the body is short.
func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > maxHeldBodyBytes {
		return readStart(r, maxFingerprintedBytes)
	}
	if r.ContentLength > 0 {
		start := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, start); err != nil {
			return nil, fmt.Errorf("read request body: %w", err)
		}

		return &body{start: start, length: r.ContentLength}, nil
	}

	return readStart(r, maxHeldBodyBytes+1)
}

// readStart reads up to limit bytes of the body. A body whose length is not announced is
// held as a whole if it is shorter than limit.
func readStart(r *http.Request, limit int64) (*body, error) {
	start, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if r.ContentLength < 0 && int64(len(start)) < limit {
		return &body{start: start, length: int64(len(start))}, nil
	}

	return &body{start: start, rest: r.Body, length: r.ContentLength}, nil
}

// replayable returns whether the whole body is held, so that more than one attempt can
// send it.
func (b *body) replayable() bool {
	return b.rest == nil
}

// fingerprint returns the part of the body that the fingerprint covers.
func (b *body) fingerprint() []byte {
	return b.start[:min(len(b.start), maxFingerprintedBytes)]
}

// open returns a reader of the body for one attempt.
func (b *body) open() io.ReadCloser {
	if b.rest != nil {
		return &bodyStream{body: b, source: io.MultiReader(bytes.NewReader(b.start), b.rest)}
	}
	if len(b.start) == 0 {
		return http.NoBody
	}

	return io.NopCloser(bytes.NewReader(b.start))
}

// bodyStream reads a streamed body for one attempt. Only the first bodyStream of a
// request that is read returns the body; reads from the others fail with errBodyTaken.
type bodyStream struct {
	body   *body
	source io.Reader
	// owner is true once this bodyStream has read from the stream.
	owner bool
}

func (s *bodyStream) Read(p []byte) (int, error) {
	if !s.owner && !s.body.streamTaken.CompareAndSwap(false, true) {
		return 0, errBodyTaken
	}
	s.owner = true
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.body.readFailed.Store(true)
	}

	return n, err
}

// Close does nothing: the HTTP server closes the caller's body.
func (s *bodyStream) Close() error {
	return nil
}
