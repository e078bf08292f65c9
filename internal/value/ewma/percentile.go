package ewma

// Percentile estimates a percentile of positive observations from two numbers of state;
// the zero value has no observations.
type Percentile struct {
	value float64
	count int
}

// enlargedSteps is the number of observations from which on steps are not enlarged.
const enlargedSteps = 20

// With returns the estimate after one more observation, x; percentile is from 0 to 100.
// The first observation becomes the estimate. Each later one moves the estimate by at
// most step times the estimate, however large x is, so rare large observations have
// little effect. Until there are enlargedSteps observations, each moves the estimate
// further, but lowers it by at most half.
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
