package region

import (
	"cmp"
	"slices"
)

// distributeEvenly returns how many tokens of the remainder each member receives
// so that the holdings, held plus received, become as even as possible. Among
// equal holdings the members from index offset on come first; pools with different
// offsets give the tokens left over from an even division to different members.
func distributeEvenly(held []int64, remainder int64, offset int) []int64 {
	n := len(held)
	grants := make([]int64, n)
	if n == 0 || remainder <= 0 {
		return grants
	}
	order := make([]int, n)
	for i := range order {
		order[i] = (i + offset) % n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(held[a], held[b]) })
	// Raise the first members of the order together, one more each time they reach
	// the next higher holding, as far as the remainder goes.
	raised := 1
	for remaining := remainder; ; raised++ {
		if raised < n {
			needed := (held[order[raised]] - held[order[raised-1]]) * int64(raised)
			if needed <= remaining {
				remaining -= needed

				continue
			}
		}
		level := held[order[raised-1]] + remaining/int64(raised)
		extra := remaining % int64(raised)
		for i, m := range order[:raised] {
			grants[m] = level - held[m]
			if int64(i) < extra {
				grants[m]++
			}
		}

		return grants
	}
}
