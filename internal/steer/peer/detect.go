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
	// entry may mark the peer unreachable.
	minFailedTries = 3
	// retryInterval is the least time between two tries to reach the same suspected
	// peer. An unanswered try fails after the same time.
	retryInterval = time.Second
	// maxFollowedUp is the most peers that followUp handles at the same time, for
	// example during a network cut. Further suspected peers are retried by the
	// regular message, and other entries probe them only after minFailedTries.
	maxFollowedUp = 4
	// helperCount is the most entries that are asked to probe a suspected peer.
	helperCount = 2
	// minSilence is the least time without a sign of life before a peer is marked
	// unreachable: a shorter pause of a process is no fault.
	minSilence = 4 * time.Second
	// confirmTimeout is how long a confirmation may take. After this time, failed
	// tries that no other entry has confirmed are counted anew, and a probe for
	// another entry is given up. It is also the least time between two messages that
	// tell a peer that it is marked unreachable or gone.
	confirmTimeout = 5 * time.Second
	// reachedTime is how long a peer is not suspected after another entry has
	// reached it. Without this time, a peer that only some entries reach would flap.
	reachedTime = 10 * time.Second
	// An entry that marks a peer unreachable alerts at most alertedInRegion entries
	// of its own region. When the peer is in that region too, it also alerts one
	// entry in each of at most alertedRegions other regions. All other entries learn
	// of the unreachable peer from regular messages.
	alertedInRegion = 5
	alertedRegions  = 4
	// An entry sends at most one alert every alertInterval on average and
	// maxAlertBurst at once, so that alerts about a region that is cut off do not
	// cost more than the regular messages.
	maxAlertBurst = 4
	alertInterval = 30 * time.Second
	// remindInterval is the time after which an entry passes on again that a peer is
	// unreachable. Digests do not cover the unreachable mark, so entries that missed
	// the first message cannot learn of the mark by comparing digests.
	remindInterval = 30 * time.Second
)

// indirectProbe is a probe of one entry that this entry makes for another entry.
type indirectProbe struct {
	target    string       // name of the VM that is probed
	requester event.Member // entry that asked for the probe
	startedAt time.Duration
}

// contactReported handles the report that a message arrived from a peer, or that a
// message to a peer succeeded or failed.
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
		// A failed probe for another entry is followed up by that entry only.
		// Otherwise each request for a probe would lead to two more requests.
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
// that is marked unreachable or gone stays so, but is told. The peer then issues a
// newer record, which ends that state at all entries.
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

// followUp asks other entries to probe a suspected peer of this region as soon as
// the first try has failed. It also tries to reach the peer again without waiting
// for the next regular message. Peers of other regions are only retried by the
// regular message: following them up during a cut between regions would cost
// twice the usual messages.
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

// suspected reports whether a peer is usable, tries to reach it have failed, and no
// other entry has reached it within reachedTime.
func (c *core) suspected(p *peer) bool {
	return p.failedTries > 0 && c.usable(p) && c.now >= p.reachedUntil
}

// countFollowedUp returns the number of suspected peers that other entries were
// asked to probe.
func (c *core) countFollowedUp() int {
	n := 0
	for _, p := range c.table {
		if p.othersAsked && c.suspected(p) {
			n++
		}
	}

	return n
}

// checkPeers follows up suspected peers and marks a suspected peer unreachable when
// its failure is confirmed. It also reminds other entries of unreachable peers.
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

// confirmUnreachable marks a silent peer unreachable when both this entry and
// another entry have failed to reach the peer. If only this entry has failed, it
// may be cut off itself. When no other entry has failed within confirmTimeout, the
// tries are counted anew.
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
		// No other entry of the region can confirm the failure, so the tries of this
		// entry are enough.
		p.failedProbes = 1
	}
}

// probeFor probes the target of request, because the entry named by requester asked
// for it. At most 16 such probes are in flight; further requests are ignored.
func (c *core) probeFor(requester event.Member, request *peerpb.PingRequest) {
	p, ok := c.table[request.GetTarget().GetVm()]
	if !ok || len(c.probes) >= 16 {
		return
	}
	c.probes = append(c.probes, indirectProbe{target: request.GetTarget().GetVm(), requester: requester, startedAt: c.now})
	c.send(memberOf(p.record), p.record.GetPeerAddress(), recordsMessage(nil))
}

// sendProbeResults tells the entries that asked for a probe of the VM named by
// target whether the VM is reachable. It reports whether it told any entry. It also
// drops probes older than confirmTimeout.
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

// alert tells some entries at once that a peer is unreachable. An entry that marks
// the peer unreachable because of the alert sends alerts in turn. alert does nothing
// when too many alerts were sent lately, see alertInterval.
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

// sample shuffles names in place and returns the first n names, or all if there
// are fewer.
func (c *core) sample(names []string, n int) []string {
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })

	return names[:min(n, len(names))]
}

// resetFailures clears the failures and drops the probes from before a pause of
// the process.
func (c *core) resetFailures() {
	for _, p := range c.table {
		p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
	}
	c.probes = nil
}

// usable reports whether messages can be sent to a peer: the peer is starting, live
// or leaving, and not marked unreachable.
func (c *core) usable(p *peer) bool {
	s := p.record.GetState()

	return !p.unreachable && (s == peerpb.EntryState_ENTRY_STATE_LIVE || s == peerpb.EntryState_ENTRY_STATE_STARTING ||
		s == peerpb.EntryState_ENTRY_STATE_LEAVING)
}
