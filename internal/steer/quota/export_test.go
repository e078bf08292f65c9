package quota

import "time"

// Usable returns the share of a customer that an entry VM may use at a time.
func (s *Shares) Usable(now time.Duration, key Key) Limit {
	u, ok := s.customers[key]
	if !ok || now >= u.share.end {
		return Limit{}
	}

	return u.usable()
}

// Committed returns the sum of the shares of a customer in the books of the holder, and what
// is in the centre.
func (l *Ledger) Committed(key Key) (shares, centre Limit) {
	a, ok := l.accounts[key]
	if !ok {
		return Limit{}, Limit{}
	}

	return a.committed(), l.centre(a)
}
