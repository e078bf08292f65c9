package region

import (
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// askTimeout frees the one outstanding request when its answer is lost; it
	// is several times the latency within a region.
	askTimeout = 100 * time.Millisecond
	// Pauses between requests that brought nothing double from askPauseMin to
	// askPauseMax, which bounds the messages of an entry under overload.
	askPauseMin = 5 * time.Millisecond
	askPauseMax = 200 * time.Millisecond
	// hintAge is how long a peer's report of free tokens directs requests.
	hintAge = 2 * time.Second
)

// peer is what this member knows of another one of its region.
type peer struct {
	address string
	zone    string
	state   peerpb.EntryState
	live    bool
	hint    map[string]int64
	hinted  time.Duration
	// unconfirmed is when tokens were last sent to the peer since the last
	// recount, or 0; they may be lost.
	unconfirmed time.Duration
	seen        window
}

// ask is the state of the requests for one group of pools.
type ask struct {
	to      event.Member
	pending bool
	next    time.Duration
	pause   time.Duration
}

// WithEntries sets the reachable entry VMs of this region. Leaving ones must be
// included until they are gone, because a recount needs their answers.
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

// RequestTokens asks a peer for tokens of any of the backend servers, which
// belong to one service.
func (s State) RequestTokens(backends []string, now time.Duration) (State, []event.Effect) {
	c := s.c
	c.advance(now)
	if len(backends) == 0 {
		return s, nil
	}
	first, ok := c.backends[backends[0]]
	if !ok || !c.mayAsk(first.group) {
		return s, nil
	}
	wanted := make([]*peerpb.PoolTokens, 0, len(backends))
	for _, b := range backends {
		if p, known := c.backends[b]; known && !p.leaving {
			wanted = append(wanted, c.share(p))
		}
	}
	c.request(first.group, wanted)

	return s, c.takeEffects()
}

// RequestLinkTokens asks a peer for a larger share of a link.
func (s State) RequestLinkTokens(link model.LinkID, now time.Duration) (State, []event.Effect) {
	c := s.c
	c.advance(now)
	p, ok := c.pools[LinkPoolName(link)]
	if !ok || !c.mayAsk(p.group) {
		return s, nil
	}
	c.request(p.group, []*peerpb.PoolTokens{c.share(p)})

	return s, c.takeEffects()
}

// share asks for an even part of a pool, at least one token.
func (c *core) share(p *pool) *peerpb.PoolTokens {
	members := int64(1)
	for _, other := range c.peers {
		if other.live {
			members++
		}
	}

	return &peerpb.PoolTokens{Pool: p.name, Tokens: max(1, p.capacity/members), Capacity: p.capacity}
}

func (c *core) mayAsk(group string) bool {
	if !c.registered || c.handingOver || c.isFrozen() {
		return false
	}
	a, ok := c.asks[group]
	if !ok {
		a = &ask{pause: askPauseMin}
		c.asks[group] = a
	}

	return c.now >= a.next
}

func (c *core) request(group string, wanted []*peerpb.PoolTokens) {
	to, ok := c.bestPeer(wanted)
	if !ok || len(wanted) == 0 {
		return
	}
	a := c.asks[group]
	a.to, a.pending, a.next = to, true, c.now+askTimeout
	c.send(to, &peerpb.Message{Kind: &peerpb.Message_TokenRequest{
		TokenRequest: &peerpb.TokenRequest{Wanted: wanted, Cut: c.cut},
	}})
}

// bestPeer returns the live peer that reported the most free tokens of the
// wanted pools, or a random one when no report is recent.
func (c *core) bestPeer(wanted []*peerpb.PoolTokens) (event.Member, bool) {
	var best event.Member
	most := int64(0)
	candidates := c.liveMembers(peerpb.EntryState_ENTRY_STATE_LIVE)
	for _, m := range candidates {
		p := c.peers[m]
		if p.hint == nil || c.now-p.hinted > hintAge {
			continue
		}
		sum := int64(0)
		for _, w := range wanted {
			sum += p.hint[w.GetPool()]
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

// requested answers a request for tokens. Tokens are subtracted before the
// transfer is sent, so a lost or late transfer never creates any.
func (c *core) requested(from event.Member, r *peerpb.TokenRequest) {
	if !c.registered || c.isFrozen() || c.handingOver {
		c.send(from, holdingsMessage(nil))

		return
	}
	c.raiseCut(r.GetCut())
	transfer := &peerpb.TokenTransfer{Cut: c.cut}
	var hint []*peerpb.PoolTokens
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
			hint = append(hint, &peerpb.PoolTokens{Pool: p.name, Tokens: free})
		}
	}
	c.transfer(from, transfer, holdingsMessage(hint))
}

// transfer sends tokens that have been subtracted.
func (c *core) transfer(to event.Member, t *peerpb.TokenTransfer, more ...*peerpb.Message) {
	if len(t.GetGiven()) > 0 {
		c.sequence++
		t.Sequence = c.sequence
		t.To = &peerpb.Member{Vm: to.VM, Incarnation: to.Incarnation}
		if p, ok := c.peers[to]; ok {
			p.unconfirmed = c.now
		} else {
			c.needRecount("the receiver of a transfer is not known")
		}
	}
	c.send(to, append([]*peerpb.Message{{Kind: &peerpb.Message_TokenTransfer{TokenTransfer: t}}}, more...)...)
}

// transferred accepts tokens of a sender that froze for the same recounts as
// this member. All others may have been counted as lost.
func (c *core) transferred(from event.Member, t *peerpb.TokenTransfer) {
	empty := len(t.GetGiven()) == 0
	c.answered(from, !empty)
	accepted := c.registered && !c.farewell && t.GetCut() == c.cut && c.isSelf(t.GetTo())
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
		if c.farewell {
			c.send(from, farewellMessage())
		}
		if t.GetCut() < c.done || (c.isFrozen() && t.GetCut() < c.cut) {
			return // a recount has counted or is counting the tokens as lost
		}
		c.needRecount("a transfer was dropped because of its cut number")

		return
	}
	isNew, isOld := p.seen.first(t.GetSequence())
	if isOld {
		c.needRecount("a transfer is too late to tell whether it is a duplicate")
	}
	if !isNew {
		return
	}
	p.seen.cut = t.GetCut()
	c.add(t.GetGiven())
}

func (c *core) isSelf(m *peerpb.Member) bool {
	return m.GetVm() == c.settings.Self.VM && m.GetIncarnation() == c.settings.Self.Incarnation
}

// answered ends the requests that are outstanding at a peer.
func (c *core) answered(from event.Member, success bool) {
	for _, a := range c.asks {
		if !a.pending || a.to != from {
			continue
		}
		a.pending = false
		a.pause = min(askPauseMax, 2*a.pause)
		if success {
			a.pause = askPauseMin
		}
		a.next = c.now + a.pause
	}
}

func (c *core) hinted(from event.Member, h *peerpb.Holdings) {
	c.answered(from, false)
	p, ok := c.peers[from]
	if !ok {
		return
	}
	p.hint, p.hinted = make(map[string]int64, len(h.GetFree())), c.now
	for _, f := range h.GetFree() {
		p.hint[f.GetPool()] = f.GetTokens()
	}
}

// contact takes a peer that was not reached after a transfer as a loss.
func (c *core) contact(e event.PeerContact) {
	p, ok := c.peers[e.Peer]
	if !ok {
		return
	}
	if e.Reachable {
		delete(c.announce, e.Peer)

		return
	}
	p.hint = nil
	c.answered(e.Peer, false)
	if p.unconfirmed > 0 {
		p.unconfirmed = 0
		c.needRecount("the receiver of a transfer was not reached")
	}
}

// HandOver starts to give all tokens to peers as they become free; a farewell
// follows the last one.
func (s State) HandOver() State {
	s.c.handingOver = true

	return s
}

// HandedOver reports whether the farewell has been sent.
func (s State) HandedOver() bool {
	return s.c.farewell
}

func (c *core) handOver() {
	if !c.handingOver || c.farewell || c.isFrozen() {
		return
	}
	peers := c.liveMembers(peerpb.EntryState_ENTRY_STATE_LIVE)
	given := map[event.Member]*peerpb.TokenTransfer{}
	left := int64(0)
	for _, name := range c.poolNames() {
		p := c.pools[name]
		if strings.HasPrefix(name, "link/") {
			p.used = 0
		}
		give := p.held - p.used
		if give > 0 && len(peers) > 0 {
			to := peers[c.rng.IntN(len(peers))]
			if given[to] == nil {
				given[to] = &peerpb.TokenTransfer{Cut: c.cut}
			}
			p.held -= give
			given[to].Given = append(given[to].Given, &peerpb.PoolTokens{Pool: name, Tokens: give, Capacity: p.capacity})
		}
		left += p.used
	}
	for _, to := range peers {
		if t := given[to]; t != nil {
			c.transfer(to, t)
		}
	}
	if left == 0 {
		c.sayFarewell()
	}
}

// sayFarewell gives up what is left and promises to hold nothing again.
func (c *core) sayFarewell() {
	c.farewell = true
	for _, p := range c.pools {
		p.held = 0
	}
	for _, m := range c.liveMembers(peerpb.EntryState_ENTRY_STATE_LIVE, peerpb.EntryState_ENTRY_STATE_STARTING) {
		c.send(m, farewellMessage())
	}
}

func (c *core) saidFarewell(from event.Member) {
	p, known := c.peers[from]
	if c.retired[from] && (!known || p.unconfirmed == 0) {
		return
	}
	c.retired[from] = true
	if known {
		p.unconfirmed = 0
	}
	c.needRecount("member " + from.VM + " said farewell")
}

func holdingsMessage(free []*peerpb.PoolTokens) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_Holdings{Holdings: &peerpb.Holdings{Free: free}}}
}

func farewellMessage() *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_Farewell{Farewell: &peerpb.Farewell{}}}
}
