package direct

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
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

// Guards against callers without an entry VM in their region that are sent to regions outside
// the homes of what they ask for, and against such look-ups that return none.
func TestLookupPrefersHomes(t *testing.T) {
	t.Parallel()
	clock := timer.NewManual(time.Unix(0, 0))
	clock.Advance(time.Second)
	p := &Process{clock: clock, peers: newPeers(EntryVM{}), mirrors: map[string]*mirror.Mirror{
		TableServers: mirror.New(nil, clock, zap.NewNop(), mirror.Options{}),
	}}
	route := func(host, prefix string, homes ...string) intent.Route {
		return intent.Route{Name: host + prefix, Host: host, Prefix: prefix, Homes: set.New(homes...)}
	}
	p.intent.Store(intent.New(1, []intent.Route{
		route("home.example", "/1/", "b"), route("home.example", "/2/", "b", "c", "gone"), route("home.example", "/3/", "gone"), route("home.example", "/4/", "gone"),
		route("any.example", "/"),
	}, nil, intent.Limits{}))
	for i, region := range []string{"a", "b", "c", "b"} {
		name := fmt.Sprint(region, i)
		p.peers.byName[name] = &peer{EntryVM: EntryVM{Name: name, Region: region, Requests: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1)}, lastSeen: time.Second, ready: true}
	}
	for _, c := range []struct {
		host, region string
		want         []string
	}{
		{"home.example", "elsewhere", []string{"127.0.0.1:1", "127.0.0.3:1"}},
		{"HOME.example:80", "gone", []string{"127.0.0.1:1", "127.0.0.3:1"}},
		{"home.example", "a", []string{"127.0.0.0:1"}},
		{"any.example", "elsewhere", []string{"127.0.0.0:1", "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"}},
		{"unknown.example", "elsewhere", []string{"127.0.0.0:1", "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"}},
	} {
		require.Equal(t, c.want, p.Lookup(c.host, "zone", c.region).Addresses, "%s in %s", c.host, c.region)
	}
	p.peers.byName["b1"].ready, p.peers.byName["b3"].ready = false, false
	require.Equal(t, []string{"127.0.0.2:1"}, p.Lookup("home.example", "zone", "elsewhere").Addresses, "the next home")
}
