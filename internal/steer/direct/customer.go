package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/fair"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

// hasCustomers reports whether the configuration has customers.
func (s *state) hasCustomers() bool {
	return s.intent != nil && len(s.intent.Customers()) > 0
}

// customersChanged takes over the customers of a new configuration.
func (s *state) customersChanged() {
	sum, limited := 0.0, 0
	customers := s.intent.Customers()
	for _, name := range sortedKeys(customers) {
		if limit := customers[name].Limit; limit.IsSet() {
			sum += limit.PerSecond
			limited++
		}
	}
	s.meanLimit = sum / float64(max(limited, 1))
	for _, q := range s.queues {
		q.setFair(s.hasCustomers())
	}
}

// weightOf returns a customer's weight: its limit, which the operators set by what it may
// ask for. One without a limit, and requests without a customer, weigh as the mean.
func (s *state) weightOf(c intent.Customer) float64 {
	if c.Limit.IsSet() {
		return c.Limit.PerSecond
	}

	return cmp.Or(s.meanLimit, 1)
}

// shareOf returns what the order of a request among those of other customers depends on.
func (s *state) shareOf(r *request) fair.Item {
	length := max(s.residenceTime(r), minProcessingTime)

	return fair.Item{Class: classOf(r), Customer: r.customer.Name, Weight: s.weightOf(r.customer), Length: length.Seconds()}
}

const (
	// excessFactor is how many times its share a customer must ask for to be in excess.
	// Callers that were refused come back and are counted again, so those of a customer
	// that asks for no more than its share seem to ask for twice as much.
	excessFactor = 3.0
	// minCustomerDemand is the number of slots below which a customer's demand is forgotten.
	minCustomerDemand = 1e-3
)

// customerKey is a customer in one of its classes.
type customerKey struct {
	class    fair.Class
	customer string
}

// customerDemand is what the requests of a customer need of the slots of a service, whether
// or not they are served.
type customerDemand struct {
	weight float64
	// requested is the time in slots that the requests since the last tick need, in seconds,
	// and slots the mean number of slots.
	requested float64
	slots     ewma.Mean
	// isExcessive is true while the customer is in excess.
	isExcessive bool
}

// countRequest counts a new request for the demand of its customer.
func (q *queue) countRequest(r *request) {
	if !q.isFair {
		return
	}
	key := customerKey{r.share.Class, r.share.Customer}
	d, ok := q.demands[key]
	if !ok {
		d = &customerDemand{}
		q.demands[key] = d
	}
	d.weight = r.share.Weight
	d.requested += r.share.Length
}

// keepsQueue reports whether the customer of a request keeps the queue from emptying: those in
// excess do. While none is, and without customers, all do together.
func (q *queue) keepsQueue(r *request) bool {
	if !q.hasExcess {
		return true
	}
	d, ok := q.demands[customerKey{r.share.Class, r.share.Customer}]

	return ok && d.isExcessive
}

// updateDemands updates the demands of the customers and which of them are in excess. They
// share the part of the service's slots that this entry VM's callers need.
func (q *queue) updateDemands(elapsed time.Duration, demandRatio float64) {
	demands := make([]fair.Demand, 0, len(q.demands))
	for key, d := range q.demands {
		d.slots = d.slots.With(d.requested/elapsed.Seconds(), demandAlpha)
		d.requested = 0
		if d.slots.Value() < minCustomerDemand {
			delete(q.demands, key)

			continue
		}
		demands = append(demands, fair.Demand{Class: key.class, Customer: key.customer, Weight: d.weight, Amount: d.slots.Value()})
	}
	shares := fair.Divide(demands, max(demandRatio, 1))
	q.hasExcess = false
	for i, d := range demands {
		isExcessive := d.Amount > excessFactor*shares[i]
		q.demands[customerKey{d.Class, d.Customer}].isExcessive = isExcessive
		q.hasExcess = q.hasExcess || isExcessive
	}
}

// customerStatus returns the number of customers that have waiting requests, and those in
// excess.
func (q *queue) customerStatus() (waiting int, excessive []string) {
	if !q.isFair {
		return 0, nil
	}
	names := map[string]struct{}{}
	for _, r := range q.waiting {
		names[r.share.Customer] = struct{}{}
	}
	for key, d := range q.demands {
		if d.isExcessive {
			excessive = append(excessive, key.customer)
		}
	}
	slices.Sort(excessive)

	return len(names), slices.Compact(excessive)
}
