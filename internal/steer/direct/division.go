package direct

import (
	"math"
	"time"
)

const (
	// shareStep is the precision of a share of slots.
	shareStep = 1.0 / 64
	// evenTolerance is how many times as large as the demand ratio of all regions the use of a
	// region's slots may be while the regions count as even: demand varies from moment to
	// moment, and requests that leave for that would soon return.
	evenTolerance = 1.15
	// lowerDigitsFactor shifts those binary digits out of a point that decide whether the own
	// region serves it.
	lowerDigitsFactor = 1 << 20
)

// divisionChange returns the share of a region's requests that the division may move in
// a time: what the spillover leaves of MaxShift.
func divisionChange(maxShift float64, elapsed time.Duration) float64 {
	return (1 - spilloverPart) * maxShift * elapsed.Seconds() / spilloverWindow.Seconds()
}

// division divides this region's requests for one service among the regions. It changes
// slowly, so that objects stay on servers that know them.
type division struct {
	// shares holds each region's share of the requests; the shares add up to 1.
	shares map[string]float64
	// goal holds the shares that this entry VM would choose alone.
	goal map[string]float64
	// joined is true once this entry VM has heard another one of its region, or had demand.
	joined bool
	// demands are the slots that the requests of each region's callers need, by which goal was
	// chosen. bound is the share of a region's slots up to which requests wait no longer than
	// the network time to another region.
	demands map[string]float64
	bound   float64
}

// moveTowards changes the shares towards goal, by at most maxMoved in all: that share
// of the requests gets another region. It adopts goal at once when there is no division
// yet, or when a region with a share is missing in goal because the region has lost all
// its servers.
func (d *division) moveTowards(goal map[string]float64, maxMoved float64) {
	if d.shares == nil {
		d.shares = goal

		return
	}
	for region, share := range d.shares {
		if _, served := goal[region]; share > 0 && !served {
			d.shares = goal

			return
		}
	}
	moved := 0.0
	for _, region := range sortedKeys(goal) {
		moved += max(goal[region]-d.shares[region], 0)
	}
	if moved <= maxMoved {
		d.shares = goal

		return
	}
	next := make(map[string]float64, len(goal))
	for region, share := range goal {
		next[region] = d.shares[region] + (share-d.shares[region])*maxMoved/moved
	}
	d.shares = next
}

// regionAt returns the region that serves the point, a number in [0, 1), among the permitted
// ones in proportion to their shares. The own region has the first points. The higher digits
// of a point in the rest decide nothing more: the lower ones decide which other region serves
// it. So a change of the own share moves points only between the own region and others, and
// a point that leaves goes to the region where it was when it last left. regionAt returns
// false when no region is permitted.
func (d *division) regionAt(point float64, ownRegion string, permitted func(string) bool) (string, bool) {
	var others []string
	ownShare, otherShares := 0.0, 0.0
	for _, region := range sortedKeys(d.shares) {
		switch share := d.shares[region]; {
		case share <= 0 || !permitted(region):
		case region == ownRegion:
			ownShare = share
		default:
			others = append(others, region)
			otherShares += share
		}
	}
	if ownShare > 0 && (len(others) == 0 || point*(ownShare+otherShares) < ownShare) {
		return ownRegion, true
	}
	if len(others) == 0 {
		return "", false
	}
	_, lowerDigits := math.Modf(point * lowerDigitsFactor)
	left := lowerDigits * otherShares
	for _, region := range others {
		if left < d.shares[region] {
			return region, true
		}
		left -= d.shares[region]
	}

	return others[len(others)-1], true
}

// demandRatio returns the demand of all regions divided by their slots, or 1 if there
// are no slots.
func demandRatio(demands, slots map[string]float64) float64 {
	totalDemand, totalSlots := 0.0, 0.0
	for _, region := range sortedKeys(demands) {
		totalDemand += demands[region]
	}
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return 1
	}

	return totalDemand / totalSlots
}

// usableShare returns the share of a number of slots that can be in use while requests
// seldom wait (square-root staffing, after Halfin and Whitt): the square root of the number
// is kept free, because the demand varies by about as much.
func usableShare(slots float64) float64 {
	return 1 - 1/math.Sqrt(max(slots, 1))
}

// assumedDemands returns the demand of each region that is assumed before the first
// request. All regions get the same demand. Its sum is near what all servers can carry,
// so that the division need not change much afterwards.
func assumedDemands(slots map[string]float64) map[string]float64 {
	totalSlots := 0.0
	for _, n := range slots {
		totalSlots += n
	}
	demands := make(map[string]float64, len(slots))
	for region := range slots {
		demands[region] = usableShare(totalSlots) * totalSlots / float64(len(slots))
	}

	return demands
}

// worthwhileShare returns the share of the slots of a server that can be in use while its
// requests wait for a slot no longer than the network time to another region. Requests keep
// to the servers that know their objects, so that each server has its own queue, however
// many servers of the region have free slots. The wait is that in a queue with several
// servers (M/M/c, approximation of Sakasegawa).
func worthwhileShare(slotsPerServer float64, slotTime, networkTime time.Duration) float64 {
	if slotTime <= 0 || networkTime <= 0 {
		return 1
	}
	n := max(slotsPerServer, 1)
	exponent := math.Sqrt(2*(n+1)) - 1
	wait := func(use float64) time.Duration {
		return time.Duration(float64(slotTime) / n * math.Pow(use, exponent) / (1 - use))
	}
	low, high := 0.0, 1.0
	for high-low > shareStep {
		if use := (low + high) / 2; wait(use) <= networkTime {
			low = use
		} else {
			high = use
		}
	}

	return low
}

// divide returns the share of the own region's requests that each region should serve. The
// own region serves the requests that fit into the usableShare of its slots, but not more than
// worthwhile of them, or into the demand ratio of all regions if that is higher. A region whose
// use is near that ratio keeps its requests while they fit into the usableShare. The other
// regions serve the rest, each what fits into its free slots. What fits where it is served at
// present stays there, because a request that changes its region comes to a server that does
// not know its object. Without present shares, the others serve the rest in proportion to
// their free slots. divide returns nil if there are no slots.
func divide(ownRegion string, demands, slots, present map[string]float64, worthwhile float64) map[string]float64 {
	totalSlots := 0.0
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return nil
	}
	ratio := demandRatio(demands, slots)
	overflow := func(region string) float64 {
		return demands[region] - slots[region]*max(min(usableShare(slots[region]), max(worthwhile, evenTolerance*ratio)), ratio)
	}
	ownDemand := demands[ownRegion]
	if ownDemand <= 0 {
		if slots[ownRegion] > 0 {
			return map[string]float64{ownRegion: 1}
		}
		ownDemand = 1
	}
	mustLeave := min(max(overflow(ownRegion)/ownDemand, 0), 1)
	claim, claims := mustLeave*ownDemand, 0.0
	room := map[string]float64{}
	totalRoom := 0.0
	for _, region := range sortedKeys(slots) {
		switch free := -overflow(region); {
		case region == ownRegion:
			claims += claim
		case free > 0:
			room[region] = free / ownDemand
		default:
			claims -= free
		}
	}
	for _, region := range sortedKeys(room) {
		room[region] *= claim / max(claims, math.SmallestNonzeroFloat64)
		totalRoom += room[region]
	}
	away := mustLeave
	if totalRoom <= 0 && mustLeave < 1 {
		away = 0
	}
	shares := make(map[string]float64, len(slots))
	kept := 0.0
	for _, region := range sortedKeys(room) {
		if present[region] > 0 {
			shares[region] = min(present[region]*min(away/max(1-present[ownRegion], present[region]), 1), room[region])
			kept += shares[region]
		}
	}
	for _, region := range sortedKeys(slots) {
		switch {
		case region == ownRegion:
			shares[region] = 1 - away
		case totalRoom > kept:
			shares[region] += (away - kept) * (room[region] - shares[region]) / (totalRoom - kept)
		default:
			shares[region] += (away - kept) * slots[region] / (totalSlots - slots[ownRegion])
		}
	}

	return shares
}
