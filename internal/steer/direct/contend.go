package direct

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// This file lets entry VMs take turns with free slots when slots are scarce. All learn of a
// free slot from reports of the same age; if each took it, the server would turn all but one
// of them away.
//
// An entry VM may use as many slots of a server as the others know that it uses. More it
// takes in turns: in each turn a hash ranks the entry VMs at which requests wait, and the
// free slots go to the first of them. A turn that is not used leaves a slot free for a
// while, so this is done only where servers turn requests away because they are full.

const (
	// turnTime is how long a turn lasts. Reports of the slots taken in it have mostly arrived
	// when it ends.
	turnTime = 200 * time.Millisecond
	// refusalAlpha is the weight of one attempt in the shares of refusals.
	refusalAlpha = 0.02
	// minFullRefusals is the share of attempts refused by full servers from which on entry
	// VMs take turns, maxFullRefusals that below which they stop. Turns take away most of the
	// refusals for which they were begun.
	minFullRefusals = 0.1
	maxFullRefusals = 0.005
	// fullRatio is how many times as often as others full servers must refuse requests.
	fullRatio = 2
	// anyLoadFor is how long a server that refused a request with free slots is taken to
	// refuse requests for another reason than its load.
	anyLoadFor = 10 * time.Second
)

// refusals are the shares of the attempts for a service that servers refused because they
// were full, and for other reasons, and whether entry VMs take turns.
type refusals struct {
	full, other ewma.Mean
	takeTurns   bool
}

// turns is what taking turns at a server needs.
type turns struct {
	// refusals are those of all servers of the service. refusesAtAnyLoadUntil is until when
	// refusals of this one are not put down to its load.
	refusals              *refusals
	refusesAtAnyLoadUntil time.Duration
	// toldPortions is the server's ownPortions that the other entry VMs know of.
	toldPortions int
	// rank is the rank of this entry VM among a number of contenders in the turn with a
	// number.
	number           uint64
	contenders, rank int
}

// count takes the outcome of an attempt into the shares.
func (f *refusals) count(full, other float64) {
	f.full, f.other = f.full.With(full, refusalAlpha), f.other.With(other, refusalAlpha)
	if f.takeTurns {
		f.takeTurns = f.full.Value() >= maxFullRefusals && f.full.Value() >= f.other.Value()
	} else {
		f.takeTurns = f.full.Count() >= 1/refusalAlpha && f.full.Value() >= minFullRefusals && f.full.Value() >= fullRatio*f.other.Value()
	}
}

// countRefusal takes an attempt into the refusals of a service. A refusal without the
// server's load says nothing about its slots.
func (s *state) countRefusal(srv *server, e AttemptEnded) {
	f := srv.turns.refusals
	_, toldLoad := e.Load.Get()
	switch {
	case e.Outcome == Answered:
		f.count(0, 0)
	case e.Outcome == NotRun && e.showsFreeSlots(srv):
		srv.turns.refusesAtAnyLoadUntil = s.now + anyLoadFor
		f.count(0, 1)
	case e.Outcome == NotRun && s.now < srv.turns.refusesAtAnyLoadUntil:
		f.count(0, 1)
	case e.Outcome == NotRun && toldLoad:
		f.count(1, 0)
	}
	s.takesTurns = false
	for _, f := range s.refusals {
		s.takesTurns = s.takesTurns || f.takeTurns
	}
}

// contendersFor returns the Keys of the entry VMs at which requests for a service wait
// according to their reports, and of this one.
func (s *state) contendersFor(service string) []uint32 {
	if s.contenders == nil {
		s.contenders = map[string][]uint32{}
		for _, name := range sortedKeys(s.peers) {
			for service, keys := range s.peers[name].Waiting {
				s.contenders[service] = append(s.contenders[service], keys...)
			}
		}
		for service, keys := range s.contenders {
			keys = append(keys, s.ownKey)
			slices.Sort(keys)
			s.contenders[service] = slices.Compact(keys)
		}
	}

	return s.contenders[service]
}

// tellOwnPortions notes what the others learn of the slots that this entry VM uses.
func (s *state) tellOwnPortions() {
	for _, servers := range s.byService {
		for _, srv := range servers {
			srv.turns.toldPortions = srv.ownPortions
		}
	}
}

// mayTakeSlot reports whether a slot of a server that is not full is this entry VM's to take.
func (s *state) mayTakeSlot(srv *server) bool {
	if !srv.turns.refusals.takeTurns || srv.ownPortions < srv.turns.toldPortions {
		return true
	}
	contenders := s.contendersFor(srv.Service)
	if len(contenders) < 2 {
		return true
	}
	t := srv.turns
	if number := uint64(s.now / turnTime); t.number != number || t.contenders != len(contenders) {
		t.number, t.contenders, t.rank = number, len(contenders), rankInTurn(number, srv.hash, s.ownKey, contenders)
	}
	// Of the free slots, this entry VM takes that of its rank, and one more each time that all
	// others have had one.
	free := srv.slotLimit()*portionsPerSlot - srv.peerPortions - t.toldPortions
	taken := srv.ownPortions - t.toldPortions

	return taken*len(contenders)+t.rank*portionsPerSlot < free
}

// rankInTurn returns how many contenders come before the entry VM with the Key own in a turn
// at a server.
func rankInTurn(turn, serverHash uint64, own uint32, contenders []uint32) int {
	weight := func(key uint32) uint64 { return rendezvous.Mix(serverHash ^ rendezvous.Mix(turn<<32^uint64(key))) }
	rank, ownWeight := 0, weight(own)
	for _, key := range contenders {
		if key != own && weight(key) > ownWeight {
			rank++
		}
	}

	return rank
}
