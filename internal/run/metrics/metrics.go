// Package metrics counts events and records the latencies of requests in a process
// of `greengagetally entry` or `greengagetally-platform`, and serves them as JSON.
package metrics

import (
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are the parameters of the exponentially decaying sample of
// each histogram. With these values, latency quantiles cover the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

const (
	// maxCustomers bounds the customers with counters of their own. Names may change with
	// every configuration, and counters stay until the process ends.
	maxCustomers   = 1000
	otherCustomers = "other"
)

// Metrics holds the metrics of one process. Its methods are safe for concurrent use.
type Metrics struct {
	registry gometrics.Registry

	// mu guards the maps, which hold the registered histograms and counters by name.
	mu         sync.RWMutex
	histograms map[string]gometrics.Histogram
	counters   map[string]gometrics.Counter
	// customers are the names under which requests of customers are counted.
	customers map[string]struct{}
}

// New returns a Metrics without any metric.
func New() *Metrics {
	return &Metrics{
		registry:   gometrics.NewRegistry(),
		histograms: map[string]gometrics.Histogram{},
		counters:   map[string]gometrics.Counter{},
		customers:  map[string]struct{}{},
	}
}

// Served adds the duration of a finished request, in microseconds, to the histogram
// "latency-us/" + name, where name is a service, or a route and an outcome.
func (m *Metrics) Served(name string, took time.Duration) {
	m.histogram("latency-us/" + name).Update(took.Microseconds())
}

// Refused counts a request that the entry VM answered itself, without the response
// of a backend server, by outcome and reason.
func (m *Metrics) Refused(outcome, reason string) {
	m.counter("refused/" + outcome + "/" + reason).Inc(1)
}

// Hedge counts a second attempt for a request of a service while the first went on: event is
// "sent" or "won".
func (m *Metrics) Hedge(service, event string) {
	m.counter("hedges/" + service + "/" + event).Inc(1)
}

// CustomerRequest counts a request of a customer, and whether it was refused. Customers
// beyond the first maxCustomers are counted together as otherCustomers.
func (m *Metrics) CustomerRequest(customer string, refused bool) {
	customer = m.customerLabel(customer)
	if refused {
		m.counter("customer-refused/" + customer).Inc(1)

		return
	}
	m.counter("customer-requests/" + customer).Inc(1)
}

// QuotaWait adds the time for which a request of a customer waited for its quota, in
// microseconds, to a histogram. Customers are labelled as by CustomerRequest.
func (m *Metrics) QuotaWait(customer string, took time.Duration) {
	m.histogram("quota-wait-us/" + m.customerLabel(customer)).Update(took.Microseconds())
}

// customerLabel returns the name under which a customer is counted.
func (m *Metrics) customerLabel(customer string) string {
	m.mu.RLock()
	_, known := m.customers[customer]
	m.mu.RUnlock()
	if known {
		return customer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.customers) >= maxCustomers {
		return otherCustomers
	}
	m.customers[customer] = struct{}{}

	return customer
}

// InvariantViolated counts a violation of the named invariant of the program.
func (m *Metrics) InvariantViolated(invariant string) {
	m.counter("invariant-violated/" + invariant).Inc(1)
}

// ControlBytes counts bytes of control messages. kind is the direction and the kind
// of message, such as "sent/records".
func (m *Metrics) ControlBytes(kind string, bytes int) {
	m.counter("control-bytes/" + kind).Inc(int64(bytes))
}

// StoreCall counts a call to the platform's store by its operation, such as "read",
// and whether it failed.
func (m *Metrics) StoreCall(operation string, failed bool) {
	m.counter("store-calls/" + operation).Inc(1)
	if failed {
		m.counter("store-failures/" + operation).Inc(1)
	}
}

// Count returns the value of the named counter, or 0 if there is none.
func (m *Metrics) Count(name string) int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c, ok := m.counters[name]
	if !ok {
		return 0
	}

	return c.Count()
}

// Gauge registers a function whose value is read when the metrics are served. If the
// name is taken, the function is ignored.
func (m *Metrics) Gauge(name string, value func() int64) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(value))
}

// ServeHTTP writes all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(m.registry, w)
}

// counter returns the named counter and registers it on first use.
func (m *Metrics) counter(name string) gometrics.Counter {
	m.mu.RLock()
	c, ok := m.counters[name]
	m.mu.RUnlock()
	if ok {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.counters[name]; ok {
		return c
	}
	c = gometrics.NewCounter()
	m.counters[name] = c
	_ = m.registry.Register(name, c)

	return c
}

// histogram returns the named histogram and registers it on first use.
func (m *Metrics) histogram(name string) gometrics.Histogram {
	m.mu.RLock()
	h, ok := m.histograms[name]
	m.mu.RUnlock()
	if ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.histograms[name]; ok {
		return h
	}
	h = gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.histograms[name] = h
	_ = m.registry.Register(name, h)

	return h
}
