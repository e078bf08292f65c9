// Package region divides the capacity of a region's backend servers and links
// as tokens among its entry VMs, so that work in flight never exceeds the
// capacity; the program `greengagetally entry` uses it.
//
// The tokens of one backend server or link form a pool. One token allows one
// request in flight on the backend server, or 1 kbit/s on the link.
//
// A member is one process of an entry VM. Members transfer tokens to each other
// directly, and the tokens of a lost transfer are lost until a recount. For a
// recount, one member freezes the transfers of all members and adds up what they
// hold. It then grants them the rest of each pool by writing the capacity document
// in the store. The epoch of the document rises by one with each recount that is
// written. Each recount has a number, its ballot, which is higher than all ballots
// known to the member that runs it. The freeze raises the cut number of each member
// to the ballot. A transfer carries the cut number of its sender and is accepted
// only by a member with the same cut number, so a transfer sent before the count is
// not accepted after it.
//
// Times are durations since the start of the process.
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
	// ListLag is the longest time until a change shows in the platform's list of VMs.
	ListLag time.Duration
	// Seed and the incarnation of Self seed the random numbers.
	Seed uint64
}

// State is the part of the reducer that holds this member's tokens. Copies share
// their data: an older copy changes with the newest one.
type State struct {
	c *core
}

// core is the data that all copies of a State share.
type core struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration  // newest time of an event or call
	effects  []event.Effect // to be returned by takeEffects

	config   *model.Config
	pools    map[string]*pool // by name
	backends map[string]*pool // the pools of backend servers, by name of the server

	peers         map[event.Member]*peer
	tokenRequests map[string]*tokenRequest // by pool group

	// doc is the newest capacity document known, docVersion its version in the
	// store.
	doc        capacityDocument
	docVersion uint64
	// registered is true while doc lists this member.
	registered bool
	// replacedOlder is true once this member wrote a registration that replaces an
	// older incarnation of its VM. Only a recount recovers the tokens of that
	// incarnation.
	replacedOlder bool
	store         storeCalls

	// cut is this member's cut number: the highest ballot that it froze for or
	// learned of.
	cut uint64
	// appliedEpoch is the highest epoch whose grants were added or given up.
	appliedEpoch uint64
	// endedBallot is the highest ballot of a recount that is known to have ended.
	endedBallot uint64
	// lastSequence is the sequence number of the last transfer sent.
	lastSequence uint64
	// lastFreeze is the newest freeze of this member, also after its end, or nil.
	lastFreeze *freeze
	// recount is the recount that this member runs, or nil.
	recount     *recount
	recountNeed recountNeed
	// recountAfterRead is true when a recount must start once the document has been
	// read.
	recountAfterRead bool
	// nextRecount is the earliest time of the next recount of this member.
	nextRecount  time.Duration
	recountPause time.Duration
	// highestPeerCut is the highest cut number in a peer's refusal of a freeze.
	highestPeerCut uint64
	// announcements tell members the result of a recount; each is repeated until
	// its member is reached.
	announcements map[event.Member]*announcement
	// absentSince holds when each absent member was first missing from the list of
	// VMs.
	absentSince map[event.Member]time.Duration
	// retired are the members in doc that can hold no tokens any more; a recount
	// counts nothing for them and removes them from the document.
	retired map[event.Member]bool

	handingOver  bool
	farewellSent bool
}

// New returns a state that holds no tokens.
func New(settings Settings) State {
	return State{c: &core{
		settings:      settings,
		rng:           rand.New(rand.NewPCG(settings.Seed, settings.Self.Incarnation)),
		pools:         map[string]*pool{},
		backends:      map[string]*pool{},
		peers:         map[event.Member]*peer{},
		tokenRequests: map[string]*tokenRequest{},
		announcements: map[event.Member]*announcement{},
		absentSince:   map[event.Member]time.Duration{},
		retired:       map[event.Member]bool{},
	}}
}

// Handle applies an event and returns the effects that the runtime must execute.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.advance(ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.tick()
	case event.ConfigInForce:
		c.applyConfig(e.Config)
	case event.DocumentRead:
		c.documentRead(e)
	case event.DocumentWritten:
		c.documentWritten(e)
	case event.VMsListed:
		c.vmsListed(e)
	case event.PeerContact:
		c.contactReported(e)
	case event.PeerMessage:
		c.messageReceived(e.From, e.Message)
	}

	return s, c.takeEffects()
}

func (c *core) takeEffects() []event.Effect {
	effects := c.effects
	c.effects = nil

	return effects
}

// advance moves the time forward. A gap longer than processPauseGap between events
// shows that the process was paused. A list of VMs that arrived before the pause
// may then be handled after it, so the absence of VMs is measured anew.
func (c *core) advance(now time.Duration) {
	if now <= c.now {
		return
	}
	if now-c.now > processPauseGap {
		clear(c.absentSince)
	}
	c.now = now
}

func (c *core) messageReceived(from event.Member, m *peerpb.Message) {
	switch k := m.GetKind().(type) {
	case *peerpb.Message_TokenRequest:
		c.tokensRequested(from, k.TokenRequest)
	case *peerpb.Message_TokenTransfer:
		c.tokensReceived(from, k.TokenTransfer)
	case *peerpb.Message_Holdings:
		c.holdingsReceived(from, k.Holdings)
	case *peerpb.Message_Freeze:
		c.freezeReceived(from, k.Freeze)
	case *peerpb.Message_Frozen:
		c.frozenReceived(from, k.Frozen)
	case *peerpb.Message_EpochAvailable:
		c.epochAvailableReceived(k.EpochAvailable)
	case *peerpb.Message_Farewell:
		c.farewellReceived(from)
	}
}

func (c *core) tick() {
	c.expireFreeze()
	c.continueHandOver()
	c.tickStore()
	c.tickRecount()
	c.requestMissingShares()
	c.repeatAnnouncements()
}

// send sends messages to a peer, or drops the messages when the address of the peer
// is not known.
func (c *core) send(to event.Member, messages ...*peerpb.Message) {
	p, ok := c.peers[to]
	if !ok || p.address == "" {
		return
	}
	c.effects = append(c.effects, event.SendToPeer{To: to, Address: p.address, Messages: messages})
}

func (c *core) log(level event.Level, message string, fields ...event.Field) {
	c.effects = append(c.effects, event.WriteLog{Level: level, Message: message, Fields: fields})
}
