package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// minFailedTries is the number of failed tries to reach a peer after which this
	// entry may mark it unreachable.
	minFailedTries = 3
	// retryInterval is the time between tries to reach the same peer. An unanswered
	// try fails after the same time.
	retryInterval = time.Second
	// maxFollowedUp bounds the number of peers that followUp handles in parallel,
	// such as when a region is cut off. The others are retried by the regular
	// message, and helpers probe them only after minFailedTries.
	maxFollowedUp = 4
	// helperCount is the most peers that are asked to probe another one.
	helperCount = 2
	// minSilence is the least time without a sign of life before a peer is marked
	// unreachable: a shorter pause of a process is no fault.
	minSilence = 4 * time.Second
	// confirmTimeout is the time after which failed tries that no other entry has
	// confirmed are counted anew, a probe for another entry is given up, and a peer
	// that is heard although it is marked unreachable or gone is told so again.
	confirmTimeout = 5 * time.Second
	// reachedTime is how long a peer that another entry has reached is not
	// suspected again, so that one which only some entries reach does not flap.
	reachedTime = 10 * time.Second
	// An entry that marks a peer unreachable alerts alertedInRegion entries of its
	// own region and, when the peer is in that region too, one entry in each of
	// alertedRegions other regions. The rest learn it from regular messages.
	alertedInRegion = 5
	alertedRegions  = 4
	// An entry sends at most one alert every alertInterval on average and
	// maxAlertBurst at once, so that alerts about a region that is cut off do not
	// cost more than the regular messages.
	maxAlertBurst = 4
	alertInterval = 30 * time.Second
	// remindInterval is the time after which an entry passes on again that a peer is
	// unreachable: digests do not show this to entries that missed it.
	remindInterval = 30 * time.Second
)

// indirectProbe is a probe that this entry makes for another one.
type indirectProbe struct {
	target    string // VM
	requester event.Member
	startedAt time.Duration
}

// contactReported handles a message that arrived from a peer, or the success or
// failure of one that was sent to it.
func (c *core) contactReported(e event.PeerContact) {
	p, ok := c.table[e.Peer.VM]
	c.compareDigests(e.Peer, e.TableDigests)
	if ok && e.Peer.Incarnation != 0 && e.Peer.Incarnation != p.record.GetMember().GetIncarnation() {
		return
	}
	probed := c.sendProbeResults(e.Peer.VM, e.Reachable)
	if !ok {
		return
	}
	if !e.Reachable {
		if p.failedTries == 0 {
			p.firstFailed = c.now
		}
		p.failedTries++
		// A failed probe is followed up by its requester only; otherwise each request
		// would lead to two more.
		if !probed {
			c.followUp(e.Peer.VM, p)
		}
		c.confirmUnreachable(e.Peer.VM, p)

		return
	}
	c.contactSucceeded(e.Peer.VM, p)
	p.version = max(p.version, e.ConfigVersion)
}

// contactSucceeded sets when a peer was last heard and clears its failures. A peer
// that is marked unreachable or gone stays so, but is told, so that it issues a newer
// record, which ends that state at all entries.
func (c *core) contactSucceeded(name string, p *peer) {
	p.lastHeard = c.now
	p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
	if p.record.GetZone() != c.self.GetZone() {
		c.lastOtherZone = c.now
	}
	if (p.unreachable || p.goneAt > 0) && c.now-p.lastNotified >= confirmTimeout {
		p.lastNotified = c.now
		c.notify(name, p)
	}
}

// followUp asks others about a peer of this region at its first failed try and
// tries again without waiting for its turn. Peers of other regions are only
// retried by the regular message: to follow them up at a cut between regions
// would cost twice the usual messages.
func (c *core) followUp(name string, p *peer) {
	if !c.suspected(p) || p.record.GetRegion() != c.self.GetRegion() {
		return
	}
	if !p.othersAsked {
		if c.countFollowedUp() >= maxFollowedUp {
			return
		}
		c.askOthers(name, p)
	}
	if p.failedTries < minFailedTries && c.now-p.lastTried >= retryInterval {
		c.sendRecords(memberOf(p.record), p.record.GetPeerAddress())
	}
}

// suspected reports whether tries to reach a usable peer have failed and no other
// entry has reached it lately.
func (c *core) suspected(p *peer) bool {
	return p.failedTries > 0 && c.usable(p) && c.now >= p.reachedUntil
}

// countFollowedUp returns the number of suspected peers that others were asked
// about.
func (c *core) countFollowedUp() int {
	n := 0
	for _, p := range c.table {
		if p.othersAsked && c.suspected(p) {
			n++
		}
	}

	return n
}

// checkPeers follows up suspected peers, marks those whose failure is confirmed
// and reminds others of unreachable ones.
func (c *core) checkPeers() {
	for _, name := range c.names {
		p := c.table[name]
		if p.unreachable && c.now-p.lastMarked >= remindInterval {
			p.lastMarked = c.now
			c.queueRecord(name)
		}
		if !c.suspected(p) {
			continue
		}
		switch {
		case p.othersAsked:
			c.followUp(name, p)
		case p.failedTries >= minFailedTries:
			c.askOthers(name, p)
		}
		c.confirmUnreachable(name, p)
	}
}

// confirmUnreachable marks a peer unreachable when this entry and another one
// have failed to reach it: without the other one, this entry may be cut off
// itself. When no other confirms it in time, the tries start anew.
func (c *core) confirmUnreachable(name string, p *peer) {
	if p.failedTries < minFailedTries || !c.suspected(p) {
		return
	}
	if p.failedProbes > 0 && c.now-p.lastHeard >= minSilence {
		c.markUnreachable(name, p)

		return
	}
	if p.failedProbes == 0 && c.now-p.firstFailed >= confirmTimeout {
		p.failedTries, p.othersAsked = 1, false
		p.firstFailed = c.now
	}
}

// askOthers asks up to helperCount entries of this region to probe a peer.
func (c *core) askOthers(name string, p *peer) {
	p.othersAsked = true
	var helpers []string
	for _, other := range c.names {
		if o := c.table[other]; other != name && c.usable(o) && o.failedTries == 0 && o.record.GetRegion() == c.self.GetRegion() {
			helpers = append(helpers, other)
		}
	}
	request := &peerpb.Message{Kind: &peerpb.Message_PingRequest{PingRequest: &peerpb.PingRequest{Target: p.record.GetMember()}}}
	for _, helper := range c.sample(helpers, helperCount) {
		r := c.table[helper].record
		c.send(memberOf(r), r.GetPeerAddress(), request)
	}
	if len(helpers) == 0 {
		// Nobody else of the region is left to confirm it.
		p.failedProbes = 1
	}
}

// probeFor probes a peer for another entry. At most 16 such probes are in flight;
// further requests are ignored.
func (c *core) probeFor(requester event.Member, request *peerpb.PingRequest) {
	p, ok := c.table[request.GetTarget().GetVm()]
	if !ok || len(c.probes) >= 16 {
		return
	}
	c.probes = append(c.probes, indirectProbe{target: request.GetTarget().GetVm(), requester: requester, startedAt: c.now})
	c.send(memberOf(p.record), p.record.GetPeerAddress(), recordsMessage(nil))
}

// sendProbeResults tells the entries that asked for a probe of target how it
// ended, and returns whether there were any. It also drops probes that are given
// up.
func (c *core) sendProbeResults(target string, reachable bool) bool {
	sent := 0
	c.probes = slices.DeleteFunc(c.probes, func(probe indirectProbe) bool {
		requester, ok := c.table[probe.requester.VM]
		if probe.target == target && ok {
			sent++
			c.send(probe.requester, requester.record.GetPeerAddress(), &peerpb.Message{Kind: &peerpb.Message_PingResult{
				PingResult: &peerpb.PingResult{Target: &peerpb.Member{Vm: target}, Reachable: reachable},
			}})
		}

		return probe.target == target || c.now-probe.startedAt > confirmTimeout
	})

	return sent > 0
}

// probeResultReceived handles the result of a probe that this entry asked for.
func (c *core) probeResultReceived(result *peerpb.PingResult) {
	p, ok := c.table[result.GetTarget().GetVm()]
	if !ok || p.failedTries == 0 {
		return
	}
	if result.GetReachable() {
		p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
		p.reachedUntil = c.now + reachedTime

		return
	}
	p.failedProbes++
	c.confirmUnreachable(result.GetTarget().GetVm(), p)
}

// alert tells some entries at once that a peer is unreachable; each of them that
// did not know it does the same.
func (c *core) alert(name string) {
	if c.alertCredit < 1 {
		return
	}
	c.alertCredit--
	own := c.self.GetRegion()
	otherRegions := map[string]string{} // VM by region
	var inRegion []string
	names := slices.Clone(c.names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, other := range names {
		o := c.table[other]
		switch {
		case !c.usable(o) || o.failedTries > 0:
		case o.record.GetRegion() == own:
			inRegion = append(inRegion, other)
		case c.table[name].record.GetRegion() == own:
			otherRegions[o.record.GetRegion()] = other
		}
	}
	alerted := c.sample(inRegion, alertedInRegion)
	alerted = append(alerted, c.sample(slices.Sorted(maps.Values(otherRegions)), alertedRegions)...)
	message := recordsMessage([]*peerpb.Record{c.recordToSend(name)})
	for _, to := range alerted {
		r := c.table[to].record
		c.send(memberOf(r), r.GetPeerAddress(), message)
	}
}

// sample shuffles the names in place and returns the first n of them, or all.
func (c *core) sample(names []string, n int) []string {
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })

	return names[:min(n, len(names))]
}

// resetFailures drops failures that were counted before the process was paused.
func (c *core) resetFailures() {
	for _, p := range c.table {
		p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
	}
	c.probes = nil
}

// usable reports whether a peer can be sent messages: it is not unreachable and
// is starting, live or leaving.
func (c *core) usable(p *peer) bool {
	s := p.record.GetState()

	return !p.unreachable && (s == peerpb.EntryState_ENTRY_STATE_LIVE || s == peerpb.EntryState_ENTRY_STATE_STARTING ||
		s == peerpb.EntryState_ENTRY_STATE_LEAVING)
}
