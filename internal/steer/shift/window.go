package shift

import "time"

// bucketsPerWindow is the number of equal parts of a window in which requests
// are counted. More buckets cost memory, fewer make the sliding window less exact.
const bucketsPerWindow = 32

// window counts the requests of one service in the last window by serving
// region. Bucket n begins at n times bucketLength. The counts of bucket n are
// stored at the index n modulo bucketsPerWindow.
type window struct {
	bucketLength time.Duration
	newestBucket int64
	regions      []string
	arrived      [bucketsPerWindow]int   // requests sent or refused, by bucket
	sent         [][bucketsPerWindow]int // requests sent, by index in regions and by bucket
}

// advance clears the buckets that are older than a window, and reports whether a
// new bucket began.
func (w *window) advance(now time.Duration) bool {
	newest := int64(now / w.bucketLength)
	if newest <= w.newestBucket {
		return false
	}
	for range min(newest-w.newestBucket, bucketsPerWindow) {
		w.newestBucket++
		index := w.newestBucket % bucketsPerWindow
		w.arrived[index] = 0
		for i := range w.sent {
			w.sent[i][index] = 0
		}
	}
	w.newestBucket = newest

	return true
}

// region returns the index of a region in w.regions. It adds the region if it is
// not there yet.
func (w *window) region(name string) int {
	for i, r := range w.regions {
		if r == name {
			return i
		}
	}
	w.regions = append(w.regions, name)
	w.sent = append(w.sent, [bucketsPerWindow]int{})

	return len(w.regions) - 1
}

// totals returns how many requests arrived in the last window and how many of
// these requests were sent to the region with the given index.
func (w *window) totals(region int) (arrived, sent int) {
	for i := range w.arrived {
		arrived += w.arrived[i]
		sent += w.sent[region][i]
	}

	return arrived, sent
}
