// Package units converts numbers that other processes have sent to durations. A plain
// conversion of a float64 to an integer type is undefined outside the range of that
// type: amd64 and arm64 return different values.
package units

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// MaxDuration is the longest duration that this package returns. Sums of a few such
// durations do not overflow.
const MaxDuration = 365 * 24 * time.Hour

// ErrOutOfRange means that a number is negative, too large or not a number.
var ErrOutOfRange = errors.New("number is out of range")

// Seconds returns a number of seconds as a duration. It fails unless the duration is
// between 0 and MaxDuration.
func Seconds(n float64) (time.Duration, error) {
	// The negated comparison also refuses NaN.
	if !(n >= 0 && n <= MaxDuration.Seconds()) {
		return 0, fmt.Errorf("%w: %g s", ErrOutOfRange, n)
	}

	return time.Duration(n * float64(time.Second)), nil
}

// ClampSeconds returns a number of seconds as a duration between 0 and limit. NaN is 0.
func ClampSeconds(n float64, limit time.Duration) time.Duration {
	if !(n > 0) {
		return 0
	}
	if n >= min(limit, MaxDuration).Seconds() {
		return min(limit, MaxDuration)
	}

	return time.Duration(n * float64(time.Second))
}

// ClampMillis returns a number of milliseconds as a duration between 0 and MaxDuration.
// NaN is 0.
func ClampMillis(n float64) time.Duration {
	return ClampSeconds(n/1000, MaxDuration)
}

// Int returns a number without its fraction. It fails unless the number is between 0 and
// limit.
func Int(n float64, limit int) (int, error) {
	if !(n >= 0 && n <= float64(limit) && n <= math.MaxInt32) {
		return 0, fmt.Errorf("%w: %g", ErrOutOfRange, n)
	}

	return int(n), nil
}
