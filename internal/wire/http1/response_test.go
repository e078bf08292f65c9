package http1

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// Guards against pauses that are too long, negative or guessed from a value of another
// form. Each input is a value of Retry-After, with the header Date after a "|" if there
// is one.
func TestRetryAfterForms(t *testing.T) {
	t.Parallel()
	now, err := http.ParseTime("Sat, 05 Dec 2026 10:00:00 GMT")
	require.NoError(t, err)
	datadriven.RunTest(t, "testdata/retry-after", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		h := http.Header{"Retry-After": {d.Input}}
		if d.HasArg("date") {
			h.Set("Date", now.Add(-time.Hour).Format(http.TimeFormat))
		}
		pause, ok := retryAfter(h, now)
		if !ok {
			return "no pause\n"
		}

		return pause.String() + "\n"
	})
}

// FuzzResponseHeaders guards against header values that end the process or give numbers
// out of range.
func FuzzResponseHeaders(f *testing.F) {
	for _, value := range []string{"3,1,6,150", "9000000000000000000,1,1,9000000000000000000", "Inf", "1e300", "-1", "timeout=9223372036854775807", "99999999999999999999"} {
		f.Add(value)
	}
	p := NewPool(Names{Load: "Load", ColdMillis: "Cold"}, 0)
	f.Fuzz(func(t *testing.T, value string) {
		h := http.Header{"Load": {value}, "Cold": {value}, "Retry-After": {value}, "Keep-Alive": {value}}
		result := p.parseResult(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: h}, Target{})
		if load, ok := result.Load.Get(); ok {
			require.LessOrEqual(t, load.Slowdown, float64(maxLoadPercent)/100)
			require.GreaterOrEqual(t, load.Slowdown, 0.0)
		}
		require.GreaterOrEqual(t, result.ColdFor.Or(0), time.Duration(0))
		require.GreaterOrEqual(t, result.PauseFor.Or(0), time.Duration(0))
		require.LessOrEqual(t, result.PauseFor.Or(0), maxPause)
		timeout, _ := keepAliveTimeout(h)
		require.True(t, timeout >= 0 && timeout <= maxKeepAlive)
	})
}
