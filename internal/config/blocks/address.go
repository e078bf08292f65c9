package blocks

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"net/netip"
)

// address is an IPv4 or IPv6 address in 4 or 16 bytes.
type address[A any] interface {
	comparable
	compare(other A) int
	// last returns the last address of the block that starts at this address and whose
	// prefix length is bits.
	last(bits uint8) A
	// next returns the following address, or false if this is the last address of the
	// address family.
	next() (A, bool)
}

// addr4 is an IPv4 address.
type addr4 uint32

func addr4Of(a netip.Addr) addr4 {
	raw := a.As4()

	return addr4(binary.BigEndian.Uint32(raw[:]))
}

func (a addr4) compare(other addr4) int { return cmp.Compare(a, other) }

func (a addr4) last(bits uint8) addr4 { return a | addr4(uint64(1)<<(32-bits)-1) }

func (a addr4) next() (addr4, bool) { return a + 1, a+1 != 0 }

// addr6 is an IPv6 address.
type addr6 [16]byte

func addr6Of(a netip.Addr) addr6 { return a.As16() }

func (a addr6) compare(other addr6) int { return bytes.Compare(a[:], other[:]) }

func (a addr6) last(bits uint8) addr6 {
	for bit := int(bits); bit < 8*len(a); bit++ {
		a[bit/8] |= 0x80 >> (bit % 8)
	}

	return a
}

func (a addr6) next() (addr6, bool) {
	for i := len(a) - 1; i >= 0; i-- {
		a[i]++
		if a[i] != 0 {
			return a, true
		}
	}

	return a, false
}
