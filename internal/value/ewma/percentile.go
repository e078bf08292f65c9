package ewma

// Percentile follows a percentile of positive observations with two numbers of
// state; the zero value is empty.
type Percentile struct {
	value float64
	count int
}

// firstSteps is the number of observations after which the step is as asked.
const firstSteps = 20

// With returns the estimate after one more observation. Each observation moves
// the estimate by at most step of its value, so that rare long ones do not
// matter.
func (p Percentile) With(x, percentile, step float64) Percentile {
	p.count++
	if p.count == 1 {
		p.value = x

		return p
	}
	step *= max(1, firstSteps/float64(p.count))
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
