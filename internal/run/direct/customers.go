package direct

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// denial says why a request is not handed to the reducer.
type denial struct {
	// status is the HTTP status of the answer.
	status     int
	reason     steer.Reason
	retryAfter time.Duration
}

// clockRateMargin is the share of RevocationTime that is kept because the clocks of VMs run
// at different rates.
const clockRateMargin = 0.02

// configurationInForce is the configuration with the last proof that it was the store's.
type configurationInForce struct {
	intent *intent.Intent
	// version is that of the copy of the table with which the configuration came.
	version table.Version
	// provenAt is the start of the latest read that is known to have shown the configuration,
	// as a time.Duration since the start of the process, or unproven.
	provenAt atomic.Int64
}

// unproven is the time of a proof that does not exist.
const unproven = math.MinInt64

// configurationApplied records that the configuration in force is that of a copy of its
// table. Proofs of an earlier copy hold for the same configuration.
func (p *Process) configurationApplied(version table.Version) {
	next := &configurationInForce{intent: p.intent.Load(), version: version}
	next.provenAt.Store(unproven)
	if last := p.inForce.Load(); last != nil && last.intent == next.intent {
		next.provenAt.Store(last.provenAt.Load())
	}
	p.inForce.Store(next)
}

// configurationAge returns how long ago a read of the store began that showed a configuration.
// It returns false if there is no such read, or another configuration is in force now.
func (p *Process) configurationAge(current *intent.Intent) (time.Duration, bool) {
	config := p.mirrors[TableOperatorConfig]
	now := p.clock.Now()
	// The proof may already be that of a copy that is still being decoded. The order of the
	// calls matters: a copy that arrives between them is newer than the proof.
	age, proven := config.ProvenAge()
	snapshot := config.Snapshot()
	inForce := p.inForce.Load()
	if inForce == nil || inForce.intent != current {
		return 0, false
	}
	if proven && snapshot.Version() == inForce.version {
		inForce.provenAt.Store(int64(now - age))
	}
	provenAt := inForce.provenAt.Load()
	if provenAt == unproven {
		return 0, false
	}

	return now - time.Duration(provenAt), true
}

// hasKnownKeys reports whether this entry VM could tell, since its start, which keys hold. Until
// then it would refuse all requests with a key.
func (p *Process) hasKnownKeys(current *intent.Intent) bool {
	if !current.RequiresKeys() || p.settings.RevocationTime == 0 || p.keysKnown.Load() {
		return true
	}
	_, proven := p.configurationAge(current)
	if proven {
		p.keysKnown.Store(true)
	}

	return proven
}

// identifyCustomer returns the customer whose key a request carries, and prepares the headers
// that the backend server gets. It returns a denial if the request must not be served.
func (p *Process) identifyCustomer(exchange *http1.Exchange, current *intent.Intent, route intent.Route) (intent.Customer, *denial) {
	if !current.RequiresKeys() {
		return intent.Customer{}, nil
	}
	names := p.deployment.Names()
	key, given := exchange.TakeKey(names)
	if !given {
		return intent.Customer{}, unlessPublic(route, denial{status: http.StatusUnauthorized, reason: steer.ReasonMissingKey})
	}
	customer, denied := p.customerOf(current, key)
	if denied != nil {
		return intent.Customer{}, unlessPublic(route, *denied)
	}
	exchange.SetCustomer(names, customer.Name)

	return customer, nil
}

// unlessPublic returns a denial, or nil on a public route, whose requests need no key.
func unlessPublic(route intent.Route, d denial) *denial {
	if route.Public {
		return nil
	}

	return &d
}

// customerOf returns the customer that owns a key. A copy of the configuration that may be
// too old neither proves that a key holds nor that it is unknown; the caller may ask again.
func (p *Process) customerOf(current *intent.Intent, key string) (intent.Customer, *denial) {
	customer, known := current.CustomerOf(key)
	if known && p.settings.RevocationTime == 0 {
		return customer, nil
	}
	age, proven := p.configurationAge(current)
	switch {
	case known && proven && age <= time.Duration((1-clockRateMargin)*float64(p.settings.RevocationTime)):
		return customer, nil
	case !known && proven && age <= p.settings.ConfigurationTime:
		return intent.Customer{}, &denial{status: http.StatusUnauthorized, reason: steer.ReasonUnknownKey}
	}

	return intent.Customer{}, &denial{status: http.StatusServiceUnavailable, reason: steer.ReasonStaleKeys, retryAfter: p.retryAfter()}
}
