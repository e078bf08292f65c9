// Package direct runs the process of an entry VM that sends callers' requests
// straight to the backend servers of all regions, for greengagetally-platform. It
// connects the reducer in steer/direct with the listeners, the platform's store
// and the other entry VMs.
package direct

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// Settings configure the process of one entry VM.
type Settings struct {
	Steering steer.Settings
	// Requests is the address at which callers' requests are accepted.
	Requests netip.AddrPort
	// Reports is the UDP port for reports and digests. Tables is the TCP port for
	// copies of tables. The value of Tables must be the same on every entry VM.
	Reports, Tables uint16
	// LookupTTL is how long callers may cache the result of a lookup.
	LookupTTL time.Duration
	// GracePeriod bounds the time from a stop request to the end of the process.
	GracePeriod time.Duration
	// TableMaxAge is how old the copies of the operators' configuration and of the
	// list of backend servers may grow before they are read again.
	TableMaxAge time.Duration
	// ServerDeletionGrace is how long backend servers stay listed after an outage of
	// the store during which their entries expired. The servers may write the entries
	// again in this time.
	ServerDeletionGrace time.Duration
	// OutageGap is the shortest time without a read of the store by any entry VM after
	// which entries of running backend servers may have expired.
	OutageGap time.Duration
	// ConfigurationTime is how long it may take until a new configuration is in force on an
	// entry VM that reaches the store.
	ConfigurationTime time.Duration
	// RevocationTime is how long after its removal from the configuration a customer's key
	// may still be used by any entry VM, in touch with the store or not. 0 sets no limit for
	// entry VMs that are out of touch.
	RevocationTime time.Duration
	// Quota bounds how far the requests of a customer may exceed its limit.
	Quota QuotaTolerance
	// Strength ranks entry VMs by the capacity of their links; a higher value is more
	// capacity. The strongest entry VMs read the store's tables for all, and relay
	// reports.
	Strength int
	// FirstStart is true when all entry VMs start for the first time.
	FirstStart bool
	// MaxBufferedBodyBytes bounds the sum of the request bodies held in memory.
	MaxBufferedBodyBytes int64
	// MaxBufferedResponseBytes bounds the sum of the long heads and bodies of responses held
	// in memory.
	MaxBufferedResponseBytes int64
}

// QuotaTolerance says how far the requests of a customer at all entry VMs together may exceed
// its limit: in each Window, at most (rate x Window + burst) x (1 + Overage) + Allowance
// requests may reach backend servers.
type QuotaTolerance struct {
	Window    time.Duration
	Overage   float64
	Allowance float64
}

// EntryVM is an entry VM as it is announced in the store.
type EntryVM struct {
	Name   string
	Zone   string
	Region string
	// Requests is the address at which the entry VM accepts callers' requests.
	Requests netip.AddrPort
	// Reports is the address at which the entry VM receives reports and digests.
	Reports netip.AddrPort
	// Strength ranks entry VMs by the capacity of their links; a higher value is more
	// capacity.
	Strength int
}

// OperatorConfig is what operators have written to the store.
type OperatorConfig struct {
	// Intent is nil before the first configuration.
	Intent *intent.Intent
	// EvacuatedZones are the availability zones whose backend servers get no requests.
	EvacuatedZones set.Set[string]
}

// Names of the mirrored tables, as entry VMs send them to each other.
const (
	TableOperatorConfig = "orders"
	TableServers        = "servers"
	TableEntryVMs       = "entries"
)

// Right is a right that at most one entry VM has at a time. It ends TTL after the start of the
// call that gave or extended it.
type Right struct {
	// Lease is the store's number of the right.
	Lease uint64
	// Era numbers the rights in the order in which they were given.
	Era uint64
	TTL time.Duration
	// FromEarlierProcess is true if an earlier process of this VM had the right before.
	FromEarlierProcess bool
}

// ErrRightLost means that a right has ended.
var ErrRightLost = errors.New("right has ended")

// HeldError means that another entry VM has a right.
type HeldError struct {
	Name string
	Era  uint64
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("%s has the right of era %d", e.Name, e.Era)
}

// Deployment is the interface to the platform on which the entry VM runs: its store,
// the formats of the documents in it, and its header names.
type Deployment interface {
	mirror.Source

	// Prefix returns the prefix of a table's keys in the store.
	Prefix(table string) string
	// OperatorConfig decodes the table with the operators' configuration. It returns
	// the parts that can be decoded, with an error about the others.
	OperatorConfig(items map[string]mirror.Item) (OperatorConfig, error)
	// Servers decodes the list of backend servers. It leaves out invalid entries and
	// returns an error that names them.
	Servers(items map[string]mirror.Item) ([]steer.Server, error)
	// EntryVMs decodes the list of entry VMs. It leaves out invalid entries and
	// returns an error that names them.
	EntryVMs(items map[string]mirror.Item) ([]EntryVM, error)
	// Announce writes the entry VM's own item under a lease and renews the lease until
	// ctx ends or the item is lost. It always returns an error.
	Announce(ctx context.Context, vm EntryVM) error
	// Withdraw deletes the entry VM's own item. It fails when the store does not confirm
	// the deletion.
	Withdraw(ctx context.Context, vm EntryVM) error
	// TakeQuota makes this entry VM the holder of the quotas if there is none, or if the holder
	// was an earlier process of this VM. It fails with a HeldError if there is another holder.
	TakeQuota(ctx context.Context, vm EntryVM) (Right, error)
	// RenewRight extends a right by its TTL from the arrival of the call. It fails with
	// ErrRightLost when the right has ended.
	RenewRight(ctx context.Context, right Right) error
	// ReleaseRight ends a right at once.
	ReleaseRight(ctx context.Context, right Right) error
	// Names returns the names of the headers that the platform uses.
	Names() http1.Names
}
