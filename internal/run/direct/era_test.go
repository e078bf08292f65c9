package direct_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/direct"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Guards against a store that comes back from an older copy: an older configuration must not
// be in force again, nor count as proven, while evacuations and servers follow the store at
// all entry VMs, also those that it refuses.
func TestStoreThatComesBackOlder(t *testing.T) {
	t.Parallel()
	d := newDeployment(steer.Server{ID: "a", Address: "127.0.0.1:9", Service: "s", Zone: "z1", Region: "r", Slots: 1})
	d.era, d.revision = 1, 1000
	d.configVersion = 12
	var all []*runningEntryVM
	for i := range 3 {
		all = append(all, startEntryVMWith(t, d, fmt.Sprintf("127.0.4.%d", i+1), func(s *direct.Settings) { s.RevocationTime = 5 * time.Second }))
	}
	waitUntilReady(t, all...)
	for i, e := range all {
		e.view.storeUnreachable.Store(i == 0)
		require.Eventually(t, func() bool {
			_, ok := e.provenAge(t)

			return ok
		}, waitTimeout, 20*time.Millisecond)
	}
	d.mu.Lock()
	restored := time.Now()
	d.era, d.revision = 2, 100
	d.configVersion, d.evacuatedZones = 10, set.New("z1")
	d.servers = append(d.servers, steer.Server{ID: "b", Address: "127.0.0.1:10", Service: "s", Zone: "z1", Region: "r", Slots: 1})
	for table := range d.changedAt {
		d.changedAt[table] = 90
	}
	d.mu.Unlock()
	logged := func(e *runningEntryVM, message string, field zap.Field) bool {
		return e.logs.FilterMessage(message).FilterField(field).Len() > 0
	}
	for _, e := range all {
		require.Eventually(t, func() bool {
			return logged(e, "configuration in the store is older than the one in force, waiting for it to be written again", zap.Uint64("version", 10)) &&
				logged(e, "evacuated zones known", zap.Int("zones", 1)) && logged(e, "backend servers known", zap.Int("servers", 2))
		}, waitTimeout, 20*time.Millisecond)
		require.False(t, logged(e, "configuration in force", zap.Uint64("version", 10)))
	}
	time.Sleep(time.Second)
	for _, e := range all {
		since := time.Since(restored)
		age, _ := e.provenAge(t)
		require.GreaterOrEqual(t, age, since.Truncate(time.Millisecond)-time.Millisecond, "an older copy proves the configuration in force")
	}
	written := time.Now()
	d.change(direct.TableOperatorConfig, func() { d.configVersion = 13 })
	for _, e := range all {
		require.Eventually(t, func() bool {
			age, _ := e.provenAge(t)

			return logged(e, "configuration in force", zap.Uint64("version", 13)) && age < time.Since(written)
		}, waitTimeout, 20*time.Millisecond)
	}
}
