// Package entry is the reducer of the program "greengagetally entry": it decides
// what an entry VM does about each event.
//
// The parts of the reducer are the packages caller, backend, region, link, shift, peer
// and store beside this one. This package routes events to the parts, executes the
// effects of one part on another, and counts the violations that the parts report.
//
// An entry VM is called an entry for short.
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
	// ListLag is the longest time until a change shows in the platform's list of VMs.
	ListLag time.Duration
	// LookupTTL is how long callers may keep a lookup response.
	LookupTTL time.Duration
	// StartedUnixMS is the wall-clock time at the start of the process, in Unix
	// milliseconds. The times of events count from the start of the process.
	StartedUnixMS uint64
	// Policy is empty in production. Experiments and tests set it to one or more of
	// these values, separated by commas:
	//   - "round-robin", "least-in-flight" or "two-choices" (at most one of them)
	//     replaces the rule by which a backend server is chosen.
	//   - "no-hedging" turns hedges off.
	//   - "no-limits" makes tokens never run out.
	//   - "local-slots" gives this entry all tokens of the region, for tests of one
	//     entry without a store.
	Policy string
}
