package ewma

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest bound the recorded durations, in microseconds.
	lowest, highest = 1, 600_000_000
	// digits of precision: 2 keep a histogram at about 25 KB.
	digits = 2
)

// Histogram gives quantiles of the durations of the latest one to two halves of
// a window.
type Histogram struct {
	half    time.Duration
	rotated time.Duration
	window  *hdrhistogram.WindowedHistogram
}

// NewHistogram returns an empty estimate over the given window.
func NewHistogram(window time.Duration) *Histogram {
	return &Histogram{
		half:   window / 2,
		window: hdrhistogram.NewWindowed(2, lowest, highest, digits),
	}
}

// Observe records a duration; one above 10 minutes counts as 10 minutes.
func (h *Histogram) Observe(now, d time.Duration) {
	h.rotate(now)
	// The value is within the bounds, so there is no error.
	_ = h.window.Current.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Percentiles returns the durations at the given percentiles, and the number of
// observations.
func (h *Histogram) Percentiles(now time.Duration, percentiles ...float64) ([]time.Duration, int64) {
	h.rotate(now)
	merged := h.window.Merge()
	out := make([]time.Duration, len(percentiles))
	for i, p := range percentiles {
		out[i] = time.Duration(merged.ValueAtPercentile(p)) * time.Microsecond
	}

	return out, merged.TotalCount()
}

func (h *Histogram) rotate(now time.Duration) {
	if now < h.rotated+h.half {
		return
	}
	if now >= h.rotated+2*h.half {
		h.window.Rotate()
	}
	h.window.Rotate()
	h.rotated = now
}
