package direct

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

// demandAlpha is the weight of one tick in the mean demand. The mean covers about the last
// two seconds.
const demandAlpha = 0.06

// demand is the number of slots of one service that the requests of this entry VM's
// callers need, whether or not they are served.
type demand struct {
	// requestedSlotTime is the total time in slots that the requests since the last tick
	// are expected to take.
	requestedSlotTime time.Duration
	// slots is the mean number of slots needed.
	slots ewma.Mean
}

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

// regionAt returns the region whose interval contains point, a number in [0, 1). The
// permitted regions divide [0, 1) in proportion to their shares. Their order is fixed,
// with the own region first, so that a change of the shares moves only the points near
// the ends of the intervals. regionAt returns false when no region is permitted.
func (d *division) regionAt(point float64, ownRegion string, permitted func(string) bool) (string, bool) {
	regions := make([]string, 0, len(d.shares))
	total := 0.0
	for _, region := range sortedKeys(d.shares) {
		if share := d.shares[region]; share > 0 && permitted(region) {
			regions = append(regions, region)
			total += share
		}
	}
	if len(regions) == 0 {
		return "", false
	}
	slices.SortFunc(regions, func(a, b string) int {
		switch {
		case a == ownRegion:
			return -1
		case b == ownRegion:
			return 1
		}

		return strings.Compare(a, b)
	})
	point *= total
	for _, region := range regions {
		if point < d.shares[region] {
			return region, true
		}
		point -= d.shares[region]
	}

	return regions[len(regions)-1], true
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

// divide returns the share of the own region's requests that each region should serve.
// The own region serves the requests that fit into the usableShare of its slots, or into
// the demand ratio of all regions if that is higher. The other
// regions serve the rest in proportion to their free slots. divide returns nil if there
// are no slots.
func divide(ownRegion string, demands, slots map[string]float64) map[string]float64 {
	totalSlots := 0.0
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return nil
	}
	ratio := demandRatio(demands, slots)
	limit := func(region string) float64 {
		return slots[region] * max(usableShare(slots[region]), ratio)
	}
	localDemand := func(region string) float64 {
		return min(demands[region], limit(region))
	}
	ownDemand := demands[ownRegion]
	if ownDemand <= 0 {
		if slots[ownRegion] > 0 {
			return map[string]float64{ownRegion: 1}
		}
		ownDemand = 1
	}
	shares := map[string]float64{}
	freeSlots := 0.0
	for _, region := range sortedKeys(slots) {
		if region != ownRegion {
			freeSlots += max(limit(region)-localDemand(region), 0)
		}
	}
	localShare := min(localDemand(ownRegion)/ownDemand, 1)
	if freeSlots <= 0 && localShare > 0 {
		localShare = 1
	}
	for region, n := range slots {
		switch {
		case region == ownRegion:
			shares[region] = localShare
		case freeSlots > 0:
			shares[region] = (1 - localShare) * max(limit(region)-localDemand(region), 0) / freeSlots
		default:
			shares[region] = (1 - localShare) * n / totalSlots
		}
	}

	return shares
}
