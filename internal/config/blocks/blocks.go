// Package blocks finds the site or region that a client address is steered to,
// by longest prefix match; `greengagetally entry` answers lookups with it.
//
// A table splits the address space into ranges: before the first address of each block
// and after the block's last address. Among the blocks that contain a range, the table
// keeps the block with the longest prefix. A lookup is a binary search among the first
// addresses of the ranges.
package blocks

import (
	"net/netip"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// Table is an immutable table for longest prefix match; the zero value is empty.
type Table struct {
	// targets holds the names of the targets by target number; the name of noTarget is
	// "".
	targets []string
	v4      ranges[addr4]
	v6      ranges[addr6]
	// v4Index[i] is the number of IPv4 ranges that start below the first address
	// whose leading indexBits bits are i.
	v4Index []uint32
}

// New returns a table of the given blocks. If a prefix occurs more than once, the
// last block with this prefix applies. At most 65,535 different targets are kept; blocks of
// further targets are left out.
func New(blocks []model.Block) Table {
	t := Table{targets: []string{""}}
	targetNumbers := map[string]uint16{}
	v4 := make([]block[addr4], 0, len(blocks))
	var v6 []block[addr6]
	for _, b := range blocks {
		number, ok := targetNumbers[b.Target]
		if !ok {
			if len(t.targets) > 0xffff {
				continue
			}
			number = uint16(len(t.targets))
			targetNumbers[b.Target] = number
			t.targets = append(t.targets, b.Target)
		}
		res := result{target: number, bits: uint8(b.Prefix.Bits())}
		if first := b.Prefix.Masked().Addr(); first.Is4() {
			v4 = append(v4, block[addr4]{addr4Of(first), res})
		} else {
			v6 = append(v6, block[addr6]{addr6Of(first), res})
		}
	}
	t.v4, t.v6 = flatten(v4), flatten(v6)
	t.v4Index = buildIndex(t.v4.starts)

	return t
}

// Lookup returns the target and the prefix of the block that contains addr. If several
// blocks contain addr, the longest prefix applies. Lookup returns false if no block
// contains addr. An IPv4-mapped address counts as IPv4.
func (t Table) Lookup(addr netip.Addr) (string, netip.Prefix, bool) {
	addr = addr.Unmap().WithZone("")
	var found result
	switch {
	case addr.Is4() && len(t.v4Index) > 0:
		key := addr4Of(addr)
		leading := key >> (32 - indexBits)
		found = t.v4.find(key, int(t.v4Index[leading]), int(t.v4Index[leading+1]))
	case addr.Is6():
		found = t.v6.find(addr6Of(addr), 0, len(t.v6.starts))
	}
	if found.target == noTarget {
		return "", netip.Prefix{}, false
	}

	return t.targets[found.target], netip.PrefixFrom(addr, int(found.bits)).Masked(), true
}

// Len returns the number of address ranges in the table.
func (t Table) Len() int {
	return len(t.v4.starts) + len(t.v6.starts)
}

// SizeBytes returns the memory that the ranges and the IPv4 index take.
func (t Table) SizeBytes() int {
	const resultBytes = 2 + 1

	return (4+resultBytes)*cap(t.v4.starts) + (16+resultBytes)*cap(t.v6.starts) + 4*len(t.v4Index)
}
