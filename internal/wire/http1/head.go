package http1

import (
	"fmt"
	"io"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

// headReader reads from a backend server. It checks a response's head and bounds its bytes
// and lines. What follows the head in the same read is neither checked nor counted.
type headReader struct {
	source io.Reader
	// reading is true while a head is read and its end has not been seen.
	reading bool
	scanner wirehttp.HeadScanner
	// bytes is the size of the head so far. maxBytes and maxLines bound it.
	bytes, maxBytes, maxLines int
	// extend is called when a head exceeds the usual size, or nil once it was. The head may
	// be longer if it returns true.
	extend func() bool
}

// begin starts a head of the usual size, whose first bytes have been read before.
func (h *headReader) begin(first []byte, extend func() bool) error {
	*h = headReader{source: h.source, reading: true, extend: extend, maxBytes: usualResponseHead, maxLines: usualResponseLines}

	return h.scan(first)
}

// end ends the head.
func (h *headReader) end() {
	h.reading = false
}

func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if scanErr := h.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}

	return n, err //nolint:wrapcheck // A reader must return io.EOF as it is.
}

// scan checks and counts the bytes of a head up to its end.
func (h *headReader) scan(p []byte) error {
	if !h.reading {
		return nil
	}
	n, err := h.scanner.Scan(p)
	if err != nil {
		return fmt.Errorf("read head of response: %w", err)
	}
	h.bytes += n
	h.reading = !h.scanner.Ended()
	if h.bytes <= h.maxBytes && h.scanner.Lines() <= h.maxLines {
		return nil
	}
	if h.extend == nil || !h.extend() {
		return errHeaderTooLong
	}
	h.extend = nil
	h.maxBytes, h.maxLines = maxResponseHead, maxResponseLines
	if h.bytes > h.maxBytes || h.scanner.Lines() > h.maxLines {
		return errHeaderTooLong
	}

	return nil
}
