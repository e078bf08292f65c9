package backend

import (
	"net/http"
	"sync"
)

// runCounts counts how often requests ran on all servers of the process together.
type runCounts struct {
	mu sync.Mutex
	// keys counts runs by idempotency key.
	keys map[string]int
	// attempts counts runs by AttemptID.
	attempts map[string]int
}

// AttemptID returns the id of one attempt, made of the values of HeaderID and
// HeaderAttempt.
func AttemptID(id, attempt string) string {
	return id + "/" + attempt
}

// add counts a request that starts to run.
func (r *runCounts) add(req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if key := req.Header.Get("Idempotency-Key"); key != "" {
		r.keys[key]++
	}
	r.attempts[AttemptID(req.Header.Get(HeaderID), req.Header.Get(HeaderAttempt))]++
}

// forKeys returns how often requests with each of the idempotency keys ran; keys
// without runs are left out.
func (r *runCounts) forKeys(keys []string) map[string]int {
	return r.selectCounts(r.keys, keys)
}

// forAttempts returns how often each of the attempts ran; attempts that never ran are
// left out.
func (r *runCounts) forAttempts(ids []string) map[string]int {
	return r.selectCounts(r.attempts, ids)
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
	for _, n := range r.attempts {
		sum += int64(n)
	}

	return sum
}
