// Package link decides when an entry VM may send the bytes of requests and responses
// to other regions; the program "greengagetally entry" uses it.
//
// A link is one direction between two regions. Each link has a token bucket, which
// fills at this entry's share of the link's limit. Short requests go before long
// requests, and long requests before bulk work.
package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// burstTime is the depth of the token bucket: a link that was idle may send at
	// once as much as its rate allows in this time. While streams wait, the interval
	// between ticks must be shorter than burstTime, for example 10 ms, or bandwidth
	// is lost.
	burstTime = 20 * time.Millisecond
	// maxGrantBytes is the size limit of one grant, so that a large body does not
	// delay small bodies.
	maxGrantBytes = 16 << 10
	// classCount is the number of queues of a link, one for each model.Class.
	classCount = 3
)

// Use tells how one link is used. The figures are shown to operators and decide how
// the link's limit is divided among entry VMs.
type Use struct {
	Link model.LinkID
	// ShareBits is this entry's share of the limit in bits a second.
	ShareBits int64
	// SentBits are the bits granted in the last second.
	SentBits int64
	// Waiting is the number of streams that wait, by class; bulk work that was moved
	// to the short queue to finish in time counts as short.
	Waiting [classCount]int
}

// State is the part of the reducer that shapes links. Copies share their data: an
// older copy changes with the newest one.
type State struct {
	c *core
}

// core is the data that all copies of a State share.
type core struct {
	now time.Duration // time of the newest event, since the process started
	// midnight is when the present day began in UTC, as a time since the process
	// started. It may be negative.
	midnight time.Duration
	links    map[model.LinkID]*linkState
	services map[string]*service
}

// linkState holds the token bucket and the waiting streams of one link.
type linkState struct {
	id    model.LinkID
	share int64 // this entry's share of the limit, in bits a second
	// fullAt is when the bucket is full if nothing more is granted; it is at most
	// burstTime ahead of the present.
	fullAt time.Duration
	queues [classCount][]*stream // by class
	meter  meter
}

// stream is a header or body that waits for bandwidth.
type stream struct {
	id      uint64
	service *service
	class   model.Class // as requested, even if the stream is in the short queue
	bytes   int64       // bytes that are not granted yet
}

// New returns a state without a share of any link.
func New() State {
	return State{c: &core{links: map[model.LinkID]*linkState{}, services: map[string]*service{}}}
}

// Handle applies an event and returns a GrantLinkBytes for each part of a stream that
// may be sent now. Events that do not concern links are ignored.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	c := s.c
	c.now = max(c.now, ev.Time())
	switch e := ev.(type) {
	case event.Tick:
		c.raiseLateBulk()

		var effects []event.Effect
		for _, l := range c.sortedLinks() {
			effects = c.grant(l, effects)
		}

		return s, effects
	case event.ConfigInForce:
		c.configure(e.Config)
	case event.LinkBytesRequested:
		return s, c.requestBytes(e)
	case event.LinkStreamEnded:
		if l, ok := c.links[e.Link]; ok {
			l.removeStream(e.Stream)
		}
	}

	return s, nil
}

// WithShare sets this entry's share of a link in bits a second. A larger share adds
// no bytes to the bucket at once, because another entry gave up that part of the
// limit and may just have sent a burst at its old share.
func (s State) WithShare(link model.LinkID, bitsPerSecond int64) State {
	l := s.c.linkState(link)
	if bitsPerSecond > l.share {
		available := burstTime - max(0, l.fullAt-s.c.now)
		available = time.Duration(float64(available) * float64(l.share) / float64(bitsPerSecond))
		l.fullAt = s.c.now + burstTime - available
	}
	l.share = bitsPerSecond

	return s
}

// Uses returns the use of each link, sorted by the names of its regions.
func (s State) Uses() []Use {
	var uses []Use
	for _, l := range s.c.sortedLinks() {
		u := Use{Link: l.id, ShareBits: l.share, SentBits: 8 * l.meter.lastSecond(s.c.now)}
		for i, q := range l.queues {
			u.Waiting[i] = len(q)
		}
		uses = append(uses, u)
	}

	return uses
}

// linkState returns the state of a link. It adds a state without a share for a new
// link.
func (c *core) linkState(id model.LinkID) *linkState {
	l, ok := c.links[id]
	if !ok {
		l = &linkState{id: id}
		c.links[id] = l
	}

	return l
}

func (c *core) sortedLinks() []*linkState {
	out := make([]*linkState, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *linkState) int {
		return cmp.Or(cmp.Compare(a.id.From, b.id.From), cmp.Compare(a.id.To, b.id.To))
	})

	return out
}

// requestBytes adds the requested bytes to the waiting bytes of the stream and grants
// what the bucket of the link holds.
func (c *core) requestBytes(e event.LinkBytesRequested) []event.Effect {
	if e.Bytes <= 0 {
		return nil
	}
	l := c.linkState(e.Link)
	sv := c.service(e.Service)
	class := e.Class
	if class == model.ClassBulk && sv.raised {
		class = model.ClassShort
	}
	if st := l.findStream(e.Stream); st != nil {
		st.bytes += e.Bytes
	} else {
		l.queues[class] = append(l.queues[class], &stream{id: e.Stream, service: sv, class: e.Class, bytes: e.Bytes})
	}

	return c.grant(l, nil)
}

// grant appends grants while streams wait and the bucket holds enough for the next
// grant. It serves class after class, and the streams of a class in turn. A grant is
// at most about half of what a full bucket holds.
func (c *core) grant(l *linkState, effects []event.Effect) []event.Effect {
	for class := range l.queues {
		for len(l.queues[class]) > 0 {
			st := l.queues[class][0]
			n := min(st.bytes, maxGrantBytes, l.bytesIn(burstTime)/2+1)
			if !l.consume(n, c.now) {
				return effects
			}
			st.bytes -= n
			st.service.countSent(n, c.now)
			l.meter.add(n, c.now)
			effects = append(effects, event.GrantLinkBytes{Stream: st.id, Bytes: n})
			l.queues[class] = l.queues[class][1:]
			if st.bytes > 0 {
				l.queues[class] = append(l.queues[class], st)
			}
		}
	}

	return effects
}

// bytesIn returns how many bytes the link's rate allows in the duration d. The rate is
// lower than the share, so that the bytes of one second at this rate, plus a burst, do
// not exceed the share.
func (l *linkState) bytesIn(d time.Duration) int64 {
	return int64(float64(l.share) / 8 * float64(d) / float64(time.Second+burstTime))
}

// consume takes n bytes from the bucket. It returns false, and takes none, if the
// bucket holds fewer.
func (l *linkState) consume(n int64, now time.Duration) bool {
	if l.share <= 0 {
		return false
	}
	cost := time.Duration(float64(n)*8*float64(time.Second+burstTime)/float64(l.share)) + 1
	fullAt := max(l.fullAt, now) + cost
	if fullAt > now+burstTime {
		return false
	}
	l.fullAt = fullAt

	return true
}

func (l *linkState) findStream(id uint64) *stream {
	for _, q := range l.queues {
		for _, st := range q {
			if st.id == id {
				return st
			}
		}
	}

	return nil
}

func (l *linkState) removeStream(id uint64) {
	for i := range l.queues {
		l.queues[i] = slices.DeleteFunc(l.queues[i], func(st *stream) bool { return st.id == id })
	}
}

// NextGrant returns the time, since the process started, from which a grant is
// possible: the bucket of a link with waiting streams is then at least half full. It
// returns false when no stream waits on a link with a share.
func (s State) NextGrant() (time.Duration, bool) {
	earliest, waiting := time.Duration(0), false
	for _, l := range s.c.links {
		n := len(l.queues[0]) + len(l.queues[1]) + len(l.queues[2])
		if n == 0 || l.share <= 0 {
			continue
		}
		at := max(s.c.now, l.fullAt-burstTime/2)
		if !waiting || at < earliest {
			earliest, waiting = at, true
		}
	}

	return earliest, waiting
}
