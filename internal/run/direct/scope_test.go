package direct

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// Guards against digests to entry VMs without callers that grow with the number of entry
// VMs and backend servers. The sizes are those of a region of the largest fleet.
func TestDigestsToIdleEntryVMsAreSmall(t *testing.T) {
	t.Parallel()
	const entryVMs, servers = 137, 1200
	self := EntryVM{Name: "entry-0", Region: "r", Reports: netip.MustParseAddrPort("10.0.0.1:1")}
	ps := newPeers(self)
	var listed []EntryVM
	for i := range entryVMs {
		name := fmt.Sprint("entry-", i)
		listed = append(listed, EntryVM{Name: name, Region: "r", Reports: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)})
		report := gossip.Report{
			Name: name, Sequence: 1_000_000, Ready: true, Idle: i >= 10,
			Tables: map[string]gossip.TableState{"orders": {Revision: 1 << 30}, "servers": {Revision: 1 << 30}, "entries": {Revision: 1 << 30}},
		}
		if !report.Idle {
			report.Load = gossip.Load{Demand: map[string]float64{"a": 1.5, "b": 2.5}, InFlight: map[uint32]int{}}
			for s := range servers {
				report.Load.InFlight[uint32(s)*3_000_017] = 8 //nolint:gosec // Wraps around on purpose.
			}
		}
		ps.reports[name] = receivedReport{Report: report}
	}
	ps.update(time.Second, self, listed)
	active, idle := ps.sameRegion()
	require.Len(t, active, 9)
	require.Len(t, idle, entryVMs-10)
	d := ps.digest(0)
	size := func(scope gossip.Scope) int {
		data, err := cbor.Marshal(d.WithScope(scope))
		require.NoError(t, err)

		return len(data)
	}
	whole, summary, tables := size(gossip.ScopeWhole), size(gossip.ScopeSummary), size(gossip.ScopeTables)
	t.Logf("whole %d bytes, summary %d, tables %d", whole, summary, tables)
	require.Less(t, tables, 200)
	require.Less(t, summary, 20*entryVMs+300)
	require.Greater(t, whole, summary+5*servers)
	require.Len(t, d.Load.InFlight, servers, "the digest itself is not changed")
}
