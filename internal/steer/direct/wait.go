package direct

import (
	"slices"
	"time"
)

// This file decides how long a request waits and when it is refused. A request waits while
// an answer is expected before its deadline, and is refused as soon as none is. A queue
// that has not emptied for longer than a request can wait does not absorb a burst: waiting
// in it serves no more callers, each only later. Such a queue is kept short.

// waitAt returns how long a request is expected to wait for a slot of a server. The
// requests that are at the server beyond its slots go first, and those that wait here for
// the same server. Other entry VMs take their part of the slots that become free: each the
// part that it holds already.
func (s *state) waitAt(r *request, srv *server, known known, hasRoom bool, slowdown float64) time.Duration {
	ahead := srv.occupied() - float64(srv.Slots) + 1
	if !hasRoom {
		ahead = max(ahead, 1) + float64(s.awaitedAhead(r, srv))/known.ownShare
	}

	return time.Duration(max(ahead, 0) * slowdown * float64(known.residenceTime) / float64(max(srv.Slots, 1)))
}

// awaitedAhead returns how many queued requests wait for a server and come before a request.
func (s *state) awaitedAhead(r *request, srv *server) int {
	if r.queued {
		// dispatchQueued has counted them.
		return srv.awaited
	}
	n := 0
	for _, other := range s.queue(r.service).before(r) {
		if other.awaited == srv {
			n++
		}
	}

	return n
}

// ownShare returns the share of the slots in use of a service that this entry VM's requests
// hold.
func (s *state) ownShare(service string) float64 {
	own, all := portionsPerSlot, portionsPerSlot
	for _, srv := range s.byService[service] {
		own += srv.ownPortions
		all += srv.ownPortions + srv.peerPortions
	}

	return float64(own) / float64(all)
}

// fits reports whether a duration from now ends before the request's deadline.
func (s *state) fits(r *request, d time.Duration) bool {
	return d <= r.deadline-s.now
}

// mayWait reports whether a request that has no slot yet waits for one.
func (s *state) mayWait(r *request) bool {
	return s.fits(r, r.wait) && s.fits(r, r.wait+r.answerTime) && (!s.isStanding(r) || r.wait <= s.residenceTime(r))
}

// isStanding reports whether the queue of a request's service has not been empty for longer
// than the request could wait when it arrived. If customers share the slots and some ask
// for far more than their share, the queue stands only for those: the others do not keep it
// from emptying.
func (s *state) isStanding(r *request) bool {
	q := s.queue(r.service)

	return len(q.waiting) > 0 && s.now-q.busySince > r.deadline-r.arrivedAt-r.answerTime && q.keepsQueue(r)
}

// dispatchQueued sends each queued request of a service that a server takes now, and gives
// up those for which waiting no longer helps.
func (s *state) dispatchQueued(service string) {
	s.dispatch(service, func(*request) bool { return true })
}

// dispatchFreed is dispatchQueued after a change of the requests in flight: it leaves out
// requests whose nearest servers still have no room. The next tick decides about them.
func (s *state) dispatchFreed(service string) {
	s.dispatch(service, func(r *request) bool {
		return !r.route.Sticky || slices.ContainsFunc(r.nearest[:], func(srv *server) bool { return srv != nil && s.hasRoom(srv) })
	})
}

// dispatch decides about the queued requests of a service for which isDue returns true.
func (s *state) dispatch(service string, isDue func(*request) bool) {
	q, ok := s.queues[service]
	if !ok {
		return
	}
	waiting := slices.Clone(q.inOrder())
	for _, r := range waiting {
		if isDue(r) {
			c := s.choose(r)
			if c.server != nil {
				q.remove(r)
				s.send(r, c.server)

				continue
			}
			if !s.mayWait(r) {
				s.giveUp(r, s.refusalReason(r, c))

				continue
			}
			r.awaited = c.awaited
		}
		if r.awaited != nil {
			r.awaited.awaited++
		}
	}
	for _, r := range waiting {
		if r.awaited != nil {
			r.awaited.awaited = 0
		}
	}
}
