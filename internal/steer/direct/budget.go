package direct

import "time"

// budgetShare is the part of the deployment's retry budget that the entry VMs
// use; the rest covers attempts whose requests another entry counted.
const budgetShare = 0.7

// budgetCells divide the window of the retry budget.
const budgetCells = 10

// budget bounds repeated attempts at one service. Each entry VM spends what its
// own requests earn, and its part of the fixed allowance.
type budget struct {
	width  time.Duration
	cell   int64
	firsts [budgetCells]float64
	again  [budgetCells]float64
}

func (b *budget) advance(now time.Duration) int {
	cell := int64(now / b.width)
	for ; b.cell < cell; b.cell++ {
		next := (b.cell + 1) % budgetCells
		b.firsts[next], b.again[next] = 0, 0
		if cell-b.cell > budgetCells {
			b.cell = cell - budgetCells
		}
	}

	return int(cell % budgetCells)
}

// first counts a request for the service.
func (b *budget) first(now time.Duration) {
	b.firsts[b.advance(now)]++
}

// take counts a repeated attempt and returns whether it is allowed.
func (b *budget) take(now time.Duration, ratio, allowance float64) bool {
	cell := b.advance(now)
	firsts, again := 0.0, 0.0
	for i := range budgetCells {
		firsts += b.firsts[i]
		again += b.again[i]
	}
	if again+1 > budgetShare*(ratio*firsts+allowance) {
		return false
	}
	b.again[cell]++

	return true
}
