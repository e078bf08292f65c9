package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/units"
)

// Bounds on what a backend server may send. A server in trouble may send bytes without
// end. Reading beyond a bound fails, which closes the connection.
const (
	// maxResponseHead is the size in bytes of the longest status line and header together,
	// maxResponseLines the greatest number of their lines. A parsed field takes far more
	// memory than the shortest line.
	maxResponseHead  = 64 << 10
	maxResponseLines = 256
	// usualResponseHead and usualResponseLines bound the heads that are read without a
	// reservation of memory. longHeadMemory is what is reserved for a longer one.
	usualResponseHead  = 4 << 10
	usualResponseLines = 64
	longHeadMemory     = maxResponseHead + maxResponseLines<<8
	// maxResponsesRead is how many responses an attempt reads to find the response to its
	// own request. Interim responses and responses to other requests are skipped.
	maxResponsesRead = 3
	// maxSkippedBody is the size in bytes of the longest body of a response to another
	// request.
	maxSkippedBody = 256 << 10
	// maxPause bounds how long a server may ask not to be sent requests.
	maxPause = time.Hour
)

// readHead reads the status line and the header of a response. Reading its body is not
// limited; net/http bounds the chunk headers and the trailer of a chunked body itself.
func (c *serverConn) readHead(r *http.Request, held *reservation) (*http.Response, error) {
	// The start of a head that follows another response may have been read with it.
	first, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.begin(first, func() bool { return held.takeOnce(longHeadMemory) }); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, r)
	c.head.end()
	if err != nil {
		return nil, err //nolint:wrapcheck // The callers add the context.
	}

	return resp, nil
}

// errNoMatchingResponse means that an attempt found no response to its own request. All
// responses that it read were interim ones or belong to other requests, or the server
// switched the protocol.
var errNoMatchingResponse = errors.New("backend server sent only interim responses or responses to other requests")

// errSkippedBodyTooLong means that a response to another request has a body of more than
// maxSkippedBody.
var errSkippedBodyTooLong = errors.New("response to another request is too long")

// readResponse returns the response to r. It skips responses with another request
// identifier, which are left over from earlier requests. A response without an identifier
// counts only on a new connection, where no other response can be due, and only with the
// header Names.NotRun.
func (p *Pool) readResponse(c *serverConn, r *Request, held *reservation) (*http.Response, error) {
	for range maxResponsesRead {
		resp, err := c.readHead(&http.Request{Method: r.Method}, held)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errNoMatchingResponse
			}

			continue
		}
		if id := resp.Header.Get(p.names.RequestID); id == r.ID || (id == "" && !c.reused && resp.Header.Get(p.names.NotRun) != "") {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
		if err != nil {
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
		if n > maxSkippedBody {
			// What follows is the rest of a body and must not be read as a response.
			return nil, errSkippedBodyTooLong
		}
	}

	return nil, errNoMatchingResponse
}

// parseResult returns what the status and the headers of a response from a target say about the
// request and the server.
func (p *Pool) parseResult(resp *http.Response, to Target) Result {
	result := Result{Outcome: Answered}
	if load, ok := parseLoad(resp.Header.Get(p.names.Load)); ok {
		result.Load = option.Some(load)
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(p.names.ColdMillis), 64); err == nil && ms > 0 {
		result.ColdFor = option.Some(units.ClampMillis(ms))
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		if pause, ok := retryAfter(resp.Header, time.Now()); ok { //nolint:forbidigo // An HTTP date is a wall-clock time.
			result.PauseFor = option.Some(pause)
		}
	}
	instance := resp.Header.Get(p.names.Instance)
	result.OtherInstance = resp.StatusCode == http.StatusMisdirectedRequest && instance != to.Instance
	switch {
	case resp.Header.Get(p.names.NotRun) != "":
		result.Outcome = NotRun
	case result.OtherInstance && instance != "" && to.Instance != "":
		// The server is not the one that the request expects, so it did not run it.
		result.Outcome = NotRun
	case result.OtherInstance:
		result.Outcome = Unknown
	}
	result.Leaving = !result.OtherInstance && resp.Header.Get(p.names.Leaving) == "1"

	return result
}

// retryAfter returns how long a server asks not to be sent requests, between 0 and
// maxPause. The header Retry-After holds seconds, with a fraction if need be, or an HTTP
// date. A date counts from the response's header Date, so that the clocks of VM and server
// may differ; now replaces a missing Date. A value of another form, 0 and a date in the
// past ask for nothing.
func retryAfter(h http.Header, now time.Time) (time.Duration, bool) {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if isDecimal(value) {
		// The only possible error is a number that is too large; the result is then Inf.
		seconds, _ := strconv.ParseFloat(value, 64)
		pause := units.ClampSeconds(seconds, maxPause)

		return pause, pause > 0
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	pause := min(until.Sub(now), maxPause)

	return pause, pause > 0
}

// isDecimal reports whether a text consists of digits with at most one decimal point
// among or around them. ParseFloat also accepts signs, exponents, "Inf" and "NaN".
func isDecimal(text string) bool {
	whole, fraction, _ := strings.Cut(text, ".")
	digits := whole + fraction

	return digits != "" && strings.Trim(digits, "0123456789") == ""
}

// Health is the response of a server's health path.
type Health struct {
	Result

	// Healthy is true when the status is 200.
	Healthy bool
	// Instance is the identity of the server that responded.
	Instance string
}

// errInvalidPath means that a request line cannot carry a health path.
var errInvalidPath = errors.New("health path has bytes that a request line cannot carry")

// Probe requests a server's health path on a connection of its own. It fails when there
// is no response before ctx ends.
func (p *Pool) Probe(ctx context.Context, to Target, path string) (Health, error) {
	if !IsPath(path) {
		return Health{}, errInvalidPath
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return Health{}, fmt.Errorf("connect to backend server %s: %w", to.Address, err)
	}
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c := newServerConn(raw, to)
	held := p.memory.hold()
	defer held.release()
	if _, err := fmt.Fprintf(raw, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, to.Address); err != nil {
		return Health{}, fmt.Errorf("send probe: %w", err)
	}
	// The body is not closed, because that would read it to its end.
	resp, err := c.readHead(nil, held) //nolint:bodyclose // The connection is closed instead.
	if err != nil {
		return Health{}, fmt.Errorf("read response of health path: %w", err)
	}

	return Health{Result: p.parseResult(resp, to), Healthy: resp.StatusCode == http.StatusOK, Instance: resp.Header.Get(p.names.Instance)}, nil
}
