package peer

import (
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// bucketCount is the number of buckets that the table is divided into by VM
	// name; each has a digest.
	bucketCount = 16
	// goneRetention is how long the record of a VM that is gone is kept, so that
	// an entry that was cut off does not bring it back.
	goneRetention = time.Hour
	// listLag is how late the platform's list of VMs can be.
	listLag = 30 * time.Second
	// A peer that was unreachable is held down, which keeps it out of lookups, for
	// minHold and twice as long each time that it flaps, up to maxHold. Flaps no
	// longer count after flapMemory without one.
	minHold    = 10 * time.Second
	maxHold    = 5 * time.Minute
	flapMemory = 15 * time.Minute
)

// peer is what this entry knows of another entry VM.
type peer struct {
	// record is the newest record of the peer. The message is never changed, only
	// replaced.
	record    *peerpb.Record
	lastHeard time.Duration // last sign of life, or 0
	version   uint64        // highest configuration version in its envelopes and receipts

	// unreachable says that this entry, or one of this region or of the peer's, has
	// found the peer unreachable. A newer record ends it, unless that says gone.
	unreachable bool
	// lastMarked is when the peer was last marked unreachable or this was last
	// passed on again.
	lastMarked time.Duration
	heldUntil  time.Duration // end of the hold, or 0
	flaps      int           // times that a hold began

	lastNotified time.Duration // when the peer was last told its unreachable or gone state
	failedTries  int           // tries to reach it since the last success
	firstFailed  time.Duration // time of the first of failedTries
	lastTried    time.Duration // when a message was last sent to it
	// reachedUntil is until when another entry's report that it reached the peer
	// counts.
	reachedUntil time.Duration
	othersAsked  bool          // others were asked to probe it
	failedProbes int           // probes by others that failed
	absentSince  time.Duration // when the platform's list began to lack the VM, or 0
	goneAt       time.Duration // when its state became gone, or 0
}

// merge puts a record that another VM, from, sent into the table if it is newer,
// and then queues it for others if passOn is set. That a peer is unreachable is
// kept outside its record and is not part of the digests.
func (c *core) merge(r *peerpb.Record, from string, passOn bool) {
	name := r.GetMember().GetVm()
	if name == "" || r.GetMember().GetIncarnation() == 0 {
		return
	}
	if name == c.vm() {
		c.ownRecordReceived(r)

		return
	}
	p, known := c.table[name]
	saysUnreachable := r.GetState() == peerpb.EntryState_ENTRY_STATE_UNREACHABLE
	if !known || supersedes(r, p.record) {
		if saysUnreachable {
			r = proto.Clone(r).(*peerpb.Record)
			r.State = peerpb.EntryState_ENTRY_STATE_LIVE
		}
		p = c.putRecord(name, r)
		if passOn {
			c.queueRecord(name)
		}
	}
	if saysUnreachable {
		c.unreachableReported(name, p, r, from)
	}
}

// supersedes reports whether record a of a VM is newer than b: of a later
// process, with a higher sequence number or, at the same one, in a later state.
func supersedes(a, b *peerpb.Record) bool {
	if a.GetMember().GetIncarnation() != b.GetMember().GetIncarnation() {
		if a.GetStartedUnixMs() != b.GetStartedUnixMs() {
			return a.GetStartedUnixMs() > b.GetStartedUnixMs()
		}

		return a.GetMember().GetIncarnation() > b.GetMember().GetIncarnation()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}

	return a.GetState() != peerpb.EntryState_ENTRY_STATE_UNREACHABLE && a.GetState() > b.GetState()
}

// putRecord puts a newer record into the table.
func (c *core) putRecord(name string, r *peerpb.Record) *peer {
	p, known := c.table[name]
	if !known {
		p = &peer{}
		c.table[name] = p
		at, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Insert(c.names, at, name)
	} else {
		c.toggleDigest(p.record)
		if p.record.GetMember().GetIncarnation() != r.GetMember().GetIncarnation() {
			*p = peer{}
		}
	}
	if p.unreachable && r.GetState() != peerpb.EntryState_ENTRY_STATE_GONE {
		c.holdDown(p)
	}
	if r.GetState() == peerpb.EntryState_ENTRY_STATE_GONE && p.goneAt == 0 {
		p.goneAt = c.now
	}
	p.record = r
	c.toggleDigest(r)
	c.relink, c.changed = true, true

	return p
}

// holdDown ends the unreachable state of a peer but keeps it out of lookups for a
// while, so that they do not change each time it flaps.
func (c *core) holdDown(p *peer) {
	if c.now-p.lastMarked > flapMemory {
		p.flaps = 0
	}
	hold := maxHold
	// From 5 flaps on, the doubled hold exceeds maxHold and would overflow in the end.
	if p.flaps < 5 {
		hold = min(maxHold, minHold<<p.flaps)
	}
	p.flaps++
	p.heldUntil = c.now + hold
	p.unreachable = false
	p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
	c.changed = true
}

// unreachableReported handles a report that a peer cannot be reached. It is
// accepted from an entry of the peer's region, and from one of this entry's
// region unless the peer is in another region and was heard lately. It is not
// accepted from elsewhere: other regions may be cut off while these two are not.
func (c *core) unreachableReported(name string, p *peer, r *peerpb.Record, from string) {
	if p.unreachable || r.GetSequence() != p.record.GetSequence() ||
		r.GetMember().GetIncarnation() != p.record.GetMember().GetIncarnation() {
		return
	}
	reporter, ok := c.table[from]
	if !ok {
		return
	}
	region := reporter.record.GetRegion()
	acceptOwn := region == c.self.GetRegion() && (region == p.record.GetRegion() || !c.heardLately(p))
	if acceptOwn || region == p.record.GetRegion() {
		c.markUnreachable(name, p)
	}
}

func (c *core) heardLately(p *peer) bool {
	return p.lastHeard > 0 && c.now-p.lastHeard < minSilence
}

// markUnreachable takes a peer out of lookups and gossip links and tells others.
func (c *core) markUnreachable(name string, p *peer) {
	if c.now-p.lastMarked > flapMemory {
		p.flaps = 0
	}
	p.unreachable, p.lastMarked = true, c.now
	c.queueRecord(name)
	c.alert(name)
	c.relink, c.changed = true, true
}

// ownRecordReceived refutes that this entry is unreachable or gone, and accepts
// that it is leaving, because the platform decides that. When a peer still has an
// older record, the newest one is passed on again.
func (c *core) ownRecordReceived(r *peerpb.Record) {
	if r.GetMember().GetIncarnation() != c.self.GetMember().GetIncarnation() {
		return
	}
	if r.GetSequence() < c.self.GetSequence() {
		c.queueRecord(c.vm())

		return
	}
	switch r.GetState() {
	case peerpb.EntryState_ENTRY_STATE_LEAVING:
		if c.self.GetState() != peerpb.EntryState_ENTRY_STATE_LEAVING {
			c.renewSelf(peerpb.EntryState_ENTRY_STATE_LEAVING)
		}
	case peerpb.EntryState_ENTRY_STATE_UNREACHABLE, peerpb.EntryState_ENTRY_STATE_GONE:
		c.renewSelf(c.self.GetState())
	default:
	}
}

// vmsListed learns addresses of unknown VMs and marks those that are leaving or
// gone. A VM counts as gone when it is absent for longer than the list's lag
// and cannot be reached.
func (c *core) vmsListed(e event.VMsListed) {
	c.lastStoreAnswer = c.now
	clear(c.listed)
	for _, vm := range e.VMs {
		if vm.Name != c.vm() {
			c.listed[vm.Name] = vm
		} else if vm.Leaving && c.self.GetState() == peerpb.EntryState_ENTRY_STATE_LIVE {
			c.renewSelf(peerpb.EntryState_ENTRY_STATE_LEAVING)
		}
	}
	for _, name := range slices.Clone(c.names) {
		p := c.table[name]
		vm, present := c.listed[name]
		switch {
		case present:
			p.absentSince = 0
			if vm.Leaving && p.record.GetState() < peerpb.EntryState_ENTRY_STATE_LEAVING {
				c.overrideState(name, p, peerpb.EntryState_ENTRY_STATE_LEAVING)
			}
		case p.absentSince == 0:
			p.absentSince = c.now
		case c.now-p.absentSince > listLag && p.unreachable && p.goneAt == 0:
			c.overrideState(name, p, peerpb.EntryState_ENTRY_STATE_GONE)
		}
	}
}

// overrideState sets the state in a peer's record, because of the platform's list,
// and passes it on; the peer can refute it by a newer record.
func (c *core) overrideState(name string, p *peer, state peerpb.EntryState) {
	r := proto.Clone(p.record).(*peerpb.Record)
	r.State = state
	c.putRecord(name, r)
	c.queueRecord(name)
}

// expire ends holds and forgets VMs that have been gone for goneRetention.
func (c *core) expire() {
	for _, name := range slices.Clone(c.names) {
		p := c.table[name]
		if p.heldUntil > 0 && c.now >= p.heldUntil {
			p.heldUntil = 0
			c.changed = true
		}
		if p.goneAt == 0 || c.now-p.goneAt < goneRetention {
			continue
		}
		c.toggleDigest(p.record)
		delete(c.table, name)
		delete(c.repeatsLeft, name)
		at, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Delete(c.names, at, at+1)
		c.relink = true
	}
}

// toggleDigest adds a record to the digest of its bucket or, by the same
// exclusive or, removes it. The digest covers VM, incarnation, sequence and state.
func (c *core) toggleDigest(r *peerpb.Record) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.GetMember().GetVm()))
	var b [17]byte
	for i := range 8 {
		b[i] = byte(r.GetMember().GetIncarnation() >> (8 * i))
		b[8+i] = byte(r.GetSequence() >> (8 * i))
	}
	b[16] = byte(r.GetState())
	_, _ = h.Write(b[:])
	c.digests[bucketOf(r.GetMember().GetVm())] ^= uint32(rendezvous.Mix(h.Sum64()))
}

func bucketOf(vm string) int {
	return int(rendezvous.Weight("bucket", vm) % bucketCount)
}
