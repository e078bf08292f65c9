package peer

import (
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Entries returns the live entries of a region, by VM name; entries that are
// leaving, unreachable or held down after flapping are left out.
func (s State) Entries(region string) []event.EntryView {
	return slices.DeleteFunc(s.c.views(true), func(v event.EntryView) bool {
		return v.Region != region || v.State != peerpb.EntryState_ENTRY_STATE_LIVE
	})
}

// AllEntries returns every known entry, by VM name, as it can be reached now: also
// those that look-ups leave out because they flapped.
func (s State) AllEntries() []event.EntryView {
	return s.c.views(false)
}

// views lists the entries; held ones count as unreachable for look-ups.
func (c *core) views(lookup bool) []event.EntryView {
	out := make([]event.EntryView, 0, len(c.table)+1)
	own := viewOf(c.self)
	own.ConfigVersion, own.LastHeard = c.configVersion, c.now
	out = append(out, own)
	for _, name := range c.names {
		e := c.table[name]
		v := viewOf(e.record)
		v.ConfigVersion, v.LastHeard = max(v.ConfigVersion, e.version), e.lastHeard
		if e.goneAt == 0 && (e.unreachable || (lookup && e.heldUntil > c.now)) {
			v.State = peerpb.EntryState_ENTRY_STATE_UNREACHABLE
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b event.EntryView) int { return strings.Compare(a.Member.VM, b.Member.VM) })

	return out
}

func viewOf(r *peerpb.Record) event.EntryView {
	return event.EntryView{
		Member: member(r), Region: r.GetRegion(), Zone: r.GetZone(), Site: r.GetSite(),
		PeerAddress: r.GetPeerAddress(), CarryAddress: r.GetCarryAddress(),
		RequestAddress: r.GetRequestAddress(), LookupAddress: r.GetLookupAddress(),
		State: r.GetState(), ConfigVersion: r.GetConfigVersion(),
	}
}

// publish replaces the snapshot for look-ups when it has changed.
func (c *core) publish() {
	stale := State{c: c}.Stale(c.now)
	if !c.changed && stale == c.wasStale {
		return
	}
	c.changed, c.wasStale = false, stale
	c.out = append(c.out, event.MembersPublished{Entries: c.views(true), Stale: stale})
}
