// Package model defines the operators' configuration as immutable values.
// `greengagetally entry` steers requests by this configuration.
//
// The maps and slices in a published Config must not be changed; the With methods
// return changed copies.
package model

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/set"
)

// Class is the priority of a request in queues and on links.
type Class int

// Classes of requests, in descending order of priority.
const (
	ClassShort Class = iota
	ClassLong
	ClassBulk
)

// String returns the name used in configuration files.
func (c Class) String() string {
	switch c {
	case ClassLong:
		return "long"
	case ClassBulk:
		return "bulk"
	default:
		return "short"
	}
}

// Config is the merged content of the operators' folder of configuration files at
// one version.
type Config struct {
	Version  uint64
	Regions  map[string]Region
	Sites    map[string]Site
	Links    map[LinkID]Link
	Services map[string]Service
	Backends map[string]Backend
	// Leaving names the backend servers and entry VMs that operators drain; they
	// receive no new work.
	Leaving set.Set[string]
	// Blocks steer client addresses. If blocks are nested, the block with the longest
	// prefix applies.
	Blocks []Block
}

// Region is a group of availability zones.
type Region struct {
	Name  string
	Zones []string
}

// Site is a group of entry VMs in an availability zone, to which blocks of client
// addresses can be steered.
type Site struct {
	Name string
	Zone string
}

// LinkID identifies the network link from one region to another; the opposite
// direction is a link of its own.
type LinkID struct {
	From, To string
}

// Link limits the traffic from one region to another.
type Link struct {
	ID LinkID
	// LimitBits is the operators' limit in bits per second.
	LimitBits int64
	// HeadroomPercent is the percentage of the limit that stays unused.
	HeadroomPercent int
}

// UsableBits returns the limit less the headroom, in bits per second.
func (l Link) UsableBits() int64 {
	return l.LimitBits * int64(100-l.HeadroomPercent) / 100
}

// Service is one service of a customer.
type Service struct {
	Name string
	// Hosts are the Host header values that select the service.
	Hosts []string
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
	// Class is the class of requests that match no route.
	Class Class
	// Routes override the settings of the service; the first match applies.
	Routes []Route
	// Shift limits how fast traffic moves between the regions that serve the service.
	Shift ShiftCap
	// Serve holds, by caller region and serving region, the percentage of the
	// requests of the caller region that the serving region serves.
	Serve map[string]map[string]int
	// FinishBy is the time of day, in minutes after midnight UTC, by which bulk
	// work must be finished; -1 if no time is set.
	FinishBy int
}

// ShiftCap limits how much traffic may move between regions.
type ShiftCap struct {
	// Percent is the largest rise of a region's share of the requests within Window,
	// in percentage points.
	Percent int
	Window  time.Duration
}

// Route overrides settings of the service for requests with the route's method and path
// prefix.
type Route struct {
	// Method is the HTTP method to match; "" matches any method.
	Method     string
	PathPrefix string
	Class      Class
	// Idempotent overrides whether requests are idempotent; nil means that the HTTP
	// method decides.
	Idempotent *bool
}

// Backend is one backend server.
type Backend struct {
	Name    string
	Service string
	Zone    string
	// Address is the IP address and port at which the server accepts requests.
	Address netip.AddrPort
	// Slots is the number of requests that the server can run at the same time.
	Slots int
	// Connections is the largest number of connections that the server accepts.
	Connections int
}

// Block steers a range of client addresses, given as a prefix, to a target.
type Block struct {
	Prefix netip.Prefix
	// Target is the name of a site or a region.
	Target string
}

// RegionOfZone returns the name of the region that contains zone, or "" if no region
// does.
func (c Config) RegionOfZone(zone string) string {
	for name, region := range c.Regions {
		if slices.Contains(region.Zones, zone) {
			return name
		}
	}

	return ""
}

// BackendsOf returns the backend servers of a service in a region, sorted by name.
func (c Config) BackendsOf(service, region string) []Backend {
	var out []Backend
	for _, b := range c.Backends {
		if b.Service == service && c.RegionOfZone(b.Zone) == region {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int {
		if a.Name < b.Name {
			return -1
		}

		return 1
	})

	return out
}

// ServiceOfHost returns the service that a Host header value selects: the service whose
// name is host, otherwise a service that lists host in Hosts. It returns false if there
// is neither.
func (c Config) ServiceOfHost(host string) (Service, bool) {
	if s, ok := c.Services[host]; ok {
		return s, true
	}
	for _, s := range c.Services {
		if slices.Contains(s.Hosts, host) {
			return s, true
		}
	}

	return Service{}, false
}

// WithVersion returns a copy of the configuration with another version.
func (c Config) WithVersion(version uint64) Config {
	c.Version = version

	return c
}

// WithLeaving returns a copy with a backend server or entry VM added to Leaving.
func (c Config) WithLeaving(name string) Config {
	c.Leaving = c.Leaving.With(name)

	return c
}

// WithService returns a copy with a service added or replaced.
func (c Config) WithService(s Service) Config {
	c.Services = withEntry(c.Services, s.Name, s)

	return c
}

// WithBackend returns a copy with a backend server added or replaced.
func (c Config) WithBackend(b Backend) Config {
	c.Backends = withEntry(c.Backends, b.Name, b)

	return c
}

// withEntry returns a copy of m with an entry added or replaced.
func withEntry[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	next := make(map[K]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value

	return next
}
