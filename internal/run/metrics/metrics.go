// Package metrics counts what a process does and serves it as JSON.
package metrics

import (
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha make latency quantiles follow the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics is the registry of one process.
type Metrics struct {
	registry gometrics.Registry

	mu      sync.RWMutex
	latency map[string]gometrics.Histogram
	counts  map[string]gometrics.Counter
}

// New returns an empty registry.
func New() *Metrics {
	return &Metrics{
		registry: gometrics.NewRegistry(),
		latency:  map[string]gometrics.Histogram{},
		counts:   map[string]gometrics.Counter{},
	}
}

// Served counts a request that ended, with its duration.
func (m *Metrics) Served(service string, took time.Duration) {
	m.histogram("latency-us/" + service).Update(took.Microseconds())
}

// Refused counts a request that the system answered itself, by outcome and
// reason.
func (m *Metrics) Refused(outcome, reason string) {
	m.counter("refused/" + outcome + "/" + reason).Inc(1)
}

// InvariantViolated counts a failed check inside the program.
func (m *Metrics) InvariantViolated(invariant string) {
	m.counter("invariant-violated/" + invariant).Inc(1)
}

// ControlBytes counts bytes of control messages of a kind, such as "sent/records".
func (m *Metrics) ControlBytes(kind string, bytes int) {
	m.counter("control-bytes/" + kind).Inc(int64(bytes))
}

// StoreCall counts a call to the platform's store, such as "read".
func (m *Metrics) StoreCall(operation string, failed bool) {
	m.counter("store-calls/" + operation).Inc(1)
	if failed {
		m.counter("store-failures/" + operation).Inc(1)
	}
}

// Count returns a counter's value; it is 0 when nothing was counted.
func (m *Metrics) Count(name string) int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c, ok := m.counts[name]
	if !ok {
		return 0
	}

	return c.Count()
}

// Gauge registers a value that is read when the metrics are served.
func (m *Metrics) Gauge(name string, value func() int64) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(value))
}

// ServeHTTP writes all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(m.registry, w)
}

func (m *Metrics) counter(name string) gometrics.Counter {
	m.mu.RLock()
	c, ok := m.counts[name]
	m.mu.RUnlock()
	if ok {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.counts[name]; ok {
		return c
	}
	c = gometrics.NewCounter()
	m.counts[name] = c
	_ = m.registry.Register(name, c)

	return c
}

func (m *Metrics) histogram(name string) gometrics.Histogram {
	m.mu.RLock()
	h, ok := m.latency[name]
	m.mu.RUnlock()
	if ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.latency[name]; ok {
		return h
	}
	h = gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.latency[name] = h
	_ = m.registry.Register(name, h)

	return h
}
