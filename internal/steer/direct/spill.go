package direct

import "time"

const (
	// spillWindow and spillShare bound the requests that run outside the region
	// that the division gives; together with the division's own movement they stay
	// within the usual bound of 15 % in two seconds.
	spillWindow = 2 * time.Second
	spillShare  = 0.12
	// spillCells divide the window.
	spillCells = 20
	// spillLeast lets an entry VM with few requests spill one at times.
	spillLeast = 1
	// disturbedFor is how long after a failure or a change of the servers requests
	// go wherever there is room: then it is the fault that moves them.
	disturbedFor = 5 * time.Second
)

// spill counts the requests of the last window, and those among them that ran
// outside the region that the division gave.
type spill struct {
	cell    int64
	sent    [spillCells]int
	outside [spillCells]int
	// disturbed is until when requests may go anywhere.
	disturbed time.Duration
}

func (s *spill) advance(now time.Duration) int {
	cell := int64(now / (spillWindow / spillCells))
	if cell-s.cell >= spillCells {
		s.sent, s.outside = [spillCells]int{}, [spillCells]int{}
		s.cell = cell
	}
	for ; s.cell < cell; s.cell++ {
		next := (s.cell + 1) % spillCells
		s.sent[next], s.outside[next] = 0, 0
	}

	return int(cell % spillCells)
}

// note counts a request.
func (s *spill) note(now time.Duration, outside bool) {
	cell := s.advance(now)
	s.sent[cell]++
	if outside {
		s.outside[cell]++
	}
}

// disturb lets requests go anywhere for a while.
func (s *spill) disturb(now time.Duration) {
	s.disturbed = now + disturbedFor
}

// allowed reports whether another request may run outside its region.
func (s *spill) allowed(now time.Duration) bool {
	if now < s.disturbed {
		return true
	}
	s.advance(now)
	sent, outside := 0, 0
	for i := range spillCells {
		sent += s.sent[i]
		outside += s.outside[i]
	}

	return float64(outside) < spillShare*float64(sent)+spillLeast
}
