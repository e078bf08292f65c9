// Package region divides the capacity of a region's backend servers and links
// among its entry VMs, so that work in flight never exceeds the capacity.
package region

import (
	"math/rand/v2"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Settings are fixed for the life of a process.
type Settings struct {
	Self   event.Member
	Region string
	// Zone is the availability zone of this member.
	Zone string
	// ListLag is the longest time by which the platform's list of VMs is late.
	ListLag time.Duration
	Seed    uint64
}

// State is the part of the reducer that holds tokens. Copies share their
// containers, which belong to the newest state.
type State struct {
	c *core
}

// core holds the containers of a State.
type core struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	out      []event.Effect

	config   *model.Config
	pools    map[string]*pool
	backends map[string]*pool // the same pools by name of the backend server

	peers map[event.Member]*peer
	asks  map[string]*ask // by pool group

	doc        document
	docVersion uint64
	registered bool
	// replaced is true when the registration being written replaces an older
	// incarnation, whose tokens only a recount recovers.
	replaced bool
	io       storeCall

	// cut is the highest ballot that this member froze for or learned of.
	cut uint64
	// applied is the highest epoch whose grants were added or given up.
	applied uint64
	// done is the highest ballot of a recount that is known to have ended.
	done     uint64
	sequence uint64
	frozen   *freeze
	recount  *recount
	need     need
	// wantRecount starts a recount after the document has been read.
	wantRecount  bool
	nextRecount  time.Duration
	recountPause time.Duration
	refusedBy    uint64
	announce     map[event.Member]*announcement
	absent       map[event.Member]time.Duration
	retired      map[event.Member]bool

	handingOver bool
	farewell    bool
}

// New returns a state that holds no tokens.
func New(settings Settings) State {
	return State{c: &core{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, settings.Self.Incarnation)),
		pools:    map[string]*pool{},
		backends: map[string]*pool{},
		peers:    map[event.Member]*peer{},
		asks:     map[string]*ask{},
		announce: map[event.Member]*announcement{},
		absent:   map[event.Member]time.Duration{},
		retired:  map[event.Member]bool{},
	}}
}

// Handle applies an event and returns what must be done.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.advance(ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.tick()
	case event.ConfigInForce:
		c.configure(e.Config)
	case event.DocumentRead:
		c.documentRead(e)
	case event.DocumentWritten:
		c.documentWritten(e)
	case event.VMsListed:
		c.listed(e)
	case event.PeerContact:
		c.contact(e)
	case event.PeerMessage:
		c.message(e.From, e.Message)
	}

	return s, c.takeEffects()
}

func (c *core) takeEffects() []event.Effect {
	out := c.out
	c.out = nil

	return out
}

// advance moves the time forward. A long gap between events shows that the
// process was paused: a list that arrived before the pause may then be handled
// after it, so the time for which VMs were absent is measured anew.
func (c *core) advance(now time.Duration) {
	if now <= c.now {
		return
	}
	if now-c.now > pauseGap {
		clear(c.absent)
	}
	c.now = now
}

func (c *core) message(from event.Member, m *peerpb.Message) {
	switch k := m.GetKind().(type) {
	case *peerpb.Message_TokenRequest:
		c.requested(from, k.TokenRequest)
	case *peerpb.Message_TokenTransfer:
		c.transferred(from, k.TokenTransfer)
	case *peerpb.Message_Holdings:
		c.hinted(from, k.Holdings)
	case *peerpb.Message_Freeze:
		c.freezeAsked(from, k.Freeze)
	case *peerpb.Message_Frozen:
		c.freezeAnswered(from, k.Frozen)
	case *peerpb.Message_EpochAvailable:
		c.epochAvailable(k.EpochAvailable)
	case *peerpb.Message_Farewell:
		c.saidFarewell(from)
	}
}

func (c *core) tick() {
	c.thawLate()
	c.handOver()
	c.tickStore()
	c.tickRecount()
	c.tickAnnouncements()
}

func (c *core) send(to event.Member, messages ...*peerpb.Message) {
	p, ok := c.peers[to]
	if !ok || p.address == "" {
		return
	}
	c.out = append(c.out, event.SendToPeer{To: to, Address: p.address, Messages: messages})
}

func (c *core) log(level event.Level, message string, fields ...event.Field) {
	c.out = append(c.out, event.WriteLog{Level: level, Message: message, Fields: fields})
}
