package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// portionsPerSlot is the number of parts in which the use of a slot is counted. A
	// request to another region is on the network for a part of its time, in which
	// others can use its slot.
	portionsPerSlot = 8
	// queuePerServer is the number of requests above the slots that may wait at a server;
	// one covers the time between a response and the next request.
	queuePerServer = 1
	// minBackoff and maxBackoff bound how long a failing server is avoided.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// shedPause is how long a server that refused a request gets no other: about the
	// time in which it ends one of its requests.
	shedPause = 60 * time.Millisecond
	// lostReportFor is how long a server that failed a request and a probe is reported to
	// the other entry VMs, long enough to be repeated when the network drops a report.
	lostReportFor = 1500 * time.Millisecond
	// loadReportTTL is how long the slowdown that a server reports counts; it changes
	// many times a second.
	loadReportTTL = 400 * time.Millisecond
	// slowdownAlpha is the weight of one response in a server's measured slowdown, which
	// covers about the last ten.
	slowdownAlpha = 0.1
	// maxSlowdownSample bounds the slowdown taken from one response, so that a
	// long-running request, which any server may get, does not make the server seem slow.
	maxSlowdownSample = 2.5
	// maxFailureShare is the share of failed attempts above which a server is avoided,
	// and minFailureSamples the least number of attempts that shows it.
	maxFailureShare   = 0.3
	minFailureSamples = 5
	// failureAlpha is the weight of one attempt in a server's share of failures.
	failureAlpha = 0.15
)

// Key returns the hash by which reports between entry VMs name a server; the runtime
// also hashes the names of entry VMs with it.
func Key(serverID string) uint32 {
	return uint32(xxhash.Sum64String(serverID)) //nolint:gosec // A hash is cut on purpose.
}

// server is a backend server and what this entry VM knows of it.
type server struct {
	Server

	// key is the Key of its ID, hash the one that ranks it for objects.
	key  uint32
	hash uint64
	// inFlight counts the requests in flight from this entry VM. ownPortions and
	// peerPortions are what the requests of this and of the other entry VMs take of the
	// slots, in units of 1/portionsPerSlot.
	inFlight, ownPortions, peerPortions int
	// reportedSlowdown is the slowdown that the server reported last; 1 is the usual
	// speed.
	reportedSlowdown   float64
	slowdownReportedAt time.Duration
	// measuredSlowdown is the mean processing time relative to the typical one of the
	// requests' routes.
	measuredSlowdown ewma.Mean
	// failures is the share of attempts that failed; failed probes count too.
	failures ewma.Mean
	// avoidUntil is until when the server gets no request; the backoff grows with
	// consecutiveFailures.
	avoidUntil          time.Duration
	consecutiveFailures int
	// needsProbe is true for a server that gets no request until a probe finds it
	// healthy.
	needsProbe bool
	// reportLostUntil is until when the other entry VMs are told that it is down.
	reportLostUntil time.Duration
	// probing is true during a probe; nextProbe is the earliest time of the next one.
	probing   bool
	nextProbe time.Duration
	// coldUntil is when the server is warm; nextColdSend is when this entry VM may send
	// it another request while it is cold.
	coldUntil    time.Duration
	nextColdSend time.Duration
	// coldRate is this entry VM's share of the server's rate while it is cold, in requests
	// a second; coldRateVersion is the state.coldRateInputsVersion that it was computed at.
	coldRate        float64
	coldRateVersion uint64
}

func newServer(now time.Duration, srv Server) *server {
	return &server{
		Server: srv, key: Key(srv.ID), hash: xxhash.Sum64String(srv.ID),
		reportedSlowdown: 1, coldUntil: now + srv.Cold,
	}
}

// occupied returns how many slots the requests in flight of all entry VMs take.
func (srv *server) occupied() float64 {
	return float64(srv.ownPortions+srv.peerPortions) / portionsPerSlot
}

// limit returns how many slots' worth of requests may be in flight.
func (srv *server) limit() int {
	return srv.Slots + queuePerServer
}

// full reports whether the requests in flight have reached the limit.
func (srv *server) full() bool {
	return srv.ownPortions+srv.peerPortions >= srv.limit()*portionsPerSlot
}

func (srv *server) cold(now time.Duration) bool {
	return now < srv.coldUntil
}

// usable reports whether the server may get a request now, if it has room.
func (srv *server) usable(now time.Duration) bool {
	return !srv.Leaving && !srv.needsProbe && now >= srv.avoidUntil && (!srv.cold(now) || now >= srv.nextColdSend)
}

// slowdown returns the processing time at the server now, relative to the typical one:
// as the server reported it recently, but at least half the measured slowdown, or else
// as measured.
func (srv *server) slowdown(now time.Duration) float64 {
	factor := 1.0
	if srv.measuredSlowdown.Count() > 2 {
		factor = max(srv.measuredSlowdown.Value(), 0.5)
	}
	if now-srv.slowdownReportedAt < loadReportTTL {
		factor = max(factor*0.5, srv.reportedSlowdown)
	}

	return factor
}

// recordFailure records an attempt or a probe that got no response, and lets the
// server be avoided for a while.
func (srv *server) recordFailure(now time.Duration) {
	srv.consecutiveFailures++
	backoff := min(minBackoff<<min(srv.consecutiveFailures-1, 8), maxBackoff)
	srv.avoidUntil = max(srv.avoidUntil, now+backoff)
	srv.failures = srv.failures.With(1, failureAlpha)
}

// recordSuccess records a response without a server error.
func (srv *server) recordSuccess() {
	srv.consecutiveFailures = 0
	srv.failures = srv.failures.With(0, failureAlpha)
}

// failsOften reports whether the share of failed attempts is too high.
func (srv *server) failsOften() bool {
	return srv.failures.Count() >= minFailureSamples && srv.failures.Value() > maxFailureShare
}
