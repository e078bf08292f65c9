package intent

import (
	"crypto/sha256"

	"github.com/greengagetally/greengagetally/internal/value/set"
)

// RateLimit bounds the requests of one customer at all entry VMs together.
type RateLimit struct {
	// PerSecond is the rate in requests per second; 0 is no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once beyond the rate.
	Burst float64
}

// IsSet reports whether there is a limit.
func (l RateLimit) IsSet() bool {
	return l.PerSecond > 0
}

// Customer configures the requests that carry one of a customer's keys.
type Customer struct {
	// Name is passed on to the backend servers.
	Name string
	// PriorityLevel orders waiting requests before the level of their route does. 0 is the
	// most urgent level.
	PriorityLevel int
	Limit         RateLimit
	// Homes holds the regions whose backend servers may serve the customer; an empty set
	// means all regions. The homes of the route hold too.
	Homes set.Set[string]
}

// MaxKeyBytes is the length of the longest key that a customer may have.
const MaxKeyBytes = 4 << 10

// KeyDigest stands for a customer's key, so that the key itself is not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// customers are the customers of a configuration.
type customers struct {
	// required is true when requests need a key, unless their route is public.
	required bool
	byName   map[string]Customer
	keys     map[KeyDigest]string
}

// WithCustomers returns the configuration with customers, by name, and the name of the
// customer that owns each key. Requests then need a key, unless their route is public.
func (i *Intent) WithCustomers(byName map[string]Customer, keys map[KeyDigest]string) *Intent {
	next := *i
	next.customers = customers{required: true, byName: byName, keys: keys}

	return &next
}

// RequiresKeys reports whether requests need a key, unless their route is public.
func (i *Intent) RequiresKeys() bool {
	return i.customers.required
}

// CustomerOf returns the customer that owns a key, and false for an unknown key.
func (i *Intent) CustomerOf(key string) (Customer, bool) {
	if len(key) > MaxKeyBytes {
		return Customer{}, false
	}
	name, ok := i.customers.keys[DigestKey(key)]
	if !ok {
		return Customer{}, false
	}
	c, ok := i.customers.byName[name]

	return c, ok
}

// Customers returns the customers by name. The caller must not change them.
func (i *Intent) Customers() map[string]Customer {
	return i.customers.byName
}
