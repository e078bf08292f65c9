package direct

import "time"

const (
	// suspectLosses is the number of servers that requests with the same content
	// lose in a row before they are refused.
	suspectLosses = 3
	// suspectLife is how long such requests are refused after the last loss; the
	// servers are back by then.
	suspectLife = 20 * time.Second
	// maxSuspects bounds what is remembered.
	maxSuspects = 1000
)

// suspect counts the servers that ended their connections while they had requests
// with the same content, without an answer to one of them in between.
type suspect struct {
	lost int
	at   time.Duration
}

// suspects are the suspects by the contents of their requests.
type suspects map[uint64]suspect

// lose notes that a server was lost with a request, or losses that another entry
// VM has counted.
func (s suspects) lose(now time.Duration, fingerprint uint64, lost int) {
	if _, known := s[fingerprint]; !known && len(s) >= maxSuspects {
		s.forget(now)
	}
	if len(s) < maxSuspects {
		s[fingerprint] = suspect{lost: max(lost, s[fingerprint].lost), at: now}
	}
}

// clear notes an answer.
func (s suspects) clear(fingerprint uint64) {
	delete(s, fingerprint)
}

// refuses reports whether a request must not reach another server.
func (s suspects) refuses(now time.Duration, fingerprint uint64) bool {
	of, ok := s[fingerprint]

	return ok && of.lost >= suspectLosses && now < of.at+suspectLife
}

// forget drops what is too old.
func (s suspects) forget(now time.Duration) {
	for fingerprint, of := range s {
		if now >= of.at+suspectLife {
			delete(s, fingerprint)
		}
	}
}

// counts returns what the other entry VMs should know.
func (s suspects) counts() map[uint64]int {
	out := map[uint64]int{}
	for fingerprint, of := range s {
		if of.lost >= suspectLosses-1 {
			out[fingerprint] = of.lost
		}
	}

	return out
}
