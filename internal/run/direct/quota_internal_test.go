package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

// limitStore is a store whose configuration has one customer with a limit.
type limitStore struct {
	Deployment

	version uint64
	limit   intent.RateLimit
}

func (s *limitStore) OperatorConfig(map[string]mirror.Item) (OperatorConfig, error) {
	return OperatorConfig{Intent: intent.New(s.version, nil, nil, intent.Limits{}).
		WithCustomers(map[string]intent.Customer{"customer": {Name: "customer", Limit: s.limit}}, nil)}, nil
}

// Guards against a lowered limit that is raised again by an older configuration which arrives
// later.
func TestOlderConfigurationDoesNotReplaceLimits(t *testing.T) {
	t.Parallel()
	low, high := intent.RateLimit{PerSecond: 1, Burst: 1}, intent.RateLimit{PerSecond: 20, Burst: 20}
	for _, c := range []struct {
		name  string
		later *limitStore
		// A limit allows the sum of its rate and burst in a second, and its bucket holds half of it.
		least, most int
	}{
		{"older", &limitStore{version: 1, limit: high}, 1, 2},
		{"newer", &limitStore{version: 3, limit: high}, 20, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := timer.NewManual(time.Unix(0, 0))
			quotas := newQuotas(EntryVM{Name: "a"}, QuotaTolerance{Window: time.Second}, clock.Wall(), zap.NewNop())
			p := &Process{clock: clock, log: zap.NewNop(), state: steer.New(steer.Settings{}), quotas: quotas}
			p.mirrors = map[string]*mirror.Mirror{TableOperatorConfig: mirror.New(nil, clock, zap.NewNop(), mirror.Options{})}
			for _, store := range []*limitStore{{version: 2, limit: low}, c.later} {
				p.deployment = store
				p.operatorConfigChanged(mirror.Snapshot{Revision: store.version})
			}
			quotas.useLedger(quota.RightGained{Era: 1, End: time.Hour})
			quotas.useLedger(quota.EntryVMsChanged{Names: []string{"a"}})
			quotas.useShares(quota.HolderHeard{Holder: "a", Era: 1})
			// The bucket is full by then.
			now := time.Minute
			quotas.useShares(quota.HolderHeard{At: quota.At(now), Holder: "a", Era: 1})
			var outcomes []<-chan quota.Effect
			for range 100 {
				_, outcome, _ := quotas.arrive(now, now+time.Second, quota.KeyOf("customer"))
				outcomes = append(outcomes, outcome)
				now += time.Millisecond
			}
			quotas.useShares(quota.Tick{At: quota.At(now + time.Second)})
			admitted := 0
			for _, outcome := range outcomes {
				if _, ok := (<-outcome).(quota.Admit); ok {
					admitted++
				}
			}
			require.GreaterOrEqual(t, admitted, c.least)
			require.LessOrEqual(t, admitted, c.most)
		})
	}
}
