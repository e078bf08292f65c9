package shift

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// usedPartOfCap is the part of the operators' cap that is used. The rest covers
// rounding to whole requests and to buckets of the window, and entries whose
// share of the region's traffic changes.
const usedPartOfCap = 0.7

// serviceTraffic is the traffic of one service from this region. Its maps are by
// serving region; integer fractions are in millionths, floating-point ones are
// between 0 and 1.
type serviceTraffic struct {
	cap     float64 // greatest rise of a region's fraction in a window
	whole   bool    // the whole traffic may move at once, so nothing is limited
	window  time.Duration
	target  map[string]uint32 // fractions that the operators want
	allowed set.Set[string]   // regions in the target

	known     bool // a step is known
	step      step
	stepSince time.Duration // when this entry adopted the step
	// earlier holds lower bounds of the fractions that were sent before startedAt,
	// by this entry's predecessor and peers or, with another window, by itself.
	earlier   map[string]uint32
	startedAt time.Duration // when this entry began to count

	// absentSince holds, by VM, since when an entry VM with a record in the store
	// is missing.
	absentSince  map[string]time.Duration
	nextRecordAt time.Duration // when the realised fractions may be written again

	counts window
	// The following slices are by region in the order of counts.regions. The limits
	// and the assigned fractions are computed once per bucket.
	planValid     bool  // limits and assigned are up to date
	historyBucket int64 // newest bucket in windowFractions
	// windowFractions holds, by bucket, the fraction that a region had in the
	// window that ended in that bucket.
	windowFractions [][bucketsPerWindow]float64
	limits          []float64 // fraction that each region may reach
	assigned        []float64 // fraction that each region receives now
	// credit is that of the weighted round robin; the last element is the credit
	// of refusing a request.
	credit []float64
}

// configure takes the target and the cap of a service from the configuration.
func (t *serviceTraffic) configure(s model.Service, region string, now time.Duration) {
	t.target = targetFractions(s, region)
	t.allowed = set.New(slices.Collect(maps.Keys(t.target))...)
	t.cap = usedPartOfCap * float64(s.Shift.Percent) / 100
	windowLength := s.Shift.Window
	if windowLength <= 0 {
		windowLength = time.Second
	}
	t.whole = s.Shift.Window <= 0 || s.Shift.Percent >= 100
	if t.whole {
		t.cap = 1 // nothing is limited, so no part is kept unused
	}
	if t.window != windowLength {
		// Counts of another window length cannot be used, so the cap counts as used
		// for a first window again.
		if t.known {
			if t.earlier = t.realised(now); t.earlier == nil {
				t.earlier = t.step.Fractions // no request arrived that could move
			}
		}
		t.window = windowLength
		t.restart(now)
	}
	t.planValid = false
}

// restart clears the counts and begins the first window.
func (t *serviceTraffic) restart(now time.Duration) {
	t.startedAt = now
	t.counts = window{bucketLength: max(1, t.window/bucketsPerWindow)}
	t.counts.newestBucket = int64(now / t.counts.bucketLength)
	t.historyBucket = t.counts.newestBucket
	t.credit, t.windowFractions = nil, nil
}

// capMillionths returns how much a step may move, in millionths.
func (t *serviceTraffic) capMillionths() uint64 {
	return uint64(t.cap * whole)
}

// stepDue reports whether the next step may be made: two windows after the last
// one. Only then has every window that ended within the last one reached the step,
// and so have the realised fractions, from which an entry starts that replaces
// another.
func (t *serviceTraffic) stepDue(now time.Duration) bool {
	return now-t.stepSince >= 2*t.window && t.capMillionths() > 0 && !maps.Equal(withoutZeros(t.step.Fractions), withoutZeros(t.target))
}

func withoutZeros(m map[string]uint32) map[string]uint32 {
	out := maps.Clone(m)
	maps.DeleteFunc(out, func(_ string, v uint32) bool { return v == 0 })

	return out
}

// adopt makes a step the present one. The first one begins the first window,
// with the fractions that others realised as the earlier ones.
func (t *serviceTraffic) adopt(s step, realised map[string]uint32, now time.Duration) {
	if !t.known {
		t.restart(now)
		t.earlier = realised
	}
	t.known, t.step, t.stepSince, t.planValid = true, s, now, false
}

// choose returns the region with the most credit, or false when refusing has
// more or the region has reached its limit.
func (t *serviceTraffic) choose(now time.Duration, usableRegions set.Set[string]) (string, bool) {
	if t.counts.advance(now) || !t.planValid {
		t.plan(now, usableRegions)
	}
	t.counts.arrived[t.counts.newestBucket%bucketsPerWindow]++
	best, refusal := -1, len(t.credit)-1
	unassigned := 1.0
	for i, fraction := range t.assigned {
		t.credit[i] += fraction
		unassigned -= fraction
		if fraction > 0 && (best < 0 || t.credit[i] > t.credit[best]) {
			best = i
		}
	}
	t.credit[refusal] += max(0, unassigned)
	if best < 0 || !t.whole && (t.credit[refusal] > t.credit[best] || !t.withinLimit(best)) {
		t.credit[refusal] = max(-1, t.credit[refusal]-1)

		return "", false
	}
	t.credit[best]--

	return t.counts.regions[best], true
}

// withinLimit reports whether one more request keeps the region's fraction of
// the last window within its limit. When few requests arrive, a single one
// exceeds the cap and is allowed, as otherwise services with little traffic
// could not be served.
func (t *serviceTraffic) withinLimit(region int) bool {
	arrived, sent := t.counts.totals(region)
	allowance := t.limits[region] * float64(arrived)
	if float64(arrived)*t.cap < 2 {
		allowance++
	}

	return float64(sent+1) <= allowance+1
}

// addRegions adds the regions of the step, the target and the earlier fractions
// to the counts.
func (t *serviceTraffic) addRegions() {
	for _, m := range []map[string]uint32{t.step.Fractions, t.target, t.earlier} {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			t.counts.region(name)
		}
	}
}

// plan computes the limits and the assigned fractions. Each region is assigned its
// fraction of the step up to its limit; what remains is divided among the regions
// that are below their limits.
func (t *serviceTraffic) plan(now time.Duration, usableRegions set.Set[string]) {
	t.planValid = true
	t.addRegions()
	n := len(t.counts.regions)
	if len(t.credit) != n+1 {
		t.credit = make([]float64, n+1)
	}
	t.limits, t.assigned = make([]float64, n), make([]float64, n)
	unassigned, spare := 1.0, 0.0
	for i, name := range t.counts.regions {
		fraction := float64(t.step.Fractions[name]) / whole
		earlier := float64(t.earlier[name]) / whole
		lowestFraction := t.lowestFraction(i, now)
		t.limits[i] = lowestFraction + t.cap
		switch {
		case t.whole:
			t.limits[i] = 1
		case now-t.startedAt < t.window:
			// How much the entry's predecessor moved in this window is not known.
			t.limits[i] = earlier
		}
		if !usableRegions.Has(name) || (fraction == 0 && !t.allowed.Has(name)) {
			t.limits[i] = 0
		}
		t.assigned[i] = min(fraction, t.limits[i])
		unassigned -= t.assigned[i]
		spare += t.limits[i] - t.assigned[i]
	}
	t.historyBucket = t.counts.newestBucket
	if unassigned <= 0 || spare <= 0 {
		return
	}
	share := min(1, unassigned/spare)
	for i := range t.assigned {
		t.assigned[i] += share * (t.limits[i] - t.assigned[i])
	}
}

// lowestFraction records the fraction that a region had in the last window and
// returns the lowest one recorded for the last window's buckets, because the cap
// limits the rise from each of them. In the first window, the part before this
// entry began counts with the earlier fraction.
func (t *serviceTraffic) lowestFraction(region int, now time.Duration) float64 {
	name := t.counts.regions[region]
	earlier := float64(t.earlier[name]) / whole
	if region == len(t.windowFractions) {
		var h [bucketsPerWindow]float64
		for i := range h {
			h[i] = earlier
		}
		t.windowFractions = append(t.windowFractions, h)
	}
	windowFraction := earlier
	if arrived, sent := t.counts.totals(region); arrived > 0 {
		observed := min(1, float64(now-t.startedAt)/float64(t.window))
		windowFraction = (1-observed)*earlier + observed*float64(sent)/float64(arrived)
	} else if now-t.startedAt >= t.window {
		windowFraction = float64(t.step.Fractions[name]) / whole // no request arrived
	}
	for bucket := max(t.historyBucket, t.counts.newestBucket-bucketsPerWindow) + 1; bucket <= t.counts.newestBucket; bucket++ {
		t.windowFractions[region][bucket%bucketsPerWindow] = windowFraction
	}

	return slices.Min(t.windowFractions[region][:])
}

// sent counts a request that was sent to a region.
func (t *serviceTraffic) sent(region string, now time.Duration) {
	t.counts.advance(now)
	t.counts.sent[t.counts.region(region)][t.counts.newestBucket%bucketsPerWindow]++
	if len(t.credit) != len(t.counts.regions)+1 {
		t.planValid = false
	}
}
