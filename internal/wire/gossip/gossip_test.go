package gossip_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// testWait bounds every wait of these tests.
const testWait = 10 * time.Second

const (
	reports = 17830
	tables  = 17831
	copies  = 3
)

// open runs a bus on a loopback address; table answers copies of tables.
func open(t *testing.T, ip string, received chan gossip.Message, table func(string, uint64) ([]byte, bool)) (*gossip.Bus, netip.Addr) {
	t.Helper()
	address := netip.MustParseAddr(ip)
	ctx, cancel := context.WithCancel(context.Background())
	bus, err := gossip.Listen(ctx, address, reports, tables, copies, gossip.Handlers{
		Receive: func(m gossip.Message, _ netip.AddrPort) { received <- m }, EncodeChanges: table,
		Malformed: func(from netip.AddrPort, err error) { t.Errorf("datagram of %s: %v", from, err) },
	})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = bus.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})

	return bus, address
}

func noTable(string, uint64) ([]byte, bool) { return nil, false }

// Guards against reports and copies from or for addresses that are no entry VMs.
func TestOnlyListedAddressesAreHeard(t *testing.T) {
	t.Parallel()
	received := make(chan gossip.Message, 8)
	long := strings.Repeat("row ", 100_000)
	a, addressA := open(t, "127.0.0.101", received, func(name string, since uint64) ([]byte, bool) {
		data, err := cbor.Marshal(long)

		return data, err == nil && name == "t" && since == 7
	})
	b, addressB := open(t, "127.0.0.102", make(chan gossip.Message, 8), noTable)
	to := []netip.AddrPort{netip.AddrPortFrom(addressA, reports)}
	load := gossip.Load{Lost: []uint32{4}, InFlight: map[uint32]int{9: 2}}
	message := gossip.Message{Report: &gossip.Report{Name: "b", Sequence: 3, Load: load}}
	require.NoError(t, b.Send(message, to))
	var copied string
	require.Error(t, b.Fetch(t.Context(), addressA, "t", 7, &copied))
	a.SetEntryVMs([]netip.Addr{addressB})
	require.Eventually(t, func() bool {
		require.NoError(t, b.Send(message, to))
		select {
		case m := <-received:
			return m.Digest == nil && m.Report.Name == "b" && m.Report.Load.InFlight[9] == 2 && m.Report.Load.Lost[0] == 4
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}, testWait, 10*time.Millisecond)
	require.NoError(t, b.Fetch(t.Context(), addressA, "t", 7, &copied))
	require.Equal(t, long, copied)
}

// Guards against an entry VM with a weak link that sends a large table to all the
// others at once, so that none has it in time.
func TestFewCopiesAreSentAtOnce(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	asked := make(chan struct{}, 16)
	a, addressA := open(t, "127.0.0.111", make(chan gossip.Message, 8), func(string, uint64) ([]byte, bool) {
		asked <- struct{}{}
		<-release
		data, err := cbor.Marshal("x")

		return data, err == nil
	})
	b, addressB := open(t, "127.0.0.112", make(chan gossip.Message, 8), noTable)
	a.SetEntryVMs([]netip.Addr{addressB})
	results := make(chan error, copies)
	for range copies {
		go func() {
			var v string
			results <- b.Fetch(context.Background(), addressA, "t", 0, &v)
		}()
	}
	for range copies {
		<-asked
	}
	var v string
	require.ErrorIs(t, b.Fetch(t.Context(), addressA, "t", 0, &v), gossip.ErrBusy)
	close(release)
	for range copies {
		require.NoError(t, <-results)
	}
}
