package region

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCapacityOfDeadVMsIsReclaimed guards against capacity that stays with dead
// VMs. A recount should give this capacity to live VMs. It becomes possible about
// twice simListLag after the loss: the platform's list shows the loss after up to
// simListLag, and the dead members are retired when they have been absent from the
// list for simListLag. The test fails when live VMs do not hold all capacity after 5
// minutes.
func TestCapacityOfDeadVMsIsReclaimed(t *testing.T) {
	t.Parallel()
	for _, allDie := range []bool{false, true} {
		shortest, longest := time.Hour, time.Duration(0)
		for seed := range uint64(20) {
			s := newSim(seed, testConfig(8, 6))
			for i := range 4 {
				s.start("vm" + strconv.Itoa(i))
			}
			s.runUntil(time.Minute, nil)
			require.True(t, s.allCapacityHeld())
			killedAt := s.now
			if allDie {
				for i := range 4 {
					s.kill("vm"+strconv.Itoa(i), true)
				}
				s.start("new")
			} else {
				s.kill("vm1", true)
			}
			s.runUntil(s.now+5*time.Minute, s.allCapacityHeld)
			require.Empty(t, s.violation)
			require.True(t, s.allCapacityHeld())
			shortest, longest = min(shortest, s.now-killedAt), max(longest, s.now-killedAt)
		}
		t.Logf("all entry VMs died: %v; their tokens are held by live ones again after %v to %v", allDie, shortest, longest)
	}
}
