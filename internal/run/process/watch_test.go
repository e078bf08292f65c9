package process

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// vmListStore answers each call for the list of VMs with the same list and version;
// its other calls fail.
type vmListStore struct {
	unavailableStore

	calls atomic.Int64
	vms   []event.VM
}

func (s *vmListStore) VMs(ctx context.Context, after uint64) (uint64, []event.VM, error) {
	s.calls.Add(1)
	if after > 0 {
		sleep(ctx, 10*time.Millisecond)
	}

	return 7, s.vms, nil
}

// startWithStore runs a process without a configuration.
func startWithStore(t *testing.T, settings Settings, store *vmListStore) *Process {
	t.Helper()
	p, err := New(t.Context(), settings, Dependencies{Clock: timer.NewSystem(), Log: zap.NewNop(), Metrics: metrics.New(), Store: store})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})

	return p
}

// addEntries makes p learn of other live entries of its availability zone.
func addEntries(p *Process, names ...string) {
	records := &peerpb.Records{}
	for i, name := range names {
		records.Records = append(records.Records, &peerpb.Record{
			Member: &peerpb.Member{Vm: name, Incarnation: uint64(i) + 1}, StartedUnixMs: 1, Sequence: 1, Region: "a", Zone: "a1",
			State: peerpb.EntryState_ENTRY_STATE_LIVE, PeerAddress: "127.0.0.1:1",
		})
	}
	p.Apply(event.PeerMessage{
		At: p.eventTime(), From: event.Member{VM: names[0], Incarnation: 1},
		Message: &peerpb.Message{Kind: &peerpb.Message_Records{Records: records}},
	})
}

// Guards against a process that ignores whether its reducer has chosen this entry as a
// watcher. A zone would then have no watchers, or too many.
func TestReducerDecidesWhoWatches(t *testing.T) {
	t.Parallel()
	watchers := map[bool]int{}
	for _, vm := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		settings := testSettings()
		settings.VM = vm
		store := &vmListStore{}
		p := startWithStore(t, settings, store)
		require.Eventually(t, func() bool { return store.calls.Load() > 2 }, 20*time.Second, time.Millisecond)
		addEntries(p, "entry-5", "entry-6", "entry-7", "entry-8")
		require.Eventually(t, func() bool { return len(p.Members().Entries) == 5 }, 20*time.Second, time.Millisecond)
		p.mu.Lock()
		want, zoneWatcher := p.state.ZoneWatcher(), p.zoneWatcher.Load()
		p.mu.Unlock()
		require.Equal(t, want, zoneWatcher, vm)
		watchers[want]++
	}
	require.Len(t, watchers, 2, "entries that watch and entries that do not")
}

// Guards against skipping a list of VMs because it is unchanged. A VM counts as gone
// only after it has been missing from the lists for a while, and a leaving mark that
// came before the entry was live would be lost.
func TestUnchangedVMListIsApplied(t *testing.T) {
	t.Parallel()
	settings := testSettings()
	store := &vmListStore{vms: []event.VM{{Name: settings.VM, Zone: settings.Zone, Leaving: true}}}
	p := startWithStore(t, settings, store)
	require.Eventually(t, func() bool { return store.calls.Load() > 2 }, 20*time.Second, time.Millisecond)
	p.SetConfig(testConfig(t))
	require.Eventually(t, func() bool {
		return p.Members().Entries[0].State == peerpb.EntryState_ENTRY_STATE_LEAVING
	}, 20*time.Second, time.Millisecond)
}
