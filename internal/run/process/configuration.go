package process

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/run/configuration"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

var _ configuration.Peers = (*Process)(nil)

// maxOwnZoneAnnouncements is the number of entries in this entry's availability zone to
// which a new configuration version is announced. In each other zone, it is announced
// to one entry.
const maxOwnZoneAnnouncements = 4

// errUnknownPeer is returned for an entry VM that is not among the known members.
var errUnknownPeer = errors.New("entry VM is not known")

func (p *Process) newConfigSync() *configuration.Configuration {
	return configuration.New(configuration.Settings{
		Store: p.store, Peers: p, Timer: p.clock, Log: p.log, Zone: p.self.Zone,
		OnInForce: func(config model.Config) { p.SetConfig(&config) },
	})
}

// Configuration returns this entry VM's copy of the operators' configuration.
func (p *Process) Configuration() *configuration.Configuration {
	return p.configSync
}

// Root implements peer.Handler.
func (p *Process) Root(knownVersion uint64) *peerpb.RootDelta {
	return p.configSync.ServeRoot(knownVersion)
}

// Parts implements peer.Handler.
func (p *Process) Parts(hashes []string) []*peerpb.Part {
	return p.configSync.ServeParts(hashes)
}

// FetchRoot implements configuration.Peers.
func (p *Process) FetchRoot(ctx context.Context, member event.Member, knownVersion uint64) (*peerpb.RootDelta, error) {
	view, ok := p.view(member)
	if !ok {
		return nil, errUnknownPeer
	}

	return p.peerClient.FetchRoot(ctx, view.PeerAddress, member.VM, knownVersion)
}

// FetchParts implements configuration.Peers.
func (p *Process) FetchParts(ctx context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error) {
	view, ok := p.view(member)
	if !ok {
		return nil, errUnknownPeer
	}
	var parts []*peerpb.Part
	err := p.peerClient.FetchParts(ctx, view.PeerAddress, member.VM, hashes, func(part *peerpb.Part) error {
		parts = append(parts, part)

		return nil
	})

	return parts, err
}

// Announce implements configuration.Peers. It announces the version to a few entries in
// this entry's availability zone and to one entry in each other zone. Those entries
// announce the version to others in turn.
func (p *Process) Announce(version uint64) {
	message := &peerpb.Message{Kind: &peerpb.Message_ConfigAvailable{ConfigAvailable: &peerpb.ConfigAvailable{Version: version}}}
	announced := map[string]int{}
	for _, view := range shuffled(p.Members().Entries) {
		limit := 1
		if view.Zone == p.self.Zone {
			limit = maxOwnZoneAnnouncements
		}
		reachable := view.State == peerpb.EntryState_ENTRY_STATE_LIVE || view.State == peerpb.EntryState_ENTRY_STATE_STARTING
		if view.Member == p.self.Member || !reachable || announced[view.Zone] >= limit {
			continue
		}
		announced[view.Zone]++
		p.startGoroutine(func(ctx context.Context) {
			envelope := p.envelope([]*peerpb.Message{message}, nil)
			receipt, err := p.peerClient.Send(ctx, view.PeerAddress, view.Member.VM, envelope)
			if err != nil {
				p.log.Debug("configuration not announced", zap.String("vm", view.Member.VM), zap.Error(err))

				return
			}
			p.notePeerVersion(view.Member, receipt.GetConfigVersion())
		})
	}
}

// ZonesHolding implements configuration.Peers.
func (p *Process) ZonesHolding(version uint64) []string {
	p.peerVersionsMu.Lock()
	defer p.peerVersionsMu.Unlock()
	var zones []string
	for _, view := range p.Members().Entries {
		held := max(view.ConfigVersion, p.peerVersions[view.Member])
		if view.Member != p.self.Member && held >= version {
			zones = append(zones, view.Zone)
		}
	}
	slices.Sort(zones)

	return slices.Compact(zones)
}

// notePeerVersion records the configuration version that a peer reported in an
// envelope or receipt.
func (p *Process) notePeerVersion(member event.Member, version uint64) {
	p.peerVersionsMu.Lock()
	p.peerVersions[member] = max(p.peerVersions[member], version)
	p.peerVersionsMu.Unlock()
	p.configSync.ObservePeerVersion(member, version)
}

// prunePeerVersions deletes the peer versions of members that are not in entries. It
// does nothing unless there are more versions than entries.
func (p *Process) prunePeerVersions(entries []event.EntryView) {
	p.peerVersionsMu.Lock()
	defer p.peerVersionsMu.Unlock()
	if len(p.peerVersions) <= len(entries) {
		return
	}
	for member := range p.peerVersions {
		if !slices.ContainsFunc(entries, func(v event.EntryView) bool { return v.Member == member }) {
			delete(p.peerVersions, member)
		}
	}
}

// view returns the record of a member, or false when it is not known.
func (p *Process) view(member event.Member) (event.EntryView, bool) {
	entries := p.Members().Entries
	i := slices.IndexFunc(entries, func(v event.EntryView) bool { return v.Member == member })
	if i < 0 {
		return event.EntryView{}, false
	}

	return entries[i], true
}
