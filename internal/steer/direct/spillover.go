package direct

import "time"

const (
	// maxSpilloverShare bounds the requests in spilloverWindow that run outside the
	// region that the division assigns. Together with divisionChangePerSecond it keeps
	// the bound that at most 15 % of the requests move within two seconds.
	spilloverWindow   = 2 * time.Second
	maxSpilloverShare = 0.12
	// spilloverBuckets is the number of buckets of the window.
	spilloverBuckets = 20
	// minSpillover lets an entry VM with few requests send one to another region at times.
	minSpillover = 1
	// unlimitedFor is how long after a failure or a change of the servers requests go
	// wherever there is room, because the fault moves them and not the steering.
	unlimitedFor = 5 * time.Second
)

// spillover counts the requests sent in the last window, and those among them that
// went outside the region that the division assigned.
type spillover struct {
	// bucket is the number of the newest bucket since the start of the process; the
	// counts are kept modulo spilloverBuckets.
	bucket  int64
	sent    [spilloverBuckets]int
	outside [spilloverBuckets]int
	// unlimitedUntil is until when requests may go to any region.
	unlimitedUntil time.Duration
}

// advance clears the buckets that are too old and returns the index of the current one.
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

// count counts a request that is sent.
func (s *spillover) count(now time.Duration, outside bool) {
	bucket := s.advance(now)
	s.sent[bucket]++
	if outside {
		s.outside[bucket]++
	}
}

// liftLimit lets requests go to any region for unlimitedFor.
func (s *spillover) liftLimit(now time.Duration) {
	s.unlimitedUntil = now + unlimitedFor
}

// allowed reports whether another request may go outside its assigned region.
func (s *spillover) allowed(now time.Duration) bool {
	if now < s.unlimitedUntil {
		return true
	}
	s.advance(now)
	sent, outside := 0, 0
	for i := range spilloverBuckets {
		sent += s.sent[i]
		outside += s.outside[i]
	}

	return float64(outside) < maxSpilloverShare*float64(sent)+minSpillover
}
