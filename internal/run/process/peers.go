package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	"github.com/greengagetally/greengagetally/internal/wire/peer"
)

var (
	_ peer.Handler         = (*Process)(nil)
	_ caller.AnswerFetcher = (*Process)(nil)
)

const (
	// seedContactInterval is how often this entry sends its record to a seed peer while
	// no other entry is known.
	seedContactInterval = time.Second
	// maxSeedsAtStart is the number of seed peers to which a starting entry sends
	// its record at once. By gossip alone, the entries of a region take several
	// seconds to learn of each other, and they do not divide the capacity before that.
	maxSeedsAtStart = 16
)

// Received implements peer.Handler.
func (p *Process) Received(from event.Member, envelope *peerpb.Envelope) {
	p.notePeerVersion(from, envelope.GetConfigVersion())
	p.Apply(event.PeerContact{
		At: p.eventTime(), Peer: from, Reachable: true,
		ConfigVersion: envelope.GetConfigVersion(), TableDigests: envelope.GetTableDigests(),
	})
	for _, message := range envelope.GetMessages() {
		p.Apply(event.PeerMessage{At: p.eventTime(), From: from, Message: message})
	}
}

// ConfigVersion implements peer.Handler.
func (p *Process) ConfigVersion() uint64 {
	if config := p.config.Load(); config != nil {
		return config.Version
	}

	return 0
}

// Answer implements peer.Handler.
func (p *Process) Answer(key string, fingerprint uint64) (answer caller.Answer, found, inProgress bool) {
	return p.answers.Fetch(key, fingerprint)
}

// FetchAnswer implements caller.AnswerFetcher.
func (p *Process) FetchAnswer(ctx context.Context, holder event.Member, key string, fingerprint uint64) (caller.Answer, bool) {
	view, ok := p.view(holder)
	if !ok {
		return caller.Answer{}, false
	}
	answer, found, err := p.peerClient.FetchAnswer(ctx, view.PeerAddress, holder, key, fingerprint)
	if err != nil {
		p.log.Warn("held answer cannot be fetched", zap.String("vm", holder.VM), zap.Error(err))
	}

	return answer, found
}

// sendToPeer sends an envelope and reports to the reducer whether the peer was
// reached.
func (p *Process) sendToPeer(ctx context.Context, e event.SendToPeer) {
	defer p.sendsInProgress.Add(-1)
	receipt, err := p.peerClient.Send(ctx, e.Address, e.To.VM, p.envelope(e.Messages, e.TableDigests))
	if err != nil {
		p.log.Debug("peer cannot be reached", zap.String("vm", e.To.VM), zap.Error(err))
	}
	if err == nil {
		p.notePeerVersion(e.To, receipt.GetConfigVersion())
	}
	p.Apply(event.PeerContact{At: p.eventTime(), Peer: e.To, Reachable: err == nil, ConfigVersion: receipt.GetConfigVersion()})
}

func (p *Process) envelope(messages []*peerpb.Message, digests []uint32) *peerpb.Envelope {
	return &peerpb.Envelope{
		From:          &peerpb.Member{Vm: p.self.Member.VM, Incarnation: p.self.Member.Incarnation},
		ConfigVersion: p.ConfigVersion(),
		TableDigests:  digests,
		Messages:      messages,
	}
}

// contactSeedPeers sends this entry's record to seed peers while no other entry is
// known. As soon as another entry is known, gossip spreads the records.
func (p *Process) contactSeedPeers(ctx context.Context) {
	if len(p.settings.SeedPeers) == 0 {
		return
	}
	message := &peerpb.Message{Kind: &peerpb.Message_Records{Records: &peerpb.Records{Records: []*peerpb.Record{p.ownRecord()}}}}
	sendRecord := func(address string) {
		if _, err := p.peerClient.Send(ctx, address, "", p.envelope([]*peerpb.Message{message}, nil)); err != nil {
			p.log.Debug("seed peer cannot be reached", zap.String("address", address), zap.Error(err))
		}
	}
	for _, address := range p.settings.SeedPeers[:min(len(p.settings.SeedPeers), maxSeedsAtStart)] {
		p.startGoroutine(func(context.Context) { sendRecord(address) })
	}
	for range p.clock.Subscribe(ctx, seedContactInterval) {
		if len(p.Members().Entries) > 1 {
			continue
		}
		sendRecord(p.settings.SeedPeers[rand.IntN(len(p.settings.SeedPeers))])
	}
}

// ownRecord returns this entry's first gossip record. The reducer starts with the same
// record.
func (p *Process) ownRecord() *peerpb.Record {
	return &peerpb.Record{
		Member:         &peerpb.Member{Vm: p.self.Member.VM, Incarnation: p.self.Member.Incarnation},
		StartedUnixMs:  p.startedUnixMS,
		Sequence:       1,
		Region:         p.self.Region,
		Zone:           p.self.Zone,
		Site:           p.self.Site,
		State:          peerpb.EntryState_ENTRY_STATE_STARTING,
		PeerAddress:    p.self.PeerAddress,
		CarryAddress:   p.self.CarryAddress,
		RequestAddress: p.self.RequestAddress,
		LookupAddress:  p.self.LookupAddress,
	}
}

// publishEntries stores the known entry VMs, which lookups and requests read. It
// updates the watches, peer versions and connection limits accordingly; p.mu is held.
func (p *Process) publishEntries(e event.PublishEntries) {
	oldCount := len(p.Members().Entries)
	p.members.Store(&e)
	p.zoneWatcher.Store(p.state.ZoneWatcher())
	p.configSync.SetWatching(p.zoneWatcher.Load())
	p.prunePeerVersions(e.Entries)
	if config := p.config.Load(); config != nil && oldCount != len(e.Entries) {
		p.backends.SetLimits(p.connectionLimits(config))
	}
}

func shuffled(entries []event.EntryView) []event.EntryView {
	out := slices.Clone(entries)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out
}
