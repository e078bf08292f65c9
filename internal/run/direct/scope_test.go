package direct

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// Guards against digests to entry VMs without callers that grow with the number of entry
// VMs and backend servers. The sizes are those of a region of the largest fleet.
func TestDigestsToIdleEntryVMsAreSmall(t *testing.T) {
	t.Parallel()
	const entryVMs, servers = 137, 1200
	ps, d := largeRegion(entryVMs, servers, false)
	active, idle := ps.sameRegion()
	require.Len(t, active, 9)
	require.Len(t, idle, entryVMs-10)
	size := func(scope gossip.Scope) int { return sizeOf(t, d.WithScope(scope)) }
	whole, summary, tables := size(gossip.ScopeWhole), size(gossip.ScopeSummary), size(gossip.ScopeTables)
	t.Logf("whole %d bytes, summary %d, tables %d", whole, summary, tables)
	require.Less(t, tables, 200)
	require.Less(t, summary, 20*entryVMs+300)
	require.Greater(t, whole, summary+5*servers)
	require.Len(t, d.Load.InFlight, servers, "the digest itself is not changed")
}

// sizeOf returns the encoded size of a part of a message.
func sizeOf(t *testing.T, v any) int {
	t.Helper()
	data, err := cbor.Marshal(v)
	require.NoError(t, err)

	return len(data)
}

// largeRegion returns the state of an entry VM with the reports of a region, ten of them
// not idle, and its digest.
func largeRegion(entryVMs, servers int, marking bool) (*peers, *gossip.Digest) {
	self := EntryVM{Name: "entry-0", Region: "r", Reports: netip.MustParseAddrPort("10.0.0.1:1")}
	ps := newPeers(self, marking)
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

	return ps, ps.digest(0)
}

// Guards against marks that make messages much longer, and against marks that are told
// although the settings do not call for them.
func TestMarksAreSmall(t *testing.T) {
	t.Parallel()
	for _, region := range []struct{ entryVMs, servers int }{{9, 40}, {46, 400}, {137, 1200}} {
		size := func(marking bool) (report, whole, summary, tables int) {
			ps, d := largeRegion(region.entryVMs, region.servers, marking)
			require.Equal(t, marking, d.Mark != 0)
			reading := gossip.Reading{Revision: 1 << 30, AgeMillis: 123}
			if marking {
				for i := range uint32(3) {
					ps.journal.Received(string('a'+rune(i)), proof.NewJournal(1<<31+i).Make(""))
				}
				reading.Marks, reading.Shown = ps.marks()[1:], 1<<30+1
				require.Len(t, reading.Marks, 3)
			}
			state := d.Tables["orders"]
			state.Reading = &reading
			d.Tables["orders"] = state
			r := ps.reports["entry-1"].Report
			r.Tables = d.Tables

			return sizeOf(t, r), sizeOf(t, d), sizeOf(t, d.WithScope(gossip.ScopeSummary)), sizeOf(t, d.WithScope(gossip.ScopeTables))
		}
		report, whole, summary, tables := size(false)
		reportMarked, wholeMarked, summaryMarked, tablesMarked := size(true)
		t.Logf("%d entry VMs: report of the reader %d to %d bytes, whole %d to %d, summary %d to %d, tables %d to %d", region.entryVMs,
			report, reportMarked, whole, wholeMarked, summary, summaryMarked, tables, tablesMarked)
		require.Equal(t, 10, tablesMarked-tables, "the mark of the digest alone")
		for _, added := range []int{reportMarked - report, wholeMarked - whole - 10, summaryMarked - summary - 10} {
			require.LessOrEqual(t, added, 3*9+2+6)
		}
	}
}

// Guards against a late digest with a report of an earlier process of the entry VM, which
// would seem to list a report of this process.
func TestSequenceNumbersOfProcessesDiffer(t *testing.T) {
	t.Parallel()
	self := EntryVM{Name: "entry-0", Region: "r"}
	earlier, now := newPeers(self, true), newPeers(self, true)
	require.NotEqual(t, earlier.sent.add(steer.Report{}), now.sent.add(steer.Report{}))
	_, known := now.sent.at(now.sent.first)
	require.False(t, known)
	require.Equal(t, uint32(1), newPeers(self, false).sent.add(steer.Report{}), "nothing changes where no marks are told")
}
