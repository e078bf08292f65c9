package direct

import "time"

const (
	// ratioShare and allowanceShare are the shares of RetryRatio and RetryAllowance that
	// the entry VMs use. An entry VM that restarts gets its part of the allowance a second
	// time. Because allowanceShare is less than half, both parts together stay within the
	// allowance.
	ratioShare     = 0.9
	allowanceShare = 0.45
	// budgetBuckets is the number of buckets in the retry window. Retries are counted over
	// countedBuckets, one bucket more. So no period as long as the window, wherever it
	// begins, contains more retries than allowed.
	budgetBuckets  = 10
	countedBuckets = budgetBuckets + 1
)

// retryBudget bounds the retries for one service in a sliding window. Each entry VM
// may retry a share of its own first attempts, and its part of the fixed allowance.
type retryBudget struct {
	bucketWidth time.Duration
	// bucket is the number of the newest bucket, counted from the start of the process.
	// Its counts are at the index bucket modulo countedBuckets.
	bucket        int64
	firstAttempts [countedBuckets]float64
	retries       [countedBuckets]float64
}

// advance clears the buckets that are no longer counted and returns the index of the
// current bucket.
func (b *retryBudget) advance(now time.Duration) int {
	bucket := int64(now / b.bucketWidth)
	for ; b.bucket < bucket; b.bucket++ {
		next := (b.bucket + 1) % countedBuckets
		b.firstAttempts[next], b.retries[next] = 0, 0
		if bucket-b.bucket > countedBuckets {
			b.bucket = bucket - countedBuckets
		}
	}

	return int(bucket % countedBuckets)
}

// countFirstAttempt counts a new request for the service on its arrival, whether or not
// it is sent to a server. Requests refused because their content crashes servers are not
// counted.
func (b *retryBudget) countFirstAttempt(now time.Duration) {
	b.firstAttempts[b.advance(now)]++
}

// fits reports whether another retry is within ratio x first attempts + allowance. In the
// oldest bucket only the retries count, not the first attempts.
func (b *retryBudget) fits(now time.Duration, ratio, allowance float64) bool {
	bucket := b.advance(now)
	firstAttempts, retries := 0.0, 0.0
	for i := range countedBuckets {
		retries += b.retries[i]
		if i != (bucket+1)%countedBuckets {
			firstAttempts += b.firstAttempts[i]
		}
	}

	return retries+1 <= ratio*firstAttempts+allowance
}

// allowRetry reports whether a retry is within the budget that the entry VMs use of a ratio
// and an allowance, and counts the retry if so.
func (b *retryBudget) allowRetry(now time.Duration, ratio, allowance float64) bool {
	if !b.fits(now, ratioShare*ratio, allowanceShare*allowance) {
		return false
	}
	b.countRetry(now)

	return true
}

// countRetry counts a retry.
func (b *retryBudget) countRetry(now time.Duration) {
	b.retries[b.advance(now)]++
}
