package gossip_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// testWait bounds every wait of these tests.
const testWait = 10 * time.Second

// datagramPort and tablePort are the ports of every bus, and maxCopies is how many copies a
// bus sends at once.
const (
	datagramPort = 17830
	tablePort    = 17831
	maxCopies    = 3
)

// runBus runs a bus on a loopback address until the test ends. It passes messages to
// received and answers requests for copies with encodeChanges.
func runBus(t *testing.T, ip string, received chan gossip.Message, encodeChanges func(string, table.Version) ([]byte, bool)) (*gossip.Bus, netip.Addr) {
	t.Helper()
	address := netip.MustParseAddr(ip)
	ctx, cancel := context.WithCancel(context.Background())
	bus, err := gossip.Listen(ctx, address, datagramPort, tablePort, maxCopies, gossip.Handlers{
		Receive: func(m gossip.Message, _ netip.AddrPort) { received <- m }, EncodeChanges: encodeChanges,
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

// noCopies has no copy of any table.
func noCopies(string, table.Version) ([]byte, bool) { return nil, false }

// Guards against messages that are accepted from addresses that are not listed as entry
// VMs, and against copies that are sent to such addresses.
func TestOnlyListedAddressesAreAccepted(t *testing.T) {
	t.Parallel()
	received := make(chan gossip.Message, 8)
	version := table.Version{Era: 2, Revision: 7}
	longText := strings.Repeat("row ", 100_000)
	a, addressA := runBus(t, "127.0.0.101", received, func(name string, since table.Version) ([]byte, bool) {
		data, err := cbor.Marshal(longText)

		return data, err == nil && name == "t" && since == version
	})
	b, addressB := runBus(t, "127.0.0.102", make(chan gossip.Message, 8), noCopies)
	to := []netip.AddrPort{netip.AddrPortFrom(addressA, datagramPort)}
	load := gossip.Load{Lost: []uint32{4}, InFlight: map[uint32]int{9: 2}}
	message := gossip.Message{Report: &gossip.Report{Name: "b", Sequence: 3, Load: load}}
	require.NoError(t, b.Send(message, to))
	var copied string
	require.Error(t, b.Fetch(t.Context(), addressA, "t", version, &copied))
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
	require.NoError(t, b.Fetch(t.Context(), addressA, "t", version, &copied))
	require.Equal(t, longText, copied)
}

// Guards against an entry VM on a slow link that sends a large copy to all other entry VMs
// at once, so that no copy arrives in time.
func TestFewCopiesAreSentAtOnce(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	requested := make(chan struct{}, 16)
	a, addressA := runBus(t, "127.0.0.111", make(chan gossip.Message, 8), func(string, table.Version) ([]byte, bool) {
		requested <- struct{}{}
		<-release
		data, err := cbor.Marshal("x")

		return data, err == nil
	})
	b, addressB := runBus(t, "127.0.0.112", make(chan gossip.Message, 8), noCopies)
	a.SetEntryVMs([]netip.Addr{addressB})
	results := make(chan error, maxCopies)
	for range maxCopies {
		go func() {
			var v string
			results <- b.Fetch(context.Background(), addressA, "t", table.Version{}, &v)
		}()
	}
	for range maxCopies {
		<-requested
	}
	var v string
	require.ErrorIs(t, b.Fetch(t.Context(), addressA, "t", table.Version{}, &v), gossip.ErrBusy)
	close(release)
	for range maxCopies {
		require.NoError(t, <-results)
	}
}
