package direct

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/fair"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// request is a caller's request that has no final response yet.
type request struct {
	id       RequestID
	route    intent.Route
	customer intent.Customer
	// share is what the order among customers depends on, as of the time when the request
	// came, started to wait or was sent.
	share     fair.Item
	service   string
	arrivedAt time.Duration
	// deadline is the latest end of an attempt: the caller's deadline less responseMargin,
	// or the end of the route's timeout if that is earlier.
	deadline time.Duration
	// objectHash ranks the servers for the request's object. divisionPoint is the point in
	// [0, 1) by which division.regionAt selects the region.
	objectHash    uint64
	divisionPoint float64
	fingerprint   uint64
	// longBodyBytes is the length of the body, 0 if it is at most longBody.
	longBodyBytes int
	// assignedRegion is the region that the division selects, "" if it selects none.
	assignedRegion string
	// triedServers holds the IDs of the servers of all attempts, whether or not the
	// attempt reached the server.
	triedServers []string
	// attempts counts the attempts that may have reached a server.
	attempts int
	// inFlight holds the attempts in flight: at most one, or one and a hedge.
	inFlight []attempt
	// hasErrorResponse is true when a complete response with a server error is available
	// for the caller.
	hasErrorResponse bool
	queued           bool
	// wasShed is true when a server has refused the request.
	wasShed bool
	// nearest are the first two servers by rank, of those that were last eligible in the
	// assigned region; nil where there are fewer.
	nearest [2]*server
	// awaited is the server for which a queued request waits, nil if there is none.
	awaited *server
	// wait is how long the request was last expected to wait for a slot at its best server,
	// and answerTime the time from then to the response.
	wait, answerTime time.Duration
	mayHaveRun       bool
}

// attempt is an attempt in flight.
type attempt struct {
	server *server
	// hedge is true for an attempt that began while another was in flight.
	hedge  bool
	sentAt time.Duration
	// lateAt is when the attempt is late, 0 if it was late already or gets no hedge.
	lateAt time.Duration
	// portions is what the request takes of a slot of the server, in units of
	// 1/portionsPerSlot.
	portions int
	// share and period are what the attempt holds among customers, see fair.Shares.
	share  fair.Item
	period fair.Period
}

// permits reports whether the servers of a region may get the request: the homes of the
// route and those of the customer both bind.
func (r *request) permits(region string) bool {
	return isHome(r.route.Homes, region) && isHome(r.customer.Homes, region)
}

// isHome reports whether a region is among homes, where none stands for all regions.
func isHome(homes set.Set[string], region string) bool {
	return homes.Len() == 0 || homes.Has(region)
}

// hasHome reports whether the homes of the route and those of the customer leave a region.
func (r *request) hasHome() bool {
	if r.route.Homes.Len() == 0 || r.customer.Homes.Len() == 0 {
		return true
	}

	return slices.ContainsFunc(set.Sorted(r.route.Homes), r.customer.Homes.Has)
}

func (r *request) tried(serverID string) bool {
	return slices.Contains(r.triedServers, serverID)
}
