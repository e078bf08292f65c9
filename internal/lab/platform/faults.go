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

// Faults are the present faults of the platform; the zero value is none.
type Faults struct {
	// Outage ends every connection without an answer and without effect.
	Outage bool `json:"outage"`
	// SlowMs delays every answer.
	SlowMs int `json:"slow-ms"`
	// LoseWriteResponses is the number of coming writes that take effect but whose
	// answers are lost; -1 loses all of them.
	LoseWriteResponses int `json:"lose-writes"`
	// StaleReads answers reads with the version before the latest.
	StaleReads bool `json:"older-reads"`
	// ReadsPerSecond and WritesPerSecond are limits; 0 means none. Calls above
	// them are refused with 429 without effect.
	ReadsPerSecond  int `json:"reads-per-second"`
	WritesPerSecond int `json:"writes-per-second"`
}

// faultState applies Faults to calls and counts the calls by kind.
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
	f.reads = limiter(faults.ReadsPerSecond)
	f.writes = limiter(faults.WritesPerSecond)
}

// limiter allows a burst of a tenth of a second.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.faults
}

// admit counts a call and returns the faults that apply to it and whether the
// rate limit allows it.
func (f *faultState) admit(kind string) (Faults, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.faults.Outage {
		f.counts["outage"]++

		return f.faults, true
	}
	l := f.reads
	if kind == "write" || kind == "delete" || kind == "lease" {
		l = f.writes
	}
	if !l.Allow() {
		f.counts["refused"]++

		return f.faults, false
	}
	f.counts[kind]++

	return f.faults, true
}

// loses tells whether the answer of a write that took effect is lost.
func (f *faultState) loses() bool {
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

// kindOf names a call for the counters; a waiting watch counts as one call.
func kindOf(r *http.Request) string {
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

// wrap applies the faults to the calls that next serves.
func (f *faultState) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := kindOf(r)
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
		// The answer is kept until it is known whether it is lost.
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
		changed := (kind == "write" || kind == "delete") && answer.Code == http.StatusOK
		// An outage that began while a watch was waiting ends the watch as well.
		if f.get().Outage || (changed && f.loses()) {
			panic(http.ErrAbortHandler)
		}
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}
