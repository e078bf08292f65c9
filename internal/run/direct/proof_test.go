package direct_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/run/direct"
)

// provenAge returns how old the proof of the operators' configuration is, or false if there
// is none.
func (e *runningEntryVM) provenAge(t *testing.T) (time.Duration, bool) {
	t.Helper()
	w := httptest.NewRecorder()
	e.metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	var values map[string]struct {
		Value int64 `json:"value"`
	}
	require.NoError(t, json.NewDecoder(w.Body).Decode(&values))
	gauge, ok := values["proven-age-ms/"+direct.TableOperatorConfig]
	require.True(t, ok, "the metric is missing")

	return time.Duration(gauge.Value) * time.Millisecond, gauge.Value >= 0
}

// Guards against entry VMs that the store refuses and that get no proof although others
// read, in their region or in another, and against a proof that nobody has read while the
// store answers none.
func TestReadsOfOthersProveCopies(t *testing.T) {
	t.Parallel()
	d := newDeployment()
	var all []*runningEntryVM
	for i := range 5 {
		all = append(all, startEntryVMWith(t, d, fmt.Sprintf("127.0.3.%d", i+1), func(s *direct.Settings) {
			s.Steering.Region, s.RevocationTime = []string{"r", "s"}[i%2], 5*time.Second
		}))
	}
	waitForProofs := func(since time.Time) {
		t.Helper()
		for _, e := range all {
			require.Eventually(t, func() bool {
				age, ok := e.provenAge(t)

				return ok && age < time.Since(since)
			}, waitTimeout, 20*time.Millisecond, "no read after %s has proven the copy of %s", since, e.address)
		}
	}
	waitForProofs(time.Now())
	for reader := range all {
		for i, e := range all {
			e.view.storeUnreachable.Store(i != reader)
		}
		waitForProofs(time.Now())
	}
	for _, e := range all {
		e.view.storeUnreachable.Store(true)
	}
	since := time.Now()
	const check = 100 * time.Millisecond
	for time.Since(since) < 15*check {
		time.Sleep(check)
		for _, e := range all {
			elapsed := time.Since(since)
			age, _ := e.provenAge(t)
			require.GreaterOrEqual(t, age, elapsed.Truncate(time.Millisecond)-check, "nobody has read")
		}
	}
}
