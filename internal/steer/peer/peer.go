// Package peer keeps, for `greengagetally entry`, the table of entry VMs and
// decides which of them cannot be reached.
//
// Each entry VM, called entry below, issues a record about itself. Its peers are
// the other entries. Every second, an entry sends one message with recently changed
// records to a peer. The table is divided into buckets by VM name. The envelope of
// each message carries a digest of every bucket, and a peer asks for a bucket whose
// digest differs. Before a peer that does not answer is marked unreachable, other
// entries probe it too.
//
// Times are durations since the start of the process.
package peer

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

const (
	// gossipInterval is the time between the regular messages of an entry, each of
	// which goes to one peer.
	gossipInterval = time.Second
	// An entry is stale when it has had contact with neither the store nor an entry
	// of another availability zone for more than staleAfter.
	staleAfter = 10 * time.Second
	// maxTickDelay is how late a regular message may be before the process counts
	// as paused: nothing else delays ticks that long.
	maxTickDelay = 3 * time.Second
)

// Settings are fixed for the life of a process.
type Settings struct {
	// Self describes this entry. Self.State is the state that peers are told first;
	// ENTRY_STATE_UNSPECIFIED stands for ENTRY_STATE_STARTING.
	Self event.EntryView
	// StartedUnixMS is the start of the process in milliseconds since 1970.
	StartedUnixMS uint64
	// Seed and the incarnation of Self seed the random numbers.
	Seed uint64
}

// State is the part of the reducer that holds the table of entry VMs. All copies of
// a State share their data, so a change through one copy changes every copy.
type State struct {
	c *core
}

// core is the data that all copies of a State share.
type core struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration  // time of the newest event
	effects  []event.Effect // to be returned by Handle

	self          *peerpb.Record // record of this entry
	configVersion uint64
	table         map[string]*peer    // other entries, by VM
	names         []string            // keys of table in ascending order
	digests       [bucketCount]uint32 // digest of each bucket, covers table and self
	listed        map[string]event.VM // platform's list of VMs without this VM, by name

	links             []string        // VMs that this entry sends regular messages to in turn
	relink            bool            // links and watched are to be chosen again
	nextRelink        time.Duration   // earliest time of the next choice of links
	linkTurn          int             // number of regular messages on links and to random peers
	watched           string          // VM that every second regular message goes to, or "" for none
	regularSent       int             // number of regular messages sent, without retries
	nextGossip        time.Duration   // when the next regular message is due, or 0 before the first
	firstTick         time.Duration   // time of the first tick
	repeatsLeft       map[string]int  // queued records: in how many more messages each is sent, by VM
	nextBucketRequest time.Duration   // earliest time of the next bucket request
	replyCredit       float64         // bucket replies that may be sent now
	probes            []indirectProbe // probes in flight for other entries
	alertCredit       float64         // alerts that may be sent now

	lastStoreAnswer time.Duration // when the store last answered or the platform's list last arrived
	lastOtherZone   time.Duration // when an entry of another availability zone was last heard
	publishedStale  bool          // this entry was stale when the entries were last published
	changed         bool          // the entries have changed since they were last published
}

// New returns a state that knows only this entry.
func New(settings Settings) State {
	v := settings.Self
	c := &core{
		settings:    settings,
		rng:         rand.New(rand.NewPCG(settings.Seed, v.Member.Incarnation)),
		table:       map[string]*peer{},
		listed:      map[string]event.VM{},
		repeatsLeft: map[string]int{},
		replyCredit: maxReplyBurst,
		alertCredit: maxAlertBurst,
		changed:     true,
		self: &peerpb.Record{
			Member:        &peerpb.Member{Vm: v.Member.VM, Incarnation: v.Member.Incarnation},
			StartedUnixMs: settings.StartedUnixMS, Sequence: 1,
			Region: v.Region, Zone: v.Zone, Site: v.Site, State: v.State,
			PeerAddress: v.PeerAddress, CarryAddress: v.CarryAddress,
			RequestAddress: v.RequestAddress, LookupAddress: v.LookupAddress,
		},
	}
	if c.self.State == peerpb.EntryState_ENTRY_STATE_UNSPECIFIED {
		c.self.State = peerpb.EntryState_ENTRY_STATE_STARTING
	}
	c.toggleDigest(c.self)
	c.queueRecord(c.vm())

	return State{c: c}
}

// Handle applies an event and returns the effects that the runtime must carry
// out.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.now = max(c.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.tick()
		c.publish()
	case event.VMsListed:
		c.vmsListed(e)
	case event.StoreCallEnded:
		if e.OK {
			c.lastStoreAnswer = c.now
		}
	case event.PeerContact:
		c.contactReported(e)
	case event.PeerMessage:
		c.messageReceived(e.From, e.Message)
	}
	effects := c.effects
	c.effects = nil

	return s, effects
}

// Stale reports whether this entry has had contact with neither the store nor an
// entry of another availability zone for more than staleAfter.
func (s State) Stale(now time.Duration) bool {
	return now-max(s.c.lastStoreAnswer, s.c.lastOtherZone) > staleAfter
}

// WithOwnState sets the state that this entry tells its peers about itself.
func (s State) WithOwnState(state peerpb.EntryState) State {
	if state != s.c.self.GetState() {
		s.c.renewSelf(state)
	}

	return s
}

// WithConfigVersion sets the configuration version that this entry tells its
// peers. It issues no new record, because peers learn the version from each
// envelope. If every entry issued a record for every version, the traffic of an
// entry would grow with the fleet.
func (s State) WithConfigVersion(version uint64) State {
	s.c.configVersion = version

	return s
}

// Digests returns the digest of each bucket of the table. Envelopes carry them.
func (s State) Digests() []uint32 {
	return append([]uint32(nil), s.c.digests[:]...)
}

// ZoneWatcher reports whether this entry is one of the two entries of its
// availability zone that watch the store. These are the two usable entries with
// the lowest rendezvous weights.
func (s State) ZoneWatcher() bool {
	c := s.c
	own := rendezvous.Weight(c.self.GetZone(), c.vm())
	lower := 0
	for name, p := range c.table {
		if p.record.GetZone() == c.self.GetZone() && c.usable(p) && rendezvous.Weight(c.self.GetZone(), name) < own {
			lower++
		}
	}

	return lower < 2
}

// vm returns the name of this entry's VM.
func (c *core) vm() string {
	return c.self.GetMember().GetVm()
}

// tick does the work of each second: it checks the peers and sends the regular
// message.
func (c *core) tick() {
	if c.now < c.nextGossip {
		return
	}
	if c.nextGossip == 0 {
		c.firstTick = c.now
	}
	if c.nextGossip > 0 && c.now-c.nextGossip > maxTickDelay {
		c.resetFailures()
	}
	c.nextGossip = c.now + gossipInterval
	c.replyCredit = min(maxReplyBurst, c.replyCredit+c.replyRate())
	c.alertCredit = min(maxAlertBurst, c.alertCredit+gossipInterval.Seconds()/alertInterval.Seconds())
	c.expire()
	c.checkPeers()
	c.gossip()
}

// renewSelf issues a newer record of this entry with the given state. The record
// supersedes all older records of this entry that peers have.
func (c *core) renewSelf(state peerpb.EntryState) {
	c.toggleDigest(c.self)
	next := proto.Clone(c.self).(*peerpb.Record)
	next.State = state
	next.Sequence++
	c.self = next
	c.toggleDigest(c.self)
	c.queueRecord(c.vm())
	c.changed = true
}

func (c *core) send(to event.Member, address string, messages ...*peerpb.Message) {
	if p, ok := c.table[to.VM]; ok {
		p.lastTried = c.now
	}
	c.effects = append(c.effects, event.SendToPeer{To: to, Address: address, Messages: messages})
}

func memberOf(r *peerpb.Record) event.Member {
	return event.Member{VM: r.GetMember().GetVm(), Incarnation: r.GetMember().GetIncarnation()}
}
