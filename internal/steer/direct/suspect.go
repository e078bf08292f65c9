package direct

import (
	"maps"
	"slices"
	"time"
)

const (
	// lossesToRefuse is the number of servers that must be lost in a row to requests with
	// the same content before further requests with that content are refused.
	lossesToRefuse = 3
	// suspectTTL is how long the loss of a server to requests with the same content is
	// remembered. The lost servers are back by then, when requests with that content may
	// reach a server again.
	suspectTTL = 20 * time.Second
	// suspectReportFor is how long a loss is reported to the other entry VMs. It is shorter
	// than suspectTTL, so that no late report brings back what was forgotten.
	suspectReportFor = suspectTTL - 2*reportTTL
	// maxSuspects bounds the number of contents whose losses are remembered.
	maxSuspects = 1000
)

// loss is the loss of one start of a server: it broke the connection during a request.
type loss struct {
	at time.Duration
	// own is true if this entry VM saw the loss. Only such losses are reported, because
	// entry VMs that repeat each other's reports would never forget them.
	own bool
}

// suspect holds the servers lost in a row to requests with the same content, by
// incarnation. A server that breaks several connections at once is lost once.
type suspect map[Incarnation]loss

// lossesAt returns the number of losses that are remembered.
func (s suspect) lossesAt(now time.Duration) int {
	losses := 0
	for _, l := range s {
		if now < l.at+suspectTTL {
			losses++
		}
	}

	return losses
}

// suspects holds the contents that may crash servers, by fingerprint.
type suspects map[uint64]suspect

// recordLoss records that a server was lost to a request with a content. A loss that is
// known already stays as it is.
func (s suspects) recordLoss(now time.Duration, fingerprint uint64, lost Incarnation, own bool) {
	if _, known := s[fingerprint]; !known {
		if len(s) >= maxSuspects {
			s.removeExpired(now)
		}
		if len(s) >= maxSuspects {
			return
		}
		s[fingerprint] = suspect{}
	}
	if _, known := s[fingerprint][lost]; !known && len(s[fingerprint]) < lossesToRefuse {
		s[fingerprint][lost] = loss{at: now, own: own}
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
	return s[fingerprint].lossesAt(now) >= lossesToRefuse
}

// removeExpired removes the losses that are older than suspectTTL.
func (s suspects) removeExpired(now time.Duration) {
	for fingerprint, suspected := range s {
		maps.DeleteFunc(suspected, func(_ Incarnation, l loss) bool { return now >= l.at+suspectTTL })
		if len(suspected) == 0 {
			delete(s, fingerprint)
		}
	}
}

// lossesToReport returns the lost servers to report to the other entry VMs, by
// fingerprint. It leaves out contents to which fewer than lossesToRefuse-1 servers were
// lost.
func (s suspects) lossesToReport(now time.Duration) map[uint64][]Incarnation {
	out := map[uint64][]Incarnation{}
	for fingerprint, suspected := range s {
		if suspected.lossesAt(now) < lossesToRefuse-1 {
			continue
		}
		for lost, l := range suspected {
			if l.own && now < l.at+suspectReportFor {
				out[fingerprint] = append(out[fingerprint], lost)
			}
		}
		slices.Sort(out[fingerprint])
	}

	return out
}

// mergeLosses adds the losses of a report to those of a region, which has at most
// lossesToRefuse for a content.
func mergeLosses(sum, report map[uint64][]Incarnation) {
	for fingerprint, lost := range report {
		all := slices.Concat(sum[fingerprint], lost)
		slices.Sort(all)
		all = slices.Compact(all)
		sum[fingerprint] = all[:min(len(all), lossesToRefuse)]
	}
}
