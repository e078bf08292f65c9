package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// localTarget is the use of a region's slots up to which its own callers stay
	// in it; above, requests move to regions with more room.
	localTarget = 0.85
	// spreadPerSecond bounds how fast the parts of a region's requests move: what
	// the requests that run elsewhere for want of room leave of the usual bound of
	// 15 % in two seconds.
	spreadPerSecond = 0.015
	// demandAlpha weighs one tick's demand: about the last two seconds.
	demandAlpha = 0.06
)

// demand is the slots that this entry's callers ask of one service.
type demand struct {
	// work is the sum of the expected work of the requests since the last tick.
	work  time.Duration
	slots ewma.Mean
}

// spread is the division of this region's requests for one service among the
// regions. It moves slowly, so that objects stay on servers that know them.
type spread struct {
	parts map[string]float64
}

// towards moves the parts by at most step in sum, or to the goal at once when a
// region has lost all its servers or there is no division yet.
func (s *spread) towards(goal map[string]float64, step float64) {
	if s.parts == nil {
		s.parts = goal

		return
	}
	for region, part := range s.parts {
		if _, served := goal[region]; part > 0 && !served {
			s.parts = goal

			return
		}
	}
	moved := 0.0
	for region, part := range goal {
		moved += max(part-s.parts[region], 0)
	}
	if moved <= step {
		s.parts = goal

		return
	}
	next := make(map[string]float64, len(goal))
	for region, part := range goal {
		next[region] = s.parts[region] + (part-s.parts[region])*step/moved
	}
	s.parts = next
}

// regionOf returns the region for a point in [0, 1) among the permitted ones,
// its own region first, so that only objects at the borders move.
func (s *spread) regionOf(at float64, own string, permitted func(string) bool) (string, bool) {
	regions := make([]string, 0, len(s.parts))
	total := 0.0
	for region, part := range s.parts {
		if part > 0 && permitted(region) {
			regions = append(regions, region)
			total += part
		}
	}
	if len(regions) == 0 {
		return "", false
	}
	slices.SortFunc(regions, func(a, b string) int {
		switch {
		case a == own:
			return -1
		case b == own:
			return 1
		}

		return strings.Compare(a, b)
	})
	at *= total
	for _, region := range regions {
		if at < s.parts[region] {
			return region, true
		}
		at -= s.parts[region]
	}

	return regions[len(regions)-1], true
}

// use returns the demand of all regions relative to their slots.
func use(demands, slots map[string]float64) float64 {
	total, room := 0.0, 0.0
	for _, n := range demands {
		total += n
	}
	for _, n := range slots {
		room += n
	}
	if room == 0 {
		return 1
	}

	return total / room
}

// presumedDemands returns the demands that are assumed before the first request:
// the same of every region, and near what all servers can carry, so that the
// first division need not move much.
func presumedDemands(slots map[string]float64) map[string]float64 {
	room := 0.0
	for _, n := range slots {
		room += n
	}
	demands := make(map[string]float64, len(slots))
	for region := range slots {
		demands[region] = localTarget * room / float64(len(slots))
	}

	return demands
}

// divide returns the parts of the own region's requests that each region should
// serve: its own up to the target, the rest where room is left.
func divide(own string, demands, slots map[string]float64) map[string]float64 {
	room := 0.0
	for _, n := range slots {
		room += n
	}
	if room == 0 {
		return nil
	}
	target := max(localTarget, use(demands, slots))
	local := func(region string) float64 {
		return min(demands[region], slots[region]*target)
	}
	mine := demands[own]
	if mine <= 0 {
		if slots[own] > 0 {
			return map[string]float64{own: 1}
		}
		mine = 1
	}
	parts := map[string]float64{}
	free := 0.0
	for region, n := range slots {
		if region != own {
			free += max(n*target-local(region), 0)
		}
	}
	stays := min(local(own)/mine, 1)
	if free <= 0 && stays > 0 {
		stays = 1
	}
	for region, n := range slots {
		switch {
		case region == own:
			parts[region] = stays
		case free > 0:
			parts[region] = (1 - stays) * max(n*target-local(region), 0) / free
		default:
			parts[region] = (1 - stays) * n / room
		}
	}

	return parts
}
