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

// announceTo is the number of entries of the own availability zone that a new
// version is announced to; one in each other zone is added.
const announceTo = 4

// errUnknownPeer means that a peer has left the snapshot of entry VMs.
var errUnknownPeer = errors.New("entry VM is not known")

func (p *Process) newConfiguration() *configuration.Configuration {
	return configuration.New(configuration.Settings{
		Store: p.store, Peers: p, Timer: p.clock, Log: p.log, Zone: p.self.Zone,
		OnInForce: func(config model.Config) { p.SetConfig(&config) },
	})
}

// Configuration returns the holder of the operators' configuration.
func (p *Process) Configuration() *configuration.Configuration {
	return p.holder
}

// Root implements peer.Local.
func (p *Process) Root(known uint64) *peerpb.RootDelta {
	return p.holder.ServeRoot(known)
}

// Parts implements peer.Local.
func (p *Process) Parts(hashes []string) []*peerpb.Part {
	return p.holder.ServeParts(hashes)
}

// FetchRoot implements configuration.Peers.
func (p *Process) FetchRoot(ctx context.Context, member event.Member, known uint64) (*peerpb.RootDelta, error) {
	view, ok := p.view(member)
	if !ok {
		return nil, errUnknownPeer
	}

	return p.peers.FetchRoot(ctx, view.PeerAddress, member.VM, known)
}

// FetchParts implements configuration.Peers.
func (p *Process) FetchParts(ctx context.Context, member event.Member, hashes []string) ([]*peerpb.Part, error) {
	view, ok := p.view(member)
	if !ok {
		return nil, errUnknownPeer
	}
	var parts []*peerpb.Part
	err := p.peers.FetchParts(ctx, view.PeerAddress, member.VM, hashes, func(part *peerpb.Part) error {
		parts = append(parts, part)

		return nil
	})

	return parts, err
}

// Announce implements configuration.Peers. It tells a few entries of the own
// availability zone and one of each other zone; they tell others in turn.
func (p *Process) Announce(version uint64) {
	message := &peerpb.Message{Kind: &peerpb.Message_ConfigAvailable{ConfigAvailable: &peerpb.ConfigAvailable{Version: version}}}
	told := map[string]int{}
	for _, view := range shuffled(p.Members().Entries) {
		limit := 1
		if view.Zone == p.self.Zone {
			limit = announceTo
		}
		reachable := view.State == peerpb.EntryState_ENTRY_STATE_LIVE || view.State == peerpb.EntryState_ENTRY_STATE_STARTING
		if view.Member == p.self.Member || !reachable || told[view.Zone] >= limit {
			continue
		}
		told[view.Zone]++
		p.start(func(ctx context.Context) {
			envelope := p.envelope([]*peerpb.Message{message}, nil)
			receipt, err := p.peers.Send(ctx, view.PeerAddress, view.Member.VM, envelope)
			if err != nil {
				p.log.Debug("configuration not announced", zap.String("vm", view.Member.VM), zap.Error(err))

				return
			}
			p.heardVersion(view.Member, receipt.GetConfigVersion())
		})
	}
}

// ZonesHolding implements configuration.Peers.
func (p *Process) ZonesHolding(version uint64) []string {
	p.versionMu.Lock()
	defer p.versionMu.Unlock()
	var zones []string
	for _, view := range p.Members().Entries {
		held := max(view.ConfigVersion, p.versions[view.Member])
		if view.Member != p.self.Member && held >= version {
			zones = append(zones, view.Zone)
		}
	}
	slices.Sort(zones)

	return slices.Compact(zones)
}

// heardVersion takes the version that a peer told in an envelope or receipt.
func (p *Process) heardVersion(member event.Member, version uint64) {
	p.versionMu.Lock()
	p.versions[member] = max(p.versions[member], version)
	p.versionMu.Unlock()
	p.holder.ObservePeerVersion(member, version)
}

// forgetVersions drops what is known of members that are gone.
func (p *Process) forgetVersions(entries []event.EntryView) {
	p.versionMu.Lock()
	defer p.versionMu.Unlock()
	if len(p.versions) <= len(entries) {
		return
	}
	for member := range p.versions {
		if !slices.ContainsFunc(entries, func(v event.EntryView) bool { return v.Member == member }) {
			delete(p.versions, member)
		}
	}
}

func (p *Process) view(member event.Member) (event.EntryView, bool) {
	entries := p.Members().Entries
	i := slices.IndexFunc(entries, func(v event.EntryView) bool { return v.Member == member })
	if i < 0 {
		return event.EntryView{}, false
	}

	return entries[i], true
}
