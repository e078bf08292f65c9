// Package shift decides which region serves a request and limits how much
// traffic may move between regions in a window.
package shift

import (
	"math/rand/v2"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

const (
	// retryPause spreads calls to a store that does not answer.
	retryPause = 5 * time.Second
	// askPause is the time between questions to peers for the present steps.
	askPause = 200 * time.Millisecond
	// fanout is how many peers an entry tells a new step.
	fanout = 4
)

// Settings are fixed for the life of a process.
type Settings struct {
	// Region is the region of this entry VM.
	Region string
	Self   event.Member
}

// State is the part of the reducer that holds traffic fractions. Copies share
// their containers, which belong to the newest state.
type State struct {
	c *core
}

type core struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	out      []event.Effect
	config   *model.Config
	usable   set.Set[string]
	peers    []event.EntryView
	flows    map[string]*flow // by service

	stored  document
	written document
	version uint64
	nonce   uint64
	known   bool // the document was read
	reading bool
	reread  bool
	writing bool
	retryAt time.Duration
	askAt   time.Duration
}

// New returns a state that serves everything in its own region until it knows
// the present steps.
func New(settings Settings) State {
	return State{c: &core{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Self.Incarnation, 11)),
		usable:   set.New(settings.Region),
		flows:    map[string]*flow{},
	}}
}

// Handle applies an event and returns what must be done.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.now = max(c.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.tick()
	case event.ConfigInForce:
		c.configure(e.Config)
	case event.DocumentRead:
		c.documentRead(e)
	case event.DocumentWritten:
		c.documentWritten(e)
	case event.PeerMessage:
		if m, ok := e.Message.GetKind().(*peerpb.Message_ShiftStep); ok {
			c.heard(e.From, m.ShiftStep)
		}
	}
	out := c.out
	c.out = nil

	return s, out
}

// WithUsableRegions sets the regions that can serve requests now.
func (s State) WithUsableRegions(regions set.Set[string]) State {
	s.c.usable = regions
	for _, f := range s.c.flows {
		f.fresh = false
	}

	return s
}

// WithEntries sets the reachable entry VMs of this region, which share its steps.
func (s State) WithEntries(entries []event.EntryView) State {
	s.c.peers = s.c.peers[:0:0]
	for _, e := range entries {
		if e.Region == s.c.settings.Region && e.Member != s.c.settings.Self {
			s.c.peers = append(s.c.peers, e)
		}
	}

	return s
}

// ChooseRegion returns the region that serves the next request of a service, or
// false when the cap allows none.
func (s State) ChooseRegion(service, _ string, now time.Duration) (State, string, bool) {
	c := s.c
	c.now = max(c.now, now)
	f, ok := c.flows[service]
	if !ok || !f.known {
		return s, c.settings.Region, c.usable.Has(c.settings.Region)
	}
	region, ok := f.choose(c.now, c.usable)

	return s, region, ok
}

// Sent counts a request that was sent to a region; it is called in the same
// event as the ChooseRegion that it follows.
func (s State) Sent(service, region string, now time.Duration) State {
	if f, ok := s.c.flows[service]; ok {
		f.sent(region, max(s.c.now, now))
	}

	return s
}

func (c *core) configure(config *model.Config) {
	c.config = config
	for name, sv := range config.Services {
		f, ok := c.flows[name]
		if !ok {
			f = &flow{}
			c.flows[name] = f
		}
		f.configure(sv, c.settings.Region, c.now)
	}
	for name := range c.flows {
		if _, ok := config.Services[name]; !ok {
			delete(c.flows, name)
		}
	}
	c.startUnknown()
}

// startUnknown lets services begin with their wanted fractions when neither
// the store nor a peer has a step of them: nothing can have moved yet.
func (c *core) startUnknown() {
	if !c.known || c.config == nil {
		return
	}
	for _, f := range c.flows {
		if !f.known {
			f.adopt(step{ConfigVersion: c.config.Version, Number: 1, Fractions: f.target}, f.target, c.now)
		}
	}
}

func (c *core) tick() {
	if (!c.known || c.reread) && !c.reading && !c.writing && c.now >= c.retryAt {
		c.reading, c.reread = true, false
		c.out = append(c.out, event.ReadDocument{Key: c.key()})
	}
	unknown := false
	for name, f := range c.flows {
		if !f.known {
			unknown = true

			continue
		}
		if f.due(c.now) {
			f.adopt(f.step.next(f.target, f.limit(), c.config.Version), nil, c.now)
			c.tell(name, f)
		}
	}
	if unknown && c.now >= c.askAt && len(c.peers) > 0 {
		// A step without a number is a question.
		c.askAt = c.now + askPause
		c.tellPeers(step{}.message("", c.settings.Region, nil), 1)
	}
	if !c.reread {
		c.store()
	}
}

// heard takes a step from a peer, or answers a question with all steps.
func (c *core) heard(from event.Member, m *peerpb.ShiftStep) {
	if m.GetFromRegion() != c.settings.Region {
		return
	}
	if m.GetStep() > 0 {
		if f, ok := c.flows[m.GetService()]; ok && !f.known && len(m.GetRealised()) == 0 {
			return // the sender has no traffic from which to learn
		}
		c.adopt(m.GetService(), step{ConfigVersion: m.GetConfigVersion(), Number: m.GetStep(), Fractions: m.GetFractions()}, m.GetRealised())

		return
	}
	for _, p := range c.peers {
		if p.Member != from {
			continue
		}
		var messages []*peerpb.Message
		for name, f := range c.flows {
			if f.known {
				messages = append(messages, f.step.message(name, c.settings.Region, f.realised(c.now)))
			}
		}
		if len(messages) > 0 {
			c.out = append(c.out, event.SendToPeer{To: from, Address: p.PeerAddress, Messages: messages})
		}
	}
}

// adopt takes a newer step and passes it on. The realised fractions are those of
// its sender; they are used when this entry knows no step yet.
func (c *core) adopt(service string, s step, realised map[string]uint32) {
	f, ok := c.flows[service]
	if !ok || len(s.Fractions) == 0 || (f.known && !s.newer(f.step)) {
		return
	}
	f.adopt(s, realised, c.now)
	c.tell(service, f)
}

func (c *core) tell(service string, f *flow) {
	c.tellPeers(f.step.message(service, c.settings.Region, f.realised(c.now)), fanout)
}

func (c *core) tellPeers(m *peerpb.Message, n int) {
	for _, i := range c.rng.Perm(len(c.peers))[:min(n, len(c.peers))] {
		p := c.peers[i]
		c.out = append(c.out, event.SendToPeer{To: p.Member, Address: p.PeerAddress, Messages: []*peerpb.Message{m}})
	}
}
