// Package load is an open-loop load generator that looks up entry VMs as callers do,
// checks every response and counts the outcomes. greengagetally-lab and the
// integration tests use it.
package load

import (
	"time"
)

// RequestKind is one kind of request of a profile.
type RequestKind struct {
	Name   string
	Method string
	Path   string
	// Weight is the share of the requests, relative to the other kinds.
	Weight float64
	// Keyed is set for requests that carry an Idempotency-Key.
	Keyed bool
	// RequestBodySize and ResponseBodySize are in bytes.
	RequestBodySize, ResponseBodySize int
	// ServiceTimeFactor multiplies the service time; 0 means 1.
	ServiceTimeFactor float64
	// Crash makes the backend server that runs the request crash.
	Crash bool
}

// Profile is the traffic of one service from one caller region.
type Profile struct {
	Service string
	// LookupAddresses are the lookup addresses (host:port) that the callers know at
	// first.
	LookupAddresses []string
	// Addresses are the IP addresses of the callers; requests take them in turn.
	Addresses []string
	// ArrivalsPerSecond is the mean arrival rate of a Poisson process.
	ArrivalsPerSecond float64
	Kinds             []RequestKind
	// Timeout is the caller's time limit for one attempt.
	Timeout time.Duration
	// MaxRetries is how often a caller retries a request after an unknown or duplicate
	// outcome; only keyed requests and GET are retried. A request for which no entry
	// VM accepted a connection is retried up to three times if MaxRetries is less.
	MaxRetries int
	// RetryRefused also retries requests that were refused as not run.
	RetryRefused bool
	// Seed determines the arrival times and kinds of the requests.
	Seed uint64
}

// pickKind returns the kind of the next request, chosen by weight; x is a random number
// from 0 to 1.
func (p Profile) pickKind(x float64) RequestKind {
	var sum float64
	for _, k := range p.Kinds {
		sum += k.Weight
	}
	x *= sum
	for _, k := range p.Kinds {
		if x < k.Weight {
			return k
		}
		x -= k.Weight
	}

	return p.Kinds[len(p.Kinds)-1]
}
