package direct

import "time"

const (
	// lossesToRefuse is the number of servers in a row that requests with the same
	// content lose before such requests are refused.
	lossesToRefuse = 3
	// suspectTTL is how long such requests are refused after the last loss; the
	// servers are back by then.
	suspectTTL = 20 * time.Second
	// maxSuspects bounds the number of contents that are remembered.
	maxSuspects = 1000
)

// suspect counts the servers that broke their connections while they had a request
// with the same content, without a response to such a request in between.
type suspect struct {
	losses   int
	lastLoss time.Duration
}

// suspects are the contents that may crash servers, by fingerprint.
type suspects map[uint64]suspect

// recordLosses records the number of servers lost so far, as counted here or by another
// entry VM; the higher number counts.
func (s suspects) recordLosses(now time.Duration, fingerprint uint64, losses int) {
	if _, known := s[fingerprint]; !known && len(s) >= maxSuspects {
		s.removeExpired(now)
	}
	if len(s) < maxSuspects {
		s[fingerprint] = suspect{losses: max(losses, s[fingerprint].losses), lastLoss: now}
	}
}

// clear records a response, which shows that the content crashes no server.
func (s suspects) clear(fingerprint uint64) {
	delete(s, fingerprint)
}

// refuses reports whether requests with this content must not reach another server.
func (s suspects) refuses(now time.Duration, fingerprint uint64) bool {
	suspected, ok := s[fingerprint]

	return ok && suspected.losses >= lossesToRefuse && now < suspected.lastLoss+suspectTTL
}

// removeExpired removes the suspects whose last loss is older than suspectTTL.
func (s suspects) removeExpired(now time.Duration) {
	for fingerprint, suspected := range s {
		if now >= suspected.lastLoss+suspectTTL {
			delete(s, fingerprint)
		}
	}
}

// lossesToReport returns the losses to report to the other entry VMs, by fingerprint:
// those of at least lossesToRefuse-1 servers.
func (s suspects) lossesToReport() map[uint64]int {
	out := map[uint64]int{}
	for fingerprint, suspected := range s {
		if suspected.losses >= lossesToRefuse-1 {
			out[fingerprint] = suspected.losses
		}
	}

	return out
}
