package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Second counts the outcomes of the requests that arrived in one second of the run.
type Second struct {
	// Latency holds the latencies of the answered requests, in microseconds.
	Latency *hdrhistogram.Histogram
	// ByRegion counts answered requests by the region of the backend server.
	ByRegion map[string]int64
	// NotRun counts requests that were refused without being run.
	NotRun int64
}

// Result counts the outcomes of the requests of one profile. Each request is counted
// once in Answered, NotRun, Unknown, Duplicate, Failed, Wrong or Unsent.
type Result struct {
	mu sync.Mutex

	Service string
	Sent    int64
	// Attempts counts the attempts for which an entry VM accepted a connection.
	Attempts int64
	Answered int64
	// ByRegion counts answered requests by the region of the backend server.
	ByRegion map[string]int64
	// NotRun counts requests that were refused without being run, by reason.
	NotRun map[string]int64
	// Unknown counts requests that may have run, among them those with an incomplete
	// response or status 502 or 504.
	Unknown int64
	// Duplicate counts requests that were refused because a request with the same
	// idempotency key was accepted before, and the response to that request is not
	// available.
	Duplicate int64
	// Failed counts complete responses without an outcome header and with another
	// status than 200, 502 and 504. Wrong counts responses with status 200 that belong
	// to another request or have other content.
	Failed, Wrong int64
	// Unsent counts requests for which no entry VM accepted a connection.
	Unsent int64
	// Latency holds the latencies of answered requests by kind, and RefusalLatency those
	// of requests that were not run. Both count from the arrival of the request, in
	// microseconds.
	Latency        map[string]*hdrhistogram.Histogram
	RefusalLatency *hdrhistogram.Histogram
	// Seconds counts the outcomes by the second of the run in which the request arrived.
	Seconds []Second
	// Examples are up to five unexpected outcomes, for messages. After Merge there can be
	// more.
	Examples []string

	// keys are the idempotency keys of all requests. notRunAttempts are the ids of the
	// attempts that were refused as not run. Both are for Verify.
	keys           []string
	notRunAttempts []string
}

// Histogram returns an empty histogram for latencies in microseconds, up to 2 minutes.
func Histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
}

func newResult(service string) *Result {
	return &Result{
		Service: service, ByRegion: map[string]int64{}, NotRun: map[string]int64{},
		Latency: map[string]*hdrhistogram.Histogram{}, RefusalLatency: Histogram(),
	}
}

// TotalLatency returns the latency of all kinds together, in microseconds.
func (r *Result) TotalLatency() *hdrhistogram.Histogram {
	all := Histogram()
	for _, h := range r.Latency {
		all.Merge(h)
	}

	return all
}

// Merge adds the counts of o, which must be a result of the same service.
func (r *Result) Merge(o *Result) {
	r.Sent += o.Sent
	r.Attempts += o.Attempts
	r.Answered += o.Answered
	r.Unknown += o.Unknown
	r.Duplicate += o.Duplicate
	r.Failed += o.Failed
	r.Wrong += o.Wrong
	r.Unsent += o.Unsent
	for region, n := range o.ByRegion {
		r.ByRegion[region] += n
	}
	for reason, n := range o.NotRun {
		r.NotRun[reason] += n
	}
	for kind, h := range o.Latency {
		if r.Latency[kind] == nil {
			r.Latency[kind] = Histogram()
		}
		r.Latency[kind].Merge(h)
	}
	r.RefusalLatency.Merge(o.RefusalLatency)
	for i, s := range o.Seconds {
		total := r.second(time.Duration(i) * time.Second)
		total.Latency.Merge(s.Latency)
		total.NotRun += s.NotRun
		for region, n := range s.ByRegion {
			total.ByRegion[region] += n
		}
	}
	r.Examples = append(r.Examples, o.Examples...)
	r.keys = append(r.keys, o.keys...)
	r.notRunAttempts = append(r.notRunAttempts, o.notRunAttempts...)
}

// NotRunTotal returns the number of requests that were refused as not run.
func (r *Result) NotRunTotal() int64 {
	var sum int64
	for _, n := range r.NotRun {
		sum += n
	}

	return sum
}

// PercentileMillis returns a percentile (0 to 100) of a histogram of microseconds, in
// milliseconds.
func PercentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// second returns the counters of the second in which a request arrived; arrival is the
// time since the start of the run.
func (r *Result) second(arrival time.Duration) *Second {
	for len(r.Seconds) <= int(arrival/time.Second) {
		r.Seconds = append(r.Seconds, Second{
			Latency:  hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 2),
			ByRegion: map[string]int64{},
		})
	}

	return &r.Seconds[int(arrival/time.Second)]
}

// add counts one request; arrival is the time from the start of the run to the arrival of
// the request, latency the time from the arrival to the outcome.
func (r *Result) add(kind RequestKind, arrival, latency time.Duration, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()

	second := r.second(arrival)
	switch o.class {
	case classAnswered:
		r.Answered++
		r.ByRegion[o.detail]++
		second.ByRegion[o.detail]++
		h, ok := r.Latency[kind.Name]
		if !ok {
			h = Histogram()
			r.Latency[kind.Name] = h
		}
		_ = h.RecordValue(latency.Microseconds())
		_ = second.Latency.RecordValue(latency.Microseconds())
	case classNotRun:
		r.NotRun[o.detail]++
		second.NotRun++
		_ = r.RefusalLatency.RecordValue(latency.Microseconds())
	case classUnknown:
		r.Unknown++
	case classDuplicate:
		r.Duplicate++
	case classFailed:
		r.Failed++
	case classWrong:
		r.Wrong++
	case classUnsent:
		r.Unsent++
	}
	if o.class != classAnswered && o.class != classNotRun && len(r.Examples) < 5 {
		r.Examples = append(r.Examples, kind.Name+": "+o.detail)
	}
}

// Print writes the result to w as text.
func (r *Result) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: sent %d, answered %d, not run %d, outcome unknown %d, duplicate %d, failed %d, unsent %d, wrong answers %d\n",
		r.Service, r.Sent, r.Answered, r.NotRunTotal(), r.Unknown, r.Duplicate, r.Failed, r.Unsent, r.Wrong)
	for _, region := range slices.Sorted(maps.Keys(r.ByRegion)) {
		_, _ = fmt.Fprintf(w, "  answered by %s: %d\n", region, r.ByRegion[region])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.NotRun)) {
		_, _ = fmt.Fprintf(w, "  refused as not run, %s: %d\n", reason, r.NotRun[reason])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Latency)) {
		h := r.Latency[kind]
		_, _ = fmt.Fprintf(w, "  %s: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", kind, PercentileMillis(h, 50), PercentileMillis(h, 99), PercentileMillis(h, 99.9))
	}
	for _, e := range r.Examples[:min(5, len(r.Examples))] {
		_, _ = fmt.Fprintf(w, "  example: %s\n", e)
	}
}
