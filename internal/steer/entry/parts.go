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

// bitsPerToken is the bandwidth of one token of a link, in bits per second.
const bitsPerToken = 1000

// linkUseInterval is the interval at which updateLinkUse passes the use of the links to
// the region part. The use is measured over the last second.
const linkUseInterval = 100 * time.Millisecond

// tokens are the tokens of backend servers and links that this entry holds.
type tokens interface {
	backend.Tokens
	// acquire takes one token of a backend server into use, if one is free.
	acquire(backend string) bool
	// release frees a token that acquire took into use.
	release(backend string)
	// request asks other entries for tokens of any of the backend servers.
	request(backends []string, now time.Duration) []event.Effect
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

	tokens tokens
	// linkShares holds the bandwidth that the link part was last given for each link, in
	// bits per second.
	linkShares map[model.LinkID]int64
	// nextLinkUse is the time before which updateLinkUse does nothing.
	nextLinkUse time.Duration

	// raised holds the events that parts have raised and that are not routed yet.
	raised []event.Event
	// runtimeEffects are the effects that Reduce returns.
	runtimeEffects []event.Effect
	refusals       map[event.Reason]int64
	violations     map[string]int64 // by name of the invariant
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
		linkShares: make(map[model.LinkID]int64),
		refusals:   make(map[event.Reason]int64),
		violations: make(map[string]int64),
	}
	policies := set.New(strings.Split(settings.Policy, ",")...)
	backendPolicy := ""
	for _, name := range set.Sorted(policies.Without("no-hedging", "no-limits", "local-slots")) {
		backendPolicy = name
	}
	switch {
	case policies.Has("no-limits"):
		p.tokens = unlimitedTokens{}
	case policies.Has("local-slots"):
		p.tokens = newLocalTokens(self.Region)
	default:
		p.tokens = regionTokens{p}
	}
	p.backend = backend.New(backend.Settings{
		Self: self.Member, Region: self.Region, Zone: self.Zone, Seed: settings.Seed, Policy: backendPolicy,
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

// configure puts a configuration in force. The first configuration makes the entry
// live, unless the entry is stopping.
func (p *parts) configure(e event.ConfigInForce) {
	if p.config.Version == 0 && !p.caller.Stopping() {
		p.peer = p.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LIVE)
	}
	p.config = e.Config
	p.peer = p.peer.WithConfigVersion(e.Config.Version)
	if localTokens, ok := p.tokens.(*localTokens); ok {
		localTokens.configure(e.Config)
	}
	p.updateUsableRegions(p.peer.AllEntries())
	p.applyToAll(e)
}

// announceLeaving tells peers that this entry is leaving, so that lookups stop
// returning it.
func (p *parts) announceLeaving() {
	p.peer = p.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LEAVING)
}

// handOverTokens starts to transfer the tokens of a stopping entry to other entries,
// once the entry refuses new requests. By then callers no longer hold its address.
func (p *parts) handOverTokens() {
	if p.caller.Stopping() && p.now >= p.caller.ServesUntil() {
		p.region = p.region.HandOver()
	}
}

// updateEntries tells the parts which entry VMs there are and in which state.
func (p *parts) updateEntries(e event.PublishEntries) {
	// e.Entries shows an entry that flapped as unreachable for some time. A recount of
	// the tokens (see package region) needs the answers of all entries that can be
	// reached, so the region part is given AllEntries.
	p.region = p.region.WithEntries(p.peer.AllEntries())
	p.backend = p.backend.WithEntries(e.Entries)
	p.shift = p.shift.WithEntries(e.Entries)
	p.updateUsableRegions(e.Entries)
}

// updateUsableRegions tells the shift part, which chooses the region that serves a
// request, which regions are usable: the own region and every region with a live entry.
func (p *parts) updateUsableRegions(entries []event.EntryView) {
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
	p.shift = p.shift.WithUsableRegions(regions)
}

// updateLinkShares tells the link part the bandwidth that the tokens of this entry
// allow on each link from this region.
func (p *parts) updateLinkShares() {
	for id := range p.config.Links {
		if id.From != p.settings.Self.Region {
			continue
		}
		share := p.tokens.Held(region.LinkPoolName(id)) * bitsPerToken
		if p.linkShares[id] == share {
			continue
		}
		p.linkShares[id] = share
		p.link = p.link.WithShare(id, share)
	}
}

// updateLinkUse tells the region part how much of each link is in use and
// requests more tokens for a link on which streams wait. It also tells the link
// part when the current day began in UTC.
func (p *parts) updateLinkUse() {
	if p.now < p.nextLinkUse {
		return
	}
	p.nextLinkUse = p.now + linkUseInterval
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
func (p *parts) Tokens() backend.Tokens { return p.tokens }

// AcquireToken implements caller.Dependencies.
func (p *parts) AcquireToken(name string) bool { return p.tokens.acquire(name) }

// ReleaseToken implements caller.Dependencies.
func (p *parts) ReleaseToken(name string) { p.tokens.release(name) }

// RequestTokens implements caller.Dependencies.
func (p *parts) RequestTokens(backends []string, now time.Duration) {
	p.collect(p.tokens.request(backends, now))
}

// Region implements caller.Dependencies.
func (p *parts) Region(service, callerRegion string, now time.Duration) (string, bool) {
	next, name, ok := p.shift.ChooseRegion(service, callerRegion, now)
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
	for _, e := range p.peer.AllEntries() {
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
