package region

import (
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// requestTimeout is how long a token request without an answer holds back the
	// next request for its group of pools. It is several times the latency within a
	// region.
	requestTimeout = 100 * time.Millisecond
	// The pause after a request that brought no tokens doubles from requestPauseMin
	// to requestPauseMax, which bounds the messages of an entry VM under overload.
	requestPauseMin = 5 * time.Millisecond
	requestPauseMax = 200 * time.Millisecond
	// holdingsMaxAge is the age up to which a peer's report of its free tokens
	// counts when choosePeer chooses the receiver of a request.
	holdingsMaxAge = 2 * time.Second
)

// peer is what this member knows of another member of its region.
type peer struct {
	address string
	zone    string
	state   peerpb.EntryState
	live    bool // reachable and not gone
	// freeTokens is the peer's last report of its free tokens, by pool, or nil when
	// there is none. holdingsReceived is the time of the report.
	freeTokens       map[string]int64
	holdingsReceived time.Duration
	// unconfirmedAt is when tokens were last sent to the peer since the last
	// recount; these tokens may be lost. It is 0 when none were sent, or when a
	// recount was already asked for because of them.
	unconfirmedAt time.Duration
	// receivedTransfers records the transfers received from the peer.
	receivedTransfers sequenceWindow
}

// tokenRequest is the state of the requests for the tokens of one group of pools.
type tokenRequest struct {
	to          event.Member  // receiver of the last request
	pending     bool          // no answer has come
	nextAllowed time.Duration // earliest time of the next request
	pause       time.Duration
}

// WithEntries sets the known entry VMs; entry VMs of other regions are ignored.
// Leaving entry VMs must be included until they are gone, because a recount needs
// their answers.
func (s State) WithEntries(entries []event.EntryView) State {
	c := s.c
	for _, p := range c.peers {
		p.live = false
	}
	for _, e := range entries {
		if e.Region != c.settings.Region || e.Member == c.settings.Self {
			continue
		}
		p, ok := c.peers[e.Member]
		if !ok {
			p = &peer{}
			c.peers[e.Member] = p
		}
		p.address, p.zone, p.state = e.PeerAddress, e.Zone, e.State
		p.live = e.State == peerpb.EntryState_ENTRY_STATE_LIVE || e.State == peerpb.EntryState_ENTRY_STATE_LEAVING ||
			e.State == peerpb.EntryState_ENTRY_STATE_STARTING
	}

	return s
}

// RequestTokens asks a peer for tokens of the backend servers, which must belong to
// one service. It sends nothing while an earlier request for the service is
// outstanding, in the pause after an earlier request, or while this member cannot
// accept tokens.
func (s State) RequestTokens(backends []string, now time.Duration) (State, []event.Effect) {
	c := s.c
	c.advance(now)
	if len(backends) == 0 {
		return s, nil
	}
	firstPool, ok := c.backends[backends[0]]
	if !ok || !c.mayRequest(firstPool.group) {
		return s, nil
	}
	wanted := make([]*peerpb.PoolTokens, 0, len(backends))
	for _, b := range backends {
		if p, known := c.backends[b]; known && !p.leaving {
			wanted = append(wanted, c.evenShare(p))
		}
	}
	c.sendTokenRequest(firstPool.group, wanted)

	return s, c.takeEffects()
}

// RequestLinkTokens asks a peer for a larger share of a link, with the
// restrictions of RequestTokens.
func (s State) RequestLinkTokens(link model.LinkID, now time.Duration) (State, []event.Effect) {
	c := s.c
	c.advance(now)
	p, ok := c.pools[LinkPoolName(link)]
	if !ok || !c.mayRequest(p.group) {
		return s, nil
	}
	c.sendTokenRequest(p.group, []*peerpb.PoolTokens{c.evenShare(p)})

	return s, c.takeEffects()
}

// requestMissingShares asks a peer for this member's even share of each group of pools
// of which it holds nothing. A recount grants tokens only to the members that are
// registered by then, and callers may not have reached this member yet. If it waited for
// them, it could serve nobody when the members that hold the tokens stop.
func (c *core) requestMissingShares() {
	if c.appliedEpoch == 0 {
		return
	}
	held, wanted := map[string]int64{}, map[string][]*peerpb.PoolTokens{}
	var groups []string
	for _, name := range c.poolNames() {
		p := c.pools[name]
		held[p.group] += p.held
		if p.leaving || p.removed {
			continue
		}
		if wanted[p.group] == nil {
			groups = append(groups, p.group)
		}
		wanted[p.group] = append(wanted[p.group], c.evenShare(p))
	}
	for _, group := range groups {
		if held[group] == 0 && c.mayRequest(group) {
			c.sendTokenRequest(group, wanted[group])
		}
	}
}

// evenShare returns the tokens to request of a pool: its capacity divided by the
// number of live members, at least one token.
func (c *core) evenShare(p *pool) *peerpb.PoolTokens {
	members := int64(1)
	for _, other := range c.peers {
		if other.live {
			members++
		}
	}

	return &peerpb.PoolTokens{Pool: p.name, Tokens: max(1, p.capacity/members), Capacity: p.capacity}
}

// mayRequest reports whether tokens of a group of pools may be requested now. If
// so, tokenRequests has an element for the group afterwards.
func (c *core) mayRequest(group string) bool {
	if !c.registered || c.handingOver || c.isFrozen() {
		return false
	}
	r, ok := c.tokenRequests[group]
	if !ok {
		r = &tokenRequest{pause: requestPauseMin}
		c.tokenRequests[group] = r
	}

	return c.now >= r.nextAllowed
}

// sendTokenRequest sends a request for tokens of a group to the peer that
// choosePeer returns.
func (c *core) sendTokenRequest(group string, wanted []*peerpb.PoolTokens) {
	to, ok := c.choosePeer(wanted)
	if !ok || len(wanted) == 0 {
		return
	}
	r := c.tokenRequests[group]
	r.to, r.pending, r.nextAllowed = to, true, c.now+requestTimeout
	c.send(to, &peerpb.Message{Kind: &peerpb.Message_TokenRequest{
		TokenRequest: &peerpb.TokenRequest{Wanted: wanted, Cut: c.cut},
	}})
}

// choosePeer returns the live peer that reported the most free tokens of the
// wanted pools, or a random live peer when no recent report shows any. It returns
// false when no peer is live.
func (c *core) choosePeer(wanted []*peerpb.PoolTokens) (event.Member, bool) {
	var best event.Member
	most := int64(0)
	candidates := c.livePeers(peerpb.EntryState_ENTRY_STATE_LIVE)
	for _, m := range candidates {
		p := c.peers[m]
		if p.freeTokens == nil || c.now-p.holdingsReceived > holdingsMaxAge {
			continue
		}
		sum := int64(0)
		for _, w := range wanted {
			sum += p.freeTokens[w.GetPool()]
		}
		if sum > most {
			best, most = m, sum
		}
	}
	if most > 0 {
		return best, true
	}
	if len(candidates) == 0 {
		return event.Member{}, false
	}

	return candidates[c.rng.IntN(len(candidates))], true
}

// tokensRequested answers a token request. It gives at most half of the free tokens
// of each wanted pool, rounded up, and reports how many stay free. Tokens are
// subtracted before the transfer is sent, so that a lost or late transfer never
// creates tokens.
func (c *core) tokensRequested(from event.Member, r *peerpb.TokenRequest) {
	if !c.registered || c.isFrozen() || c.handingOver {
		c.send(from, holdingsMessage(nil))

		return
	}
	c.raiseCut(r.GetCut())
	transfer := &peerpb.TokenTransfer{Cut: c.cut}
	var freeTokens []*peerpb.PoolTokens
	for _, w := range r.GetWanted() {
		p, ok := c.pools[w.GetPool()]
		if !ok {
			continue
		}
		if r.GetCut() == c.cut {
			if given := min(w.GetTokens(), (p.free()+1)/2); given > 0 {
				p.held -= given
				transfer.Given = append(transfer.Given, &peerpb.PoolTokens{Pool: p.name, Tokens: given, Capacity: p.capacity})
			}
		}
		if free := p.free(); free > 0 {
			freeTokens = append(freeTokens, &peerpb.PoolTokens{Pool: p.name, Tokens: free})
		}
	}
	c.transfer(from, transfer, holdingsMessage(freeTokens))
}

// transfer sends the tokens in t, which have already been subtracted from this
// member's holdings, followed by further messages.
func (c *core) transfer(to event.Member, t *peerpb.TokenTransfer, more ...*peerpb.Message) {
	if len(t.GetGiven()) > 0 {
		c.lastSequence++
		t.Sequence = c.lastSequence
		t.To = &peerpb.Member{Vm: to.VM, Incarnation: to.Incarnation}
		if p, ok := c.peers[to]; ok {
			p.unconfirmedAt = c.now
		} else {
			c.needRecount("the receiver of a transfer is not known")
		}
	}
	c.send(to, append([]*peerpb.Message{{Kind: &peerpb.Message_TokenTransfer{TokenTransfer: t}}}, more...)...)
}

// tokensReceived accepts a transfer whose sender has the same cut number as this
// member: both took part in the same recounts. The tokens of other transfers may
// have been counted as lost and are dropped. Tokens for another incarnation of this
// VM are dropped too.
func (c *core) tokensReceived(from event.Member, t *peerpb.TokenTransfer) {
	empty := len(t.GetGiven()) == 0
	c.endRequests(from, !empty)
	accepted := c.registered && !c.farewellSent && t.GetCut() == c.cut && c.isSelf(t.GetTo())
	c.raiseCut(t.GetCut())
	if empty {
		return
	}
	p, ok := c.peers[from]
	if !ok {
		p = &peer{}
		c.peers[from] = p
	}
	if !accepted {
		if c.farewellSent {
			c.send(from, farewellMessage())
		}
		if t.GetCut() < c.endedBallot || (c.isFrozen() && t.GetCut() < c.cut) {
			return // a recount has counted or is counting the tokens as lost
		}
		c.needRecount("a transfer was dropped because of its cut number or receiver")

		return
	}
	isNew, tooOld := p.receivedTransfers.markSeen(t.GetSequence())
	if tooOld {
		c.needRecount("a transfer is too late to tell whether it is a duplicate")
	}
	if !isNew {
		return
	}
	p.receivedTransfers.cut = t.GetCut()
	c.creditTokens(t.GetGiven())
}

func (c *core) isSelf(m *peerpb.Member) bool {
	return m.GetVm() == c.settings.Self.VM && m.GetIncarnation() == c.settings.Self.Incarnation
}

// endRequests ends the requests that are outstanding at a peer and sets the pause
// before the next requests. The pause is requestPauseMin when tokens came;
// otherwise it doubles.
func (c *core) endRequests(from event.Member, gotTokens bool) {
	for _, r := range c.tokenRequests {
		if !r.pending || r.to != from {
			continue
		}
		r.pending = false
		r.pause = min(requestPauseMax, 2*r.pause)
		if gotTokens {
			r.pause = requestPauseMin
		}
		r.nextAllowed = c.now + r.pause
	}
}

// holdingsReceived takes a peer's report of its free tokens.
func (c *core) holdingsReceived(from event.Member, h *peerpb.Holdings) {
	c.endRequests(from, false)
	p, ok := c.peers[from]
	if !ok {
		return
	}
	p.freeTokens, p.holdingsReceived = make(map[string]int64, len(h.GetFree())), c.now
	for _, f := range h.GetFree() {
		p.freeTokens[f.GetPool()] = f.GetTokens()
	}
}

// contactReported asks for a recount when the receiver of a transfer was not
// reached, and ends the announcement to a member that was reached.
func (c *core) contactReported(e event.PeerContact) {
	p, ok := c.peers[e.Peer]
	if !ok {
		return
	}
	if e.Reachable {
		delete(c.announcements, e.Peer)

		return
	}
	p.freeTokens = nil
	c.endRequests(e.Peer, false)
	if p.unconfirmedAt > 0 {
		p.unconfirmedAt = 0
		c.needRecount("the receiver of a transfer was not reached")
	}
}

// HandOver starts to transfer all tokens to peers as the tokens become free. Once
// no token is in use, a farewell is sent to the peers.
func (s State) HandOver() State {
	s.c.handingOver = true

	return s
}

// HandedOver reports whether the farewell has been sent.
func (s State) HandedOver() bool {
	return s.c.farewellSent
}

// continueHandOver transfers the free tokens of each pool to a random live peer,
// and sends the farewell when no token of any pool is in use.
func (c *core) continueHandOver() {
	if !c.handingOver || c.farewellSent || c.isFrozen() {
		return
	}
	peers := c.livePeers(peerpb.EntryState_ENTRY_STATE_LIVE)
	transfers := map[event.Member]*peerpb.TokenTransfer{}
	inUse := int64(0)
	for _, name := range c.poolNames() {
		p := c.pools[name]
		if strings.HasPrefix(name, "link/") {
			p.used = 0
		}
		free := p.held - p.used
		if free > 0 && len(peers) > 0 {
			to := peers[c.rng.IntN(len(peers))]
			if transfers[to] == nil {
				transfers[to] = &peerpb.TokenTransfer{Cut: c.cut}
			}
			p.held -= free
			transfers[to].Given = append(transfers[to].Given, &peerpb.PoolTokens{Pool: name, Tokens: free, Capacity: p.capacity})
		}
		inUse += p.used
	}
	for _, to := range peers {
		if t := transfers[to]; t != nil {
			c.transfer(to, t)
		}
	}
	if inUse == 0 {
		c.sendFarewell()
	}
}

// sendFarewell gives up the tokens that are left, and tells the peers that this
// member will never hold tokens again.
func (c *core) sendFarewell() {
	c.farewellSent = true
	for _, p := range c.pools {
		p.held = 0
	}
	for _, m := range c.livePeers(peerpb.EntryState_ENTRY_STATE_LIVE, peerpb.EntryState_ENTRY_STATE_STARTING) {
		c.send(m, farewellMessage())
	}
}

// farewellReceived retires the member that sent a farewell and asks for a recount.
func (c *core) farewellReceived(from event.Member) {
	p, known := c.peers[from]
	if c.retired[from] && (!known || p.unconfirmedAt == 0) {
		return
	}
	c.retired[from] = true
	if known {
		p.unconfirmedAt = 0
	}
	c.needRecount("member " + from.VM + " sent a farewell")
}

func holdingsMessage(free []*peerpb.PoolTokens) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_Holdings{Holdings: &peerpb.Holdings{Free: free}}}
}

func farewellMessage() *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_Farewell{Farewell: &peerpb.Farewell{}}}
}
