package region

import (
	"cmp"
	"slices"
)

// distributeEvenly divides a number of tokens, the parameter remainder, among members
// and returns how many each member receives. The slice held lists the tokens that the
// members hold already. The totals become as even as possible. Tokens left over from
// an even division go to the members that held the fewest. Among equals, the member at
// index offset (modulo the number of members) comes first, then those after it. With
// different offsets, pools favour different members.
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
	// Raise the lowest holding to the next higher one, then both to the third, and
	// so on until the remainder is used up. raisedCount is the number of members
	// that are raised together.
	raisedCount := 1
	for remaining := remainder; ; raisedCount++ {
		if raisedCount < n {
			needed := (held[order[raisedCount]] - held[order[raisedCount-1]]) * int64(raisedCount)
			if needed <= remaining {
				remaining -= needed

				continue
			}
		}
		level := held[order[raisedCount-1]] + remaining/int64(raisedCount)
		extra := remaining % int64(raisedCount)
		for i, m := range order[:raisedCount] {
			grants[m] = level - held[m]
			if int64(i) < extra {
				grants[m]++
			}
		}

		return grants
	}
}
