package ewma

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestMicros and highestMicros bound the recorded durations: 1 microsecond and
	// 10 minutes.
	lowestMicros, highestMicros = 1, 600_000_000
	// significantDigits is the decimal precision; 2 keeps a histogram at about 25 KB.
	significantDigits = 2
)

// Histogram estimates percentiles of recent durations. It keeps one histogram for each
// half of a window, so it covers between half of the window and all of it.
type Histogram struct {
	halfWindow time.Duration
	rotatedAt  time.Duration
	window     *hdrhistogram.WindowedHistogram
}

// NewHistogram returns an empty histogram over the given window.
func NewHistogram(window time.Duration) *Histogram {
	return &Histogram{
		halfWindow: window / 2,
		window:     hdrhistogram.NewWindowed(2, lowestMicros, highestMicros, significantDigits),
	}
}

// Observe records the duration d at the time now. A duration below 1 microsecond or
// above 10 minutes counts as that limit.
func (h *Histogram) Observe(now, d time.Duration) {
	h.rotate(now)
	// The value is within the bounds, so there is no error.
	_ = h.window.Current.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Percentiles returns the durations at the given percentiles, from 0 to 100, and the
// number of observations within the window. The durations are 0 if there are no
// observations.
func (h *Histogram) Percentiles(now time.Duration, percentiles ...float64) ([]time.Duration, int64) {
	h.rotate(now)
	merged := h.window.Merge()
	durations := make([]time.Duration, len(percentiles))
	for i, p := range percentiles {
		durations[i] = time.Duration(merged.ValueAtPercentile(p)) * time.Microsecond
	}

	return durations, merged.TotalCount()
}

// rotate starts a new half of the window when the current half is over, and drops the
// observations that are older than the window.
func (h *Histogram) rotate(now time.Duration) {
	if now < h.rotatedAt+h.halfWindow {
		return
	}
	if now >= h.rotatedAt+2*h.halfWindow {
		h.window.Rotate()
	}
	h.window.Rotate()
	h.rotatedAt = now
}
