package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Spec describes one server.
type Spec struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Address is the IP address and port that the server listens on.
	Address string `json:"address"`
	// Slots is the number of requests that run at a time; more wait inside.
	Slots int `json:"slots"`
	// ServiceMs is the median service time in milliseconds.
	ServiceMs float64 `json:"service-ms"`
	// Sigma is the shape of the log-normal service time; 0 makes it constant.
	Sigma float64 `json:"sigma"`
	// ShedAbove refuses requests when that many are waiting; 0 means never.
	ShedAbove int `json:"shed-above"`
	// ColdFactor multiplies the service time of the first request after a
	// start; it falls to 1 within ColdRequests requests.
	ColdFactor   float64 `json:"cold-factor"`
	ColdRequests int     `json:"cold-requests"`
	// DownMs is how long the server stays down after a crash.
	DownMs int `json:"down-ms"`
}

// Stats are the counters of one server since the process started.
type Stats struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in-flight"`
	// MaxInFlight is the greatest number of requests that were in the server at once.
	MaxInFlight int   `json:"max-in-flight"`
	Arrivals    int64 `json:"arrivals"`
	Done        int64 `json:"done"`
	Cancelled   int64 `json:"cancelled"`
	Shed        int64 `json:"shed"`
	Crashes     int64 `json:"crashes"`
	Probes      int64 `json:"probes"`
	// BusyMs is the service time of all requests that ran, without stalls.
	BusyMs float64 `json:"busy-ms"`
	// AfterLeaving counts requests that arrived more than 3 s after the leaving mark.
	AfterLeaving int64 `json:"after-leaving"`
}

// load is the JSON of GET /load.
type load struct {
	InFlight int  `json:"in-flight"`
	Slots    int  `json:"slots"`
	Leaving  bool `json:"leaving"`
}

// server is one running stand-in server.
type server struct {
	spec  Spec
	runs  *runs
	slots chan struct{}

	mu        sync.Mutex
	stats     Stats
	sinceCold int
	factor    float64
	changed   chan struct{}
	leaving   time.Time
	// reports are the load reports of the past, the oldest first.
	reports []load
	http    *http.Server
	stopped bool
}

func newServer(spec Spec, r *runs) *server {
	return &server{
		spec: spec, runs: r, slots: make(chan struct{}, spec.Slots), factor: 1, changed: make(chan struct{}),
		stats: Stats{Name: spec.Name, Service: spec.Service, Region: spec.Region, Zone: spec.Zone, Slots: spec.Slots},
	}
}

// listen starts to serve.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		return fmt.Errorf("backend server %s: %w", s.spec.Name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) { s.countProbe() })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	h := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	s.mu.Lock()
	s.http, s.sinceCold, s.stopped = h, 0, false
	s.mu.Unlock()
	go func() { _ = h.Serve(listener) }()

	return nil
}

// crash drops all connections and starts the server again when down is over.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	h := s.http
	if s.stopped {
		s.mu.Unlock()

		return
	}
	s.stopped = true
	s.stats.Crashes++
	s.mu.Unlock()
	_ = h.Close()
	if down > 0 {
		time.AfterFunc(down, func() { _ = s.listen() })
	}
}

func (s *server) countProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Probes++
}

func (s *server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := load{Slots: s.spec.Slots}
	if len(s.reports) > 0 {
		report = s.reports[0]
	}
	report.Leaving = !s.leaving.IsZero()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// record keeps a load report for later; reports beyond keep are dropped.
func (s *server) record(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.reports = append(s.reports, load{InFlight: s.stats.InFlight, Slots: s.spec.Slots})
	if len(s.reports) > keep {
		s.reports = s.reports[1:]
	}
}

// pace makes the server slower by factor until it is called again.
func (s *server) pace(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.factor = factor
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *server) setLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.leaving = time.Time{}
	if on {
		s.leaving = time.Now()
	}
}

// arrive counts a request in; it reports false when the server sheds it.
func (s *server) arrive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stats.Arrivals++
	if !s.leaving.IsZero() && time.Since(s.leaving) > 3*time.Second {
		s.stats.AfterLeaving++
	}
	if s.spec.ShedAbove > 0 && s.stats.InFlight >= s.spec.Slots+s.spec.ShedAbove {
		s.stats.Shed++

		return false
	}
	s.stats.InFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.stats.InFlight)

	return true
}

func (s *server) leave(done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stats.InFlight--
	if done {
		s.stats.Done++
	} else {
		s.stats.Cancelled++
	}
}

// serviceTime draws the service time of a request.
func (s *server) serviceTime(r *http.Request) time.Duration {
	ms := s.spec.ServiceMs
	if s.spec.Sigma > 0 {
		ms *= math.Exp(rand.NormFloat64() * s.spec.Sigma)
	}
	if f, err := strconv.ParseFloat(r.Header.Get(HeaderFactor), 64); err == nil {
		ms *= f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cold := s.spec.ColdRequests; s.spec.ColdFactor > 1 && s.sinceCold < cold {
		ms *= 1 + (s.spec.ColdFactor-1)*float64(cold-s.sinceCold)/float64(cold)
	}
	s.sinceCold++
	s.stats.BusyMs += ms

	return time.Duration(ms * float64(time.Millisecond))
}

var errCancelled = errors.New("the request was cancelled")

// run takes the service time; stalls stretch what remains of it.
func (s *server) run(ctx context.Context, remaining time.Duration) error {
	for remaining > 0 {
		s.mu.Lock()
		factor, changed := s.factor, s.changed
		s.mu.Unlock()
		start := time.Now()
		timer := time.NewTimer(time.Duration(float64(remaining) * factor))
		select {
		case <-timer.C:
			return nil
		case <-changed:
			timer.Stop()
			remaining -= time.Duration(float64(time.Since(start)) / factor)
		case <-ctx.Done():
			timer.Stop()

			return errCancelled
		}
	}

	return nil
}

func (s *server) serveWork(w http.ResponseWriter, r *http.Request) {
	if !s.arrive() {
		w.Header().Set("Greengagetally-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the server sheds load", http.StatusServiceUnavailable)

		return
	}
	done := false
	defer func() { s.leave(done) }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Greengagetally-Timeout")); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		http.Error(w, "the deadline passed before the request ran", http.StatusGatewayTimeout)

		return
	}
	defer func() { <-s.slots }()
	s.runs.started(r)
	if r.Header.Get(HeaderCrash) != "" {
		s.crash(time.Duration(s.spec.DownMs) * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	if s.run(ctx, s.serviceTime(r)) != nil {
		http.Error(w, "the deadline passed while the request ran", http.StatusGatewayTimeout)

		return
	}
	done = true
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize))
	answer := ResponseBody(r.Header.Get(HeaderID), body, size)
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	w.Header().Set(HeaderRegion, s.spec.Region)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}
