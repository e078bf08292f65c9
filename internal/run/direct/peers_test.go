package direct

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lookups that return weak entry VMs beside enough strong ones, because
// each of many entry VMs knows little about the backend servers. Guards also against
// lookups that return only a single strong entry VM, or only strong ones that are busy.
func TestLookupReturnsStrongest(t *testing.T) {
	t.Parallel()
	candidate := func(last byte, strength int, busy bool) lookupCandidate {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, last}), 80)

		return lookupCandidate{EntryVM: EntryVM{Requests: address, Strength: strength}, busy: busy}
	}
	weak := []lookupCandidate{candidate(8, 4, false), candidate(9, 4, false)}
	for _, c := range []struct {
		name   string
		strong []lookupCandidate
		want   int
	}{
		{"two strong ones", []lookupCandidate{candidate(1, 8, false), candidate(2, 8, false)}, 2},
		{"a single strong one", []lookupCandidate{candidate(1, 8, false)}, 3},
		{"none", nil, 2},
		{"one of three is busy", []lookupCandidate{candidate(1, 8, false), candidate(2, 8, false), candidate(3, 8, true)}, 3},
		{"two of three are busy", []lookupCandidate{candidate(1, 8, false), candidate(2, 8, true), candidate(3, 8, true)}, 5},
	} {
		require.Len(t, requestAddresses(strongest(append(c.strong, weak...))), c.want, c.name)
	}
	require.Equal(t, []string{"127.0.0.8:80", "127.0.0.9:80"}, requestAddresses(weak))
}
