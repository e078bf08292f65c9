package peer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// maxRecordsPerMessage and maxRecordsPerReply bound a message to about 0.6 KB
	// and a bucket reply to about 2 KB: a record takes about 130 bytes.
	maxRecordsPerMessage = 4
	maxRecordsPerReply   = 12
	// recordRepeats is the number of messages in which an entry passes on a changed
	// record: about one on each of its links. With fewer, some sites miss the record.
	recordRepeats = 10
	// bucketRequestInterval is the least time between two bucket requests that an
	// entry sends. An entry answers one bucket request a second on average and at
	// most maxReplyBurst requests at once.
	bucketRequestInterval = 2 * time.Second
	maxReplyBurst         = 2
	// For startupTime, a new entry answers only startupReplyRate bucket requests a
	// second. Its table differs from the tables of all other entries, so many of them
	// ask for a bucket although the new entry has few records that they lack. The
	// answers would cost as much traffic as the records that the new entry receives.
	startupTime      = time.Minute
	startupReplyRate = 0.25
	// maxQueuedRecords is the most changed records that wait to be passed on, for
	// example when a whole fleet starts. Peers get further records by bucket
	// requests.
	maxQueuedRecords = 48
	// An entry has at most siteLinks gossip links to entries of its own site and at
	// most otherRegionLinks to entries of other regions.
	siteLinks        = 5
	otherRegionLinks = 2
	// relinkInterval is the least time between two choices of links. It bounds the
	// cost of choosing links while the table changes.
	relinkInterval = 5 * time.Second
	// One in randomEvery regular messages goes to a random entry, which may be
	// marked unreachable, so that both sides notice the end of a network cut.
	randomEvery = 8
)

// queueRecord queues the record of a VM for the next recordRepeats messages. When
// maxQueuedRecords are queued, the only further record that is queued is this
// entry's own.
func (c *core) queueRecord(name string) {
	if _, ok := c.repeatsLeft[name]; ok || len(c.repeatsLeft) < maxQueuedRecords || name == c.vm() {
		c.repeatsLeft[name] = recordRepeats
	}
}

// gossip sends the regular message. A peer that did not answer the last try is
// tried again first. Otherwise every second message goes to the watched peer, and
// the others go to the peer of the next link or to a random peer.
func (c *core) gossip() {
	for _, name := range c.names {
		p := c.table[name]
		if p.failedTries < minFailedTries && c.suspected(p) && c.now-p.lastTried >= retryInterval {
			c.sendRecords(memberOf(p.record), p.record.GetPeerAddress())

			return
		}
	}
	if c.relink {
		// The watched peer is chosen without waiting for relinkInterval: a new entry
		// must be watched at once, and so must the entry that follows an unreachable
		// entry on the ring.
		c.watched = c.chooseWatched()
	}
	if c.relink && (c.now >= c.nextRelink || len(c.links) == 0) {
		c.relink, c.nextRelink = false, c.now+relinkInterval
		c.links = c.chooseLinks()
	}
	c.regularSent++
	toRandom := c.regularSent%randomEvery == 0
	if c.regularSent%2 == 1 {
		if p, ok := c.table[c.watched]; ok && c.usable(p) {
			c.sendRecords(memberOf(p.record), p.record.GetPeerAddress())

			return
		}
	}
	c.linkTurn++
	if len(c.links) == 0 || toRandom {
		c.sendToRandom()

		return
	}
	p, ok := c.table[c.links[c.linkTurn%len(c.links)]]
	if !ok {
		return
	}
	r := p.record
	c.sendRecords(memberOf(r), r.GetPeerAddress())
}

// sendToRandom sends the regular message to a random VM of the platform's list
// whose record is not known yet. When all records are known, it sends the message
// to a random peer: half of the time to an unreachable peer if there are any, else
// to any peer.
func (c *core) sendToRandom() {
	var unknown []string
	for name := range c.listed {
		if _, ok := c.table[name]; !ok {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		slices.Sort(unknown)
		vm := c.listed[unknown[c.rng.IntN(len(unknown))]]
		c.sendRecords(event.Member{VM: vm.Name}, vm.PeerAddress)

		return
	}
	var candidates []string
	for _, name := range c.names {
		if c.table[name].unreachable {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 || c.rng.IntN(2) == 0 {
		candidates = c.names
	}
	if len(candidates) == 0 {
		return
	}
	r := c.table[candidates[c.rng.IntN(len(candidates))]].record
	c.sendRecords(memberOf(r), r.GetPeerAddress())
}

// chooseLinks chooses the VMs for regular messages by hash: some entries of this
// site, one entry in each availability zone of this region, and some entries in
// other regions. In this entry's own zone, that one entry is of another site. The
// successor on the ring of the site's entries is always chosen, so that the
// entries of a site stay connected.
func (c *core) chooseLinks() []string {
	var site, otherRegions []string
	byZone := map[string]string{} // VM by availability zone
	for _, name := range c.names {
		p := c.table[name]
		r := p.record
		switch {
		case !c.usable(p):
		case r.GetZone() == c.self.GetZone() && r.GetSite() == c.self.GetSite():
			site = append(site, name)
		case r.GetRegion() == c.self.GetRegion():
			best, ok := byZone[r.GetZone()]
			if !ok || rendezvous.Weight(c.vm(), name) < rendezvous.Weight(c.vm(), best) {
				byZone[r.GetZone()] = name
			}
		default:
			otherRegions = append(otherRegions, name)
		}
	}
	links := lowestWeights(c.vm(), site, siteLinks-1)
	if successor, ok := c.ringSuccessor(site); ok && !slices.Contains(links, successor) {
		links = append(links, successor)
	}
	for _, name := range c.names {
		if zone := c.table[name].record.GetZone(); byZone[zone] == name {
			links = append(links, name)
		}
	}

	return append(links, lowestWeights(c.vm(), otherRegions, otherRegionLinks)...)
}

// chooseWatched returns the VM of the entry that follows this entry on the ring of
// the region's entries, so that each entry is watched by one other. It returns ""
// when the region has no other usable entry.
func (c *core) chooseWatched() string {
	var region []string
	for _, name := range c.names {
		if p := c.table[name]; c.usable(p) && p.record.GetRegion() == c.self.GetRegion() {
			region = append(region, name)
		}
	}
	successor, _ := c.ringSuccessor(region)

	return successor
}

// lowestWeights returns the n names with the lowest rendezvous weights for key, or
// all names if there are fewer.
func lowestWeights(key string, names []string, n int) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b)) })

	return sorted[:min(n, len(sorted))]
}

// ringSuccessor returns the name in names whose hash follows the hash of this VM
// on the ring of hashes. It returns false when names is empty.
func (c *core) ringSuccessor(names []string) (string, bool) {
	own := rendezvous.Weight("ring", c.vm())
	best, found := "", false
	for _, name := range names {
		// Unsigned differences wrap around, as the ring does.
		if !found || rendezvous.Weight("ring", name)-own < rendezvous.Weight("ring", best)-own {
			best, found = name, true
		}
	}

	return best, found
}

// sendRecords sends up to maxRecordsPerMessage queued records, beginning with the
// records that were sent the fewest times. If to.Incarnation is 0, the record of
// the receiver is not known yet, and the message also contains this entry's own
// record.
func (c *core) sendRecords(to event.Member, address string) {
	names := make([]string, 0, len(c.repeatsLeft))
	for name := range c.repeatsLeft {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.repeatsLeft[b], c.repeatsLeft[a]), cmp.Compare(a, b))
	})
	var records []*peerpb.Record
	for _, name := range names[:min(maxRecordsPerMessage, len(names))] {
		records = append(records, c.recordToSend(name))
		if c.repeatsLeft[name]--; c.repeatsLeft[name] <= 0 {
			delete(c.repeatsLeft, name)
		}
	}
	if to.Incarnation == 0 && !slices.ContainsFunc(records, func(r *peerpb.Record) bool { return r.GetMember().GetVm() == c.vm() }) {
		records = append(records, c.recordToSend(c.vm()))
	}
	c.send(to, address, recordsMessage(records))
}

// recordToSend returns the record of a VM in the form that is sent to peers. This
// entry's own record gets the configuration version. The record of a peer that is
// marked unreachable gets the state unreachable, because the table keeps the mark
// outside the record.
func (c *core) recordToSend(name string) *peerpb.Record {
	if name == c.vm() {
		r := proto.Clone(c.self).(*peerpb.Record)
		r.ConfigVersion = c.configVersion

		return r
	}
	p := c.table[name]
	if !p.unreachable || p.goneAt > 0 {
		return p.record
	}
	r := proto.Clone(p.record).(*peerpb.Record)
	r.State = peerpb.EntryState_ENTRY_STATE_UNREACHABLE

	return r
}

// notify sends a peer the record that this entry has of the peer, so that the peer
// learns in which state it is seen.
func (c *core) notify(name string, p *peer) {
	c.send(memberOf(p.record), p.record.GetPeerAddress(), recordsMessage([]*peerpb.Record{c.recordToSend(name)}))
}

// peerAddress returns the address for messages to a VM, from its record or else
// from the platform's list. It returns "" when neither contains the VM.
func (c *core) peerAddress(vm string) string {
	if p, ok := c.table[vm]; ok {
		return p.record.GetPeerAddress()
	}

	return c.listed[vm].PeerAddress
}

// compareDigests compares the digests of a peer's table with c.digests and asks the
// peer for one random bucket whose digest differs, at most once in
// bucketRequestInterval. Receipts have no digests and are ignored.
func (c *core) compareDigests(from event.Member, digests []uint32) {
	if len(digests) != bucketCount || c.now < c.nextBucketRequest {
		return
	}
	var differing []uint32
	for i, d := range digests {
		if d != c.digests[i] {
			differing = append(differing, uint32(i))
		}
	}
	peerAddress := c.peerAddress(from.VM)
	if len(differing) == 0 || peerAddress == "" {
		return
	}
	c.nextBucketRequest = c.now + bucketRequestInterval
	c.send(from, peerAddress, &peerpb.Message{Kind: &peerpb.Message_BucketRequest{
		BucketRequest: &peerpb.BucketRequest{Buckets: []uint32{differing[c.rng.IntN(len(differing))]}},
	}})
}

// replyRate returns how many bucket requests a second this entry may answer.
func (c *core) replyRate() float64 {
	if c.now-c.firstTick < startupTime {
		return startupReplyRate
	}

	return 1
}

// sendBucket answers a bucket request with at most maxRecordsPerReply records. If
// the bucket has more records, the reply begins at a random record of the bucket. A
// request that exceeds the reply rate is ignored.
func (c *core) sendBucket(to event.Member, request *peerpb.BucketRequest) {
	p, ok := c.table[to.VM]
	if !ok || c.replyCredit < 1 || len(request.GetBuckets()) == 0 {
		return
	}
	c.replyCredit--
	var names []string
	for _, name := range append([]string{c.vm()}, c.names...) {
		if uint32(bucketOf(name)) == request.GetBuckets()[0] && name != to.VM {
			names = append(names, name)
		}
	}
	var records []*peerpb.Record
	start := 0
	if len(names) > maxRecordsPerReply {
		start = c.rng.IntN(len(names))
	}
	for i := range min(maxRecordsPerReply, len(names)) {
		records = append(records, c.recordToSend(names[(start+i)%len(names)]))
	}
	reply := recordsMessage(records)
	reply.GetRecords().Bucket = true
	c.send(to, p.record.GetPeerAddress(), reply)
}

func (c *core) messageReceived(from event.Member, m *peerpb.Message) {
	switch k := m.GetKind().(type) {
	case *peerpb.Message_Records:
		for _, r := range k.Records.GetRecords() {
			c.merge(r, from.VM, !k.Records.GetBucket())
		}
	case *peerpb.Message_BucketRequest:
		c.sendBucket(from, k.BucketRequest)
	case *peerpb.Message_PingRequest:
		c.probeFor(from, k.PingRequest)
	case *peerpb.Message_PingResult:
		c.probeResultReceived(k.PingResult)
	default:
	}
	if p, ok := c.table[from.VM]; ok && p.record.GetMember().GetIncarnation() == from.Incarnation {
		c.contactSucceeded(from.VM, p)
	}
}

func recordsMessage(records []*peerpb.Record) *peerpb.Message {
	return &peerpb.Message{Kind: &peerpb.Message_Records{Records: &peerpb.Records{Records: records}}}
}
