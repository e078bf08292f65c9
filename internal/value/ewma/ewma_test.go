package ewma_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

// Guards against a start value that pulls the first averages towards zero.
func TestMeanStartsAsPlainAverage(t *testing.T) {
	t.Parallel()
	m := ewma.Mean{}.With(10, 0.1).With(20, 0.1)
	assert.InDelta(t, 15, m.Value(), 1e-9)
	for range 100 {
		m = m.With(50, 0.1)
	}
	assert.InDelta(t, 50, m.Value(), 0.1)
	assert.Equal(t, 102, m.Count())
}

// Guards against percentiles that count observations older than the window.
func TestHistogramDropsOldDurations(t *testing.T) {
	t.Parallel()
	h := ewma.NewHistogram(10 * time.Second)
	for i := range 100 {
		h.Observe(0, time.Duration(i+1)*time.Millisecond)
	}
	got, n := h.Percentiles(0, 50, 95)
	assert.EqualValues(t, 100, n)
	assert.InEpsilon(t, 50*time.Millisecond, got[0], 0.02)
	assert.InEpsilon(t, 95*time.Millisecond, got[1], 0.02)

	h.Observe(6*time.Second, time.Hour)
	_, n = h.Percentiles(6*time.Second, 50)
	assert.EqualValues(t, 101, n)
	_, n = h.Percentiles(12*time.Second, 50)
	assert.EqualValues(t, 1, n)
	_, n = h.Percentiles(40*time.Second, 50)
	assert.EqualValues(t, 0, n)
}
