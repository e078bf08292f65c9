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
	// excessDecayTime is the time without observations after which the part of a
	// server's latency above the median counts half. Without observations, a server
	// stays a straggler for 0.2 to 2 s.
	excessDecayTime = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a server is excluded after
	// a failure. The time doubles with each further failure in a row.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// At first, the entry may use the fraction rampInitialShare of a cold server's
	// tokens. The fraction rises to 1 within rampDuration.
	rampDuration     = 10 * time.Second
	rampInitialShare = 0.1
	// idleUntilCold is the time without work after which a server's caches are
	// presumed cold.
	idleUntilCold = 30 * time.Second
	// maxLoadReportAge is the age after which a load report is ignored.
	maxLoadReportAge = 5 * time.Second
)

// marks tells which sources mark a server as leaving: the configuration, the
// platform's list of VMs or the server's load report. A single mark is sufficient.
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
	pool    string // name of the pool that holds the server's tokens
	service string
	slots   int // requests that the server can run at a time
	marks   marks

	attempts   []*runningAttempt
	inFlight   int // attempts of this entry
	long       int // attempts of this entry that are long work
	lastSentAt time.Duration
	// attemptNumber is the number of the server's newest attempt, or 0 before the
	// first. Attempts are numbered across all servers of the service.
	attemptNumber uint64

	latency        ewma.Mean     // mean time to the response header, in nanoseconds
	lastObservedAt time.Duration // when latency was last updated
	// overtakenBefore is the latest sentAt of the attempts that have received a
	// header, or -1 if there are none. Attempts that were sent before this time and
	// have no header yet were overtaken: their requests are long, and their age says
	// nothing about the server.
	overtakenBefore time.Duration
	// latencyRatio is the latency divided by the service's median. scored.filter
	// sets it for scored.cost.
	latencyRatio float64
	// waitingSince is the sentAt of the oldest attempt whose wait for a header says
	// something about the server, or -1 if there is none. updateWaitingSince selects
	// these attempts.
	waitingSince time.Duration

	failures      int // in a row
	excludedUntil time.Duration
	probeFailures int  // in a row
	down          bool // the latest probes failed
	// downUntil matters only if another entry probes the server. From this time, the
	// server may be used although it is down, because the other entry's report that
	// the server is back may have been lost.
	downUntil time.Duration
	// cold is true when the server's caches are presumed cold. It becomes false, and
	// the ramp begins, when an attempt is sent.
	cold bool
	// rampStartedAt is when an attempt was last sent to the server while it was
	// cold, or -1.
	rampStartedAt time.Duration
	// pausedUntil is when the next attempt may be sent while the ramp allows less
	// than one token; see pauseAfter.
	pausedUntil time.Duration

	loadReport loadReport // the latest load report
	nextProbe  time.Duration
	probeHere  bool // this entry probes the server for its availability zone
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

// usable reports whether the leaving marks, failures and probes of the server allow
// new work. It does not consider tokens and the ramp.
func (s *server) usable(now time.Duration) bool {
	if s.marks.any() || now < s.excludedUntil {
		return false
	}

	return !s.down || !s.probeHere && now >= s.downUntil
}

// recordFailure excludes the server for a backoff period. The random number jitter,
// between 0 and 1, lengthens the period by up to a quarter. Failures while the
// server is excluded do not count, so that attempts that break together count as
// one failure.
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

// recordSuccess resets the failure counts and marks the server as reachable.
func (s *server) recordSuccess() {
	s.failures = 0
	s.probeFailures = 0
	s.down = false
}

// usableShare returns the fraction of the entry's tokens for the server that may be
// used, from rampInitialShare to 1.
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

// markColdIfIdle marks the server as cold if this entry has sent it no work for
// idleUntilCold and no recent load report shows work of other entries.
func (s *server) markColdIfIdle(now time.Duration) {
	if s.inFlight > 0 || now-s.lastSentAt < idleUntilCold {
		return
	}
	if s.loadReport.valid && now-s.loadReport.at < maxLoadReportAge && s.loadReport.inFlight > 0 {
		return
	}
	s.cold = true
}

// pauseAfter sets a pause after an attempt of duration d if the ramp allows less
// than one token. The parameter tokens is the number of tokens that the entry holds.
// Attempts then run for a fraction of the time: if 0.25 tokens may be used, the
// pause is three times as long as the attempt.
func (s *server) pauseAfter(now, d time.Duration, tokens float64) {
	allowed := s.usableShare(now) * tokens
	if allowed <= 0 || allowed >= 1 {
		return
	}
	s.pausedUntil = now + time.Duration(float64(d)*(1/allowed-1))
}

// oldestWait returns the time since waitingSince, or 0 if no attempt counts.
func (s *server) oldestWait(now time.Duration) time.Duration {
	if s.waitingSince < 0 {
		return 0
	}

	return now - s.waitingSince
}

// othersLoad returns othersLoadWeight times the number of attempts that other
// entries had in flight when the latest load report was sent, or 0 if the report is
// too old. The field inFlight does not contain these attempts.
func (s *server) othersLoad(now time.Duration) float64 {
	if !s.loadReport.valid || now-s.loadReport.at > maxLoadReportAge {
		return 0
	}

	return othersLoadWeight * float64(max(0, s.loadReport.inFlight-s.loadReport.ownInFlight))
}

// updateWaitingSince sets waitingSince to the sentAt of the oldest attempt that
// counts. An attempt can count only if it is normal, has no header and was not
// overtaken. A single long attempt does not count. Two or more long attempts at a
// time mean that the server is slow: then only the long attempts count.
func (s *server) updateWaitingSince() {
	s.waitingSince = -1
	oldestLong, long := time.Duration(-1), 0 // long is the number of long attempts
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
