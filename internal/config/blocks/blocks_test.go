package blocks

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// linearLookup checks every block and returns the block with the longest prefix that
// contains addr.
func linearLookup(blocks []model.Block, addr netip.Addr) (string, netip.Prefix, bool) {
	best, found := model.Block{}, false
	for _, b := range blocks {
		if b.Prefix.Contains(addr) && (!found || b.Prefix.Bits() >= best.Prefix.Bits()) {
			best, found = b, true
		}
	}

	return best.Target, best.Prefix.Masked(), found
}

func lastAddr(p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(raw)*8; bit++ {
		raw[bit/8] |= 0x80 >> (bit % 8)
	}
	last, _ := netip.AddrFromSlice(raw)

	return last
}

// requireLinearSearchResults checks that Table.Lookup and a linear search find the same. It
// compares them for the first and the last address of each block, the addresses before
// and after the block, and the addresses in moreAddrs.
func requireLinearSearchResults(t *testing.T, blocks []model.Block, moreAddrs ...netip.Addr) {
	t.Helper()
	table := New(blocks)
	for _, b := range blocks {
		first := b.Prefix.Masked().Addr()
		moreAddrs = append(moreAddrs, first, first.Prev(), lastAddr(b.Prefix), lastAddr(b.Prefix).Next())
	}
	for _, addr := range moreAddrs {
		if !addr.IsValid() {
			continue
		}
		target, prefix, ok := table.Lookup(addr)
		wantTarget, wantPrefix, wantOK := linearLookup(blocks, addr)
		require.Equal(t, wantOK, ok, "address %s", addr)
		if ok {
			require.Equal(t, wantTarget, target, "address %s", addr)
			require.Equal(t, wantPrefix, prefix, "address %s", addr)
		}
	}
}

// Guards against lookups that don't return the longest prefix, for blocks that are
// nested, adjacent or at the ends of the address space.
func TestLookupLongestPrefix(t *testing.T) {
	t.Parallel()
	var blocks []model.Block
	for i, text := range []string{
		"0.0.0.0/0", "0.0.0.0/8", "10.0.0.0/8", "10.0.0.0/24", "10.0.1.0/24", "10.255.255.0/24",
		"255.255.255.0/24", "255.255.255.255/32", "10.0.0.0/24", "192.168.0.0/16",
		"::/0", "2001:db8::/32", "2001:db8:1::/48", "ffff:ffff::/32",
	} {
		blocks = append(blocks, model.Block{Prefix: netip.MustParsePrefix(text), Target: fmt.Sprint("t", i)})
	}
	requireLinearSearchResults(t, blocks)
	_, _, ok := New(blocks[1:5]).Lookup(netip.MustParseAddr("11.0.0.1"))
	require.False(t, ok)
	_, _, ok = Table{}.Lookup(netip.MustParseAddr("11.0.0.1"))
	require.False(t, ok)
	target, _, ok := New(blocks).Lookup(netip.MustParseAddr("::ffff:10.0.1.7"))
	require.True(t, ok, "an IPv4-mapped address is an IPv4 address")
	require.Equal(t, "t4", target)
}

// FuzzLookup guards against lookups that don't return the longest prefix, for any
// set of at most 64 IPv4 blocks.
func FuzzLookup(f *testing.F) {
	f.Add([]byte{10, 0, 0, 0, 8, 10, 0, 0, 0, 24, 10, 0, 1, 0, 24}, []byte{10, 0, 0, 9})
	f.Add([]byte{255, 255, 255, 255, 32, 255, 255, 255, 254, 31, 0, 0, 0, 0, 0}, []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, raw, address []byte) {
		var blocks []model.Block
		for i := 0; i+5 <= len(raw) && i < 5*64; i += 5 {
			addr := netip.AddrFrom4([4]byte(raw[i : i+4]))
			prefix := netip.PrefixFrom(addr, int(raw[i+4])%33)
			blocks = append(blocks, model.Block{Prefix: prefix.Masked(), Target: fmt.Sprint("t", i)})
		}
		if len(address) != 4 {
			return
		}
		requireLinearSearchResults(t, blocks, netip.AddrFrom4([4]byte(address)))
	})
}

// manyBlocks returns n blocks for 130 sites: pairs of a /22 and the first /24 in it.
func manyBlocks(n int) []model.Block {
	blocks := make([]model.Block, 0, n)
	for i := 0; len(blocks) < n; i++ {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], 0x01000000+uint32(i)<<10)
		addr := netip.AddrFrom4(raw)
		blocks = append(blocks,
			model.Block{Prefix: netip.PrefixFrom(addr, 22), Target: fmt.Sprint("site-", i%130)},
			model.Block{Prefix: netip.PrefixFrom(addr, 24), Target: fmt.Sprint("site-", (i+7)%130)})
	}

	return blocks[:n]
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{74_000, 370_000, 740_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := New(manyBlocks(n))
			random := rand.New(rand.NewPCG(1, 2))
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				var raw [4]byte
				binary.BigEndian.PutUint32(raw[:], 0x01000000+random.Uint32N(uint32(n)<<9))
				addrs[i] = netip.AddrFrom4(raw)
			}
			b.ResetTimer()
			for i := range b.N {
				table.Lookup(addrs[i&(len(addrs)-1)])
			}
			b.ReportMetric(float64(table.SizeBytes())/1e6, "MB")
			b.ReportMetric(float64(table.Len()), "ranges")
		})
	}
}

func BenchmarkNew(b *testing.B) {
	blocks := manyBlocks(740_000)
	for range b.N {
		New(blocks)
	}
}
