// Package direct runs an entry VM that sends callers' requests straight to the
// backend servers of all regions. It connects the reducer of the same name with
// the listeners, the platform's store and the other entry VMs.
package direct

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// Settings are what an entry VM learns at its start.
type Settings struct {
	Steering steer.Settings
	// Requests is the address for callers' requests.
	Requests netip.AddrPort
	// Reports and Tables are the ports between entry VMs.
	Reports, Tables uint16
	// LookupTTL is how long callers may keep a lookup's answer.
	LookupTTL time.Duration
	// GracePeriod is the time from a stop request to the end of the process.
	GracePeriod time.Duration
	// TableMaxAge is how old the copies of orders and servers may grow.
	TableMaxAge time.Duration
	// ServerDeletionGrace is how long after an outage of the store a server whose entry
	// has lapsed may take to be listed again.
	ServerDeletionGrace time.Duration
	// Strength orders entry VMs by the capacity of their links; the strongest ones
	// read the store's tables for all and relay reports.
	Strength int
	// FirstStart is true when all entry VMs start for the first time.
	FirstStart bool
	// MaxBufferedBodyBytes bounds the request bodies held at once.
	MaxBufferedBodyBytes int64
}

// EntryVM is an entry VM as it is announced in the store.
type EntryVM struct {
	Name     string
	Zone     string
	Region   string
	Requests netip.AddrPort
	Reports  netip.AddrPort
	// Strength orders entry VMs by the capacity of their links.
	Strength int
}

// OperatorConfig is what operators have written.
type OperatorConfig struct {
	// Intent is nil before the first configuration.
	Intent         *intent.Intent
	EvacuatedZones set.Set[string]
}

// Table names of the store's prefixes that are mirrored.
const (
	TableOperatorConfig = "orders"
	TableServers        = "servers"
	TableEntryVMs       = "entries"
)

// Deployment is what the entry VM needs of the place where it runs.
type Deployment interface {
	mirror.Source

	// Prefix returns the store's prefix of a table.
	Prefix(table string) string
	// OperatorConfig decodes the operators' table; a part that cannot be read is reported
	// and leaves the rest valid.
	OperatorConfig(items map[string]mirror.Item) (OperatorConfig, error)
	// Servers decodes the list of backend servers, without those that cannot be
	// used; the error names them.
	Servers(items map[string]mirror.Item) ([]steer.Server, error)
	// EntryVMs decodes the list of entry VMs.
	EntryVMs(items map[string]mirror.Item) ([]EntryVM, error)
	// Announce writes the entry VM's own item under a lease and renews it until
	// ctx ends or the item is lost, which is an error.
	Announce(ctx context.Context, e EntryVM) error
	// Withdraw removes the entry VM's own item.
	Withdraw(ctx context.Context, e EntryVM) error
	// Names returns the header names in use.
	Names() http1.Names
}
