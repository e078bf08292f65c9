package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

// The entry VM of these tests has one customer, and a holder that gives what a test says.
const (
	customer    = quota.Key(7)
	incarnation = 3
)

// asking returns an entry VM whose first request waits for a token since 1 s, and the
// request that it has sent to the holder.
func asking(t *testing.T) (*quota.Shares, quota.Request) {
	t.Helper()
	s := quota.NewShares("a", incarnation, quota.Tolerance{Window: 5 * time.Second, Overage: 0.1})
	s.Reduce(quota.LimitsChanged{Limits: map[quota.Key]quota.Limit{customer: {Rate: 10 * quota.One, Depth: 10 * quota.One}}})
	s.Reduce(quota.HolderHeard{At: quota.At(time.Second), Holder: "h", Era: 5})
	effects := s.Reduce(quota.Arrived{At: quota.At(time.Second + 30*time.Millisecond), ID: 1, Key: customer, Until: time.Minute})
	require.Len(t, effects, 1)
	send, ok := effects[0].(quota.Send)
	require.True(t, ok)

	return s, send.Request
}

// admitted returns the number of requests that effects admit.
func admitted(effects []quota.Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(quota.Admit); ok {
			n++
		}
	}

	return n
}

// arrive lets n requests arrive and returns how many are admitted at once.
func arrive(s *quota.Shares, at time.Duration, n int) int {
	sum := 0
	for i := range n {
		sum += admitted(s.Reduce(quota.Arrived{At: quota.At(at), ID: quota.RequestID(100 + i), Key: customer, Until: at}))
	}

	return sum
}

// grantOf answers a request with a share of 4 tokens, all of them in its bucket, and tokens
// for waiting requests.
func grantOf(r quota.Request, tokens uint32) quota.Grant {
	return quota.Grant{Holder: "h", Era: r.Era, Incarnation: r.Incarnation, Sequence: r.Sequence, Gives: []quota.Give{
		{Key: customer, Serial: 1, Rate: 1, Depth: 4 * quota.One, Tokens: tokens, Fill: 4 * quota.One},
	}}
}

// Guards against tokens that are used twice, too late or by requests for which they were not
// asked. The sum in a window would be greater than the tolerance.
func TestTokensAreUsedOnceAndInTime(t *testing.T) {
	t.Parallel()
	at := time.Second + 100*time.Millisecond
	for name, test := range map[string]struct {
		change func(g *quota.Grant)
		at     time.Duration
		// waiting requests are admitted by the grant, later ones by the share.
		waiting, later int
	}{
		"in time":                   {at: at, waiting: 1, later: 4},
		"late, the share counts":    {at: at + time.Second},
		"after the end":             {at: at + quota.ShareTTL},
		"of another era":            {change: func(g *quota.Grant) { g.Era-- }, at: at},
		"for an earlier process":    {change: func(g *quota.Grant) { g.Incarnation-- }, at: at},
		"for a request not sent":    {change: func(g *quota.Grant) { g.Sequence++ }, at: at},
		"more than waiting is lost": {change: func(g *quota.Grant) { g.Gives[0].Tokens = 9 }, at: at, waiting: 1, later: 4},
		"less than asked":           {change: func(g *quota.Grant) { g.Gives[0].Tokens = 0 }, at: at, waiting: 1, later: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, request := asking(t)
			grant := grantOf(request, 1)
			if test.change != nil {
				test.change(&grant)
			}
			require.Equal(t, test.waiting, admitted(s.Reduce(quota.Granted{At: quota.At(test.at), Grant: grant})))
			require.Zero(t, admitted(s.Reduce(quota.Granted{At: quota.At(test.at), Grant: grant})), "the same again")
			require.Equal(t, test.later, arrive(s, test.at, 9))
		})
	}
}

// Guards against tokens that come back after their place in the bucket has filled again.
func TestTokensComeBackOnlySoon(t *testing.T) {
	t.Parallel()
	at := time.Second + 100*time.Millisecond
	for after, want := range map[time.Duration]int{50 * time.Millisecond: 1, time.Second: 0} {
		s, request := asking(t)
		s.Reduce(quota.Granted{At: quota.At(at), Grant: grantOf(request, 1)})
		require.Equal(t, 4, arrive(s, at, 4))
		s.Reduce(quota.Returned{At: quota.At(at + after), Key: customer, Admitted: quota.Admit{At: at}})
		require.Equal(t, want, arrive(s, at+after, 2), "after %s", after)
	}
}

// Guards against a new holder that hands out a burst although the holder before it may have
// done so just now.
func TestNewHolderStartsWithoutTokens(t *testing.T) {
	t.Parallel()
	l := quota.NewLedger("h")
	limit := quota.Limit{Rate: 10 * quota.One, Depth: 100 * quota.One}
	l.Reduce(quota.LimitsChanged{Limits: map[quota.Key]quota.Limit{customer: limit}})
	for era := range uint64(3) {
		at := time.Duration(era+1) * time.Second
		l.Reduce(quota.RightGained{At: quota.At(at), Era: era + 1, End: at + time.Minute, OpensAt: at + quota.ShareTTL})
		l.Reduce(quota.EntryVMsChanged{At: quota.At(at), Names: []string{"a"}})
		tokens := uint32(0)
		for i := range uint64(2) {
			effects := l.Reduce(quota.Asked{At: quota.At(at + time.Duration(i)*500*time.Millisecond), Request: quota.Request{
				Name: "a", Incarnation: incarnation, Era: era + 1, Sequence: i + 1, Full: i == 0, Asks: []quota.Ask{{Key: customer, Waiting: 50}},
			}})
			require.Len(t, effects, 1)
			answer, ok := effects[0].(quota.Answer)
			require.True(t, ok)
			require.Len(t, answer.Grant.Gives, 1)
			tokens += answer.Grant.Gives[0].Tokens
		}
		require.LessOrEqual(t, tokens, uint32(5), "era %d", era+1)
	}
}
