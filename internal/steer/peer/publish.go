package peer

import (
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Entries returns the live entries of a region, this one included, in the order
// of their VM names. Entries that are starting, leaving, unreachable, gone or
// held down after flapping are left out.
func (s State) Entries(region string) []event.EntryView {
	return slices.DeleteFunc(s.c.entryViews(true), func(v event.EntryView) bool {
		return v.Region != region || v.State != peerpb.EntryState_ENTRY_STATE_LIVE
	})
}

// AllEntries returns every known entry, this one included, in the order of their
// VM names. An entry that lookups leave out only because it is held down after
// flapping does not count as unreachable.
func (s State) AllEntries() []event.EntryView {
	return s.c.entryViews(false)
}

// entryViews lists this entry and its peers in the order of their VM names. If
// forLookups is set, peers that are held down count as unreachable.
func (c *core) entryViews(forLookups bool) []event.EntryView {
	views := make([]event.EntryView, 0, len(c.table)+1)
	own := viewOf(c.self)
	own.ConfigVersion, own.LastHeard = c.configVersion, c.now
	views = append(views, own)
	for _, name := range c.names {
		p := c.table[name]
		v := viewOf(p.record)
		v.ConfigVersion, v.LastHeard = max(v.ConfigVersion, p.version), p.lastHeard
		if p.goneAt == 0 && (p.unreachable || (forLookups && p.heldUntil > c.now)) {
			v.State = peerpb.EntryState_ENTRY_STATE_UNREACHABLE
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b event.EntryView) int { return strings.Compare(a.Member.VM, b.Member.VM) })

	return views
}

func viewOf(r *peerpb.Record) event.EntryView {
	return event.EntryView{
		Member: memberOf(r), Region: r.GetRegion(), Zone: r.GetZone(), Site: r.GetSite(),
		PeerAddress: r.GetPeerAddress(), CarryAddress: r.GetCarryAddress(),
		RequestAddress: r.GetRequestAddress(), LookupAddress: r.GetLookupAddress(),
		State: r.GetState(), ConfigVersion: r.GetConfigVersion(),
	}
}

// publish publishes the list of entries for lookups if the list has changed, or if
// this entry has become stale or is no longer stale.
func (c *core) publish() {
	stale := State{c: c}.Stale(c.now)
	if !c.changed && stale == c.publishedStale {
		return
	}
	c.changed, c.publishedStale = false, stale
	c.effects = append(c.effects, event.PublishEntries{Entries: c.entryViews(true), Stale: stale})
}
