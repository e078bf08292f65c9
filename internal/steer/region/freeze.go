package region

import (
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// freezeTimeout is how long a frozen member sends no transfers when it hears
// nothing of the recount. Transfers sent after that are harmless: they carry the
// cut number of the recount, so members that have not frozen yet drop them.
const freezeTimeout = 2 * time.Second

// freeze is this member's promise to a recounting member to send no transfers
// until the recount has ended or freezeTimeout has passed.
type freeze struct {
	requester event.Member // the recounting member
	ballot    uint64
	epoch     uint64
	startedAt time.Duration
	ended     bool
	// held lists the holdings at the start of the freeze. A repeated Freeze message
	// is answered with held too, because the current holdings may differ.
	held []*peerpb.PoolTokens
}

// isFrozen reports whether this member must send no transfers.
func (c *core) isFrozen() bool {
	return c.lastFreeze != nil && !c.lastFreeze.ended
}

// raiseCut raises this member's cut number to the given one, the ballot of a recount,
// if that is higher. The member then drops transfers with a lower cut number, because
// they were sent before that recount. It also refuses a freeze with that ballot.
func (c *core) raiseCut(cut uint64) {
	if cut > c.cut {
		c.cut = cut
	}
}

// freezeReceived answers the Freeze message of a recounting member. The answer
// lists the holdings, or refuses the freeze with a cut number above the ballot. A
// sender that does not know the newest epoch is told that epoch instead.
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
		// The sender must choose a higher ballot. If its ballot equals the cut
		// number, this member froze for another recount with the same ballot, or
		// learned the ballot without a freeze.
		answer.Cut = max(c.cut, f.GetBallot()+1)
	}
	if from == c.settings.Self {
		c.frozenReceived(from, answer)

		return
	}
	c.send(from, &peerpb.Message{Kind: &peerpb.Message_Frozen{Frozen: answer}})
}

// freeze raises the cut number to the ballot and records the holdings. Grants that
// were not added yet are given up; the recount grants their tokens anew.
func (c *core) freeze(requester event.Member, f *peerpb.Freeze) {
	c.cut = f.GetBallot()
	c.appliedEpoch = max(c.appliedEpoch, f.GetEpoch())
	c.lastFreeze = &freeze{requester: requester, ballot: f.GetBallot(), epoch: f.GetEpoch(), startedAt: c.now, held: c.holdings()}
}

// expireFreeze ends a freeze when nothing was heard of the recount for
// freezeTimeout. The recount may have ended all the same, so the document is
// read once.
func (c *core) expireFreeze() {
	if !c.isFrozen() || c.now-c.lastFreeze.startedAt < freezeTimeout {
		return
	}
	c.lastFreeze.ended = true
	c.store.readWanted = true
	c.needRecount("the result of a recount was not heard in time")
}

// recordRecountEnd records that the recount with this ballot has ended and ends
// this member's freeze. If the freeze was for that recount, no other recount is
// needed for reasons or unconfirmed transfers from before the freeze, and they are
// forgotten. If the freeze was for another recount, a new recount is needed.
func (c *core) recordRecountEnd(ballot uint64) {
	c.endedBallot = max(c.endedBallot, ballot)
	if c.lastFreeze == nil {
		return
	}
	switch {
	case ballot != c.lastFreeze.ballot:
		// The tokens of transfers dropped and of grants given up because of the
		// last freeze are lost.
		c.needRecount("the recount that ended is not the one that this member last froze for")
	case c.recountNeed.latest < c.lastFreeze.startedAt:
		c.recountNeed = recountNeed{}
	}
	for _, p := range c.peers {
		if p.unconfirmedAt < c.lastFreeze.startedAt && ballot == c.lastFreeze.ballot {
			p.unconfirmedAt = 0
		}
	}
	c.lastFreeze.ended = true
}

// epochAvailableReceived handles an EpochAvailable message. With a ballot, the
// message comes from the member that ran the recount and says that the recount has
// ended. With ballot 0, the message answers a Freeze message and says that a newer
// epoch exists.
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
	// A message for an earlier incarnation of this VM arrives at the same address
	// and is dropped.
	if !c.registered || !c.isSelf(e.GetMember()) {
		return
	}
	c.applyGrants(e.GetEpoch(), e.GetGranted())
	if c.lastFreeze != nil && (c.lastFreeze.ballot == e.GetBallot() || e.GetEpoch() > c.lastFreeze.epoch) {
		c.recordRecountEnd(e.GetBallot())
	}
}

// livePeers returns the reachable peers that are not retired and are in one of
// the given states, in a fixed order.
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
