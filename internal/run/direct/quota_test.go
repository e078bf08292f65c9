package direct_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// limitedCustomer is the customer of these tests, whose limit allows at most
// mostInWindow requests in a window of 5 s.
const (
	limitedKey   = "key-of-limited"
	mostInWindow = (2*5+4)*1.1 + quotaAllowance
)

// limitedDeployment returns a deployment with a customer that has a limit.
func limitedDeployment(t *testing.T) (*deployment, *server) {
	t.Helper()
	s := newServer(t, ok)
	d := newDeployment(s.listed("server", "z1"))
	d.customerKeys = map[string]string{limitedKey: "limited"}
	d.customerLimit = intent.RateLimit{PerSecond: 2, Burst: 4}

	return d, s
}

// ask sends a request with the key of the limited customer and returns the status and
// the pause that the response asks for, in seconds.
func ask(t *testing.T, e *runningEntryVM) (status int, pause float64) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.address+"/read/x", nil)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set(names.RequestID, "id")
	r.Header.Set(names.Key, "Bearer "+limitedKey)
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	if text := resp.Header.Get("Retry-After"); text != "" {
		pause, err = strconv.ParseFloat(text, 64)
		require.NoError(t, err)
	}

	return resp.StatusCode, pause
}

// untilServed asks until a request is served.
func untilServed(t *testing.T, e *runningEntryVM) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _ := ask(t, e)

		return status == http.StatusOK
	}, waitTimeout, 50*time.Millisecond)
}

// Guards against a limit that each entry VM counts for itself, and against refusals that do
// not say when to come back.
func TestLimitHoldsForAllEntryVMs(t *testing.T) {
	t.Parallel()
	d, s := limitedDeployment(t)
	a, b, c := startEntryVM(t, d, "127.0.7.1", time.Second), startEntryVM(t, d, "127.0.7.2", time.Second), startEntryVM(t, d, "127.0.7.3", time.Second)
	waitUntilReady(t, a, b, c)
	for _, e := range []*runningEntryVM{a, b, c} {
		untilServed(t, e)
	}
	refused, start := 0, time.Now()
	// The requests of the last window may have been as many.
	for time.Since(start) < 3*time.Second {
		for _, e := range []*runningEntryVM{a, b, c} {
			status, pause := ask(t, e)
			if status == http.StatusOK {
				continue
			}
			refused++
			require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
			require.Positive(t, pause)
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, float64(s.runs.Load()), 2*mostInWindow)
	overLimit := 0
	for _, e := range []*runningEntryVM{a, b, c} {
		overLimit += e.logs.FilterMessage("customer is over its limit").Len()
	}
	require.Positive(t, overLimit)
}

// Guards against customers that are refused for long after the holder of the quotas has
// ended, and against requests that are served when no entry VM may be the holder.
func TestAnotherEntryVMHandsOutQuotas(t *testing.T) {
	t.Parallel()
	d, _ := limitedDeployment(t)
	a, b := startEntryVM(t, d, "127.0.7.11", time.Second), startEntryVM(t, d, "127.0.7.12", time.Second)
	waitUntilReady(t, a, b)
	untilServed(t, a)
	d.mu.Lock()
	holder, other := a, b
	if d.holder == "entry-127.0.7.12" {
		holder, other = b, a
	}
	d.mu.Unlock()
	untilServed(t, other)
	holder.end()
	<-holder.done
	require.Eventually(t, func() bool { return other.logs.FilterMessage("holder of the quotas").Len() > 0 }, waitTimeout, 50*time.Millisecond)
	untilServed(t, other)
	other.view.storeUnreachable.Store(true)
	require.Eventually(t, func() bool {
		status, pause := ask(t, other)

		return status == http.StatusServiceUnavailable && pause > 0
	}, waitTimeout, 50*time.Millisecond, "its right has ended, and so have the shares")
	other.view.storeUnreachable.Store(false)
	untilServed(t, other)
}

// Guards against messages, calls to the store and refusals when no customer has a limit.
func TestNoLimitsNoQuotas(t *testing.T) {
	t.Parallel()
	d, _ := limitedDeployment(t)
	d.customerLimit = intent.RateLimit{}
	a := startEntryVM(t, d, "127.0.7.21", time.Second)
	waitUntilReady(t, a)
	for range 50 {
		status, _ := ask(t, a)
		require.Equal(t, http.StatusOK, status)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Empty(t, d.holder)
}
