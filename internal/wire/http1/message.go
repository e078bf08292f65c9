package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a caller's request, read completely.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header has no headers that concern one connection only.
	Header http.Header
	Body   []byte
	// ID is the caller's identifier of this attempt; it may be empty.
	ID string
	// Object is the object that the request concerns; it may be empty.
	Object string
	// Patience is how long the caller waits for the answer; 0 is not stated.
	Patience time.Duration
	// hasBody is true when the caller framed a body, also an empty one.
	hasBody bool
}

// Response is an answer to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body when the answer is too long to be held, or nil.
	// Its length is Length - len(Body), or unknown when Length is negative.
	Rest   io.ReadCloser
	Length int64
}

// Load is what a backend server reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes now, relative to the usual one.
	Slowdown float64
}

// parseLoad reads "running,waiting,slots[,percent]".
func parseLoad(value string) (Load, bool) {
	fields := splitList(value)
	if len(fields) < 3 {
		return Load{}, false
	}
	figures := make([]int, len(fields))
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 {
			return Load{}, false
		}
		figures[i] = n
	}
	load := Load{Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowdown: 1}
	if len(figures) > 3 && figures[3] > 0 {
		load.Slowdown = float64(figures[3]) / 100
	}

	return load, true
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}

	return parts
}

// keepAliveTimeout returns the seconds of a Keep-Alive header, or false.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range splitList(h.Get("Keep-Alive")) {
		if value, ok := strings.CutPrefix(part, "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}

	return 0, false
}

// cookie returns the value of a cookie.
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
