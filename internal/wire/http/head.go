// Package http refuses broken messages over HTTP/1 that net/http accepts. A server in trouble
// may send such responses, and the caller would get a field or a body that the server did not
// mean. A request of a caller would reach the server with another body, or as two requests.
package http

import (
	"bytes"
	"errors"

	"golang.org/x/net/http/httpguts"
)

// Errors of broken heads.
var (
	// ErrStatusLine means that a response does not begin with a version of HTTP/1, a space and
	// a status from 100 to 999.
	ErrStatusLine = errors.New("response has no valid status line")
	// ErrFieldName means that the name of a field is empty or holds a byte that is not allowed
	// in names, or that a line has no colon. net/http accepts spaces in names, so that it
	// overlooks "Content-Length : 2".
	ErrFieldName = errors.New("head has a malformed field name")
	// ErrFoldedLine means that a line begins with a space or tab. It continues the value of the
	// line before (obs-fold, which RFC 9112 forbids to send), or it is a field with
	// whitespace before its name. The two cannot be told apart.
	ErrFoldedLine = errors.New("head has a line that begins with whitespace")
	// ErrFraming means that a message of HTTP/1.0 has a transfer encoding. That version has
	// none, so net/http would take the sizes of the chunks for a part of a response's body, and
	// a request for one without a body.
	ErrFraming = errors.New("message of HTTP/1.0 has a transfer encoding")
)

const (
	// chunkedVersion is the first version that has transfer encodings.
	chunkedVersion = "HTTP/1.1"
	// transferEncoding is the name of a field in lower case.
	transferEncoding = "transfer-encoding"
	// statusEnd is where the status ends in a status line. versionTail is how many bytes the
	// version takes at the end of a request line.
	statusEnd   = len("HTTP/1.1 200")
	versionTail = len("HTTP/1.1\r")
)

// headPart is what the next byte of a head belongs to.
type headPart int

const (
	// partStartLine: the status line, or the request line.
	partStartLine headPart = iota
	// partLineStart: the first byte of a field, or the end of the head.
	partLineStart
	partName
	partValue
	// partLastByte: the line feed that ends the head.
	partLastByte
	partEnded
)

// HeadScanner checks the lines of one head, from the first line to the empty line, for what
// net/http accepts although it is broken. It leaves all else to net/http. The zero value scans
// the head of a response.
type HeadScanner struct {
	// isRequest is true if the head is that of a request.
	isRequest bool
	part      headPart
	// lines counts the lines before the empty one.
	lines int
	// start is the status line without the reason phrase, or the end of the request line.
	// startBytes of it have been scanned.
	start      [statusEnd]byte
	startBytes int
	// isOld is true if the version has no transfer encodings.
	isOld bool
	// matched is how many bytes of the name agree with transferEncoding, or -1 once one does
	// not.
	matched int
}

// NewRequestScanner returns a scanner of the head of a request.
func NewRequestScanner() HeadScanner {
	return HeadScanner{isRequest: true}
}

// Scan checks the next bytes and returns how many of them belong to the head and are not
// broken. It returns less than all at the end of the head, or with an error.
func (s *HeadScanner) Scan(p []byte) (int, error) {
	for i := 0; i < len(p); i++ {
		switch s.part {
		case partEnded:
			return i, nil
		case partStartLine, partValue:
			line, _, ended := bytes.Cut(p[i:], []byte("\n"))
			if s.part == partStartLine {
				s.recordStart(line)
				if ended && !s.endStart() {
					return i, ErrStatusLine
				}
			}
			if !ended {
				return len(p), nil
			}
			i += len(line)
			s.part = partLineStart
			s.lines++
		default:
			if err := s.next(p[i]); err != nil {
				return i, err
			}
		}
	}

	return len(p), nil
}

// Ended reports whether the head is complete.
func (s *HeadScanner) Ended() bool {
	return s.part == partEnded
}

// Interim reports whether another head follows this one, because the response is an interim
// one. Switching protocols ends an exchange over HTTP/1.
func (s *HeadScanner) Interim() bool {
	code := string(s.start[len("HTTP/1.1 "):])

	return s.Ended() && code[0] == '1' && code != "101"
}

// recordStart records the next bytes of the first line.
func (s *HeadScanner) recordStart(p []byte) {
	if !s.isRequest {
		s.startBytes += copy(s.start[s.startBytes:], p)

		return
	}
	// Keeps the last bytes.
	p = p[max(len(p)-versionTail, 0):]
	kept := min(s.startBytes, versionTail-len(p))
	copy(s.start[:kept], s.start[s.startBytes-kept:s.startBytes])
	s.startBytes = kept + copy(s.start[kept:], p)
}

// endStart records the end of the first line. It returns false for a status line without a
// version and a status. net/http checks what follows them, and a request line.
func (s *HeadScanner) endStart() bool {
	start := s.start[:s.startBytes]
	if s.isRequest {
		start = bytes.TrimSuffix(start, []byte("\r"))
		s.isOld = string(start[max(len(start)-len(chunkedVersion), 0):]) < chunkedVersion

		return true
	}
	const minor, code = len("HTTP/1."), len("HTTP/1.1 ")
	if s.startBytes < statusEnd {
		return false
	}
	isDigit := func(b byte) bool { return b >= '0' && b <= '9' }
	c := start[code:]
	s.isOld = string(start[:len(chunkedVersion)]) < chunkedVersion

	return string(start[:minor]) == "HTTP/1." && isDigit(start[minor]) && start[code-1] == ' ' &&
		c[0] != '0' && isDigit(c[0]) && isDigit(c[1]) && isDigit(c[2])
}

// Lines returns the number of lines that were scanned, without the empty one.
func (s *HeadScanner) Lines() int {
	return s.lines
}

// next checks one byte of a name, or before or after a field.
func (s *HeadScanner) next(b byte) error {
	switch {
	case s.part == partLineStart:
		return s.startLine(b)
	case s.part == partLastByte && b == '\n':
		s.part = partEnded
	case s.part == partName && b == ':':
		s.part = partValue
		if s.isOld && s.matched == len(transferEncoding) {
			return ErrFraming
		}
	case s.part != partName || !httpguts.IsTokenRune(rune(b)):
		return ErrFieldName
	default:
		s.matchName(b)
	}

	return nil
}

// matchName compares the next byte of a name with transferEncoding.
func (s *HeadScanner) matchName(b byte) {
	const toLower = 'a' - 'A'
	if b >= 'A' && b <= 'Z' {
		b += toLower
	}
	if s.matched >= 0 && s.matched < len(transferEncoding) && transferEncoding[s.matched] == b {
		s.matched++
	} else {
		s.matched = -1
	}
}

// startLine checks the first byte of a line.
func (s *HeadScanner) startLine(b byte) error {
	switch {
	case b == '\r':
		s.part = partLastByte
	case b == '\n':
		s.part = partEnded
	case b == ' ', b == '\t':
		return ErrFoldedLine
	case !httpguts.IsTokenRune(rune(b)):
		return ErrFieldName
	default:
		s.part, s.matched = partName, 0
		s.matchName(b)
	}

	return nil
}
