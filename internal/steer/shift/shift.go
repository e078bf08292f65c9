// Package shift decides, for `greengagetally entry`, which region serves a
// request, and limits how much traffic may move between regions in a window.
//
// For each service and caller region, operators set the target: the fraction of
// the requests that each region serves. They also set the length of a window, and
// a cap: the most by which a region's fraction may rise within any window. When
// the target changes, the entry VMs of the caller region approach the target in
// steps, none larger than the cap. They share the steps by messages and by a
// document in the store.
//
// Each entry counts the requests that it sent in the last window and refuses
// requests beyond the cap, also when a region fails. The realised fractions are
// lower bounds of the fractions that the regions received. A replacement of an
// entry starts from the realised fractions, so that it stays within the cap too.
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
	// storeRetryDelay is the time from a failed store call to the next call. After
	// a write conflict, the document is read again after a tenth of this time.
	storeRetryDelay = 5 * time.Second
	// stepRequestInterval is the least time between two requests that ask a peer
	// for the present steps.
	stepRequestInterval = 200 * time.Millisecond
	// fanout is the number of peers to which an entry sends a new step.
	fanout = 4
)

// Settings are fixed for the life of a process.
type Settings struct {
	// Region is the region of this entry VM.
	Region string
	// Self identifies this entry: its VM and the incarnation of its process.
	Self event.Member
}

// State is the part of the reducer that holds traffic fractions. Its methods
// change the data in place, so only the newest returned State may be used.
type State struct {
	traffic *regionTraffic
}

// regionTraffic holds the data behind a State: the traffic from one region.
type regionTraffic struct {
	settings      Settings
	random        *rand.Rand
	now           time.Duration
	effects       []event.Effect // effects of the event being handled
	config        *model.Config
	usableRegions set.Set[string]
	peers         []event.EntryView // other known entries of this region
	services      map[string]*serviceTraffic

	stored            document // document as last read or written
	proposed          document // document of the write in progress
	storedVersion     uint64   // store version of stored
	nonce             uint64   // nonce of the write in progress
	known             bool     // the document was read at least once
	reading           bool     // a read is in progress
	rereadNeeded      bool     // the last write failed
	writing           bool     // a write is in progress
	nextReadAt        time.Duration
	nextStepRequestAt time.Duration
}

// New returns a state that chooses settings.Region for every request of a service
// until a step of the service is known.
func New(settings Settings) State {
	return State{traffic: &regionTraffic{
		settings:      settings,
		random:        rand.New(rand.NewPCG(settings.Self.Incarnation, 11)),
		usableRegions: set.New(settings.Region),
		services:      map[string]*serviceTraffic{},
	}}
}

// Handle applies an event and returns what the runtime must do.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	traffic := s.traffic
	traffic.now = max(traffic.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		traffic.tick()
	case event.ConfigInForce:
		traffic.configure(e.Config)
	case event.DocumentRead:
		traffic.documentRead(e)
	case event.DocumentWritten:
		traffic.documentWritten(e)
	case event.PeerMessage:
		if m, ok := e.Message.GetKind().(*peerpb.Message_ShiftStep); ok {
			traffic.stepReceived(e.From, m.ShiftStep)
		}
	}
	effects := traffic.effects
	traffic.effects = nil

	return s, effects
}

// WithUsableRegions sets the regions that can serve requests now.
func (s State) WithUsableRegions(regions set.Set[string]) State {
	s.traffic.usableRegions = regions
	for _, t := range s.traffic.services {
		t.planValid = false
	}

	return s
}

// WithEntries sets the known entry VMs. It keeps only the other entries of this
// entry's region, with which this entry shares steps.
func (s State) WithEntries(entries []event.EntryView) State {
	s.traffic.peers = s.traffic.peers[:0:0]
	for _, e := range entries {
		if e.Region == s.traffic.settings.Region && e.Member != s.traffic.settings.Self {
			s.traffic.peers = append(s.traffic.peers, e)
		}
	}

	return s
}

// ChooseRegion returns the region that serves the next request of a service, or
// false when no region is usable within the cap. The second argument, the caller
// region, is ignored: every request counts as traffic of this entry's region.
func (s State) ChooseRegion(service, _ string, now time.Duration) (State, string, bool) {
	traffic := s.traffic
	traffic.now = max(traffic.now, now)
	t, ok := traffic.services[service]
	if !ok || !t.known {
		return s, traffic.settings.Region, traffic.usableRegions.Has(traffic.settings.Region)
	}
	region, ok := t.choose(traffic.now, traffic.usableRegions)

	return s, region, ok
}

// Sent counts a request that was sent to a region. It must be called during the
// same event as the call of ChooseRegion that returned the region.
func (s State) Sent(service, region string, now time.Duration) State {
	if t, ok := s.traffic.services[service]; ok {
		t.sent(region, max(s.traffic.now, now))
	}

	return s
}

func (r *regionTraffic) configure(config *model.Config) {
	r.config = config
	for name, service := range config.Services {
		t, ok := r.services[name]
		if !ok {
			t = &serviceTraffic{}
			r.services[name] = t
		}
		t.configure(service, r.settings.Region, r.now)
	}
	for name := range r.services {
		if _, ok := config.Services[name]; !ok {
			delete(r.services, name)
		}
	}
	r.startAtTarget()
}

// startAtTarget makes the target the first step of every service without a known
// step, once the document was read. If neither the document nor a peer has a step
// of a service, none of the service's traffic can have moved yet.
func (r *regionTraffic) startAtTarget() {
	if !r.known || r.config == nil {
		return
	}
	for _, t := range r.services {
		if !t.known {
			t.adopt(step{ConfigVersion: r.config.Version, Number: 1, Fractions: t.target}, t.target, r.now)
		}
	}
}

func (r *regionTraffic) tick() {
	if (!r.known || r.rereadNeeded) && !r.reading && !r.writing && r.now >= r.nextReadAt {
		r.reading, r.rereadNeeded = true, false
		r.effects = append(r.effects, event.ReadDocument{Key: r.documentKey()})
	}
	unknown := false
	for name, t := range r.services {
		if !t.known {
			unknown = true

			continue
		}
		if t.stepDue(r.now) {
			t.adopt(t.step.next(t.target, t.capMillionths(), r.config.Version), nil, r.now)
			r.sendStep(name, t)
		}
	}
	if unknown && r.now >= r.nextStepRequestAt && len(r.peers) > 0 {
		// A step with the number 0 asks the peer for the present steps.
		r.nextStepRequestAt = r.now + stepRequestInterval
		r.sendToPeers(step{}.message("", r.settings.Region, nil), 1)
	}
	if !r.rereadNeeded {
		r.writeIfChanged()
	}
}

// stepReceived adopts a newer step that a peer sent. A message with the step number
// 0 is a request for the present steps, which stepReceived answers.
func (r *regionTraffic) stepReceived(from event.Member, m *peerpb.ShiftStep) {
	if m.GetFromRegion() != r.settings.Region {
		return
	}
	if m.GetStep() > 0 {
		if t, ok := r.services[m.GetService()]; ok && !t.known && len(m.GetRealised()) == 0 {
			return // the sender had no requests that show where to start
		}
		r.adopt(m.GetService(), step{ConfigVersion: m.GetConfigVersion(), Number: m.GetStep(), Fractions: m.GetFractions()}, m.GetRealised())

		return
	}
	for _, p := range r.peers {
		if p.Member != from {
			continue
		}
		var messages []*peerpb.Message
		for name, t := range r.services {
			if t.known {
				messages = append(messages, t.step.message(name, r.settings.Region, t.realised(r.now)))
			}
		}
		if len(messages) > 0 {
			r.effects = append(r.effects, event.SendToPeer{To: from, Address: p.PeerAddress, Messages: messages})
		}
	}
}

// adopt makes s the present step of a service and sends it to peers, if s is newer
// than the present step. realised holds the fractions from which a new entry
// starts; it is used only when this entry knows no step of the service yet.
func (r *regionTraffic) adopt(service string, s step, realised map[string]uint32) {
	t, ok := r.services[service]
	if !ok || len(s.Fractions) == 0 || (t.known && !s.newer(t.step)) {
		return
	}
	t.adopt(s, realised, r.now)
	r.sendStep(service, t)
}

// sendStep sends the present step of a service to fanout random peers.
func (r *regionTraffic) sendStep(service string, t *serviceTraffic) {
	r.sendToPeers(t.step.message(service, r.settings.Region, t.realised(r.now)), fanout)
}

// sendToPeers sends a message to n random peers.
func (r *regionTraffic) sendToPeers(m *peerpb.Message, n int) {
	for _, i := range r.random.Perm(len(r.peers))[:min(n, len(r.peers))] {
		p := r.peers[i]
		r.effects = append(r.effects, event.SendToPeer{To: p.Member, Address: p.PeerAddress, Messages: []*peerpb.Message{m}})
	}
}
