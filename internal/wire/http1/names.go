// Package http1 receives callers' requests and sends them to backend servers over
// HTTP/1.1, for greengagetally-platform. On a caller's connection it reads pipelined
// requests ahead and responds in their order; it matches each response of a backend
// server to its request by the request identifier.
//
// A request can name an object that it concerns. Package steer/direct prefers the same
// few servers for all requests for an object.
package http1

import "net/http"

// Names are the names of the headers, and of one cookie, that a deployment uses
// between callers, entry VMs and backend servers.
type Names struct {
	// RequestID identifies one attempt of a caller; servers repeat it in the response.
	RequestID string
	// Deadline is the time that the sender still waits, in milliseconds.
	Deadline string
	// ObjectCookie is the cookie that names the object that a request concerns.
	ObjectCookie string
	// ExpectInstance names the only server that may run the request. Any other one responds with
	// status 421 and its own identity in Instance.
	ExpectInstance string
	// NotRun marks the response of a server that did not run the request.
	NotRun string
	// Leaving is "1" in every response of a server that is leaving.
	Leaving string
	// Load is "running,waiting,slots[,percent]": two counts of requests, the number of
	// slots, and the processing time in percent of the usual one.
	Load string
	// Instance is the identity of the server that responds.
	Instance string
	// ColdMillis is how long the server stays cold, in milliseconds: it has started
	// recently and tolerates few requests.
	ColdMillis string
	// Key carries a customer's key, as "Bearer KEY".
	Key string
	// Customer tells a server the name of the customer whose key the request had.
	Customer string
}

// hopByHop are the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader returns a copy of h without the hop-by-hop headers. The headers that the
// Connection header lists are hop-by-hop too.
func endToEndHeader(h http.Header) http.Header {
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
