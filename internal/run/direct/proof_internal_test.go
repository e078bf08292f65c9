package direct

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
)

// emptyStore is a mirror.Source without items.
type emptyStore struct{}

func (emptyStore) Range(context.Context, string, string) (mirror.Page, error) {
	return mirror.Page{Revision: 1}, nil
}

// Guards against entry VMs that lose the use of keys although the store answers them, and
// against all of them reading at once when a relay is cut off.
func TestReadsWithoutProofsOfOthersAreSpread(t *testing.T) {
	t.Parallel()
	const entryVMs, limit, step = 20, 8 * time.Second, 50 * time.Millisecond
	var listed []EntryVM
	for i := range entryVMs {
		listed = append(listed, EntryVM{Name: fmt.Sprint("entry-", i), Region: "r"})
	}
	clock := timer.NewManual(time.Unix(0, 0))
	start := func(self EntryVM, limit time.Duration, keys bool) *Process {
		p := &Process{self: self, settings: Settings{RevocationTime: limit}, peers: newPeers(self, true), clock: clock}
		p.peers.update(0, self, listed)
		m := mirror.New(emptyStore{}, clock, zap.NewNop(), mirror.Options{
			OnChange: func(mirror.Snapshot) {}, Marks: func() []proof.Mark { return nil },
		})
		require.False(t, p.proofDue(TableOperatorConfig), "without a configuration")
		p.mirrors = map[string]*mirror.Mirror{TableOperatorConfig: m, TableServers: m}
		current := intent.New(1, nil, nil, intent.Limits{})
		if keys {
			current = current.WithCustomers(nil, nil)
		}
		p.intent.Store(current)
		m.Read(t.Context())
		p.configurationApplied(m.Snapshot().Version())

		return p
	}
	var all []*Process
	for _, self := range listed {
		all = append(all, start(self, limit, true))
	}
	noKeys, noLimit := start(listed[0], limit, false), start(listed[0], 0, true)
	wasDue := 0
	for at := time.Duration(0); at <= limit*3/4; at += step {
		due := 0
		for _, p := range all {
			require.False(t, p.proofDue(TableServers))
			if p.proofDue(TableOperatorConfig) {
				due++
			}
		}
		if at < limit/2 {
			require.Zero(t, due)
		}
		require.LessOrEqual(t, due-wasDue, 1)
		wasDue = due
		clock.Advance(step)
	}
	require.Equal(t, entryVMs, wasDue, "all have read after three quarters of the limit")
	require.False(t, noKeys.proofDue(TableOperatorConfig))
	require.False(t, noLimit.proofDue(TableOperatorConfig))
}
