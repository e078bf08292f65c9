// Package load is an open-loop load generator that looks up entry VMs as
// callers do and checks every answer.
package load

import (
	"time"
)

// RequestKind is one kind of request of a profile.
type RequestKind struct {
	Name   string
	Method string
	Path   string
	// Weight of the requests, relative to the other kinds.
	Weight float64
	// Keyed requests carry an Idempotency-Key.
	Keyed bool
	// RequestBodySize and ResponseBodySize are the bytes of the request and of the response.
	RequestBodySize, ResponseBodySize int
	// ServiceTimeFactor multiplies the service time; 0 is 1.
	ServiceTimeFactor float64
	// Crash makes the backend server that runs the request crash.
	Crash bool
}

// Profile is the traffic of one service from one caller region.
type Profile struct {
	Service string
	// LookupAddresses are the lookup addresses that the callers know at first.
	LookupAddresses []string
	// Addresses are the callers' addresses; requests take them in turn.
	Addresses []string
	// ArrivalsPerSecond is the mean number of arrivals a second; gaps are exponential.
	ArrivalsPerSecond float64
	Kinds             []RequestKind
	// Timeout is the caller's deadline of one attempt.
	Timeout time.Duration
	// MaxRetries is how often a caller sends a request again after an unknown
	// outcome; keyed and idempotent requests only.
	MaxRetries int
	// RetryRefused also sends again what was refused as not run.
	RetryRefused bool
	// Seed fixes the arrivals and kinds.
	Seed uint64
}

func (p Profile) pick(x float64) RequestKind {
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
