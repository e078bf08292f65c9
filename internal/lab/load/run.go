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

// maxOutstanding bounds the goroutines; arrivals above it wait, and the wait
// is part of their latency.
const maxOutstanding = 8192

// generator runs one profile.
type generator struct {
	profile   Profile
	http      *http.Client
	directory *directory
	result    *Result
	start     time.Time
}

// Run sends the traffic of a profile for duration and waits for all answers.
func Run(ctx context.Context, profile Profile, duration time.Duration) *Result {
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	g := &generator{
		profile: profile, http: client, directory: newDirectory(profile.LookupAddresses, client),
		result: newResult(profile.Service), start: time.Now(),
	}
	random := mathrand.New(mathrand.NewPCG(profile.Seed, 1))
	run := rand.Text()[:12]
	slots := make(chan struct{}, maxOutstanding)
	var all sync.WaitGroup
	arrival := time.Duration(0)
	for i := 0; ctx.Err() == nil; i++ {
		arrival += time.Duration(random.ExpFloat64() / profile.ArrivalsPerSecond * float64(time.Second))
		if arrival >= duration {
			break
		}
		at := arrival
		kind := profile.pick(random.Float64())
		address := profile.Addresses[i%len(profile.Addresses)]
		sleep(ctx, time.Until(g.start.Add(at)))
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			g.one(ctx, fmt.Sprintf("%s-%d", run, i), address, kind, at)
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

// one sends one request, again where the profile says so.
func (g *generator) one(ctx context.Context, id, address string, kind RequestKind, arrival time.Duration) {
	r := request{id: id, kind: kind, service: g.profile.Service, timeout: g.profile.Timeout, body: make([]byte, kind.RequestBodySize)}
	if kind.Keyed {
		// The key has the time of day at first and is the same in each resend.
		r.key = fmt.Sprintf("%d-%s", time.Now().Unix(), rand.Text()[:20])
	}
	g.result.mu.Lock()
	g.result.Sent++
	if r.key != "" {
		g.result.keys = append(g.result.keys, r.key)
	}
	g.result.mu.Unlock()

	var final outcome
	ran := false
	for attempt := 0; ; attempt++ {
		entry, o := g.attempt(ctx, address, r, attempt)
		// A refusal after an attempt with an unknown outcome leaves it unknown.
		final = o
		if o.class == classNotRun && ran {
			final = outcome{class: classUnknown, detail: "then refused: " + o.detail}
		}
		ran = ran || o.class == classUnknown || o.class == classFailed
		if entry != "" && (o.class == classUnknown || o.class == classUnsent) {
			g.directory.failed(g.profile.Service, address, entry)
		}
		if attempt >= g.limit(o) || !g.again(r, o) {
			break
		}
		sleep(ctx, max(o.after, backoff(attempt)))
	}
	g.result.add(kind, arrival, time.Since(g.start)-arrival, final)
}

// limit is how many resends an outcome allows; a caller tries the entry VMs
// that it knows when no connection is made.
func (g *generator) limit(o outcome) int {
	if o.class == classUnsent {
		return max(g.profile.MaxRetries, 3)
	}

	return g.profile.MaxRetries
}

func backoff(attempt int) time.Duration {
	return time.Duration(attempt*attempt) * 20 * time.Millisecond
}

func (g *generator) again(r request, o outcome) bool {
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

// attempt looks up and sends once, through another entry VM each time.
func (g *generator) attempt(ctx context.Context, address string, r request, attempt int) (string, outcome) {
	entries, _, err := g.directory.entries(ctx, g.profile.Service, address)
	if err != nil {
		return "", outcome{class: classUnsent, detail: err.Error()}
	}
	entry := entries[0].RequestMinusAddress
	if r.key != "" && attempt > 0 {
		entry = entries[attempt%len(entries)].RequestMinusAddress
	}
	o := send(ctx, g.http, entry, r, attempt)
	g.result.mu.Lock()
	defer g.result.mu.Unlock()
	if o.class != classUnsent {
		g.result.Attempts++
	}
	if o.class == classNotRun {
		g.result.notRunAttempts = append(g.result.notRunAttempts, fmt.Sprintf("%s/%d", r.id, attempt))
	}

	return entry, o
}

// MeasureThroughput sends requests through an entry VM by a fixed number of workers, one
// after the other, and returns the answers a second.
func MeasureThroughput(ctx context.Context, entry, service string, kind RequestKind, workers int, duration time.Duration) float64 {
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
				if send(ctx, client, entry, r, 0).class == classAnswered {
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()

	return float64(answered.Load()) / duration.Seconds()
}
