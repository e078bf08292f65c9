package platform

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults of calls to the platform's API; the zero value is none.
type Faults struct {
	// Outage closes the connection of every call without a response. Calls that arrive
	// during an outage have no effect.
	Outage bool `json:"outage"`
	// SlowMs is the delay of every response in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseWriteResponses is the number of further writes and deletions that take effect
	// but get no response; -1 means all of them.
	LoseWriteResponses int `json:"lose-writes"`
	// StaleReads makes reads return the version before the latest version; watches are
	// not affected.
	StaleReads bool `json:"older-reads"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; 0 means no limit.
	// Calls above it are refused with 429 and have no effect. Writes, deletions and
	// lease renewals count as writes, all other calls as reads.
	ReadsPerSecond  int `json:"reads-per-second"`
	WritesPerSecond int `json:"writes-per-second"`
}

// faultState applies Faults to calls and counts the calls by kind. A call that met an
// outage or was refused is counted under that fault instead of its kind. A lost response
// is counted in addition to its call.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
	counts map[string]int64
}

func newFaultState() *faultState {
	f := &faultState{counts: map[string]int64{}}
	f.set(Faults{})

	return f
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.faults = faults
	f.reads = newLimiter(faults.ReadsPerSecond)
	f.writes = newLimiter(faults.WritesPerSecond)
}

// newLimiter returns a limiter for a rate; a callsPerSecond of 0 means no limit. The
// burst is the number of calls in a tenth of a second, at least 1.
func newLimiter(callsPerSecond int) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(callsPerSecond), max(1, callsPerSecond/10))
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.faults
}

// admit counts a call. It returns the current faults and whether the rate limit allows
// the call.
func (f *faultState) admit(kind string) (Faults, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.faults.Outage {
		f.counts["outage"]++

		return f.faults, true
	}
	limiter := f.reads
	if kind == "write" || kind == "delete" || kind == "lease" {
		limiter = f.writes
	}
	if !limiter.Allow() {
		f.counts["refused"]++

		return f.faults, false
	}
	f.counts[kind]++

	return f.faults, true
}

// loseResponse tells whether to drop the response to a write that took effect, and counts
// the dropped response.
func (f *faultState) loseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.faults.LoseWriteResponses == 0 {
		return false
	}
	if f.faults.LoseWriteResponses > 0 {
		f.faults.LoseWriteResponses--
	}
	f.counts["lost-answer"]++

	return true
}

// callKind returns the kind of a call for the counters. A watch counts as one call,
// however long it waits.
func callKind(r *http.Request) string {
	watch := r.URL.Query().Has("wait-version")
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/leases/"):
		return "lease"
	case r.URL.Path == "/v1/vms" && watch:
		return "vms-watch"
	case r.URL.Path == "/v1/vms":
		return "vms"
	case r.Method == http.MethodPut:
		return "write"
	case r.Method == http.MethodDelete:
		return "delete"
	case watch:
		return "watch"
	default:
		return "read"
	}
}

// handler applies the faults to the calls that next serves.
func (f *faultState) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := callKind(r)
		faults, allowed := f.admit(kind)
		if faults.Outage {
			panic(http.ErrAbortHandler)
		}
		if !allowed {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"message":"the rate limit of the service is reached"}`))

			return
		}
		// The response is buffered because a fault may still drop it.
		response := httptest.NewRecorder()
		next.ServeHTTP(response, r)
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
		changed := (kind == "write" || kind == "delete") && response.Code == http.StatusOK
		// An outage that began while a watch was waiting ends the watch as well.
		if f.get().Outage || (changed && f.loseResponse()) {
			panic(http.ErrAbortHandler)
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	})
}
