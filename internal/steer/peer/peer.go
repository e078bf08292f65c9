// Package peer keeps the table of entry VMs by gossip and detects those that
// cannot be reached.
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
	// gossipEvery is the interval of an entry's one regular message.
	gossipEvery = time.Second
	// staleAfter is how long an entry trusts itself without news.
	staleAfter = 10 * time.Second
	// pauseGap is a time without ticks that only a paused process has.
	pauseGap = 3 * time.Second
)

// Settings are fixed for the life of a process.
type Settings struct {
	Self event.EntryView
	// StartedUnixMS is the start of the process in milliseconds since 1970.
	StartedUnixMS uint64
	Seed          uint64
}

// State is the part of the reducer that holds the table of entry VMs. Copies
// share their containers, which belong to the newest state.
type State struct {
	c *core
}

// core holds the containers of a State.
type core struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	out      []event.Effect

	self          *peerpb.Record
	configVersion uint64
	table         map[string]*entry // by VM, without this one
	names         []string          // keys of table in ascending order
	digests       [buckets]uint32
	listed        map[string]event.VM

	links      []string
	relink     bool
	relinkAt   time.Duration
	nextLink   int
	next       string // VM that this entry watches, or ""
	sent       int    // regular messages
	nextGossip time.Duration
	started    time.Duration  // first tick
	hot        map[string]int // VMs whose records are sent, with remaining repeats
	nextPull   time.Duration
	replies    float64 // bucket replies that may be sent now
	relays     []relay
	alerts     float64 // alerts that may be given now

	lastStore time.Duration
	lastOther time.Duration
	wasStale  bool
	changed   bool
}

// New returns a state that knows only this entry.
func New(settings Settings) State {
	v := settings.Self
	c := &core{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, v.Member.Incarnation)),
		table:    map[string]*entry{},
		listed:   map[string]event.VM{},
		hot:      map[string]int{},
		replies:  repliesBurst,
		alerts:   alertsBurst,
		changed:  true,
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
	c.toggle(c.self)
	c.heat(c.vm())

	return State{c: c}
}

// Handle applies an event and returns what must be done.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.now = max(c.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.tick()
		c.publish()
	case event.VMsListed:
		c.listVMs(e)
	case event.StoreCallEnded:
		if e.OK {
			c.lastStore = c.now
		}
	case event.PeerContact:
		c.contact(e)
	case event.PeerMessage:
		c.message(e.From, e.Message)
	}
	out := c.out
	c.out = nil

	return s, out
}

// Stale reports whether neither the store nor an entry of another availability
// zone was heard for 10 s.
func (s State) Stale(now time.Duration) bool {
	return now-max(s.c.lastStore, s.c.lastOther) > staleAfter
}

// WithOwnState sets the state that this entry tells about itself.
func (s State) WithOwnState(state peerpb.EntryState) State {
	if state != s.c.self.GetState() {
		s.c.restate(state)
	}

	return s
}

// WithConfigVersion sets the configuration version that this entry tells. It
// travels with other news only: peers learn it from each envelope, and a new
// record of every entry for every version would grow with the fleet.
func (s State) WithConfigVersion(version uint64) State {
	s.c.configVersion = version

	return s
}

// Digests returns the digest of each bucket of the table, for envelopes.
func (s State) Digests() []uint32 {
	return append([]uint32(nil), s.c.digests[:]...)
}

// ZoneWatcher reports whether this entry is one of the two that watch the store
// in its availability zone.
func (s State) ZoneWatcher() bool {
	c := s.c
	own := rendezvous.Weight(c.self.GetZone(), c.vm())
	before := 0
	for name, e := range c.table {
		if e.record.GetZone() == c.self.GetZone() && c.usable(e) && rendezvous.Weight(c.self.GetZone(), name) < own {
			before++
		}
	}

	return before < 2
}

func (c *core) vm() string {
	return c.self.GetMember().GetVm()
}

func (c *core) tick() {
	if c.now < c.nextGossip {
		return
	}
	if c.nextGossip == 0 {
		c.started = c.now
	}
	if c.nextGossip > 0 && c.now-c.nextGossip > pauseGap {
		c.forgiveAll()
	}
	c.nextGossip = c.now + gossipEvery
	c.replies = min(repliesBurst, c.replies+c.replyRate())
	c.alerts = min(alertsBurst, c.alerts+gossipEvery.Seconds()/alertInterval.Seconds())
	c.expire()
	c.judge()
	c.gossip()
}

// restate changes this entry's own record, which also refutes what others say.
func (c *core) restate(state peerpb.EntryState) {
	c.toggle(c.self)
	next := proto.Clone(c.self).(*peerpb.Record)
	next.State = state
	next.Sequence++
	c.self = next
	c.toggle(c.self)
	c.heat(c.vm())
	c.changed = true
}

func (c *core) send(to event.Member, address string, messages ...*peerpb.Message) {
	if e, ok := c.table[to.VM]; ok {
		e.lastTry = c.now
	}
	c.out = append(c.out, event.SendToPeer{To: to, Address: address, Messages: messages})
}

func member(r *peerpb.Record) event.Member {
	return event.Member{VM: r.GetMember().GetVm(), Incarnation: r.GetMember().GetIncarnation()}
}
