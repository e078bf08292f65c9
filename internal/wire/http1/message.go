package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/units"
)

// Request is a caller's request with its whole body.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header has no hop-by-hop headers.
	Header http.Header
	Body   []byte
	// ID is the caller's identifier of this attempt; it may be empty.
	ID string
	// Object is the object that the request concerns; it may be empty.
	Object string
	// Patience is how long the caller says that it waits for the response, 0 when it
	// does not say.
	Patience time.Duration
	// BodyRefused is true when there was no memory for the body. Body is empty then, the
	// request must be refused, and the connection is closed after the response.
	BodyRefused bool
	// keyHeaders are the values of the header Names.Key, also if the header Connection lists
	// it.
	keyHeaders []string
	// hasBody is true when the request has a Content-Length other than 0 or a chunked
	// body, which may be empty.
	hasBody bool
}

// Response is a response of a backend server, or one that the entry VM makes itself.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest reads what follows Body when the response is too long to be held in memory;
	// otherwise it is nil.
	Rest io.ReadCloser
	// Length is the length of Body and Rest together in bytes. It is negative when the
	// length of Rest is unknown. When Rest is nil, Length matters only for responses to
	// HEAD.
	Length int64
}

// Load is what a backend server reports about itself with a response.
type Load struct {
	// RunningRequests counts the requests that run, WaitingRequests those that wait for a
	// slot. Slots is how many can run at a time.
	RunningRequests, WaitingRequests, Slots int
	// Slowdown is the processing time now, divided by the usual one.
	Slowdown float64
}

const (
	// maxLoadCount and maxLoadPercent bound the numbers of the header Names.Load.
	maxLoadCount   = 1 << 20
	maxLoadPercent = 100_000
	// maxKeepAlive bounds the idle timeout that a server states.
	maxKeepAlive = time.Hour
)

// parseLoad parses the header Names.Load: "running,waiting,slots[,percent]". A header with
// a number out of range is not used.
func parseLoad(value string) (Load, bool) {
	fields := splitList(value)
	if len(fields) < 3 {
		return Load{}, false
	}
	numbers := make([]int, len(fields))
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 || n > maxLoadCount {
			return Load{}, false
		}
		numbers[i] = n
	}
	load := Load{RunningRequests: numbers[0], WaitingRequests: numbers[1], Slots: numbers[2], Slowdown: 1}
	if len(numbers) > 3 && numbers[3] > maxLoadPercent {
		return Load{}, false
	}
	if len(numbers) > 3 && numbers[3] > 0 {
		load.Slowdown = float64(numbers[3]) / 100
	}

	return load, true
}

// splitList splits a comma-separated header value and trims the elements.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}

	return parts
}

// keepAliveTimeout returns the timeout that a Keep-Alive header states in seconds. It
// returns false when there is none.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range splitList(h.Get("Keep-Alive")) {
		if value, ok := strings.CutPrefix(part, "timeout="); ok {
			if n, err := strconv.ParseUint(value, 10, 64); err == nil {
				return units.ClampSeconds(float64(n), maxKeepAlive), true
			}
		}
	}

	return 0, false
}

// cookie returns the value of the first cookie with the name, or "" when there is none.
func cookie(h http.Header, name string) string {
	for _, line := range h["Cookie"] {
		for part := range strings.SplitSeq(line, ";") {
			if key, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && key == name {
				return value
			}
		}
	}

	return ""
}
