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
	// recountDelay lets needs that arise together, such as the registrations of
	// entry VMs that start at the same time, lead to one recount.
	recountDelay = 300 * time.Millisecond
	// Each member waits rankDelay for every live member of lower rendezvous weight,
	// up to maxRank of them, so that the one with the lowest weight counts first.
	// A recount takes a few round trips within the region and two calls of the store.
	rankDelay = 500 * time.Millisecond
	maxRank   = 5
	// freezeRepeatInterval is the time between freezes sent to members that have
	// not answered.
	freezeRepeatInterval = 500 * time.Millisecond
	// recountTimeout is how long a recount waits for the answers of all members.
	recountTimeout = 5 * time.Second
	// The pause after a failed recount doubles from recountPauseMin to
	// recountPauseMax, because each recount holds up transfers. The one after a
	// successful recount is recountPauseMin.
	recountPauseMin = 2 * time.Second
	recountPauseMax = time.Minute
	// A member that is not reached is told the end of a recount again every
	// announceRepeatInterval, at most announceMaxRepeats times. One that misses
	// all of these messages reads the document.
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
	members     []event.Member // those to be counted
	// held are the holdings of the members that have answered.
	held      map[event.Member][]*peerpb.PoolTokens
	started   time.Duration
	lastAsked time.Duration
	// writeSent is true once nextDocument was sent to the store; the result of the
	// write may not be known.
	writeSent    bool
	nextDocument capacityDocument
	// incomplete is true when another recount must follow: some pools could not be
	// counted, or counting outlasted the freeze of the members.
	incomplete bool
}

// announcement is the message that tells a member the end of a recount.
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

// tickRecount goes on with the recount of this member, or begins one with a read
// of the document when a recount is needed and it is this member's turn.
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

// membersToCount returns the members whose holdings a recount needs, or false
// when one of them cannot be asked; that one may still use its tokens.
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

// documentOutdated reports whether other members are known to have changed the
// document, so that a member that cannot be asked may not be in it any more.
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

// rank returns how many live members have a lower rendezvous weight than this one,
// at most maxRank.
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

// continueRecount starts a recount that waited for the document to be read, or
// finds out from the document whether the write of one took effect.
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

// startRecount sends a freeze to each member to be counted. When one of them
// cannot be asked or this member is frozen, it tries again after a pause.
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
		started:     c.now,
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

// repeatFreezes asks the members again that have not answered, and gives up the
// recount after recountTimeout.
func (c *core) repeatFreezes() {
	r := c.recount
	if r.writeSent {
		return
	}
	if c.now-r.started > recountTimeout {
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

// frozenReceived takes the holdings that a member answered. A cut number above
// the ballot refuses the freeze, so the recount fails.
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
	// A member whose freeze timed out may have transferred counted tokens since; a
	// lost transfer makes the count too high.
	r.incomplete = r.incomplete || c.now-r.started >= freezeTimeout
	if len(r.nextDocument.Grants) == 0 && len(r.members) == len(c.doc.Members) {
		r.nextDocument.Epoch = c.doc.Epoch
		c.recordRecountEnd(r.ballot)
		c.completeRecount()

		return
	}
	r.writeSent = true
	c.write(r.nextDocument, r.baseVersion)
}

// computeGrants divides the remainder of each pool, which is its capacity less
// the tokens that the counted members hold, among the receivers.
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
			// A member has not received the same configuration yet.
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

// preferredMembers returns the members in the availability zone of a pool's
// backend server, or all members when none is there or the pool is that of a link.
// When a zone is lost with its entry VMs and backend servers, the other zones
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

// receivers returns the counted members that are not leaving, or all counted ones
// when every one is leaving.
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

// failRecount gives up the recount of this member and lets the next one wait for
// a pause that doubles and is partly random.
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
