package backend

import (
	"net/http"
	"sync"
)

// runCounts counts how often requests ran on all servers of the process together.
type runCounts struct {
	mu sync.Mutex
	// byKey counts runs by idempotency key.
	byKey map[string]int
	// byAttempt counts runs by AttemptID.
	byAttempt map[string]int
}

// AttemptID returns the id of one attempt of the request with the given HeaderID.
func AttemptID(id, attempt string) string {
	return id + "/" + attempt
}

// add counts a request that starts to run.
func (r *runCounts) add(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if key := req.Header.Get("Idempotency-Key"); key != "" {
		r.byKey[key]++
	}
	r.byAttempt[AttemptID(req.Header.Get(HeaderID), req.Header.Get(HeaderAttempt))]++
}

// forKeys returns how often requests with each of the idempotency keys ran; keys
// without runs are left out.
func (r *runCounts) forKeys(keys []string) map[string]int {
	return r.selectCounts(r.byKey, keys)
}

// forAttempts returns how often each of the attempts ran; those that never ran are
// left out.
func (r *runCounts) forAttempts(ids []string) map[string]int {
	return r.selectCounts(r.byAttempt, ids)
}

func (r *runCounts) selectCounts(counts map[string]int, ids []string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := map[string]int{}
	for _, id := range ids {
		if n := counts[id]; n > 0 {
			out[id] = n
		}
	}

	return out
}

// total returns how many runs there were of all requests.
func (r *runCounts) total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	var sum int64
	for _, n := range r.byAttempt {
		sum += int64(n)
	}

	return sum
}
