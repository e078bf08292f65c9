package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that this system defines, and the idempotency key, which callers set.
const (
	headerPrefix = "Greengagetally-"

	// headerOutcome and headerReason tell what became of a request that no backend server
	// answered. A backend server or entry VM that refuses an attempt sets the outcome to
	// event.OutcomeNotRun.
	headerOutcome = headerPrefix + "Outcome"
	headerReason  = headerPrefix + "Reason"
	// headerServedBy names the backend server that answered, and its region.
	headerServedBy = headerPrefix + "Served-By"
	// headerTimeout is the time that the request may take, in milliseconds.
	headerTimeout = headerPrefix + "Timeout"
	// headerService and headerCallerRegion are sent with carried requests only. They name
	// the service, and the region of the entry VM that received the request from the
	// caller.
	headerService      = headerPrefix + "Service"
	headerCallerRegion = headerPrefix + "Caller-Region"
	// headerVM names the VM that a request is carried to.
	headerVM = headerPrefix + "VM"

	headerKey = "Idempotency-Key"
)

// hopHeaders lists the headers that concern one connection only (RFC 9110, section
// 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// stripHopHeaders removes the headers that concern one connection only, including those
// that the Connection header lists.
func stripHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// stripSystemHeaders removes the headers that only this system may set. It ignores the
// case of names, because trailers received over HTTP/2 may not be in canonical form.
func stripSystemHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix) {
			delete(h, name)
		}
	}
}

// copyHeader adds all headers of src to dst. Afterwards dst and src may share the slices
// of values.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if _, ok := dst[name]; !ok {
			dst[name] = values

			continue
		}
		dst[name] = append(dst[name], values...)
	}
}
