package entry

import (
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/caller"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/steer/link"
	"github.com/greengagetally/greengagetally/internal/steer/peer"
	"github.com/greengagetally/greengagetally/internal/steer/region"
	"github.com/greengagetally/greengagetally/internal/steer/shift"
	"github.com/greengagetally/greengagetally/internal/steer/store"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// bitsPerToken is the worth of one token of a link in bits a second.
const bitsPerToken = 1000

// linkInterval is the time between comparisons of the shares of links with
// their use, which is measured over a second.
const linkInterval = 100 * time.Millisecond

// ledger holds the tokens of backend servers.
type ledger interface {
	backend.Tokens
	acquire(backend string) bool
	release(backend string)
	want(backends []string, now time.Duration) []event.Effect
}

// parts holds the parts of the reducer and connects them.
type parts struct {
	settings Settings
	config   *model.Config
	now      time.Duration

	backend backend.State
	caller  caller.State
	region  region.State
	link    link.State
	shift   shift.State
	peer    peer.State
	store   store.State

	ledger ledger
	shares map[model.LinkID]int64
	// nextLinks is when shares of links are next compared with their use.
	nextLinks time.Duration

	raised     []event.Event
	out        []event.Effect
	refusals   map[event.Reason]int64
	violations map[string]int64
}

func newParts(settings Settings) *parts {
	self := settings.Self
	p := &parts{
		settings:   settings,
		config:     &model.Config{},
		region:     region.New(region.Settings{Self: self.Member, Region: self.Region, Zone: self.Zone, ListLag: settings.ListLag, Seed: settings.Seed}),
		link:       link.New(),
		shift:      shift.New(shift.Settings{Region: self.Region, Self: self.Member}),
		peer:       peer.New(peer.Settings{Self: self, StartedUnixMS: settings.StartedUnixMS, Seed: settings.Seed}),
		store:      store.New(self.Member),
		shares:     make(map[model.LinkID]int64),
		refusals:   make(map[event.Reason]int64),
		violations: make(map[string]int64),
	}
	policies := set.New(strings.Split(settings.Policy, ",")...)
	choice := ""
	for _, name := range set.Sorted(policies.Without("no-hedging", "no-limits", "local-slots")) {
		choice = name
	}
	switch {
	case policies.Has("no-limits"):
		p.ledger = unlimited{}
	case policies.Has("local-slots"):
		p.ledger = newSlots(self.Region)
	default:
		p.ledger = regional{p}
	}
	p.backend = backend.New(backend.Settings{
		Self: self.Member, Region: self.Region, Zone: self.Zone, Seed: settings.Seed, Policy: choice,
	})
	p.caller = caller.New(caller.Settings{
		Self:          self.Member,
		Region:        self.Region,
		Zone:          self.Zone,
		Seed:          settings.Seed,
		LookupTTL:     settings.LookupTTL,
		StartedUnixMS: settings.StartedUnixMS,
		NoHedging:     policies.Has("no-hedging"),
	}, p)

	return p
}

// configure puts a configuration in force.
func (p *parts) configure(e event.ConfigInForce) {
	if p.config.Version == 0 && !p.caller.Stopping() {
		p.peer = p.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LIVE)
	}
	p.config = e.Config
	p.peer = p.peer.WithConfigVersion(e.Config.Version)
	if slots, ok := p.ledger.(*slots); ok {
		slots.configure(e.Config)
	}
	p.useRegions(p.peer.All())
	p.toAll(e)
}

// stop makes the entry leave the responses to lookups.
func (p *parts) stop() {
	p.peer = p.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LEAVING)
}

// handOver gives the tokens to other entries once callers have stopped coming.
func (p *parts) handOver() {
	if p.caller.Stopping() && p.now >= p.caller.ServesUntil() {
		p.region = p.region.HandOver()
	}
}

// members tells the parts which entries are live.
func (p *parts) members(e event.MembersPublished) {
	// Look-ups leave out an entry that flapped, but a recount needs its answer.
	p.region = p.region.WithEntries(p.peer.All())
	p.backend = p.backend.WithEntries(e.Entries)
	p.shift = p.shift.WithEntries(e.Entries)
	p.useRegions(e.Entries)
}

// useRegions tells which regions have an entry that can serve requests.
func (p *parts) useRegions(entries []event.EntryView) {
	usable := map[string]bool{p.settings.Self.Region: true}
	for _, e := range entries {
		if e.State == peerpb.EntryState_ENTRY_STATE_LIVE {
			usable[e.Region] = true
		}
	}
	regions := set.New[string]()
	for name := range usable {
		regions = regions.With(name)
	}
	p.shift = p.shift.WithUsable(regions)
}

// shareLinks gives the shaper the bandwidth that the tokens of links allow.
func (p *parts) shareLinks() {
	for id := range p.config.Links {
		if id.From != p.settings.Self.Region {
			continue
		}
		share := p.ledger.Held(region.LinkPoolName(id)) * bitsPerToken
		if p.shares[id] == share {
			continue
		}
		p.shares[id] = share
		p.link = p.link.WithShare(id, share)
	}
}

// tickLinks tells the region part how much of the links is in use and asks for
// more where bodies wait, and tells the shaper the time of day.
func (p *parts) tickLinks() {
	if p.now < p.nextLinks {
		return
	}
	p.nextLinks = p.now + linkInterval
	wall := time.Duration(p.settings.StartedUnixMS)*time.Millisecond + p.now
	p.link = p.link.WithMidnight(p.now - wall%(24*time.Hour))
	for _, use := range p.link.Uses() {
		p.region = p.region.WithLinkUsed(use.Link, (use.SentBits+bitsPerToken-1)/bitsPerToken)
		if use.Waiting[0]+use.Waiting[1]+use.Waiting[2] > 0 {
			next, effects := p.region.RequestLinkTokens(use.Link, p.now)
			p.region = next
			p.collect(effects)
		}
	}
}

// Backends implements caller.Dependencies.
func (p *parts) Backends() backend.State { return p.backend }

// Tokens implements caller.Dependencies.
func (p *parts) Tokens() backend.Tokens { return p.ledger }

// AcquireToken implements caller.Dependencies.
func (p *parts) AcquireToken(name string) bool { return p.ledger.acquire(name) }

// ReleaseToken implements caller.Dependencies.
func (p *parts) ReleaseToken(name string) { p.ledger.release(name) }

// RequestTokens implements caller.Dependencies.
func (p *parts) RequestTokens(backends []string, now time.Duration) {
	p.collect(p.ledger.want(backends, now))
}

// Region implements caller.Dependencies.
func (p *parts) Region(service, callerRegion string, now time.Duration) (string, bool) {
	next, name, ok := p.shift.Choose(service, callerRegion, now)
	p.shift = next

	return name, ok
}

// Sent implements caller.Dependencies.
func (p *parts) Sent(service, regionName string, now time.Duration) {
	p.shift = p.shift.Sent(service, regionName, now)
}

// Entries implements caller.Dependencies.
func (p *parts) Entries(regionName string) []event.EntryView {
	if regionName != "" {
		return p.peer.Entries(regionName)
	}
	var live []event.EntryView
	for _, e := range p.peer.All() {
		if e.State == peerpb.EntryState_ENTRY_STATE_LIVE {
			live = append(live, e)
		}
	}

	return live
}

// Stale implements caller.Dependencies.
func (p *parts) Stale(now time.Duration) bool { return p.peer.Stale(now) }

// Finish implements caller.Dependencies.
func (p *parts) Finish(request event.RequestID) { p.store = p.store.Finish(request) }
