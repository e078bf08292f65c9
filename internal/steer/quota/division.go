package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroom is how much more than the measured demand a share allows, for demand that
	// varies.
	headroom = 1.4
	// The centre keeps this part of a rate, more the fewer requests a second come to each
	// entry VM, because the tokens of a share that its callers do not use are lost.
	minCentrePart = 0.1
	maxCentrePart = 0.75
	// From relaxedLoad of the limit on, the part falls: when the whole limit is asked for, no
	// share loses tokens, and the centre needs only minBusyCentrePart, or more if entry VMs get
	// few requests. busyDivisor divides the number of entry VMs for that.
	minBusyCentrePart = 0.03
	relaxedLoad       = 0.7
	busyDivisor       = 2
	// centreDepthPart is the least part of a depth that the centre keeps.
	centreDepthPart = 0.35
	// loadTime is the time over which the sum of the demands is averaged.
	loadTime = 2 * time.Second
	// shrinkPart is the part of a depth from which on it is not made smaller.
	shrinkPart = 0.4
	// changePart is the least relative change of a share that is worth an exchange of
	// messages.
	changePart = 0.15
)

// totalDemand returns the sum of the stated demands.
func (a *account) totalDemand() Amount {
	var sum Amount
	for _, d := range a.demand {
		sum += d.rate
	}

	return sum
}

// centrePart returns the part of the rate that the centre keeps.
func (a *account) centrePart() float64 {
	n, rate := float64(len(a.demand)), float64(a.limit.Rate)/float64(One)
	calm := min(max(n/(rate+n), minCentrePart), maxCentrePart)
	n /= busyDivisor
	busy := min(max(n/(rate+n), minBusyCentrePart), calm)
	pressure := min(max((a.load/float64(a.limit.Rate)-relaxedLoad)/(1-relaxedLoad), 0), 1)

	return calm + (busy-calm)*pressure
}

// measureLoad updates the average of the stated demands.
func (a *account) measureLoad(now time.Duration) {
	weight := 1 - math.Exp(-(now-a.loadAt).Seconds()/loadTime.Seconds())
	a.loadAt = now
	a.load += weight * (float64(a.totalDemand()) - a.load)
}

// isOverLimit reports whether the callers ask for more than the limit, by more than the
// requests of a second vary.
func (a *account) isOverLimit() bool {
	rate := a.limit.Rate.Requests()

	return a.load/float64(One) > rate+math.Sqrt(rate)
}

// targetShare returns the share that an entry VM should have: its part of the limit by
// max-min fairness among the demands. A share that holds less than one token is none.
func (a *account) targetShare(name string) Limit {
	if a.limit.Rate == 0 || a.demand[name].rate < minDemand {
		return Limit{}
	}
	part := a.centrePart()
	wants := make([]float64, 0, len(a.demand))
	for _, d := range a.demand {
		wants = append(wants, headroom*float64(d.rate))
	}
	own := headroom * float64(a.demand[name].rate)
	most := maxMin(wants, (1-part)*float64(a.limit.Rate))
	rate := min(own, most)
	depthToShare := (1 - centreDepthPart) * float64(a.limit.Depth)
	depth := depthToShare * rate / ((1 - part) * float64(a.limit.Rate))
	// Where there are few tokens for each entry VM, each gets one, and the next from the centre:
	// what fills into a bucket of one token is mostly lost.
	if each := depthToShare / float64(len(wants)); each < 2*float64(One) && each >= float64(One) {
		return Limit{Depth: One}
	}
	if depth < float64(One) {
		return Limit{}
	}

	return Limit{Rate: Amount(rate), Depth: Amount(depth)}
}

// maxMin returns the most that each of the wants gets when a total is divided by max-min
// fairness: none gets more than it wants, and what is left is divided alike.
func maxMin(wants []float64, total float64) float64 {
	slices.SortFunc(wants, cmp.Compare[float64])
	for i, want := range wants {
		if most := total / float64(len(wants)-i); want > most {
			return most
		}
		total -= want
	}

	return wants[len(wants)-1]
}

// nextShare returns the share to offer to an entry VM: the one that is offered, or one
// nearer to its target. A share changes only after the last change was confirmed, and it
// grows only by what the centre can hand over.
func (l *Ledger) nextShare(a *account, name string, s grantedShare) Limit {
	if !l.opened || s.confirmed != s.offered {
		return s.offered
	}
	target, centre := a.targetShare(name), l.centre(a)
	// A depth grows only with tokens of the centre: else tokens that are under way to other
	// entry VMs would come on top of those that the new depth can hold.
	next := Limit{
		Rate:  min(target.Rate, s.offered.Rate+centre.Rate),
		Depth: min(target.Depth, s.offered.Depth+min(centre.Depth, Amount(a.level))),
	}
	if next.Depth < One {
		next = Limit{}
	}
	// The tokens of a depth that shrinks are lost, so it shrinks only by much. A centre without
	// anything left means that shares must shrink.
	if centre.Depth > 0 && next.Depth < s.offered.Depth && float64(next.Depth) > shrinkPart*float64(s.offered.Depth) {
		next.Depth = s.offered.Depth
	}
	if centre.Rate > 0 && centre.Depth > 0 && isNear(next.Rate, s.offered.Rate) && isNear(next.Depth, s.offered.Depth) {
		return s.offered
	}

	return next
}

// isNear reports whether a change is too small to be worth making.
func isNear(next, current Amount) bool {
	return max(next, current)-min(next, current) <= Amount(changePart*float64(current)) && (next == 0) == (current == 0)
}
