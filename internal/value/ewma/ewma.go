// Package ewma provides moving averages and percentiles of observations to both
// programs.
package ewma

// Mean is an exponentially weighted moving average; the zero value has no observations.
type Mean struct {
	value float64
	count int
}

// With returns the average after one more observation, x. Each observation has weight
// alpha, from 0 to 1. The first 1/alpha observations all weigh the same, so that the
// start value of 0 does not matter.
func (m Mean) With(x, alpha float64) Mean {
	m.count++
	m.value += max(alpha, 1/float64(m.count)) * (x - m.value)

	return m
}

// Value returns the average, or 0 when there are no observations.
func (m Mean) Value() float64 {
	return m.value
}

// Count returns the number of observations.
func (m Mean) Count() int {
	return m.count
}
