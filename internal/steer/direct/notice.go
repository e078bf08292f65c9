package direct

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/value/option"
)

// This file handles what servers say about themselves in responses: that they are
// leaving, or that they want no requests for some time. This holds for one start of a
// server. It outlasts a list that leaves the server out for a while or still says that
// the server is ready.
//
// The other entry VMs learn that a server is leaving, but not that it wants a pause: the
// server asks only the entry VM to which it responds, and may serve the others.

const (
	// leavingReportFor is how long a leaving server is reported to the other entry VMs. It
	// covers several reports, because the network may drop one.
	leavingReportFor = 1500 * time.Millisecond
	// unlistedTTL is how long a server is remembered that is no longer listed, and how long
	// a report about a server that is not listed here is kept. It outlasts an outage of
	// the store in which entries lapse.
	unlistedTTL = 5 * time.Minute
	// maxUnlisted bounds each of the two.
	maxUnlisted = 10_000
	// pauseSpreadShare is the share of a pause by which it may be prolonged, and
	// maxPauseSpread the longest prolongation. Entry VMs that were asked for the same pause
	// then do not return together.
	pauseSpreadShare = 0.25
	maxPauseSpread   = time.Second
)

// Incarnation is the hash that stands for one start of a server in reports.
type Incarnation = uint64

func incarnationOf(srv Server) Incarnation {
	return xxhash.Sum64String(srv.ID + " " + strconv.FormatInt(srv.StartedUnixMS, 10))
}

// recordNotice records what a server said in a response.
func (s *state) recordNotice(srv *server, leaving bool, pause option.Option[time.Duration]) {
	if leaving && !srv.saidLeaving {
		srv.reportLeavingUntil = s.now + leavingReportFor
		s.serverLeaves(srv, "it said so in a response")
	}
	if pauseFor, ok := pause.Get(); ok {
		spread := min(time.Duration(pauseSpreadShare*float64(pauseFor)), maxPauseSpread)
		until := s.now + pauseFor + time.Duration(s.random.Float64()*float64(spread))
		srv.pausedUntil, srv.needsTrial = max(srv.pausedUntil, until), true
		s.emit(LogServerState{Server: srv.ID, State: "paused", Cause: "it asked for no requests for " + pauseFor.String()})
	}
}

// recordLeavingElsewhere records that another entry VM reported a leaving server.
func (s *state) recordLeavingElsewhere(incarnation Incarnation) {
	_, known := s.leavingElsewhere[incarnation]
	if known || len(s.leavingElsewhere) < maxUnlisted {
		s.leavingElsewhere[incarnation] = s.now
	}
	if known {
		return
	}
	for _, id := range sortedKeys(s.servers) {
		srv := s.servers[id]
		if srv.incarnation == incarnation && !srv.saidLeaving {
			s.serverLeaves(srv, "another entry VM reported it")
		}
	}
}

// serverLeaves stops requests to a server that has said that it is leaving.
func (s *state) serverLeaves(srv *server, cause string) {
	srv.saidLeaving = true
	if srv.Leaving {
		return
	}
	srv.Leaving = true
	s.spillover.liftLimit(s.now + s.settings.FaultTime)
	s.emit(CloseIdle{Server: srv.Server})
	s.emit(LogServerState{Server: srv.ID, State: "leaving", Cause: cause})
}

// reportLeavingAgain starts another period of reports about the leaving servers, for an
// entry VM that has just started.
func (s *state) reportLeavingAgain() {
	for _, srv := range s.servers {
		if srv.saidLeaving {
			srv.reportLeavingUntil = s.now + leavingReportFor
		}
	}
}

// removeExpiredNotices forgets servers that were not listed for unlistedTTL, and reports
// about servers that were not repeated for as long. If there are more than maxUnlisted
// servers, it forgets all that have no request in flight.
func (s *state) removeExpiredNotices() {
	full := len(s.unlisted) > maxUnlisted
	maps.DeleteFunc(s.unlisted, func(_ Incarnation, srv *server) bool {
		return s.now >= srv.unlistedAt+unlistedTTL || full && srv.inFlight == 0
	})
	maps.DeleteFunc(s.leavingElsewhere, func(_ Incarnation, reportedAt time.Duration) bool {
		return s.now >= reportedAt+unlistedTTL
	})
}
