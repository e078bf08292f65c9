package region

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// freezeTimeout is how long a frozen member sends no transfers when it hears
// nothing of the recount. Later transfers are harmless because of their cut
// number: members that have not frozen yet drop them.
const freezeTimeout = 2 * time.Second

// freeze is this member's promise to a recounting member to send no transfers
// until the recount has ended or freezeTimeout has passed.
type freeze struct {
	requester event.Member // the recounting member
	ballot    uint64
	epoch     uint64
	started   time.Duration
	ended     bool
	// held are the holdings at the start of the freeze. A repeated Freeze message
	// receives the same answer, because the holdings may have changed since.
	held []*peerpb.PoolTokens
}

// isFrozen reports whether this member must send no transfers.
func (c *core) isFrozen() bool {
	return c.lastFreeze != nil && !c.lastFreeze.ended
}

// raiseCut makes this member drop transfers that were sent before the recount of
// a ballot. A member whose cut number reached a ballot in this way refuses the
// freeze of that ballot.
func (c *core) raiseCut(cut uint64) {
	if cut > c.cut {
		c.cut = cut
	}
}

// freezeReceived answers a recounting member with the holdings at the cut, or
// with a cut number above the ballot, which refuses the freeze. A member that
// does not know the newest epoch is told of it instead.
func (c *core) freezeReceived(from event.Member, f *peerpb.Freeze) {
	if f.GetEpoch() < c.appliedEpoch {
		c.send(from, &peerpb.Message{Kind: &peerpb.Message_EpochAvailable{
			EpochAvailable: &peerpb.EpochAvailable{Epoch: c.appliedEpoch, DocumentVersion: c.docVersion},
		}})

		return
	}
	answer := &peerpb.Frozen{Ballot: f.GetBallot(), Epoch: f.GetEpoch(), Cut: c.cut}
	switch {
	case f.GetBallot() > c.cut:
		if c.recount != nil && !c.recount.writeSent && from != c.settings.Self {
			c.failRecount("another member recounts with a higher ballot")
		}
		c.freeze(from, f)
		answer.Held, answer.Cut = c.lastFreeze.held, c.cut
	case c.lastFreeze != nil && c.lastFreeze.requester == from && c.lastFreeze.ballot == f.GetBallot():
		answer.Held, answer.Cut = c.lastFreeze.held, c.lastFreeze.ballot
	default:
		// The sender must choose a higher ballot. A ballot equal to the cut
		// number was given to another recount or learned from a transfer.
		answer.Cut = max(c.cut, f.GetBallot()+1)
	}
	if from == c.settings.Self {
		c.frozenReceived(from, answer)

		return
	}
	c.send(from, &peerpb.Message{Kind: &peerpb.Message_Frozen{Frozen: answer}})
}

// freeze raises the cut number, records the holdings, and gives up grants that
// were not added yet, which the recount then counts in the remainder.
func (c *core) freeze(requester event.Member, f *peerpb.Freeze) {
	c.cut = f.GetBallot()
	c.appliedEpoch = max(c.appliedEpoch, f.GetEpoch())
	c.lastFreeze = &freeze{requester: requester, ballot: f.GetBallot(), epoch: f.GetEpoch(), started: c.now, held: c.holdings()}
}

// expireFreeze ends a freeze when nothing was heard of the recount for
// freezeTimeout. The recount may have ended all the same, so the document is
// read once.
func (c *core) expireFreeze() {
	if !c.isFrozen() || c.now-c.lastFreeze.started < freezeTimeout {
		return
	}
	c.lastFreeze.ended = true
	c.store.readWanted = true
	c.needRecount("the result of a recount was not heard in time")
}

// recordRecountEnd ends the freeze of this member and forgets the needs for a
// recount that the recount of this ballot has met.
func (c *core) recordRecountEnd(ballot uint64) {
	c.endedBallot = max(c.endedBallot, ballot)
	if c.lastFreeze == nil {
		return
	}
	switch {
	case ballot != c.lastFreeze.ballot:
		// Tokens of transfers dropped and grants given up for the last freeze
		// are lost.
		c.needRecount("a recount ended that is not the one this member last froze for")
	case c.recountNeed.latest < c.lastFreeze.started:
		c.recountNeed = recountNeed{}
	}
	for _, p := range c.peers {
		if p.unconfirmedAt < c.lastFreeze.started && ballot == c.lastFreeze.ballot {
			p.unconfirmedAt = 0
		}
	}
	c.lastFreeze.ended = true
}

// epochAvailableReceived handles the end of a recount, told by the member that
// ran it, or, without a ballot, a newer epoch, told by any other member.
func (c *core) epochAvailableReceived(e *peerpb.EpochAvailable) {
	if e.GetBallot() == 0 {
		if e.GetEpoch() > c.doc.Epoch {
			c.store.readWanted = true
			if c.recount != nil && !c.recount.writeSent {
				c.failRecount("a newer epoch exists")
			}
		}

		return
	}
	// A message for an earlier incarnation may arrive at the same address.
	if !c.registered || !c.isSelf(e.GetMember()) {
		return
	}
	c.applyGrants(e.GetEpoch(), e.GetGranted())
	if c.lastFreeze != nil && (c.lastFreeze.ballot == e.GetBallot() || e.GetEpoch() > c.lastFreeze.epoch) {
		c.recordRecountEnd(e.GetBallot())
	}
}

// livePeers returns the reachable peers that are not retired and are in one of
// the states, in a fixed order.
func (c *core) livePeers(states ...peerpb.EntryState) []event.Member {
	var out []event.Member
	for m, p := range c.peers {
		if p.live && !c.retired[m] && slices.Contains(states, p.state) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareMembers)

	return out
}
