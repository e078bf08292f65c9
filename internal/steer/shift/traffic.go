package shift

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// usedPartOfCap is the part of the operators' cap that is used. The rest covers
// rounding to whole requests and to buckets of the window. It also covers entries
// whose share of the region's traffic changes.
const usedPartOfCap = 0.7

// serviceTraffic is the traffic of one service from this region. Its maps are by
// serving region, except absentSince. Integer fractions are in millionths,
// floating-point fractions are between 0 and 1.
type serviceTraffic struct {
	cap           float64 // most that a region's fraction may rise in a window, see usedPartOfCap
	whole         bool    // no limits: the whole traffic may move at once
	window        time.Duration
	target        map[string]uint32 // fractions that the operators set
	targetRegions set.Set[string]   // keys of target, also those with the fraction 0

	known     bool          // a step is known
	step      step          // present step
	stepSince time.Duration // when this entry adopted the step
	// earlier holds lower bounds of the fractions that regions received before
	// startedAt: from this entry's predecessor and peers or, if startedAt is when the
	// window length changed, from this entry itself.
	earlier   map[string]uint32
	startedAt time.Duration // when this entry began to count

	// absentSince holds, by VM, when this entry first noticed that a VM with a
	// record in document.RealisedByVM runs no known entry.
	absentSince  map[string]time.Duration
	nextRecordAt time.Duration // when the realised fractions may be written again

	counts window
	// planValid is false if limits and assigned must be computed again. They are also
	// computed again when a new bucket begins.
	planValid     bool
	historyBucket int64 // newest bucket that windowFractions covers
	// windowFractions holds, by region and bucket, the fraction that the region had
	// in the window that ended in the bucket. The regions are in the order of
	// counts.regions, here and in limits, assigned and credit.
	windowFractions [][bucketsPerWindow]float64
	limits          []float64 // fraction that each region may reach
	assigned        []float64 // fraction that each region receives now
	// credit holds the credits of a weighted round robin: one for each region and, as
	// the last element, the credit of refusing a request.
	credit []float64
}

// configure takes the target and the cap of a service from the configuration.
func (t *serviceTraffic) configure(s model.Service, region string, now time.Duration) {
	t.target = targetFractions(s, region)
	t.targetRegions = set.New(slices.Collect(maps.Keys(t.target))...)
	t.cap = usedPartOfCap * float64(s.Shift.Percent) / 100
	windowLength := s.Shift.Window
	if windowLength <= 0 {
		windowLength = time.Second
	}
	t.whole = s.Shift.Window <= 0 || s.Shift.Percent >= 100
	if t.whole {
		t.cap = 1 // without limits, no part of the cap is kept unused
	}
	if t.window != windowLength {
		// The counts of the old window length cannot be used for the new length. So
		// counting starts with a first window again, in which no fraction may rise.
		if t.known {
			if t.earlier = t.realised(now); t.earlier == nil {
				t.earlier = t.step.Fractions // no request arrived, so nothing moved
			}
		}
		t.window = windowLength
		t.restart(now)
	}
	t.planValid = false
}

// restart clears the counts and begins a first window.
func (t *serviceTraffic) restart(now time.Duration) {
	t.startedAt = now
	t.counts = window{bucketLength: max(1, t.window/bucketsPerWindow)}
	t.counts.newestBucket = int64(now / t.counts.bucketLength)
	t.historyBucket = t.counts.newestBucket
	t.credit, t.windowFractions = nil, nil
}

// capMillionths returns the most that a step may move, in millionths.
func (t *serviceTraffic) capMillionths() uint64 {
	return uint64(t.cap * whole)
}

// stepDue reports whether the next step may be made: the target is not reached, the
// cap is above 0, and the present step is at least two windows old. After two
// windows, every window that ended during the last window began after the step. So
// the realised fractions have reached the step. A replacement of this entry starts
// from the realised fractions.
func (t *serviceTraffic) stepDue(now time.Duration) bool {
	return now-t.stepSince >= 2*t.window && t.capMillionths() > 0 && !maps.Equal(withoutZeros(t.step.Fractions), withoutZeros(t.target))
}

func withoutZeros(m map[string]uint32) map[string]uint32 {
	out := maps.Clone(m)
	maps.DeleteFunc(out, func(_ string, v uint32) bool { return v == 0 })

	return out
}

// adopt makes s the present step. The first adopted step begins the first window.
// The parameter realised then becomes t.earlier: it holds the fractions from which
// this entry starts. For later steps the parameter is ignored.
func (t *serviceTraffic) adopt(s step, realised map[string]uint32, now time.Duration) {
	if !t.known {
		t.restart(now)
		t.earlier = realised
	}
	t.known, t.step, t.stepSince, t.planValid = true, s, now, false
}

// choose returns the region with the most credit. It returns false when no region
// has an assigned fraction. Unless t.whole is set, it also returns false when
// refusing has more credit than the region or the region has reached its limit.
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

// withinLimit reports whether a region may receive one more request. With this
// request, the region may exceed its limit in the last window by at most one
// request, or by two if so few requests arrive that the cap is less than two
// requests. Otherwise services with little traffic, where a single request exceeds
// the cap, could not be served.
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

// plan computes t.limits and t.assigned. Each region is assigned the fraction that
// the step gives it, but at most its limit. The rest is divided among the regions
// that are below their limits, in proportion to the distance from the limit.
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
			// It is not known how much this entry's predecessor moved in this window, so
			// no fraction may rise.
			t.limits[i] = earlier
		}
		if !usableRegions.Has(name) || (fraction == 0 && !t.targetRegions.Has(name)) {
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

// lowestFraction returns the lowest fraction that a region had in any window that
// ended in one of the last window's buckets. The cap limits the rise above each of
// these fractions, so the lowest of them counts. lowestFraction first records the
// region's fraction in the window that ends now. In the first window, the time
// before startedAt counts with the region's fraction in t.earlier.
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
