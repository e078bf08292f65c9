package units_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/value/units"
)

// Guards against conversions whose results differ between processors: out of range, amd64
// returns the smallest integer and arm64 the nearest one.
func TestConversionsStayInRange(t *testing.T) {
	t.Parallel()
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300, -1e300, math.MaxFloat64} {
		_, err := units.Seconds(n)
		require.ErrorIs(t, err, units.ErrOutOfRange, "%g", n)
		_, err = units.Int(n, 100)
		require.ErrorIs(t, err, units.ErrOutOfRange, "%g", n)
		for _, d := range []time.Duration{units.ClampSeconds(n, time.Hour), units.ClampMillis(n)} {
			require.True(t, d >= 0 && d <= units.MaxDuration, "%g became %s", n, d)
		}
	}
	d, err := units.Seconds(1.5)
	require.NoError(t, err)
	require.Equal(t, 1500*time.Millisecond, d)
	require.Equal(t, time.Hour, units.ClampSeconds(1e300, time.Hour))
	require.Equal(t, 2*time.Millisecond, units.ClampMillis(2))
	i, err := units.Int(99.9, 100)
	require.NoError(t, err)
	require.Equal(t, 99, i)
}
