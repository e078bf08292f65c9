package direct

import "time"

const (
	// lossesToRefuse is the number of servers that must be lost in a row to requests with
	// the same content before further requests with that content are refused.
	lossesToRefuse = 3
	// suspectTTL is how long the losses of servers to requests with the same content are
	// remembered after the last loss. The lost servers are back by then, when requests
	// with that content may reach a server again.
	suspectTTL = 20 * time.Second
	// maxSuspects bounds the number of contents whose losses are remembered.
	maxSuspects = 1000
)

// suspect counts the servers lost in a row to requests with the same content. A server
// is lost when it breaks the connection during a request.
type suspect struct {
	losses     int
	lastLossAt time.Duration
}

// suspects holds the contents that may crash servers, by fingerprint.
type suspects map[uint64]suspect

// recordLosses records how many servers this entry VM or another one has counted as
// lost to requests with the same content. The highest number is kept.
func (s suspects) recordLosses(now time.Duration, fingerprint uint64, losses int) {
	if _, known := s[fingerprint]; !known && len(s) >= maxSuspects {
		s.removeExpired(now)
	}
	if len(s) < maxSuspects {
		s[fingerprint] = suspect{losses: max(losses, s[fingerprint].losses), lastLossAt: now}
	}
}

// clear forgets a content after a response, which shows that the content crashes no
// server.
func (s suspects) clear(fingerprint uint64) {
	delete(s, fingerprint)
}

// refuses reports whether requests with the content of this fingerprint must not reach
// another server.
func (s suspects) refuses(now time.Duration, fingerprint uint64) bool {
	suspected, ok := s[fingerprint]

	return ok && suspected.losses >= lossesToRefuse && now < suspected.lastLossAt+suspectTTL
}

// removeExpired removes the suspects whose last loss is older than suspectTTL.
func (s suspects) removeExpired(now time.Duration) {
	for fingerprint, suspected := range s {
		if now >= suspected.lastLossAt+suspectTTL {
			delete(s, fingerprint)
		}
	}
}

// lossesToReport returns the losses to report to the other entry VMs, by fingerprint.
// It leaves out contents to which fewer than lossesToRefuse-1 servers were lost.
func (s suspects) lossesToReport() map[uint64]int {
	out := map[uint64]int{}
	for fingerprint, suspected := range s {
		if suspected.losses >= lossesToRefuse-1 {
			out[fingerprint] = suspected.losses
		}
	}

	return out
}
