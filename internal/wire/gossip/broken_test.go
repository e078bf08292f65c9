package gossip_test

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// Guards against a copy of a table, which ends with the connection, of which a part arrives
// and counts as the whole.
func TestCopiesThatStopAreRefused(t *testing.T) {
	t.Parallel()
	want := []string{"a", "b", "cccccccccccccccccccccccccccccccc", "d"}
	data, err := cbor.Marshal(want)
	require.NoError(t, err)
	whole := s2.Encode(nil, data)
	broken := netip.MustParseAddr("127.0.0.131")
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(broken, tablePort)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var length atomic.Int64
	var reset atomic.Bool
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write(whole[:length.Load()])
			if reset.Load() {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	bus, _ := runBus(t, "127.0.0.132", make(chan gossip.Message, 1), noCopies)
	for end := range len(whole) {
		length.Store(int64(end))
		for _, how := range []bool{false, true} {
			reset.Store(how)
			var got []string
			require.Error(t, bus.Fetch(t.Context(), broken, "t", table.Version{}, &got), "after %d of %d bytes, reset: %t", end, len(whole), how)
		}
	}
	length.Store(int64(len(whole)))
	reset.Store(false)
	var got []string
	require.NoError(t, bus.Fetch(t.Context(), broken, "t", table.Version{}, &got))
	require.Equal(t, want, got)
}

// Guards against a part of a message that counts as a message.
func TestMessagesThatStopAreRefused(t *testing.T) {
	t.Parallel()
	data, err := cbor.Marshal(gossip.Message{Digest: &gossip.Digest{
		Name: "relay", Region: "r", Tables: map[string]gossip.TableState{"t": {Revision: 7, Reading: &gossip.Reading{Revision: 7, AgeMillis: 4}}},
		Load:    gossip.Load{InFlight: map[uint32]int{9: 2}, Demand: map[string]float64{"s": 1.5}},
		Members: []gossip.Member{{Key: 1, Sequence: 2, Ready: true}},
	}})
	require.NoError(t, err)
	for end := range len(data) {
		var m gossip.Message
		require.Error(t, cbor.Unmarshal(data[:end], &m), fmt.Sprint(end))
	}
}
