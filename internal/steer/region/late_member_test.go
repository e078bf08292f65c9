package region

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lateMemberBound is the time after its registration within which a member must hold
// tokens of every backend server, if another member has free ones.
const lateMemberBound = time.Second

// Guards against a region that serves nobody when the holder of all tokens stops. A member
// that registers after a recount has no callers yet; the holder then stops at any point
// of the following recounts.
func TestLateMemberServesWhenTheHolderStops(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), testConfig(4, 4))
		holder := s.start("holder")
		holder.idle = true
		s.runUntil(time.Duration(rapid.IntRange(0, 3000).Draw(t, "late start"))*time.Millisecond, nil)
		late := s.start("late")
		late.idle = true
		s.runUntil(s.now+20*time.Second, func() bool { return late.state.Divided() })
		require.True(t, late.state.Divided())
		s.runUntil(s.now+lateMemberBound+time.Duration(rapid.IntRange(0, 4000).Draw(t, "stop"))*time.Millisecond, nil)
		if rapid.Bool().Draw(t, "killed") {
			s.kill("holder", true)
		} else {
			s.pause(holder, 30*time.Second)
		}
		s.runUntil(s.now+2*time.Second, nil)
		require.Empty(t, s.violation)
		for name := range s.config.Backends {
			require.Positive(t, late.state.Free(name), "the member has no token of %s", name)
		}
	})
}
