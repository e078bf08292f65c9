package region

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// recountDelay is the wait after the first reason for a recount. Reasons that
	// arise together, such as the registrations of entry VMs that start at the same
	// time, then lead to one recount.
	recountDelay = 300 * time.Millisecond
	// Each member waits rankDelay more for every live member with a lower
	// rendezvous weight, counting at most maxRank members, so that the member with
	// the lowest weight recounts first. A recount takes a few round trips within
	// the region and two calls to the store.
	rankDelay = 500 * time.Millisecond
	maxRank   = 5
	// freezeRepeatInterval is the time between Freeze messages to a member that has
	// not answered.
	freezeRepeatInterval = 500 * time.Millisecond
	// recountTimeout is how long a recount waits for the answers of all members.
	recountTimeout = 5 * time.Second
	// The pause after a failed recount doubles from recountPauseMin to
	// recountPauseMax, because each recount holds up transfers. The pause after a
	// successful recount is recountPauseMin.
	recountPauseMin = 2 * time.Second
	recountPauseMax = time.Minute
	// A member that was not reached is told again that a recount has ended, every
	// announceRepeatInterval and at most announceMaxRepeats times. A member that
	// misses all of these messages reads the document.
	announceRepeatInterval = time.Second
	announceMaxRepeats     = 5
)

// recountNeed records whether a recount is needed, and when the first and the
// latest reason for it arose.
type recountNeed struct {
	set    bool
	since  time.Duration
	latest time.Duration
}

// recount is the progress of a recount that this member runs.
type recount struct {
	ballot uint64 // number of the recount
	// baseVersion is the version of the document that nextDocument replaces.
	baseVersion uint64
	members     []event.Member // members to be counted
	// held are the holdings of the members that have answered.
	held      map[event.Member][]*peerpb.PoolTokens
	startedAt time.Duration
	lastAsked time.Duration
	// writeSent is true once nextDocument was sent to the store; the result of the
	// write may not be known yet.
	writeSent    bool
	nextDocument capacityDocument
	// incomplete is true when another recount must follow: some pools could not be
	// counted, or counting took longer than freezeTimeout.
	incomplete bool
}

// announcement is a message that tells a member that a recount has ended.
type announcement struct {
	message  *peerpb.Message
	lastSent time.Duration
	repeats  int
}

// needRecount records a reason for a recount. Only the first reason since the
// last recount is logged.
func (c *core) needRecount(reason string) {
	if !c.recountNeed.set {
		c.recountNeed = recountNeed{set: true, since: c.now}
		c.log(event.LevelDebug, "a recount is needed", event.Field{Key: "reason", Value: reason})
	}
	c.recountNeed.latest = c.now
}

// tickRecount continues the recount that this member runs. If this member runs none
// but one is needed, and it is this member's turn, tickRecount reads the document;
// the recount starts after the read. A retired member in the document is a reason
// for a recount.
func (c *core) tickRecount() {
	if !c.registered || c.farewellSent {
		return
	}
	if c.recount != nil {
		c.repeatFreezes()

		return
	}
	for _, m := range c.doc.Members {
		if c.retired[event.Member(m)] && !c.recountNeed.set {
			c.needRecount("member " + m.VM + " is retired")
		}
	}
	if !c.recountNeed.set || c.isFrozen() || c.handingOver || c.now < c.nextRecount || c.store.reading || c.store.writing {
		return
	}
	if c.now < c.recountNeed.since+recountDelay+rankDelay*time.Duration(c.rank()) {
		return
	}
	if _, ok := c.membersToCount(); !ok && !c.documentOutdated() {
		c.nextRecount = c.now + recountDelay

		return
	}
	c.recountAfterRead = true
	c.read()
}

// membersToCount returns the members whose holdings a recount needs. It returns
// false when one of these members cannot be reached, because that member may still
// use its tokens.
func (c *core) membersToCount() ([]event.Member, bool) {
	var members []event.Member
	for _, m := range c.doc.Members {
		id := event.Member(m)
		if c.retired[id] {
			continue
		}
		if p, ok := c.peers[id]; id != c.settings.Self && (!ok || !p.live) {
			return nil, false
		}
		members = append(members, id)
	}

	return members, true
}

// documentOutdated reports whether the document has probably changed in the store:
// a newer epoch is known, or a live peer is not listed. The changed document may no
// longer list a member that cannot be reached.
func (c *core) documentOutdated() bool {
	if c.appliedEpoch > c.doc.Epoch {
		return true
	}
	for id, p := range c.peers {
		if p.live && !slices.Contains(c.doc.Members, member(id)) {
			return true
		}
	}

	return false
}

// rank returns the number of live peers with a lower rendezvous weight than this
// member, at most maxRank.
func (c *core) rank() int {
	rank := 0
	ownWeight := rendezvous.Weight(c.settings.Region, c.settings.Self.VM)
	for _, m := range c.livePeers(peerpb.EntryState_ENTRY_STATE_LIVE) {
		if rendezvous.Weight(c.settings.Region, m.VM) < ownWeight {
			rank++
		}
	}

	return min(rank, maxRank)
}

// continueRecount runs after the document has been read. It starts a recount that
// waited for the read. If the current recount has sent its write, it completes the
// recount, repeats the write or gives up, depending on what the document shows.
func (c *core) continueRecount() {
	r := c.recount
	if r == nil {
		if c.recountAfterRead {
			c.recountAfterRead = false
			c.startRecount()
		}

		return
	}
	if !r.writeSent || c.store.writing {
		return
	}
	switch {
	case c.doc.Ballot == r.ballot && c.doc.RecountedBy == c.self():
		c.completeRecount()
	case c.docVersion == r.baseVersion:
		c.write(r.nextDocument, r.baseVersion)
	default:
		c.failRecount("another member wrote first")
	}
}

// startRecount sends a Freeze message to each member to be counted. When a member
// cannot be reached or this member is frozen, the recount is put off for a pause.
func (c *core) startRecount() {
	members, ok := c.membersToCount()
	if !ok || c.isFrozen() {
		c.recountPause = min(recountPauseMax, max(recountPauseMin, 2*c.recountPause))
		c.nextRecount = c.now + c.recountPause

		return
	}
	highestBallot := max(c.cut, c.doc.Ballot, c.highestPeerCut)
	r := &recount{
		// The lowest 8 bits are random, which makes it unlikely that two members
		// choose the same ballot.
		ballot:      (highestBallot>>8+1)<<8 | c.rng.Uint64N(256),
		baseVersion: c.docVersion,
		members:     members,
		held:        map[event.Member][]*peerpb.PoolTokens{},
		startedAt:   c.now,
		lastAsked:   c.now,
	}
	c.recount = r
	for _, m := range members {
		c.sendFreeze(m)
	}
}

// sendFreeze asks a member, which may be this one, for its holdings.
func (c *core) sendFreeze(m event.Member) {
	if c.recount == nil {
		return
	}
	f := &peerpb.Freeze{Ballot: c.recount.ballot, Epoch: c.doc.Epoch}
	if m == c.settings.Self {
		c.freezeReceived(m, f)

		return
	}
	c.send(m, &peerpb.Message{Kind: &peerpb.Message_Freeze{Freeze: f}})
}

// repeatFreezes sends the Freeze message again to members that have not answered,
// and gives up the recount after recountTimeout.
func (c *core) repeatFreezes() {
	r := c.recount
	if r.writeSent {
		return
	}
	if c.now-r.startedAt > recountTimeout {
		c.failRecount("not every member answered in time")

		return
	}
	if c.now-r.lastAsked < freezeRepeatInterval {
		return
	}
	r.lastAsked = c.now
	for _, m := range r.members {
		if _, ok := r.held[m]; !ok {
			c.sendFreeze(m)
		}
	}
}

// frozenReceived takes the holdings in a member's answer to a Freeze message. A cut
// number above the ballot refuses the freeze, so the recount fails.
func (c *core) frozenReceived(from event.Member, f *peerpb.Frozen) {
	r := c.recount
	if r == nil || r.writeSent || f.GetBallot() != r.ballot || !slices.Contains(r.members, from) {
		return
	}
	if f.GetCut() > f.GetBallot() {
		c.highestPeerCut = max(c.highestPeerCut, f.GetCut())
		c.failRecount("member " + from.VM + " refused the freeze: its cut number is above the ballot")

		return
	}
	r.held[from] = f.GetHeld()
	if len(r.held) == len(r.members) {
		c.finishCount()
	}
}

// finishCount writes the document of the next epoch, or ends the recount at once
// when there is nothing to grant and no member to remove.
func (c *core) finishCount() {
	r := c.recount
	r.nextDocument = capacityDocument{Epoch: c.doc.Epoch + 1, Ballot: r.ballot, RecountedBy: c.self(), Members: []member{}}
	for _, m := range r.members {
		r.nextDocument.Members = append(r.nextDocument.Members, member(m))
	}
	r.nextDocument.Grants = c.computeGrants(r)
	// A member whose freeze timed out may have transferred tokens that were
	// counted. If such a transfer was lost, the count is too high.
	r.incomplete = r.incomplete || c.now-r.startedAt >= freezeTimeout
	if len(r.nextDocument.Grants) == 0 && len(r.members) == len(c.doc.Members) {
		r.nextDocument.Epoch = c.doc.Epoch
		c.recordRecountEnd(r.ballot)
		c.completeRecount()

		return
	}
	r.writeSent = true
	c.write(r.nextDocument, r.baseVersion)
}

// computeGrants divides the remainder of each pool among the members chosen by
// receivers and preferredMembers. The remainder is the capacity less the tokens
// that the counted members hold.
func (c *core) computeGrants(r *recount) []memberGrants {
	receivers := c.receivers(r)
	out := make([]memberGrants, len(receivers))
	for i, m := range receivers {
		out[i].member = member(m)
	}
	// indexOf returns the index of a member in out.
	indexOf := func(m event.Member) int { return slices.Index(receivers, m) }
	for i, name := range c.poolNames() {
		p := c.pools[name]
		if p.removed {
			continue
		}
		preferredMembers := c.preferredMembers(p, receivers)
		heldSum, sameCapacity := int64(0), true
		held := make([]int64, len(preferredMembers))
		for m, holdings := range r.held {
			for _, t := range holdings {
				if t.GetPool() != name {
					continue
				}
				heldSum += t.GetTokens()
				sameCapacity = sameCapacity && t.GetCapacity() == p.capacity
				if index := slices.Index(preferredMembers, m); index >= 0 {
					held[index] = t.GetTokens()
				}
			}
		}
		if !sameCapacity {
			// The counted members do not all have this configuration yet.
			r.incomplete = true

			continue
		}
		for index, grant := range distributeEvenly(held, p.capacity-heldSum, i) {
			if grant > 0 {
				to := indexOf(preferredMembers[index])
				out[to].Tokens = append(out[to].Tokens, poolGrant{Pool: name, Tokens: grant, Capacity: p.capacity})
			}
		}
	}

	return slices.DeleteFunc(out, func(g memberGrants) bool { return len(g.Tokens) == 0 })
}

// preferredMembers returns the members in the availability zone of a pool's backend
// server. It returns all members when that zone has none or the pool belongs to a
// link. When a zone is lost with its entry VMs and backend servers, the other zones
// then still hold the tokens of their own backend servers.
func (c *core) preferredMembers(p *pool, members []event.Member) []event.Member {
	backend, ok := c.config.Backends[strings.TrimPrefix(p.name, "backend/")]
	if !ok {
		return members
	}
	var preferredMembers []event.Member
	for _, m := range members {
		if c.zoneOf(m) == backend.Zone {
			preferredMembers = append(preferredMembers, m)
		}
	}
	if len(preferredMembers) == 0 {
		return members
	}

	return preferredMembers
}

func (c *core) zoneOf(m event.Member) string {
	if m == c.settings.Self {
		return c.settings.Zone
	}
	if p, ok := c.peers[m]; ok {
		return p.zone
	}

	return ""
}

// receivers returns the counted members that are not leaving, or all counted
// members when all of them are leaving.
func (c *core) receivers(r *recount) []event.Member {
	receivers := slices.DeleteFunc(slices.Clone(r.members), func(m event.Member) bool {
		p, ok := c.peers[m]

		return ok && p.state == peerpb.EntryState_ENTRY_STATE_LEAVING
	})
	if len(receivers) == 0 {
		return r.members
	}

	return receivers
}

// completeRecount ends a recount whose result is in the store, and tells the
// members their grants.
func (c *core) completeRecount() {
	r := c.recount
	if r == nil {
		return
	}
	c.recount = nil
	c.recountPause = 0
	c.nextRecount = c.now + recountPauseMin
	if r.incomplete {
		c.needRecount("some pools were not counted or counting took too long")
	}
	c.log(event.LevelInfo, "recount ended", event.Field{Key: "region", Value: c.settings.Region})
	for _, m := range r.members {
		if m == c.settings.Self {
			continue
		}
		e := &peerpb.EpochAvailable{
			Epoch: r.nextDocument.Epoch, DocumentVersion: c.docVersion, Ballot: r.ballot,
			Member: &peerpb.Member{Vm: m.VM, Incarnation: m.Incarnation},
		}
		for _, g := range r.nextDocument.Grants {
			if g.member == member(m) {
				e.Granted = g.toProto()
			}
		}
		a := &announcement{message: &peerpb.Message{Kind: &peerpb.Message_EpochAvailable{EpochAvailable: e}}, lastSent: c.now}
		c.announcements[m] = a
		c.send(m, a.message)
	}
}

// failRecount gives up the recount of this member. The next recount starts after a
// pause that doubles with each failure and is partly random.
func (c *core) failRecount(reason string) {
	c.recount = nil
	c.recountPause = min(recountPauseMax, max(recountPauseMin, 2*c.recountPause))
	c.nextRecount = c.now + c.recountPause/2 + time.Duration(c.rng.Int64N(int64(c.recountPause)))
	c.needRecount(reason)
	c.log(event.LevelDebug, "recount given up", event.Field{Key: "reason", Value: reason})
}

// repeatAnnouncements sends due announcements again, in a fixed order.
func (c *core) repeatAnnouncements() {
	for _, m := range sortedMembers(c.announcements) {
		a := c.announcements[m]
		if c.now-a.lastSent < announceRepeatInterval {
			continue
		}
		if a.repeats++; a.repeats > announceMaxRepeats {
			delete(c.announcements, m)

			continue
		}
		a.lastSent = c.now
		c.send(m, a.message)
	}
}

func sortedMembers[V any](m map[event.Member]V) []event.Member {
	out := make([]event.Member, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, compareMembers)

	return out
}

func compareMembers(a, b event.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}
