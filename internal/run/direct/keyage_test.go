package direct

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// keyStore is a store whose configuration has the key "k" of one customer until it is
// removed.
type keyStore struct {
	Deployment

	revision uint64
	removed  bool
	// decoding is called while a copy is decoded, if it is not nil.
	decoding func()
}

func (s *keyStore) Range(context.Context, string, string) (mirror.Page, error) {
	return mirror.Page{Items: []mirror.Item{{Key: "c", Revision: s.revision}}, Revision: s.revision}, nil
}

func (s *keyStore) OperatorConfig(map[string]mirror.Item) (OperatorConfig, error) {
	if s.decoding != nil {
		s.decoding()
	}
	keys := map[intent.KeyDigest]string{intent.DigestKey("k"): "customer"}
	if s.removed {
		keys = nil
	}

	return OperatorConfig{Intent: intent.New(s.revision, nil, nil, intent.Limits{}).
		WithCustomers(map[string]intent.Customer{"customer": {Name: "customer"}}, keys)}, nil
}

func (s *keyStore) Names() http1.Names {
	return http1.Names{Key: "Authorization", Customer: "Customer"}
}

// newKeyProcess returns a process that has read the store at time 0, and its clock.
func newKeyProcess(t *testing.T, s *keyStore, revocationTime time.Duration) (*Process, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(time.Unix(0, 0))
	p := &Process{
		clock: clock, log: zap.NewNop(), deployment: s, state: steer.New(steer.Settings{}), quotas: newQuotas(EntryVM{}, QuotaTolerance{}, clock.Wall(), zap.NewNop()),
		settings: Settings{ConfigurationTime: 3 * time.Second, RevocationTime: revocationTime, TableMaxAge: time.Second},
	}
	p.mirrors = map[string]*mirror.Mirror{TableOperatorConfig: mirror.New(s, clock, zap.NewNop(), mirror.Options{OnChange: p.operatorConfigChanged})}
	require.True(t, p.mirrors[TableOperatorConfig].Read(t.Context()))

	return p, clock
}

// Guards against a key that is used for longer than a removal may take, and against 401 for a
// key that may have been added since the copy was read: the caller would not ask again.
func TestAgeOfTheCopyDecidesAboutKeys(t *testing.T) {
	t.Parallel()
	const served = 0
	for _, c := range []struct {
		age, revocationTime  time.Duration
		known, unknown, bare int
	}{
		{0, 5 * time.Second, served, http.StatusUnauthorized, http.StatusUnauthorized},
		{3 * time.Second, 5 * time.Second, served, http.StatusUnauthorized, http.StatusUnauthorized},
		{3001 * time.Millisecond, 5 * time.Second, served, http.StatusServiceUnavailable, http.StatusUnauthorized},
		{4900 * time.Millisecond, 5 * time.Second, served, http.StatusServiceUnavailable, http.StatusUnauthorized},
		{4901 * time.Millisecond, 5 * time.Second, http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusUnauthorized},
		{time.Hour, 0, served, http.StatusServiceUnavailable, http.StatusUnauthorized},
	} {
		t.Run(fmt.Sprint(c.age, c.revocationTime), func(t *testing.T) {
			t.Parallel()
			store := &keyStore{revision: 1}
			p, clock := newKeyProcess(t, store, c.revocationTime)
			clock.Advance(c.age)
			for _, key := range []struct {
				text   string
				status int
			}{{"k", c.known}, {"other", c.unknown}} {
				customer, denied := p.customerOf(p.intent.Load(), key.text)
				if key.status == served {
					require.Nil(t, denied)
					require.Equal(t, "customer", customer.Name)

					continue
				}
				require.Equal(t, key.status, denied.status)
				require.Equal(t, key.status == http.StatusServiceUnavailable, denied.retryAfter > 0)
			}
			exchange := func() *http1.Exchange { return &http1.Exchange{Request: &http1.Request{Header: http.Header{}}} }
			_, denied := p.identifyCustomer(exchange(), p.intent.Load(), intent.Route{})
			require.Equal(t, c.bare, denied.status)
			_, denied = p.identifyCustomer(exchange(), p.intent.Load(), intent.Route{Public: true})
			require.Nil(t, denied)
			p.mirrors[TableOperatorConfig].Read(t.Context())
			_, denied = p.customerOf(p.intent.Load(), "k")
			require.Nil(t, denied, "a new read proves the copy")
		})
	}
}

// Guards against a removed key that is used once more when an entry VM that was out of touch
// has read the table and has not put it in force yet.
func TestNewReadDoesNotProveTheOldConfiguration(t *testing.T) {
	t.Parallel()
	store := &keyStore{revision: 1}
	p, clock := newKeyProcess(t, store, 5*time.Second)
	old := p.intent.Load()
	_, denied := p.customerOf(old, "k")
	require.Nil(t, denied)
	clock.Advance(6 * time.Second)
	store.revision, store.removed = 2, true
	decoded := false
	store.decoding = func() {
		decoded = true
		_, denied := p.customerOf(old, "k")
		require.Equal(t, steer.ReasonStaleKeys, denied.reason)
	}
	p.mirrors[TableOperatorConfig].Read(t.Context())
	require.True(t, decoded)
	// A request that was read before the change decides by the configuration of then.
	_, denied = p.customerOf(old, "k")
	require.Equal(t, steer.ReasonStaleKeys, denied.reason)
	_, denied = p.customerOf(p.intent.Load(), "k")
	require.Equal(t, steer.ReasonUnknownKey, denied.reason)
}

// Guards against callers that are sent to an entry VM which refuses all keys: after its restart
// it has copied the configuration, and nothing proves the copy yet.
func TestNotReadyBeforeAKeyCanBeProven(t *testing.T) {
	t.Parallel()
	other, _ := newKeyProcess(t, &keyStore{revision: 1}, 5*time.Second)
	p, clock := newKeyProcess(t, &keyStore{revision: 1}, 5*time.Second)
	p.intent.Store(nil)
	p.inForce.Store(nil)
	p.mirrors[TableOperatorConfig] = mirror.New(&keyStore{revision: 1}, clock, zap.NewNop(), mirror.Options{
		OnChange: p.operatorConfigChanged, Marks: func() []proof.Mark { return nil },
	})
	p.mirrors[TableServers] = other.mirrors[TableOperatorConfig]
	require.True(t, p.mirrors[TableOperatorConfig].ApplyDelta(other.mirrors[TableOperatorConfig].ChangesSince(table.Version{})))
	require.NotNil(t, p.intent.Load())
	require.False(t, p.Ready())
	p.mirrors[TableOperatorConfig].Read(t.Context())
	require.True(t, p.Ready())
	clock.Advance(time.Minute)
	require.True(t, p.Ready(), "an outage of the store is no reason to send callers away")
}
