// Package http1 speaks HTTP/1.1 with callers and backend servers: requests are
// read ahead and answered in order, and each answer is matched to its request.
package http1

import "net/http"

// Names are the header names that a deployment uses between callers, the
// system and backend servers.
type Names struct {
	// RequestID identifies one attempt of a caller; servers repeat it.
	RequestID string
	// Deadline is the number of milliseconds that the sender still waits.
	Deadline string
	// ObjectCookie is the cookie with the object that a request concerns.
	ObjectCookie string
	// ExpectInstance names the only server that may run the request.
	ExpectInstance string
	// NotRun marks a server's answer to a request that it did not run.
	NotRun string
	// Load is "running,waiting,slots[,percent of the usual work time]".
	Load string
	// Instance is the identity of the server that answers.
	Instance string
	// ColdMillis is how many milliseconds the server stays cold.
	ColdMillis string
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardable returns a copy of h without the headers of one connection.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}

	return out
}
