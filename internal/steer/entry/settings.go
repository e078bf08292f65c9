// Package entry is the reducer of the program "greengagetally entry": it decides
// what an entry VM does about each event.
//
// The parts of the reducer are the packages caller, backend, region, link, shift,
// peer and store beside this one. This package routes events to the parts, executes
// the effects of one part on another, and counts the violations that they report.
package entry

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Settings are what an entry VM knows when its process starts.
type Settings struct {
	Self event.EntryView
	// Seed seeds the random numbers of the decisions.
	Seed uint64
	// ListLag is the longest time by which the platform's list of VMs lags behind.
	ListLag time.Duration
	// LookupTTL is how long callers may keep a lookup response.
	LookupTTL time.Duration
	// StartedUnixMS is the wall-clock time at the start of the process, which is
	// time zero of all events, in milliseconds since 1970.
	StartedUnixMS uint64
	// Policy selects baselines for experiments, separated by commas: at most one
	// of "round-robin", "least-in-flight" and "two-choices" for the choice of a
	// backend server, "no-hedging", and "no-limits", under which tokens never run
	// out. "local-slots" gives this entry all tokens of the region, for tests of one
	// entry without a store. Policy is empty in production.
	Policy string
}
