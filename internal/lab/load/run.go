package load

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxOutstanding limits the requests in flight of a profile, and so the number of
// goroutines. Further arrivals wait; the wait is part of their latency.
const maxOutstanding = 8192

// generator sends the traffic of one profile.
type generator struct {
	profile   Profile
	http      *http.Client
	directory *directory
	result    *Result
	start     time.Time
}

// Run sends the traffic of a profile for duration, or until ctx ends, and waits for
// the outcomes of all requests.
func Run(ctx context.Context, profile Profile, duration time.Duration) *Result {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	g := &generator{
		profile: profile, http: client, directory: newDirectory(profile.LookupAddresses, client),
		result: newResult(profile.Service), start: time.Now(),
	}
	random := mathrand.New(mathrand.NewPCG(profile.Seed, 1))
	runID := rand.Text()[:12]
	slots := make(chan struct{}, maxOutstanding)
	var all sync.WaitGroup
	arrival := time.Duration(0)
	for i := 0; ctx.Err() == nil; i++ {
		arrival += time.Duration(random.ExpFloat64() / profile.ArrivalsPerSecond * float64(time.Second))
		if arrival >= duration {
			break
		}
		at := arrival
		kind := profile.pickKind(random.Float64())
		callerAddress := profile.Addresses[i%len(profile.Addresses)]
		sleep(ctx, time.Until(g.start.Add(at)))
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			g.sendWithRetries(ctx, fmt.Sprintf("%s-%d", runID, i), callerAddress, kind, at)
		})
	}
	all.Wait()

	return g.result
}

// RunAll runs several profiles at once and returns their results merged by
// service.
func RunAll(ctx context.Context, profiles []Profile, duration time.Duration) map[string]*Result {
	results := make([]*Result, len(profiles))
	var all sync.WaitGroup
	for i, p := range profiles {
		all.Go(func() { results[i] = Run(ctx, p, duration) })
	}
	all.Wait()
	out := map[string]*Result{}
	for _, r := range results {
		if out[r.Service] == nil {
			out[r.Service] = newResult(r.Service)
		}
		out[r.Service].Merge(r)
	}

	return out
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendWithRetries sends one request, retries it as the profile says, and counts its
// outcome.
func (g *generator) sendWithRetries(ctx context.Context, id, callerAddress string, kind RequestKind, arrival time.Duration) {
	r := request{id: id, kind: kind, service: g.profile.Service, timeout: g.profile.Timeout, body: make([]byte, kind.RequestBodySize)}
	if kind.Keyed {
		// The key starts with the Unix time in seconds; retries use the same key.
		r.key = fmt.Sprintf("%d-%s", time.Now().Unix(), rand.Text()[:20])
	}
	g.result.mu.Lock()
	g.result.Sent++
	if r.key != "" {
		g.result.keys = append(g.result.keys, r.key)
	}
	g.result.mu.Unlock()

	var final outcome
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		requestAddress, o := g.attempt(ctx, callerAddress, r, attempt)
		// A refusal does not make an outcome known: an earlier attempt may have run.
		final = o
		if o.class == classNotRun && mayHaveRun {
			final = outcome{class: classUnknown, detail: "then refused: " + o.detail}
		}
		mayHaveRun = mayHaveRun || o.class == classUnknown || o.class == classFailed
		if requestAddress != "" && (o.class == classUnknown || o.class == classUnsent) {
			g.directory.markFailed(g.profile.Service, callerAddress, requestAddress)
		}
		if attempt >= g.maxRetries(o) || !g.mayRetry(r, o) {
			break
		}
		sleep(ctx, max(o.retryAfter, backoff(attempt)))
	}
	g.result.add(kind, arrival, time.Since(g.start)-arrival, final)
}

// maxRetries returns how many retries an outcome allows. When no connection was made,
// at least three are allowed, so that a caller tries other entry VMs.
func (g *generator) maxRetries(o outcome) int {
	if o.class == classUnsent {
		return max(g.profile.MaxRetries, 3)
	}

	return g.profile.MaxRetries
}

// backoff returns the shortest wait after an attempt: 0 after attempt 0, then 20 ms, 80
// ms, 180 ms and so on.
func backoff(attempt int) time.Duration {
	return time.Duration(attempt*attempt) * 20 * time.Millisecond
}

// mayRetry tells whether a request may be retried after an outcome. A request that was
// not sent may always be retried. After a refusal, it may be retried only with
// Profile.RetryRefused; after an unknown or duplicate outcome, only if it has a key or is
// a GET.
func (g *generator) mayRetry(r request, o outcome) bool {
	switch o.class {
	case classUnsent:
		return true
	case classNotRun:
		return g.profile.RetryRefused
	case classUnknown, classDuplicate:
		return r.key != "" || r.kind.Method == http.MethodGet
	default:
		return false
	}
}

// attempt looks up entry VMs and sends a request once. It returns the request address of
// the entry VM that it used, or "" when the lookup failed. Retries of a request with a
// key take the entry VMs in turn.
func (g *generator) attempt(ctx context.Context, callerAddress string, r request, attempt int) (string, outcome) {
	entries, _, err := g.directory.entries(ctx, g.profile.Service, callerAddress)
	if err != nil {
		return "", outcome{class: classUnsent, detail: err.Error()}
	}
	requestAddress := entries[0].RequestMinusAddress
	if r.key != "" && attempt > 0 {
		requestAddress = entries[attempt%len(entries)].RequestMinusAddress
	}
	o := send(ctx, g.http, requestAddress, r, attempt)
	g.result.mu.Lock()
	defer g.result.mu.Unlock()
	if o.class != classUnsent {
		g.result.Attempts++
	}
	if o.class == classNotRun {
		g.result.notRunAttempts = append(g.result.notRunAttempts, fmt.Sprintf("%s/%d", r.id, attempt))
	}

	return requestAddress, o
}

// MeasureThroughput sends requests to requestAddress for the given duration and returns
// the number of answered requests per second. Each of the workers sends one request after
// the other.
func MeasureThroughput(ctx context.Context, requestAddress, service string, kind RequestKind, workers int, duration time.Duration) float64 {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var answered atomic.Int64
	var all sync.WaitGroup
	for worker := range workers {
		all.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r := request{id: fmt.Sprintf("saturate-%d-%d", worker, i), kind: kind, service: service, timeout: 2 * time.Second}
				if send(ctx, client, requestAddress, r, 0).class == classAnswered {
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()

	return float64(answered.Load()) / duration.Seconds()
}
