// Package http refuses broken responses over HTTP/1 that net/http accepts. A server in trouble
// may send them, and the caller would get a field or a body that the server did not mean.
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
	ErrFieldName = errors.New("response has a malformed field name")
	// ErrFoldedLine means that a line begins with a space or tab. It continues the value of the
	// line before (obs-fold, which RFC 9112 forbids servers to send), or it is a field with
	// whitespace before its name. The two cannot be told apart.
	ErrFoldedLine = errors.New("response has a line that begins with whitespace")
	// ErrFraming means that a response of HTTP/1.0 has a transfer encoding. That version has
	// none, so net/http would take the sizes of the chunks for a part of the body.
	ErrFraming = errors.New("response of HTTP/1.0 has a transfer encoding")
)

const (
	// oldVersion is the version that has no transfer encodings.
	oldVersion = "HTTP/1.0"
	// transferEncoding is the name of a field in lower case.
	transferEncoding = "transfer-encoding"
	// statusEnd is where the status ends in a status line.
	statusEnd = len("HTTP/1.1 200")
)

// headPart is what the next byte of a head belongs to.
type headPart int

const (
	partStatusLine headPart = iota
	// partLineStart: the first byte of a field, or the end of the head.
	partLineStart
	partName
	partValue
	// partLastByte: the line feed that ends the head.
	partLastByte
	partEnded
)

// HeadScanner checks the lines of one head, from the status line to the empty line, for what
// net/http accepts although it is broken. It leaves all else to net/http.
type HeadScanner struct {
	part headPart
	// lines counts the lines before the empty one.
	lines int
	// status is the status line without the reason phrase, of which statusBytes have been
	// scanned.
	status      [statusEnd]byte
	statusBytes int
	// matched is how many bytes of the name agree with transferEncoding, or -1 once one does
	// not.
	matched int
}

// Scan checks the next bytes and returns how many of them belong to the head and are not
// broken. It returns less than all at the end of the head, or with an error.
func (s *HeadScanner) Scan(p []byte) (int, error) {
	for i := 0; i < len(p); i++ {
		switch s.part {
		case partEnded:
			return i, nil
		case partStatusLine, partValue:
			length := bytes.IndexByte(p[i:], '\n')
			if s.part == partStatusLine {
				s.statusBytes += copy(s.status[s.statusBytes:], p[i:])
				if length >= 0 && !s.hasStatus() {
					return i, ErrStatusLine
				}
			}
			if length < 0 {
				return len(p), nil
			}
			i += length
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
	code := string(s.status[len("HTTP/1.1 "):])

	return s.Ended() && code[0] == '1' && code != "101"
}

// hasStatus reports whether the status line has a version and a status. net/http checks what
// follows them.
func (s *HeadScanner) hasStatus() bool {
	const minor, code = len("HTTP/1."), len("HTTP/1.1 ")
	isDigit := func(b byte) bool { return b >= '0' && b <= '9' }
	c := s.status[code:]

	return string(s.status[:minor]) == "HTTP/1." && isDigit(s.status[minor]) && s.status[code-1] == ' ' &&
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
		if s.matched == len(transferEncoding) && string(s.status[:len(oldVersion)]) == oldVersion {
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
