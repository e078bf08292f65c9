package direct

import "github.com/greengagetally/greengagetally/internal/value/ewma"

// This file bounds the long bodies at one server. A server fails when the requests that it
// holds exceed its memory, and does not tell how much it has. It is taken to have room in
// each slot, and for one request that waits, for a body of twice the usual length.

const (
	// longBody is the length in bytes from which bodies are bounded. Shorter ones are sent
	// whatever is in flight.
	longBody = 64 << 10
	// bodyRoomFactor is the room in a slot, relative to the mean length of the bodies of the
	// server's service.
	bodyRoomFactor = 2
	// bodyLengthAlpha is the weight of one body in the mean.
	bodyLengthAlpha = 0.01
)

// noteBody takes a new request into the mean length of the bodies of its service.
func (s *state) noteBody(r *request, bytes int) {
	if bytes > longBody {
		r.longBodyBytes = bytes
	}
	s.bodyLengths[r.service] = s.bodyLengths[r.service].With(float64(bytes), bodyLengthAlpha)
}

// takesBody reports whether a server has room for the body of a request. One long body is
// always sent, however long.
func (s *state) takesBody(r *request, srv *server) bool {
	if r.longBodyBytes == 0 || srv.longBodyBytes == 0 {
		return true
	}
	room := max(longBody, bodyRoomFactor*s.bodyLengths[r.service].Value())

	return float64(srv.longBodyBytes+r.longBodyBytes) <= room*float64(srv.Slots+1)
}

// bodyLengths holds the mean length of the bodies in bytes, by service.
type bodyLengths map[string]ewma.Mean
