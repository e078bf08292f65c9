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

// Spec describes one simulated server.
type Spec struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Address is the IP address and port that the server listens on.
	Address string `json:"address"`
	// Slots is the number of requests that run at the same time; further requests wait in
	// the server.
	Slots int `json:"slots"`
	// ServiceMs is the median service time in milliseconds.
	ServiceMs float64 `json:"service-ms"`
	// Sigma is the shape of the log-normal service time; 0 makes it constant.
	Sigma float64 `json:"sigma"`
	// ShedAbove is the number of waiting requests at which the server refuses further
	// requests; 0 means never.
	ShedAbove int `json:"shed-above"`
	// ColdFactor multiplies the service time of the first request after a start;
	// the factor falls linearly to 1 within ColdRequests requests.
	ColdFactor   float64 `json:"cold-factor"`
	ColdRequests int     `json:"cold-requests"`
	// DownMs is how long the server stays down after a HeaderCrash request, in
	// milliseconds; 0 means for good.
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
	// MaxInFlight is the maximum of InFlight; both include waiting requests.
	MaxInFlight int   `json:"max-in-flight"`
	Arrivals    int64 `json:"arrivals"`
	Done        int64 `json:"done"`
	// Cancelled counts accepted requests that did not run to their end, including
	// requests that got no slot.
	Cancelled int64 `json:"cancelled"`
	Shed      int64 `json:"shed"`
	Crashes   int64 `json:"crashes"`
	Probes    int64 `json:"probes"`
	// BusyMs is the sum of the service times in milliseconds. A request that was
	// cancelled while it ran counts with its full service time. Slowdowns do not add to
	// the sum.
	BusyMs float64 `json:"busy-ms"`
	// AfterLeaving counts requests that arrived more than 3 s after the server was
	// marked as leaving.
	AfterLeaving int64 `json:"after-leaving"`
}

// loadReport is the response of GET /load.
type loadReport struct {
	InFlight int  `json:"in-flight"`
	Slots    int  `json:"slots"`
	Leaving  bool `json:"leaving"`
}

// server is one simulated server.
type server struct {
	spec      Spec
	runCounts *runCounts
	slots     chan struct{}

	mu    sync.Mutex
	stats Stats
	// runsSinceStart is the number of requests that ran since the server started;
	// Spec.ColdFactor depends on it.
	runsSinceStart int
	// slowdown divides the speed of running requests; 1 is the usual speed.
	slowdown float64
	// slowdownChanged is closed and replaced when slowdown is set.
	slowdownChanged chan struct{}
	// leavingSince is zero when the server is not leaving.
	leavingSince time.Time
	// reports are the load reports of the last loadReportDelay, the oldest first.
	reports []loadReport
	http    *http.Server
	stopped bool
}

func newServer(spec Spec, r *runCounts) *server {
	return &server{
		spec: spec, runCounts: r, slots: make(chan struct{}, spec.Slots), slowdown: 1, slowdownChanged: make(chan struct{}),
		stats: Stats{Name: spec.Name, Service: spec.Service, Region: spec.Region, Zone: spec.Zone, Slots: spec.Slots},
	}
}

// listen starts the server. The first requests are slowed down by Spec.ColdFactor again.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.spec.Address)
	if err != nil {
		return fmt.Errorf("backend server %s: %w", s.spec.Name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) { s.countProbe() })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveRequest)
	h := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	s.mu.Lock()
	s.http, s.runsSinceStart, s.stopped = h, 0, false
	s.mu.Unlock()
	go func() { _ = h.Serve(listener) }()

	return nil
}

// crash closes all connections and starts the server again after downTime, or never when
// downTime is 0.
func (s *server) crash(downTime time.Duration) {
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
	if downTime > 0 {
		time.AfterFunc(downTime, func() { _ = s.listen() })
	}
}

func (s *server) countProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Probes++
}

// serveLoad responds with the oldest load in reports, which is at most loadReportDelay
// old, and with the current leaving mark.
func (s *server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := loadReport{Slots: s.spec.Slots}
	if len(s.reports) > 0 {
		report = s.reports[0]
	}
	report.Leaving = !s.leavingSince.IsZero()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// recordLoad adds a report of the current load. It drops the oldest report when there are
// more than maxReports.
func (s *server) recordLoad(maxReports int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.reports = append(s.reports, loadReport{InFlight: s.stats.InFlight, Slots: s.spec.Slots})
	if len(s.reports) > maxReports {
		s.reports = s.reports[1:]
	}
}

// setSlowdown makes the server slower by a factor until the next call; running requests
// change their speed too.
func (s *server) setSlowdown(slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slowdown = slowdown
	close(s.slowdownChanged)
	s.slowdownChanged = make(chan struct{})
}

func (s *server) setLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.leavingSince = time.Time{}
	if on {
		s.leavingSince = time.Now()
	}
}

// admit counts a request that arrives; it returns false when the server sheds it.
func (s *server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stats.Arrivals++
	if !s.leavingSince.IsZero() && time.Since(s.leavingSince) > 3*time.Second {
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

// finish counts a request that ends; done tells whether the request ran to its end.
func (s *server) finish(done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stats.InFlight--
	if done {
		s.stats.Done++
	} else {
		s.stats.Cancelled++
	}
}

// serviceTime returns a random service time for a request and adds it to Stats.BusyMs.
// The time is without slowdowns, which waitServiceTime adds.
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
	if cold := s.spec.ColdRequests; s.spec.ColdFactor > 1 && s.runsSinceStart < cold {
		ms *= 1 + (s.spec.ColdFactor-1)*float64(cold-s.runsSinceStart)/float64(cold)
	}
	s.runsSinceStart++
	s.stats.BusyMs += ms

	return time.Duration(ms * float64(time.Millisecond))
}

var errCancelled = errors.New("the request was cancelled")

// waitServiceTime waits for the remaining service time, longer while the server is
// slowed down. It returns errCancelled when ctx ends first.
func (s *server) waitServiceTime(ctx context.Context, remaining time.Duration) error {
	for remaining > 0 {
		s.mu.Lock()
		slowdown, slowdownChanged := s.slowdown, s.slowdownChanged
		s.mu.Unlock()
		start := time.Now()
		timer := time.NewTimer(time.Duration(float64(remaining) * slowdown))
		select {
		case <-timer.C:
			return nil
		case <-slowdownChanged:
			timer.Stop()
			remaining -= time.Duration(float64(time.Since(start)) / slowdown)
		case <-ctx.Done():
			timer.Stop()

			return errCancelled
		}
	}

	return nil
}

// serveRequest runs a request: it waits for a slot, then for the service time, and
// responds with ResponseBody. The header Greengagetally-Timeout, in milliseconds, bounds
// both waits together.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.admit() {
		w.Header().Set("Greengagetally-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the server sheds load", http.StatusServiceUnavailable)

		return
	}
	done := false
	defer func() { s.finish(done) }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Greengagetally-Timeout")); err == nil {
		deadlineCtx, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = deadlineCtx
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		http.Error(w, "the deadline passed before the request ran", http.StatusGatewayTimeout)

		return
	}
	defer func() { <-s.slots }()
	s.runCounts.add(r)
	if r.Header.Get(HeaderCrash) != "" {
		s.crash(time.Duration(s.spec.DownMs) * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	if s.waitServiceTime(ctx, s.serviceTime(r)) != nil {
		http.Error(w, "the deadline passed while the request ran", http.StatusGatewayTimeout)

		return
	}
	done = true
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize))
	response := ResponseBody(r.Header.Get(HeaderID), body, size)
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	w.Header().Set(HeaderRegion, s.spec.Region)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response)
}
