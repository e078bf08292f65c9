package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// localDemandLimit is the demand of a region's callers, relative to its slots, up to
	// which their requests stay in the region; those above it go to regions with more
	// free slots.
	localDemandLimit = 0.85
	// divisionChangePerSecond bounds the share of a region's requests that the division
	// moves in a second: what maxSpilloverShare leaves of the bound that at most 15 % of
	// the requests move within two seconds.
	divisionChangePerSecond = 0.015
	// demandAlpha is the weight of one tick in the mean demand, which covers about the
	// last two seconds.
	demandAlpha = 0.06
)

// demand is the number of slots of one service that the first requests of this entry
// VM's callers need. Requests that come back after a refusal, as their patience shows,
// are left out.
type demand struct {
	// requested is the sum of the expected times in a slot of the first requests since
	// the last tick.
	requested time.Duration
	// slots is the mean number of slots.
	slots ewma.Mean
}

// division is the division of this region's requests for one service among the
// regions. It changes slowly, so that objects stay on servers that know them.
type division struct {
	// shares are the shares of the requests by region; their sum is 1.
	shares map[string]float64
}

// moveTowards moves at most the fraction step of the requests towards the goal. It adopts
// the goal at once when a region has lost all its servers or there is no division yet.
func (d *division) moveTowards(goal map[string]float64, step float64) {
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
	for region, share := range goal {
		moved += max(share-d.shares[region], 0)
	}
	if moved <= step {
		d.shares = goal

		return
	}
	next := make(map[string]float64, len(goal))
	for region, share := range goal {
		next[region] = d.shares[region] + (share-d.shares[region])*step/moved
	}
	d.shares = next
}

// regionAt returns the region whose interval contains a point in [0, 1). The permitted
// regions divide [0, 1) in proportion to their shares, the own region first, so that a
// change of the shares moves only the points near the ends of the intervals. It returns
// false when no region is permitted.
func (d *division) regionAt(point float64, ownRegion string, permitted func(string) bool) (string, bool) {
	regions := make([]string, 0, len(d.shares))
	total := 0.0
	for region, share := range d.shares {
		if share > 0 && permitted(region) {
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

// demandRatio returns the demand of all regions relative to their slots, 1 without
// slots.
func demandRatio(demands, slots map[string]float64) float64 {
	totalDemand, totalSlots := 0.0, 0.0
	for _, n := range demands {
		totalDemand += n
	}
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return 1
	}

	return totalDemand / totalSlots
}

// assumedDemands returns the demands by region that are assumed before the first
// request: equal ones, and near what all servers can carry, so that the division need
// not change much afterwards.
func assumedDemands(slots map[string]float64) map[string]float64 {
	totalSlots := 0.0
	for _, n := range slots {
		totalSlots += n
	}
	demands := make(map[string]float64, len(slots))
	for region := range slots {
		demands[region] = localDemandLimit * totalSlots / float64(len(slots))
	}

	return demands
}

// divide returns the share of the own region's requests that each region should serve:
// the own region up to localDemandLimit, or up to the demand ratio of all regions if
// that is higher, and the others the rest in proportion to their free slots. It returns
// nil without slots.
func divide(ownRegion string, demands, slots map[string]float64) map[string]float64 {
	totalSlots := 0.0
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return nil
	}
	limit := max(localDemandLimit, demandRatio(demands, slots))
	localDemand := func(region string) float64 {
		return min(demands[region], slots[region]*limit)
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
	for region, n := range slots {
		if region != ownRegion {
			freeSlots += max(n*limit-localDemand(region), 0)
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
			shares[region] = (1 - localShare) * max(n*limit-localDemand(region), 0) / freeSlots
		default:
			shares[region] = (1 - localShare) * n / totalSlots
		}
	}

	return shares
}
