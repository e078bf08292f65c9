package direct

import "time"

const (
	// spilloverWindow is the window for which the operators state Settings.MaxShift.
	spilloverWindow = 2 * time.Second
	// spilloverPart is the part of MaxShift that the spillover may use; the rest is for
	// changes of the division. The spillover has the greater part because it must take up
	// what changes within moments.
	spilloverPart = 0.8
	// spilloverBuckets is the number of buckets in spilloverWindow.
	spilloverBuckets = 20
	// minSpillover is added to the bound, so that an entry VM with few requests may send a
	// request to another region at times.
	minSpillover = 1
)

// spillover counts the requests sent in spilloverWindow, and how many of them went
// outside the region that the division assigned.
type spillover struct {
	// bucket is the number of the newest bucket, counted from the start of the process.
	// Its counts are at the index bucket modulo spilloverBuckets.
	bucket  int64
	sent    [spilloverBuckets]int
	outside [spilloverBuckets]int
	// unlimitedUntil is the time until which requests may go to any region: then the fault
	// moves them, not the steering.
	unlimitedUntil time.Duration
}

// advance clears the buckets that have left the window and returns the index of the
// current bucket.
func (s *spillover) advance(now time.Duration) int {
	bucket := int64(now / (spilloverWindow / spilloverBuckets))
	if bucket-s.bucket >= spilloverBuckets {
		s.sent, s.outside = [spilloverBuckets]int{}, [spilloverBuckets]int{}
		s.bucket = bucket
	}
	for ; s.bucket < bucket; s.bucket++ {
		next := (s.bucket + 1) % spilloverBuckets
		s.sent[next], s.outside[next] = 0, 0
	}

	return int(bucket % spilloverBuckets)
}

// count counts a request that is sent; outside is true when the request goes outside
// its assigned region.
func (s *spillover) count(now time.Duration, outside bool) {
	bucket := s.advance(now)
	s.sent[bucket]++
	if outside {
		s.outside[bucket]++
	}
}

// liftLimit lets requests go to any region until a time.
func (s *spillover) liftLimit(until time.Duration) {
	s.unlimitedUntil = max(s.unlimitedUntil, until)
}

// allowed reports whether another request may go outside its assigned region. At most the
// share maxShift of the requests may change their region from one window to the next.
func (s *spillover) allowed(now time.Duration, maxShift float64) bool {
	if now < s.unlimitedUntil {
		return true
	}
	s.advance(now)
	sent, outside := 0, 0
	for i := range spilloverBuckets {
		sent += s.sent[i]
		outside += s.outside[i]
	}

	return float64(outside) < spilloverPart*maxShift*float64(sent)+minSpillover
}
