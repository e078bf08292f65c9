package entry

import (
	"slices"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// maxRaisedEvents is the most events that parts may raise for each other in one
// call of Reduce; more would mean that two parts answer each other without end.
const maxRaisedEvents = 10_000

// State is the state of the reducer. All copies share the same data, so only the State
// that Reduce returned last may be used.
type State struct {
	*parts
}

// New returns the state of an entry VM that has no configuration yet.
func New(settings Settings) State {
	return State{newParts(settings)}
}

// ZoneWatcher reports whether this entry is one of the two in its availability
// zone that watch the store and the list of VMs.
func (s State) ZoneWatcher() bool {
	return s.peer.ZoneWatcher()
}

// Reduce applies one event, and the events that the parts raise because of it. It
// returns the new state and the effects that the runtime must execute, in order.
func Reduce(s State, ev event.Event) (State, []event.Effect) {
	s.runtimeEffects = nil
	s.now = max(s.now, ev.Time())
	s.route(ev)
	for n := 0; len(s.raised) > 0; n++ {
		next := s.raised[0]
		s.raised = s.raised[1:]
		if n == maxRaisedEvents {
			s.raised = nil
			s.collect([]event.Effect{event.ReportViolation{Name: "raised-events", Detail: "parts raise events for each other without end"}})

			break
		}
		s.route(next)
	}

	return s, s.runtimeEffects
}

// route applies an event to the parts that it concerns. The caller part comes
// last, so that its decisions on requests use what the other parts have just
// learned.
func (p *parts) route(ev event.Event) {
	switch e := ev.(type) {
	case event.RequestArrived, event.AttemptStarted, event.CallerDisconnected, event.ClaimEnded, event.ClaimReleaseEnded:
		p.applyToCaller(ev)
	case event.HeaderReceived, event.AttemptEnded:
		p.applyToBackend(ev)
		p.applyToCaller(ev)
	case event.LinkBytesRequested, event.LinkStreamEnded:
		p.applyToLink(ev)
	case event.ProbeEnded, event.LoadReported:
		p.applyToBackend(ev)
	case event.ConfigInForce:
		if e.Config.Version < p.config.Version {
			// A lower version must not replace a higher one.
			return
		}
		p.configure(e)
	case event.StopRequested:
		p.announceLeaving()
		p.applyToAll(ev)
	case event.Tick:
		p.handOverTokens()
		p.updateLinkUse()
		p.applyToAll(ev)
	default:
		p.applyToAll(ev)
	}
}

func (p *parts) applyToAll(ev event.Event) {
	next, effects := p.peer.Handle(ev)
	p.peer = next
	p.collect(effects)
	p.applyToRegion(ev)
	p.applyToShift(ev)
	p.applyToLink(ev)
	p.applyToStore(ev)
	p.applyToBackend(ev)
	p.applyToCaller(ev)
}

func (p *parts) applyToRegion(ev event.Event) {
	next, effects := p.region.Handle(ev)
	p.region = next
	p.collect(effects)
	p.updateLinkShares()
}

func (p *parts) applyToShift(ev event.Event) {
	next, effects := p.shift.Handle(ev)
	p.shift = next
	p.collect(effects)
}

func (p *parts) applyToLink(ev event.Event) {
	next, effects := p.link.Handle(ev)
	p.link = next
	p.collect(effects)
}

func (p *parts) applyToStore(ev event.Event) {
	next, effects := p.store.Handle(ev)
	p.store = next
	p.collect(effects)
}

func (p *parts) applyToBackend(ev event.Event) {
	next, effects := p.backend.Handle(ev)
	p.backend = next
	p.collect(effects)
}

func (p *parts) applyToCaller(ev event.Event) {
	next, effects := p.caller.Handle(ev)
	p.caller = next
	p.collect(effects)
}

// collect executes the effects that concern other parts and keeps all others for the
// runtime. It does both with PublishEntries. It also adds TableDigests to gossip, and
// counts refusals and violations for Status.
func (p *parts) collect(effects []event.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.RaiseEvent:
			p.raised = append(p.raised, e.Event)
		case event.ClaimKey:
			next, effects := p.store.Claim(p.now, e.Request, e.Key)
			p.store = next
			p.collect(effects)
		case event.ReleaseClaim:
			next, effects := p.store.Release(p.now, e.Request)
			p.store = next
			p.collect(effects)
		case event.PublishEntries:
			p.updateEntries(e)
			p.runtimeEffects = append(p.runtimeEffects, e)
		case event.SendToPeer:
			if isGossip(e.Messages) {
				e.TableDigests = p.peer.Digests()
			}
			p.runtimeEffects = append(p.runtimeEffects, e)
		case event.ReportViolation:
			p.violations[e.Name]++
			p.runtimeEffects = append(p.runtimeEffects, e)
		case event.Refuse:
			p.refusals[e.Reason]++
			p.runtimeEffects = append(p.runtimeEffects, e)
		default:
			p.runtimeEffects = append(p.runtimeEffects, effect)
		}
	}
}

// isGossip reports whether an envelope with these messages is gossip: it contains a
// message with records of entry VMs, or no messages at all. Only gossip contains
// TableDigests, by which peers notice that their tables of entry VMs differ. The
// digests would make other envelopes several times longer.
func isGossip(messages []*peerpb.Message) bool {
	return len(messages) == 0 || slices.ContainsFunc(messages, func(m *peerpb.Message) bool { return m.GetRecords() != nil })
}
