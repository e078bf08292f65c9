package backend

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// latencyWeight is the weight of the newest observation in a server's mean
	// latency. The last ten observations dominate the mean, so that a straggler's
	// recovery shows within a few responses.
	latencyWeight = 0.2
	// excessDecayTime is the time without observations after which the latency
	// above the median counts half. A server is a straggler for 0.2 to 2 s.
	excessDecayTime = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the exclusion after failures, which doubles
	// with each of them.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// Of the tokens of a cold backend server, the entry may use the part
	// rampInitialShare at first and all after rampDuration.
	rampDuration     = 10 * time.Second
	rampInitialShare = 0.1
	// idleUntilCold is the time without work after which caches are presumed cold.
	idleUntilCold = 30 * time.Second
	// maxLoadReportAge is the age from which a load report is not used any more.
	maxLoadReportAge = 5 * time.Second
)

// marks tells which sources mark a server as leaving: the configuration, the
// platform's list of VMs or its load report. One of them is sufficient.
type marks struct {
	config, list, loadReport bool
}

// any reports whether the server is leaving.
func (m marks) any() bool {
	return m.config || m.list || m.loadReport
}

// server is what the entry knows about one backend server.
type server struct {
	name    string
	pool    string // name of the pool of its tokens
	service string
	slots   int // requests that it can run at a time
	marks   marks

	attempts   []*runningAttempt
	inFlight   int // attempts of this entry
	long       int // those of them that are long work
	lastSentAt time.Duration
	// attemptNumber is the number of the newest attempt, counted over all servers
	// of the service.
	attemptNumber uint64

	latency        ewma.Mean // to the response header, in nanoseconds
	lastObservedAt time.Duration
	// overtakenBefore is when the most recently sent attempt that received a
	// header was sent, or -1. Attempts that were sent before it were overtaken:
	// they are long themselves and say nothing about the server.
	overtakenBefore time.Duration
	// latencyRatio is the latency relative to the median, which scored.filter sets
	// for scored.cost.
	latencyRatio float64
	// waitingSince is when the oldest attempt without a header that was not
	// overtaken was sent, or -1.
	waitingSince time.Duration

	failures      int // in a row
	excludedUntil time.Duration
	probeFailures int  // in a row
	down          bool // probes fail
	// downUntil is when a server that another entry probes may be used again
	// although it is down, because the report that it is back may be lost.
	downUntil time.Duration
	// cold is true when the server's caches are presumed cold, until an attempt is
	// sent.
	cold bool
	// rampStartedAt is when work began on a cold server, or -1.
	rampStartedAt time.Duration
	pausedUntil   time.Duration // see pauseAfter

	loadReport loadReport // the latest one
	nextProbe  time.Duration
	probeHere  bool // this entry probes it for its availability zone
}

// loadReport is the part of a backend server's load report that the choice uses.
type loadReport struct {
	at       time.Duration
	valid    bool // a report was received
	inFlight int  // requests that the server runs for all entries
	// ownInFlight is the number of this entry's attempts in flight when the report
	// was received.
	ownInFlight int
}

func newServer(now time.Duration, b model.Backend) *server {
	return &server{
		name:            b.Name,
		pool:            "backend/" + b.Name,
		service:         b.Service,
		waitingSince:    -1,
		overtakenBefore: -1,
		rampStartedAt:   -1,
		lastSentAt:      now,
	}
}

// usable reports whether new work may be sent as far as leaving marks, failures
// and probes decide; tokens and the ramp are not considered.
func (s *server) usable(now time.Duration) bool {
	if s.marks.any() || now < s.excludedUntil {
		return false
	}

	return !s.down || !s.probeHere && now >= s.downUntil
}

// recordFailure excludes the server for a backoff period, to which it adds up to
// a quarter at random; jitter is between 0 and 1. Attempts that break together
// count as one failure.
func (s *server) recordFailure(now time.Duration, jitter float64) {
	if now < s.excludedUntil {
		return
	}
	s.failures++
	backoff := min(minBackoff<<min(s.failures-1, 10), maxBackoff)
	s.excludedUntil = now + backoff + time.Duration(jitter*float64(backoff)/4)
	if s.failures > 1 {
		s.cold = true
	}
}

// recordSuccess resets the counts of failures; the server is reachable.
func (s *server) recordSuccess() {
	s.failures = 0
	s.probeFailures = 0
	s.down = false
}

// usableShare returns the part of the held tokens that may be used, from
// rampInitialShare to 1.
func (s *server) usableShare(now time.Duration) float64 {
	if s.cold {
		return rampInitialShare
	}
	if s.rampStartedAt < 0 || now >= s.rampStartedAt+rampDuration {
		return 1
	}

	return rampInitialShare + (1-rampInitialShare)*float64(now-s.rampStartedAt)/float64(rampDuration)
}

// rampAllows reports whether the ramp allows one more attempt.
func (s *server) rampAllows(now time.Duration, tokens Tokens) bool {
	s.markColdIfIdle(now)
	usableShare := s.usableShare(now)
	if usableShare == 1 {
		return true
	}
	allowed := usableShare * float64(tokens.Held(s.pool))
	if allowed < 1 {
		return s.inFlight == 0 && now >= s.pausedUntil
	}

	return float64(s.inFlight+1) <= allowed
}

// markColdIfIdle marks a server as cold that has had no work for idleUntilCold.
func (s *server) markColdIfIdle(now time.Duration) {
	if s.inFlight > 0 || now-s.lastSentAt < idleUntilCold {
		return
	}
	if s.loadReport.valid && now-s.loadReport.at < maxLoadReportAge && s.loadReport.inFlight > 0 {
		return
	}
	s.cold = true
}

// pauseAfter spaces the attempts at a ramping server of which less than one token
// may be used: after an attempt of duration d comes a pause, so that attempts run
// for the usable fraction of the time.
func (s *server) pauseAfter(now, d time.Duration, tokens float64) {
	allowed := s.usableShare(now) * tokens
	if allowed <= 0 || allowed >= 1 {
		return
	}
	s.pausedUntil = now + time.Duration(float64(d)*(1/allowed-1))
}

// oldestWait returns how long the oldest attempt that was not overtaken has
// waited for its header.
func (s *server) oldestWait(now time.Duration) time.Duration {
	if s.waitingSince < 0 {
		return 0
	}

	return now - s.waitingSince
}

// othersLoad returns the weighted number of attempts that other entries had in
// flight according to the load report, which is late. It is added to the entry's
// own count, which does not contain them.
func (s *server) othersLoad(now time.Duration) float64 {
	if !s.loadReport.valid || now-s.loadReport.at > maxLoadReportAge {
		return 0
	}

	return othersLoadWeight * float64(max(0, s.loadReport.inFlight-s.loadReport.ownInFlight))
}

// updateWaitingSince sets waitingSince from the attempts whose wait shows the
// server's latency. A single long attempt does not count, but several at a time
// mean that the server is slow.
func (s *server) updateWaitingSince() {
	s.waitingSince = -1
	oldestLong, long := time.Duration(-1), 0
	for _, a := range s.attempts {
		if a.header || !a.normal || a.sentAt < s.overtakenBefore {
			continue
		}
		oldest := &s.waitingSince
		if a.long {
			oldest = &oldestLong
			long++
		}
		if *oldest < 0 || a.sentAt < *oldest {
			*oldest = a.sentAt
		}
	}
	if long > 1 {
		s.waitingSince = oldestLong
	}
}
