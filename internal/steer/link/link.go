// Package link shapes the bytes that an entry VM sends to other regions, short
// requests before bulk.
package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// burst is the time for which a link that was idle may send at once. Ticks
	// must come more often while streams wait, such as every 10 ms.
	burst = 20 * time.Millisecond
	// chunk bounds one grant, so that a large body does not hold up short ones.
	chunk = 16 << 10
	// classes is the number of queues of a link.
	classes = 3
)

// Use describes one link for status displays.
type Use struct {
	Link model.LinkID
	// ShareBits is this entry's share in bits a second.
	ShareBits int64
	// SentBits are the bits granted in the last second.
	SentBits int64
	// Waiting is the number of streams that wait, by class.
	Waiting [classes]int
}

// State is the part of the reducer that shapes links. Copies share their
// containers, which belong to the newest state.
type State struct {
	c *core
}

type core struct {
	now      time.Duration
	midnight time.Duration
	links    map[model.LinkID]*pipe
	services map[string]*service
}

// pipe is one link.
type pipe struct {
	id    model.LinkID
	share int64
	// empty is when the bucket would be full again after what was granted; it
	// is at most burst ahead of the present.
	empty  time.Duration
	queues [classes][]*stream
	meter  meter
}

type stream struct {
	id      uint64
	service *service
	class   model.Class
	bytes   int64
}

// New returns a state without a share of any link.
func New() State {
	return State{c: &core{links: map[model.LinkID]*pipe{}, services: map[string]*service{}}}
}

// Handle applies an event and returns the bytes that may be sent.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.now = max(c.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.raise()

		var out []event.Effect
		for _, p := range c.sorted() {
			out = c.grant(p, out)
		}

		return s, out
	case event.ConfigInForce:
		c.configure(e.Config)
	case event.LinkBytesRequested:
		return s, c.want(e)
	case event.LinkStreamEnded:
		if p, ok := c.links[e.Link]; ok {
			p.remove(e.Stream)
		}
	}

	return s, nil
}

// WithShare sets this entry's share of a link in bits a second. What a larger
// share adds to the burst is granted only as time passes, because the member
// that gave it may have used it a moment ago.
func (s State) WithShare(link model.LinkID, bitsPerSecond int64) State {
	p := s.c.pipe(link)
	if bitsPerSecond > p.share {
		saved := burst - max(0, p.empty-s.c.now)
		saved = time.Duration(float64(saved) * float64(p.share) / float64(bitsPerSecond))
		p.empty = s.c.now + burst - saved
	}
	p.share = bitsPerSecond

	return s
}

// Uses returns the use of each link, by name.
func (s State) Uses() []Use {
	var uses []Use
	for _, p := range s.c.sorted() {
		u := Use{Link: p.id, ShareBits: p.share, SentBits: 8 * p.meter.lastSecond(s.c.now)}
		for i, q := range p.queues {
			u.Waiting[i] = len(q)
		}
		uses = append(uses, u)
	}

	return uses
}

func (c *core) pipe(id model.LinkID) *pipe {
	p, ok := c.links[id]
	if !ok {
		p = &pipe{id: id}
		c.links[id] = p
	}

	return p
}

func (c *core) sorted() []*pipe {
	out := make([]*pipe, 0, len(c.links))
	for _, p := range c.links {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pipe) int {
		return cmp.Or(cmp.Compare(a.id.From, b.id.From), cmp.Compare(a.id.To, b.id.To))
	})

	return out
}

// want adds a waiting body and grants what the bucket holds.
func (c *core) want(e event.LinkBytesRequested) []event.Effect {
	if e.Bytes <= 0 {
		return nil
	}
	p := c.pipe(e.Link)
	sv := c.service(e.Service)
	class := e.Class
	if class == model.ClassBulk && sv.raised {
		class = model.ClassShort
	}
	if st := p.find(e.Stream); st != nil {
		st.bytes += e.Bytes
	} else {
		p.queues[class] = append(p.queues[class], &stream{id: e.Stream, service: sv, class: e.Class, bytes: e.Bytes})
	}

	return c.grant(p, nil)
}

// grant gives chunks while the bucket holds them, by class and in turn within
// a class.
func (c *core) grant(p *pipe, out []event.Effect) []event.Effect {
	for class := range p.queues {
		for len(p.queues[class]) > 0 {
			st := p.queues[class][0]
			n := min(st.bytes, chunk, p.holds(burst)/2+1)
			if !p.take(n, c.now) {
				return out
			}
			st.bytes -= n
			st.service.sent(n, c.now)
			p.meter.add(n, c.now)
			out = append(out, event.GrantLinkBytes{Stream: st.id, Bytes: n})
			p.queues[class] = p.queues[class][1:]
			if st.bytes > 0 {
				p.queues[class] = append(p.queues[class], st)
			}
		}
	}

	return out
}

// holds returns the bytes of a time at the link's rate. The rate is lower than
// the share, so that rate and burst together fit the share in any second.
func (p *pipe) holds(d time.Duration) int64 {
	return int64(float64(p.share) / 8 * float64(d) / float64(time.Second+burst))
}

// take uses the bucket for n bytes when it holds them.
func (p *pipe) take(n int64, now time.Duration) bool {
	if p.share <= 0 {
		return false
	}
	cost := time.Duration(float64(n)*8*float64(time.Second+burst)/float64(p.share)) + 1
	empty := max(p.empty, now) + cost
	if empty > now+burst {
		return false
	}
	p.empty = empty

	return true
}

func (p *pipe) find(id uint64) *stream {
	for _, q := range p.queues {
		for _, st := range q {
			if st.id == id {
				return st
			}
		}
	}

	return nil
}

func (p *pipe) remove(id uint64) {
	for i := range p.queues {
		p.queues[i] = slices.DeleteFunc(p.queues[i], func(st *stream) bool { return st.id == id })
	}
}

// NextGrant returns when the next grant is possible, or false when no stream waits
// on a link with a share.
func (s State) NextGrant() (time.Duration, bool) {
	wake, waiting := time.Duration(0), false
	for _, p := range s.c.links {
		n := len(p.queues[0]) + len(p.queues[1]) + len(p.queues[2])
		if n == 0 || p.share <= 0 {
			continue
		}
		at := max(s.c.now, p.empty-burst/2)
		if !waiting || at < wake {
			wake, waiting = at, true
		}
	}

	return wake, waiting
}
