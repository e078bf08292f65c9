package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// loadRecordInterval is how often the load of each server is recorded.
	loadRecordInterval = 100 * time.Millisecond
	// loadReportDelay is the age of the load that GET /load reports.
	loadReportDelay = 2 * time.Second
)

// Fleet is the set of all simulated servers of one process.
type Fleet struct {
	servers   []*server
	runCounts *runCounts
	// endStalls ends the current stalls and waits until the servers have their usual
	// speed again.
	endStalls func()
}

// Stalls makes Count servers of Service slow at any moment. Each of them is slower by
// Factor for MinMs to MaxMs milliseconds; then another server takes its turn. At least
// one server stays fast. A Count of 0 ends all stalls. If Region is not empty, only
// servers of Region stall.
type Stalls struct {
	Service string  `json:"service"`
	Region  string  `json:"region"`
	Count   int     `json:"count"`
	Factor  float64 `json:"factor"`
	MinMs   int     `json:"min-ms"`
	MaxMs   int     `json:"max-ms"`
}

// NewFleet returns a fleet whose servers do not listen yet.
func NewFleet(specs []Spec) *Fleet {
	f := &Fleet{runCounts: &runCounts{keys: map[string]int{}, attempts: map[string]int{}}, endStalls: func() {}}
	for _, spec := range specs {
		f.servers = append(f.servers, newServer(spec, f.runCounts))
	}

	return f
}

// Serve runs all servers, and the control API on listener, until ctx ends. It
// returns an error when a server cannot listen or listener fails.
func (f *Fleet) Serve(ctx context.Context, listener net.Listener) error {
	for _, s := range f.servers {
		if err := s.listen(); err != nil {
			return err
		}
	}
	go f.recordLoads(ctx)
	control := &http.Server{Handler: f.control(ctx), ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		_ = control.Close()
		for _, s := range f.servers {
			s.crash(0)
		}
	})
	defer stop()
	if err := control.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve control of backend servers: %w", err)
	}

	return nil
}

// recordLoads records the load of all servers at each interval until ctx ends.
func (f *Fleet) recordLoads(ctx context.Context) {
	ticker := time.NewTicker(loadRecordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range f.servers {
			s.recordLoad(int(loadReportDelay / loadRecordInterval))
		}
	}
}

// control serves these calls:
//   - GET /lab/servers returns the Stats of all servers.
//   - GET /lab/total returns the number of runs of all requests.
//   - POST /lab/keys and /lab/attempts return the number of runs by id for a JSON list
//     of ids.
//   - PUT /lab/stalls replaces the Stalls.
//   - PUT /lab/leaving?on=, /lab/pace?factor= and /lab/crash?down-ms= change the server
//     that ?name= gives.
func (f *Fleet) control(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lab/servers", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Stats())
	})
	mux.HandleFunc("GET /lab/total", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.runCounts.total())
	})
	mux.HandleFunc("POST /lab/keys", countHandler(f.runCounts.forKeys))
	mux.HandleFunc("POST /lab/attempts", countHandler(f.runCounts.forAttempts))
	mux.HandleFunc("PUT /lab/stalls", func(w http.ResponseWriter, r *http.Request) {
		var s Stalls
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		f.setStalls(ctx, s)
	})
	mux.HandleFunc("PUT /lab/{action}", f.controlServer)

	return mux
}

// countHandler answers a JSON list of ids with the number of runs by id.
func countHandler(counts func([]string) map[string]int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ids []string
		if err := json.NewDecoder(r.Body).Decode(&ids); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		_ = json.NewEncoder(w).Encode(counts(ids))
	}
}

// controlServer handles a control call for a single server.
func (f *Fleet) controlServer(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for _, s := range f.servers {
		if s.spec.Name != query.Get("name") {
			continue
		}
		var value float64
		switch r.PathValue("action") {
		case "leaving":
			s.setLeaving(query.Get("on") == "true")
		case "pace":
			_, _ = fmt.Sscan(query.Get("factor"), &value)
			s.setSlowdown(max(value, 0.01))
		case "crash":
			_, _ = fmt.Sscan(query.Get("down-ms"), &value)
			s.crash(time.Duration(value) * time.Millisecond)
		default:
			http.NotFound(w, r)
		}

		return
	}
	http.NotFound(w, r)
}

// Stats returns the counters of all servers, in the order of their specs.
func (f *Fleet) Stats() []Stats {
	out := make([]Stats, 0, len(f.servers))
	for _, s := range f.servers {
		s.mu.Lock()
		out = append(out, s.stats)
		s.mu.Unlock()
	}

	return out
}

// setStalls replaces the current stalls.
func (f *Fleet) setStalls(ctx context.Context, spec Stalls) {
	f.endStalls()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	f.endStalls = func() {
		cancel()
		running.Wait()
	}
	var candidates []*server
	for _, s := range f.servers {
		if s.spec.Service == spec.Service && (spec.Region == "" || spec.Region == s.spec.Region) {
			candidates = append(candidates, s)
		}
	}
	if spec.Count >= len(candidates) {
		spec.Count = len(candidates) - 1
	}
	// free holds the servers that are not stalled, so that no server has two stalls
	// at once.
	free := make(chan *server, len(candidates))
	for _, i := range rand.Perm(len(candidates)) {
		free <- candidates[i]
	}
	for range spec.Count {
		running.Go(func() {
			for ctx.Err() == nil {
				s := <-free
				s.setSlowdown(spec.Factor)
				sleep(ctx, time.Duration(spec.MinMs+rand.IntN(max(1, spec.MaxMs-spec.MinMs)))*time.Millisecond)
				s.setSlowdown(1)
				free <- s
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
