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
	_ peer.Local           = (*Process)(nil)
	_ caller.AnswerFetcher = (*Process)(nil)
)

const (
	// seedInterval is how often a seed peer is greeted while no other entry is known.
	seedInterval = time.Second
	// firstGreetings is the number of seed peers that a starting entry greets at
	// once. Gossip alone takes several seconds to introduce the entries of a
	// region to each other, and they divide no tokens before that.
	firstGreetings = 16
)

// Received implements peer.Local.
func (p *Process) Received(from event.Member, envelope *peerpb.Envelope) {
	p.heardVersion(from, envelope.GetConfigVersion())
	p.Apply(event.PeerContact{
		At: p.at(), Peer: from, Reachable: true,
		ConfigVersion: envelope.GetConfigVersion(), TableDigests: envelope.GetTableDigests(),
	})
	for _, message := range envelope.GetMessages() {
		p.Apply(event.PeerMessage{At: p.at(), From: from, Message: message})
	}
}

// ConfigVersion implements peer.Local.
func (p *Process) ConfigVersion() uint64 {
	if config := p.config.Load(); config != nil {
		return config.Version
	}

	return 0
}

// Answer implements peer.Local.
func (p *Process) Answer(key string, fingerprint uint64) (answer caller.Answer, found, inProgress bool) {
	return p.answers.Fetch(key, fingerprint)
}

// FetchAnswer implements caller.AnswerFetcher.
func (p *Process) FetchAnswer(ctx context.Context, holder event.Member, key string, fingerprint uint64) (caller.Answer, bool) {
	view, ok := p.view(holder)
	if !ok {
		return caller.Answer{}, false
	}
	answer, found, err := p.peers.FetchAnswer(ctx, view.PeerAddress, holder, key, fingerprint)
	if err != nil {
		p.log.Warn("held answer cannot be fetched", zap.String("vm", holder.VM), zap.Error(err))
	}

	return answer, found
}

// sendToPeer runs the effect and reports whether the peer was reached.
func (p *Process) sendToPeer(ctx context.Context, e event.SendToPeer) {
	defer p.sending.Add(-1)
	receipt, err := p.peers.Send(ctx, e.Address, e.To.VM, p.envelope(e.Messages, e.TableDigests))
	if err != nil {
		p.log.Debug("peer cannot be reached", zap.String("vm", e.To.VM), zap.Error(err))
	}
	if err == nil {
		p.heardVersion(e.To, receipt.GetConfigVersion())
	}
	p.Apply(event.PeerContact{At: p.at(), Peer: e.To, Reachable: err == nil, ConfigVersion: receipt.GetConfigVersion()})
}

func (p *Process) envelope(messages []*peerpb.Message, digests []uint32) *peerpb.Envelope {
	return &peerpb.Envelope{
		From:          &peerpb.Member{Vm: p.self.Member.VM, Incarnation: p.self.Member.Incarnation},
		ConfigVersion: p.ConfigVersion(),
		TableDigests:  digests,
		Messages:      messages,
	}
}

// greetSeeds tells seed peers of this entry until another one is known; from
// then on gossip spreads the records.
func (p *Process) greetSeeds(ctx context.Context) {
	if len(p.settings.SeedPeers) == 0 {
		return
	}
	hello := &peerpb.Message{Kind: &peerpb.Message_Records{Records: &peerpb.Records{Records: []*peerpb.Record{p.record()}}}}
	greet := func(address string) {
		if _, err := p.peers.Send(ctx, address, "", p.envelope([]*peerpb.Message{hello}, nil)); err != nil {
			p.log.Debug("seed peer cannot be reached", zap.String("address", address), zap.Error(err))
		}
	}
	for _, address := range p.settings.SeedPeers[:min(len(p.settings.SeedPeers), firstGreetings)] {
		p.start(func(context.Context) { greet(address) })
	}
	for range p.clock.Subscribe(ctx, seedInterval) {
		if len(p.Members().Entries) > 1 {
			continue
		}
		greet(p.settings.SeedPeers[rand.IntN(len(p.settings.SeedPeers))])
	}
}

// record is what this process tells of itself before the reducer gossips.
func (p *Process) record() *peerpb.Record {
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

// membersChanged publishes the snapshot that look-ups read; p.mu is held.
func (p *Process) membersChanged(e event.PublishEntries) {
	before := len(p.Members().Entries)
	p.members.Store(&e)
	p.watching.Store(p.state.ZoneWatcher())
	p.holder.SetWatching(p.watching.Load())
	p.forgetVersions(e.Entries)
	if config := p.config.Load(); config != nil && before != len(e.Entries) {
		p.backends.SetLimits(p.connectionLimits(config))
	}
}

func shuffled(entries []event.EntryView) []event.EntryView {
	out := slices.Clone(entries)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out
}
