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
	// name. Each bucket has a digest.
	bucketCount = 16
	// goneRetention is how long the record of a VM that is gone is kept, so that
	// an entry that was cut off does not bring an older record back.
	goneRetention = time.Hour
	// listLag is how late the platform's list of VMs can be.
	listLag = 30 * time.Second
	// A peer that was unreachable is held down, which keeps it out of lookups. The
	// first hold lasts minHold, and each further flap doubles the hold, up to
	// maxHold. After flapMemory without a flap, earlier flaps no longer count.
	minHold    = 10 * time.Second
	maxHold    = 5 * time.Minute
	flapMemory = 15 * time.Minute
)

// peer is what this entry knows of another entry VM.
type peer struct {
	// record is the newest record of the peer. A change replaces the pointer: the
	// Record that it points to is never changed, because messages may contain it.
	record    *peerpb.Record
	lastHeard time.Duration // time of the last sign of life, or 0 if there was none
	version   uint64        // highest configuration version in the peer's envelopes and receipts

	// unreachable is set when this entry, another entry of this region or an entry of
	// the peer's region has marked the peer unreachable. A newer record of the peer
	// clears the mark unless the state in that record is gone.
	unreachable bool
	// lastMarked is when the peer was last marked unreachable, or when this entry
	// last reminded others of the mark.
	lastMarked time.Duration
	heldUntil  time.Duration // end of the hold, or 0 if the peer is not held down
	flaps      int           // number of holds; 0 again after flapMemory without a flap

	lastNotified time.Duration // when the peer was last told that it is marked unreachable or gone
	failedTries  int           // number of failed tries to reach the peer since the last success
	firstFailed  time.Duration // time of the first of failedTries
	lastTried    time.Duration // when a message was last sent to the peer
	// reachedUntil is the end of the time in which the peer is not suspected because
	// another entry has reached it.
	reachedUntil time.Duration
	othersAsked  bool          // other entries were asked to probe the peer
	failedProbes int           // number of failed probes by other entries, or 1 if none could be asked
	absentSince  time.Duration // when the platform's list was first seen without the VM, or 0
	goneAt       time.Duration // when the peer's state became gone, or 0
}

// merge puts the record r, received from the VM named by from, into the table if r
// is newer than the table's record. If passOn is set, a newer record is also queued
// for other peers. If the state of r is unreachable, unreachableReported handles
// the state: the table keeps the unreachable mark of a peer outside the peer's
// record, and digests do not cover the mark.
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

// supersedes reports whether the record a of a VM is newer than the record b of the
// same VM. The record of the later process is newer. For the same process, the
// record with the higher sequence number is newer or, if these are equal, the
// record with the later state. Unreachable does not count as a later state.
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
		index, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Insert(c.names, index, name)
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

// holdDown clears the unreachable mark of a peer but keeps the peer out of lookups
// for a while, so that lookups do not change each time the peer flaps.
func (c *core) holdDown(p *peer) {
	if c.now-p.lastMarked > flapMemory {
		p.flaps = 0
	}
	hold := maxHold
	// From 5 flaps on, minHold<<p.flaps exceeds maxHold. With many flaps it would
	// overflow.
	if p.flaps < 5 {
		hold = min(maxHold, minHold<<p.flaps)
	}
	p.flaps++
	p.heldUntil = c.now + hold
	p.unreachable = false
	p.failedTries, p.othersAsked, p.failedProbes = 0, false, 0
	c.changed = true
}

// unreachableReported handles a report, from the VM named by from, that a peer
// cannot be reached. A report from an entry of the peer's region is accepted. A
// report from an entry of this region is accepted, too, unless the peer is in
// another region and was heard within minSilence. A report from any other region is
// ignored: that region may be cut off while this region and the peer's are not.
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
	acceptFromOwnRegion := region == c.self.GetRegion() && (region == p.record.GetRegion() || !c.heardLately(p))
	if acceptFromOwnRegion || region == p.record.GetRegion() {
		c.markUnreachable(name, p)
	}
}

func (c *core) heardLately(p *peer) bool {
	return p.lastHeard > 0 && c.now-p.lastHeard < minSilence
}

// markUnreachable marks a peer unreachable, which takes it out of lookups and
// gossip links, and tells other entries.
func (c *core) markUnreachable(name string, p *peer) {
	if c.now-p.lastMarked > flapMemory {
		p.flaps = 0
	}
	p.unreachable, p.lastMarked = true, c.now
	c.queueRecord(name)
	c.alert(name)
	c.relink, c.changed = true, true
}

// ownRecordReceived handles a record of this entry that a peer sent. If the record
// says unreachable or gone, a newer record refutes it. If the record says leaving,
// this entry accepts the state, because the platform decides who leaves. If the
// record is older than this entry's own, the own record is passed on again.
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

// vmsListed handles the platform's list of VMs. It stores the addresses of the VMs,
// some of which may have no record yet, and sets the state of peers that are
// leaving or gone. A peer counts as gone when its VM has been absent from
// the list for longer than listLag and the peer is marked unreachable.
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

// overrideState sets the state in a peer's record, as the platform's list demands,
// and queues the record for other peers. The peer can refute the state by a newer
// record.
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
		index, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Delete(c.names, index, index+1)
		c.relink = true
	}
}

// toggleDigest adds a record to the digest of its bucket by an exclusive or. A
// second call with the same record removes the record again. The digest covers VM
// name, incarnation, sequence and state.
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
