package entry

import (
	"slices"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// maxRaised bounds the events that parts raise for each other in one step; more
// would mean that two parts answer each other without end.
const maxRaised = 10_000

// State is the state of the reducer; only the newest one may be used.
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

// Reduce takes one event and returns the newest state and what must be done.
func Reduce(s State, ev event.Event) (State, []event.Effect) {
	s.out = nil
	s.now = max(s.now, ev.Time())
	s.route(ev)
	for n := 0; len(s.raised) > 0; n++ {
		next := s.raised[0]
		s.raised = s.raised[1:]
		if n == maxRaised {
			s.raised = nil
			s.collect([]event.Effect{event.ReportViolation{Name: "raised-events", Detail: "parts raise events without end"}})

			break
		}
		s.route(next)
	}

	return s, s.out
}

// route gives an event to the parts that it concerns. The requests come last,
// so that they use what the other parts have just learned.
func (p *parts) route(ev event.Event) {
	switch e := ev.(type) {
	case event.RequestArrived, event.AttemptStarted, event.CallerDisconnected, event.ClaimEnded, event.ClaimReleased:
		p.toCaller(ev)
	case event.HeaderReceived, event.AttemptEnded:
		p.toBackend(ev)
		p.toCaller(ev)
	case event.LinkBytesRequested, event.LinkStreamEnded:
		p.toLink(ev)
	case event.ProbeEnded, event.LoadReported:
		p.toBackend(ev)
	case event.ConfigInForce:
		if e.Config.Version < p.config.Version {
			// A lower version must not replace a higher one.
			return
		}
		p.configure(e)
	case event.StopRequested:
		p.stop()
		p.toAll(ev)
	case event.Tick:
		p.handOver()
		p.tickLinks()
		p.toAll(ev)
	default:
		p.toAll(ev)
	}
}

func (p *parts) toAll(ev event.Event) {
	next, effects := p.peer.Handle(ev)
	p.peer = next
	p.collect(effects)
	p.toRegion(ev)
	p.toShift(ev)
	p.toLink(ev)
	p.toStore(ev)
	p.toBackend(ev)
	p.toCaller(ev)
}

func (p *parts) toRegion(ev event.Event) {
	next, effects := p.region.Handle(ev)
	p.region = next
	p.collect(effects)
	p.shareLinks()
}

func (p *parts) toShift(ev event.Event) {
	next, effects := p.shift.Handle(ev)
	p.shift = next
	p.collect(effects)
}

func (p *parts) toLink(ev event.Event) {
	next, effects := p.link.Handle(ev)
	p.link = next
	p.collect(effects)
}

func (p *parts) toStore(ev event.Event) {
	next, effects := p.store.Handle(ev)
	p.store = next
	p.collect(effects)
}

func (p *parts) toBackend(ev event.Event) {
	next, effects := p.backend.Handle(ev)
	p.backend = next
	p.collect(effects)
}

func (p *parts) toCaller(ev event.Event) {
	next, effects := p.caller.Handle(ev)
	p.caller = next
	p.collect(effects)
}

// collect routes the effects that concern other parts and keeps the rest for
// the runtime.
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
		case event.MembersPublished:
			p.members(e)
			p.out = append(p.out, e)
		case event.SendToPeer:
			if gossips(e.Messages) {
				e.TableDigests = p.peer.Digests()
			}
			p.out = append(p.out, e)
		case event.ReportViolation:
			p.violations[e.Name]++
			p.out = append(p.out, e)
		case event.Refuse:
			p.refusals[e.Reason]++
			p.out = append(p.out, e)
		default:
			p.out = append(p.out, effect)
		}
	}
}

// gossips reports whether messages spread records. Only these envelopes carry
// the digests by which peers notice that their tables differ; the digests would
// make the others several times longer.
func gossips(messages []*peerpb.Message) bool {
	return len(messages) == 0 || slices.ContainsFunc(messages, func(m *peerpb.Message) bool { return m.GetRecords() != nil })
}
