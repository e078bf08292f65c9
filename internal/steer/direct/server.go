package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// portionsPerSlot is the number of parts into which a slot is divided for counting. A
	// request to another region spends a part of its time on the network, during which
	// other requests can use its slot.
	portionsPerSlot = 8
	// queuePerServer is the number of requests that may wait at a server whose slots are
	// all in use. One waiting request covers the time between a response and the next
	// request.
	queuePerServer = 1
	// minBackoff and maxBackoff bound how long a failing server is avoided.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// lostReportFor is how long a server that failed a request and a probe is reported to
	// the other entry VMs. It covers several reports, because the network may drop one.
	lostReportFor = 1500 * time.Millisecond
	// loadReportTTL is how long a slowdown that a server has reported is used. A server's
	// slowdown changes many times a second.
	loadReportTTL = 400 * time.Millisecond
	// slowdownAlpha is the weight of one response in a server's measured slowdown. The
	// mean covers about the last ten responses.
	slowdownAlpha = 0.1
	// maxSlowdownSample bounds the slowdown taken from one response. Any server may get a
	// long-running request, which must not make the server seem slow.
	maxSlowdownSample = 2.5
	// minSlowdown is the least slowdown that is assumed of a server: half of the least
	// measured one, in case that the server reports less.
	minSlowdown = 0.25
	// maxFailureShare is the share of failed attempts above which a server fails too often
	// and is avoided. Below minFailureSamples attempts the share is not considered.
	maxFailureShare   = 0.3
	minFailureSamples = 5
	// maxRefusalsInRow is how often in a row a server with free slots may refuse requests
	// until it is avoided like one that fails. A server that refuses every other request
	// seldom does so.
	maxRefusalsInRow = 6
	// failureAlpha is the weight of one attempt in a server's share of failures.
	failureAlpha = 0.15
)

// Key returns the hash that stands for a server in the reports of entry VMs. The
// runtime also hashes the names of entry VMs with Key.
func Key(serverID string) uint32 {
	return uint32(xxhash.Sum64String(serverID)) //nolint:gosec // A hash is cut on purpose.
}

// server is a backend server and what this entry VM knows of it.
type server struct {
	Server

	// key is the Key of the server's ID. hash is the hash of the ID that ranks the server
	// for objects.
	key  uint32
	hash uint64
	// inFlight counts the requests in flight from this entry VM. ownPortions is the part
	// of the slots that this entry VM's requests take, peerPortions the part that the
	// requests of the other entry VMs take, both in units of 1/portionsPerSlot.
	inFlight, ownPortions, peerPortions int
	// longBodyBytes is the length of the long bodies in flight from this entry VM.
	longBodyBytes int
	// awaited counts the requests that wait for the server, as far as dispatchQueued has
	// come.
	awaited int
	// reportedSlowdown is the slowdown in the server's last report; 1 is the usual speed.
	reportedSlowdown   float64
	slowdownReportedAt time.Duration
	// measuredSlowdown is the mean processing time at the server, relative to the typical
	// time of each request's route.
	measuredSlowdown ewma.Mean
	// failureShare is the share of attempts that failed; failed probes count too.
	failureShare ewma.Mean
	// incarnation identifies this start of the server. unlistedAt is when the list last left
	// the server out.
	incarnation Incarnation
	unlistedAt  time.Duration
	// saidLeaving is true once the server has said in a response that it is leaving.
	// reportLeavingUntil is the time until which that is reported to the other entry VMs.
	reportLeavingUntil time.Duration
	saidLeaving        bool
	// pausedUntil is the time before which the server gets no request and no probe, because
	// it asked for that. needsTrial is true from then until the server has answered a
	// request; meanwhile it gets one request at a time.
	pausedUntil time.Duration
	needsTrial  bool
	// needsProbe is true for a server that gets no request until a probe finds it
	// healthy.
	needsProbe bool
	// probing is true during a probe.
	probing bool
	// avoidUntil is the time before which the server gets no request. The backoff grows
	// with consecutiveFailures.
	avoidUntil          time.Duration
	consecutiveFailures int
	// reportLostUntil is the time until which the server is reported as lost to the other
	// entry VMs.
	reportLostUntil time.Duration
	// nextProbeAt is the earliest time of the next probe.
	nextProbeAt time.Duration
	// coldUntil is when the server becomes warm. Until then, nextColdSendAt is the
	// earliest time at which this entry VM may send the server another request.
	coldUntil      time.Duration
	nextColdSendAt time.Duration
	// coldRate is how many requests a second this entry VM may send to the server while it
	// is cold. coldRateVersion is the state.coldRateInputsVersion at which coldRate was
	// computed.
	coldRate        float64
	coldRateVersion uint64
	// refusalsInRow counts the requests that the server has refused since its last answer
	// although it had free slots.
	refusalsInRow int
	// turns is apart, so that a server stays small: many are looked at for each request.
	turns *turns
}

func newServer(now time.Duration, srv Server) *server {
	return &server{
		Server: srv, key: Key(srv.ID), hash: xxhash.Sum64String(srv.ID), incarnation: incarnationOf(srv),
		reportedSlowdown: 1, coldUntil: now + srv.ColdFor, turns: &turns{},
	}
}

// occupied returns how many slots the requests in flight of all entry VMs take.
func (srv *server) occupied() float64 {
	return float64(srv.ownPortions+srv.peerPortions) / portionsPerSlot
}

// slotLimit returns how many slots the requests in flight may take, including those
// that wait at the server.
func (srv *server) slotLimit() int {
	return srv.Slots + queuePerServer
}

// isFull reports whether the requests in flight have reached slotLimit.
func (srv *server) isFull() bool {
	return srv.ownPortions+srv.peerPortions >= srv.slotLimit()*portionsPerSlot
}

func (srv *server) isCold(now time.Duration) bool {
	return now < srv.coldUntil
}

// isUsable reports whether the server may get a request now, whether or not it has
// room.
func (srv *server) isUsable(now time.Duration) bool {
	return !srv.Leaving && !srv.needsProbe && now >= srv.avoidUntil && !srv.isPaused(now) && (!srv.isCold(now) || now >= srv.nextColdSendAt)
}

// isPaused reports whether the server gets no request because it asked for a pause, or
// because the one request after a pause has not been answered yet.
func (srv *server) isPaused(now time.Duration) bool {
	return now < srv.pausedUntil || srv.needsTrial && srv.inFlight > 0
}

// slowdown returns the expected processing time at the server, relative to the typical
// one. This is the measured slowdown, but at least 0.5, or 1 until three responses have
// been measured. If the server has reported its slowdown within loadReportTTL, the
// result is the reported slowdown instead, but at least half of that value.
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

// recordFailure records a failed attempt or probe and starts a backoff, during which
// the server is avoided.
func (srv *server) recordFailure(now time.Duration) {
	srv.consecutiveFailures++
	backoff := min(minBackoff<<min(srv.consecutiveFailures-1, 8), maxBackoff)
	srv.avoidUntil = max(srv.avoidUntil, now+backoff)
	srv.failureShare = srv.failureShare.With(1, failureAlpha)
}

// recordSuccess records a response without a server error.
func (srv *server) recordSuccess() {
	srv.consecutiveFailures, srv.refusalsInRow = 0, 0
	srv.failureShare = srv.failureShare.With(0, failureAlpha)
}

// recordRefusal records that the server refused a request although it had free slots. It is
// not full, and takes the next request as likely as this one, so it is avoided only if it
// seems to take none.
func (srv *server) recordRefusal(now time.Duration) {
	if srv.refusalsInRow++; srv.refusalsInRow >= maxRefusalsInRow {
		backoff := min(minBackoff<<min(srv.refusalsInRow-maxRefusalsInRow, 8), maxBackoff)
		srv.avoidUntil = max(srv.avoidUntil, now+backoff)
	}
}

// failsOften reports whether the share of failed attempts is too high.
func (srv *server) failsOften() bool {
	return srv.failureShare.Count() >= minFailureSamples && srv.failureShare.Value() > maxFailureShare
}
