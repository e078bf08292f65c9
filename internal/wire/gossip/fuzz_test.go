package gossip_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/gossip"
)

// FuzzMessage guards against datagrams that end the process, and against messages that
// cannot be sent on.
func FuzzMessage(f *testing.F) {
	for _, m := range []gossip.Message{
		{Report: &gossip.Report{Name: "a", Idle: true, Load: gossip.Load{InFlight: map[uint32]int{1: 8}, Leaving: []uint64{7}}}},
		{Digest: &gossip.Digest{Name: "a", Region: "r", Members: []gossip.Member{{Key: 1, Failing: []string{"servers"}}}, Scope: gossip.ScopeSummary}},
	} {
		data, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m gossip.Message
		if cbor.Unmarshal(data, &m) != nil || m.Digest == nil {
			return
		}
		for _, scope := range []gossip.Scope{gossip.ScopeWhole, gossip.ScopeSummary, gossip.ScopeTables} {
			_, err := cbor.Marshal(m.Digest.WithScope(scope))
			require.NoError(t, err)
		}
	})
}
