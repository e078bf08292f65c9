package region

import (
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// pool is this member's share of the tokens of one backend server or link.
type pool struct {
	name string
	// group is the same for all pools that one token request asks for together. For
	// a backend server, group is the name of the service; for a link, it is the
	// name of the pool.
	group string
	// capacity is the number of slots, or kbit/s of a link, in the configuration. A
	// leaving pool keeps its capacity, so that its tokens can be used again when
	// the backend server is back.
	capacity int64
	leaving  bool
	// removed is true when the configuration no longer has the backend server but
	// requests are still in flight on it. The tokens of these requests are kept
	// until their release, because the backend server may be added again by then.
	removed bool
	held    int64 // tokens of this member, free or in use
	used    int64 // tokens in use
}

// reserved returns the tokens that a recount must not grant to others. After the
// capacity shrank, more tokens may be in use than held. Tokens in use count until
// they are released.
func (p *pool) reserved() int64 {
	if p.isLink() {
		return p.held // for a link, used is a measurement of past traffic
	}

	return max(p.held, p.used)
}

func (p *pool) isLink() bool {
	return strings.HasPrefix(p.name, "link/")
}

// free returns the tokens that may be used or transferred now.
func (p *pool) free() int64 {
	if p.leaving || p.used >= p.held {
		return 0
	}

	return p.held - p.used
}

// scaleTokens converts tokens that were counted when the pool had the given
// capacity. If the capacity of the pool is lower now, the tokens are reduced in
// proportion; they never become more. Rounding down keeps the sum over all members
// within the lower capacity.
func (p *pool) scaleTokens(tokens, capacity int64) int64 {
	if tokens <= 0 || capacity <= 0 {
		return 0
	}
	if p.capacity >= capacity {
		return tokens
	}

	return tokens * p.capacity / capacity
}

// PoolUse is the use of one pool for status displays, in tokens: requests in
// flight on a backend server, or kbit/s on a link.
type PoolUse struct {
	Pool string
	// Capacity is 0 when the backend server is leaving.
	Capacity int64
	Held     int64
	Used     int64
}

// Free returns the number of tokens of a backend server that may be used now.
func (s State) Free(backend string) int {
	p, ok := s.c.backends[backend]
	if !ok {
		return 0
	}

	return int(p.free())
}

// Held returns the tokens of a pool that this member holds, free or in use. The pool
// is given by its name from BackendPoolName or LinkPoolName.
func (s State) Held(pool string) int64 {
	p, ok := s.c.pools[pool]
	if !ok {
		return 0
	}

	return p.held
}

// Divided reports whether this member is registered and a recount has divided
// the capacity of the region among its members.
func (s State) Divided() bool {
	return s.c.registered && s.c.appliedEpoch > 0
}

// AcquireToken takes one token of a backend server into use, or returns false when
// none is free.
func (s State) AcquireToken(backend string) (State, bool) {
	p, ok := s.c.backends[backend]
	if !ok || p.free() == 0 {
		return s, false
	}
	p.used++

	return s, true
}

// ReleaseToken frees a token that AcquireToken took into use.
func (s State) ReleaseToken(backend string) State {
	p, ok := s.c.backends[backend]
	if !ok || p.used == 0 {
		return s
	}
	moreUsedThanHeld := p.used > p.held
	p.used--
	switch {
	case p.removed:
		s.c.dropUnused(p)
	case moreUsedThanHeld && p.used <= p.held && s.c.registered:
		s.c.needRecount("pool " + p.name + " had more tokens in use than held")
	}

	return s
}

// WithLinkUsed sets how much of this member's share of a link is in use; only
// the rest is transferred to other members.
func (s State) WithLinkUsed(link model.LinkID, kbitPerSecond int64) State {
	if p, ok := s.c.pools[LinkPoolName(link)]; ok {
		p.used = kbitPerSecond
	}

	return s
}

// Pools returns the use of each pool, sorted by name.
func (s State) Pools() []PoolUse {
	uses := make([]PoolUse, 0, len(s.c.pools))
	for _, p := range s.c.pools {
		use := PoolUse{Pool: p.name, Capacity: p.capacity, Held: p.held, Used: p.used}
		if p.leaving {
			use.Capacity = 0
		}
		uses = append(uses, use)
	}
	slices.SortFunc(uses, func(a, b PoolUse) int { return strings.Compare(a.Pool, b.Pool) })

	return uses
}

// BackendPoolName returns the name of the pool of a backend server.
func BackendPoolName(backend string) string {
	return "backend/" + backend
}

// LinkPoolName returns the name of the pool of a link, which is one direction
// between two regions.
func LinkPoolName(link model.LinkID) string {
	return "link/" + link.From + "/" + link.To
}

// applyConfig adds, resizes and removes pools so that they match the backend
// servers in this region and the links from this region in the configuration.
func (c *core) applyConfig(config *model.Config) {
	c.config = config
	names := map[string]bool{}
	for _, b := range config.Backends {
		if config.RegionOfZone(b.Zone) != c.settings.Region {
			continue
		}
		p := c.setCapacity(BackendPoolName(b.Name), b.Service, int64(b.Slots))
		p.leaving, p.removed = config.Leaving.Has(b.Name), false
		c.backends[b.Name] = p
		names[p.name] = true
	}
	for _, l := range config.Links {
		if l.ID.From != c.settings.Region {
			continue
		}
		name := LinkPoolName(l.ID)
		c.setCapacity(name, name, l.UsableBits()/1000)
		names[name] = true
	}
	for name, p := range c.pools {
		if !names[name] {
			p.leaving, p.removed = true, true
			c.dropUnused(p)
		}
	}
}

// dropUnused gives up the unused tokens of a removed pool. It deletes the pool when
// no token is in use, and a link's pool in any case.
func (c *core) dropUnused(p *pool) {
	if p.used > 0 && !p.isLink() {
		p.held = min(p.held, p.used)

		return
	}
	delete(c.pools, p.name)
	delete(c.backends, strings.TrimPrefix(p.name, "backend/"))
}

// setCapacity sets the capacity of the named pool and adds the pool when it does
// not exist. When the capacity shrinks, the tokens held are reduced in proportion.
func (c *core) setCapacity(name, group string, capacity int64) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{name: name, capacity: capacity}
		c.pools[name] = p
	}
	p.group = group
	if !ok || p.removed || p.capacity != capacity {
		oldCapacity := p.capacity
		p.capacity = capacity
		p.held = p.scaleTokens(p.held, oldCapacity)
		if c.registered {
			c.needRecount("pool " + name + " was added or has another capacity")
		}
	}

	return p
}

// creditTokens adds tokens that were granted or transferred to this member.
func (c *core) creditTokens(tokens []*peerpb.PoolTokens) {
	for _, t := range tokens {
		p, ok := c.pools[t.GetPool()]
		if !ok || p.removed {
			continue
		}
		p.held += p.scaleTokens(t.GetTokens(), t.GetCapacity())
		if p.held > p.capacity {
			c.effects = append(c.effects, event.ReportViolation{Name: "tokens-held", Detail: p.name})
			p.held = p.capacity
		}
	}
}

// holdings lists the reserved tokens of this member, sorted by pool.
func (c *core) holdings() []*peerpb.PoolTokens {
	var out []*peerpb.PoolTokens
	for _, name := range c.poolNames() {
		if p := c.pools[name]; p.reserved() > 0 {
			out = append(out, &peerpb.PoolTokens{Pool: name, Tokens: p.reserved(), Capacity: p.capacity})
		}
	}

	return out
}

// poolNames returns the names of the pools in ascending order.
func (c *core) poolNames() []string {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}
