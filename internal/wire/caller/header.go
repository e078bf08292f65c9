package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that this system defines, and the idempotency key, which callers set.
const (
	headerPrefix = "Greengagetally-"

	// headerOutcome and headerReason tell what became of a request that no backend
	// server answered. With the outcome not-run, backend servers and entry VMs refuse
	// an attempt.
	headerOutcome = headerPrefix + "Outcome"
	headerReason  = headerPrefix + "Reason"
	// headerServedBy names the backend server and its region.
	headerServedBy = headerPrefix + "Served-By"
	// headerTimeout is the time that the request may take, in milliseconds.
	headerTimeout = headerPrefix + "Timeout"
	// headerService and headerCallerRegion are passed between entry VMs only.
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

// stripHopHeaders removes the headers that concern one connection only, those that
// Connection names included.
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

// stripSystemHeaders removes the headers that only this system may set. Names are
// compared without regard to case, because HTTP/2 trailers may keep theirs.
func stripSystemHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix) {
			delete(h, name)
		}
	}
}

// copyHeader adds all headers of src to dst; both may share the slices of values
// afterwards.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if _, ok := dst[name]; !ok {
			dst[name] = values

			continue
		}
		dst[name] = append(dst[name], values...)
	}
}
