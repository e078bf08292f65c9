package blocks

import (
	"slices"
	"sort"
)

// indexBits is the number of leading address bits by which the IPv4 ranges are
// indexed; the index takes 256 KB.
const indexBits = 16

// noTarget is the target number of a range that no block contains.
const noTarget = 0

// result is what a lookup finds: the target and the length of the longest prefix.
// The zero value says that no block contains the address.
type result struct {
	// target is an index of Table.targets.
	target uint16
	// bits is the prefix length of the block.
	bits uint8
}

// block is a block of client addresses. result is the result of a lookup for which this
// block is the longest match.
type block[A address[A]] struct {
	first  A
	result result
}

// ranges holds ranges of addresses in ascending order. Each range ends where the next
// range starts. The parallel slices need 7 bytes for an IPv4 range.
type ranges[A address[A]] struct {
	starts  []A      // first addresses
	targets []uint16 // target numbers
	bits    []uint8  // prefix lengths
}

// find returns the result of the range that contains addr, or the zero result if addr
// is before the first range. low and high are inclusive bounds of the index of the
// first range that starts after addr.
func (r ranges[A]) find(addr A, low, high int) result {
	i := low + sort.Search(high-low, func(i int) bool { return addr.compare(r.starts[low+i]) < 0 }) - 1
	if i < 0 {
		return result{}
	}

	return result{target: r.targets[i], bits: r.bits[i]}
}

// add appends a range. It replaces the last range if both have the same start, and
// it joins adjacent ranges that no block contains.
func (r *ranges[A]) add(start A, res result) {
	if n := len(r.starts); n > 0 && r.starts[n-1] == start {
		r.starts, r.targets, r.bits = r.starts[:n-1], r.targets[:n-1], r.bits[:n-1]
	}
	if n := len(r.starts); n > 0 && res.target == noTarget && r.targets[n-1] == noTarget {
		return
	}
	r.starts = append(r.starts, start)
	r.targets = append(r.targets, res.target)
	r.bits = append(r.bits, res.bits)
}

// flatten turns nested blocks into adjacent ranges. It sorts the slice blocks in place.
func flatten[A address[A]](blocks []block[A]) ranges[A] {
	slices.SortStableFunc(blocks, func(a, b block[A]) int {
		if c := a.first.compare(b.first); c != 0 {
			return c
		}

		return int(a.result.bits) - int(b.result.bits)
	})
	var out ranges[A]
	// enclosing holds the blocks that contain the current address, innermost last.
	var enclosing []block[A]
	// endInnermost ends the innermost block; after its last address, the block
	// around it applies again.
	endInnermost := func() {
		last := enclosing[len(enclosing)-1]
		enclosing = enclosing[:len(enclosing)-1]
		next, ok := last.first.last(last.result.bits).next()
		if !ok {
			return
		}
		outer := result{}
		if len(enclosing) > 0 {
			outer = enclosing[len(enclosing)-1].result
		}
		out.add(next, outer)
	}
	for _, b := range blocks {
		for n := len(enclosing); n > 0 && enclosing[n-1].first.last(enclosing[n-1].result.bits).compare(b.first) < 0; n = len(enclosing) {
			endInnermost()
		}
		if n := len(enclosing); n > 0 && enclosing[n-1].first == b.first && enclosing[n-1].result.bits == b.result.bits {
			enclosing = enclosing[:n-1]
		}
		enclosing = append(enclosing, b)
		out.add(b.first, b.result)
	}
	for len(enclosing) > 0 {
		endInnermost()
	}

	return ranges[A]{starts: slices.Clip(out.starts), targets: slices.Clip(out.targets), bits: slices.Clip(out.bits)}
}

// buildIndex returns Table.v4Index for ranges with the given first addresses, or
// nil if there are none.
func buildIndex(starts []addr4) []uint32 {
	if len(starts) == 0 {
		return nil
	}
	index := make([]uint32, 1<<indexBits+1)
	n := 0
	for i := range index {
		for n < len(starts) && uint64(starts[n]) < uint64(i)<<(32-indexBits) {
			n++
		}
		index[i] = uint32(n)
	}

	return index
}
