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

// body is the body of a caller's request. Short ones are held as a whole;
// others are streamed to the one attempt that reads them.
type body struct {
	// start holds the whole body, or the part of a stream that was read to fingerprint
	// it or to find its length.
	start []byte
	// rest is what follows start, or nil when the whole body is held.
	rest io.Reader
	// length is in bytes, or -1 when it is not known.
	length int64
	// streamTaken is true once an attempt has read from the stream.
	streamTaken atomic.Bool
	// readFailed is true once reading from the caller failed.
	readFailed atomic.Bool
}

// errBodyTaken ends an attempt when another one has read from the stream.
var errBodyTaken = errors.New("request body was already read")

// readBody reads the body when it is not longer than maxHeldBodyBytes. Of a longer
// one it reads the part that is fingerprinted or, when the length is not announced,
// the first maxHeldBodyBytes+1 bytes.
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

// readStart reads up to limit bytes of the body. A shorter body of unannounced length
// is then held as a whole.
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

// replayable returns whether the whole body is held.
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

// bodyStream reads a streamed body. Only the first of a request's bodyStreams that
// is read from returns the body; reads of the others fail.
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
