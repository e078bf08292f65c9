package ewma

// Percentile estimates a percentile of positive observations from two numbers of state;
// the zero value has no observations.
type Percentile struct {
	value float64
	count int
}

// enlargedSteps is how many observations at the start move the estimate by enlarged
// steps.
const enlargedSteps = 20

// With returns the estimate after one more observation; percentile is from 0 to 100.
// Each observation moves the estimate by at most step times the estimate, however large
// the observation is, so rare large observations have little effect. The first
// enlargedSteps observations move the estimate further, but each lowers it by at most
// half.
func (p Percentile) With(x, percentile, step float64) Percentile {
	p.count++
	if p.count == 1 {
		p.value = x

		return p
	}
	step *= max(1, enlargedSteps/float64(p.count))
	if x > p.value {
		p.value *= 1 + step*percentile/100
	} else if x < p.value {
		p.value *= 1 - min(step*(1-percentile/100), 0.5)
	}

	return p
}

// Value returns the estimate, or 0 when there are no observations.
func (p Percentile) Value() float64 {
	return p.value
}

// Count returns the number of observations.
func (p Percentile) Count() int {
	return p.count
}
