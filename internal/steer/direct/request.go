package direct

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// request is a caller's request that has no final response yet.
type request struct {
	id      RequestID
	route   intent.Route
	service string
	arrived time.Duration
	// deadline is when an attempt ends at the latest, by the caller's deadline and the
	// route's timeout.
	deadline time.Duration
	// targetDeadline is when the response must leave to be within the route's target,
	// counted from the caller's first request.
	targetDeadline time.Duration
	// objectHash ranks the servers for the request's object; divisionPoint, in [0, 1),
	// selects its region in the division among the regions.
	objectHash    uint64
	divisionPoint float64
	fingerprint   uint64
	// assignedRegion is the region that the division selects, "" without one.
	assignedRegion string
	// triedServers are the IDs of the servers of all attempts, reached or not.
	triedServers []string
	// attempts counts the attempts that may have reached a server.
	attempts int
	// current is the server of the attempt in flight, or nil.
	current *server
	sentAt  time.Duration
	// portions is what the request takes of a slot of the current server, in units of
	// 1/portionsPerSlot.
	portions int
	// hasErrorResponse is true when a complete response with a server error is kept for
	// the caller.
	hasErrorResponse bool
	queued           bool
	// shed is true when a server has refused the request.
	shed bool
	// foundRoom is true when some server had room at the last choice, in time for the
	// target or not.
	foundRoom  bool
	mayHaveRun bool
}

// permits reports whether the servers of a region may get the request.
func (r *request) permits(region string) bool {
	return r.route.Homes.Len() == 0 || r.route.Homes.Has(region)
}

func (r *request) tried(serverID string) bool {
	return slices.Contains(r.triedServers, serverID)
}
