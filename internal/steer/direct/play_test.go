package direct_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/option"
)

// load is a played load: callers of several regions ask for objects, servers
// remember the objects that they handled last, and refused callers come back.
type load struct {
	Regions int `yaml:"regions"`
	Entries int `yaml:"entries-per-region"`
	// Servers are the servers of each region, by region.
	Servers []int `yaml:"servers"`
	Slots   int   `yaml:"slots"`
	// Work is the time at a server that does not know the object; Known is the
	// part of it at one that does. Remembers is the number of objects known.
	Work      time.Duration `yaml:"work"`
	Known     float64       `yaml:"known"`
	Remembers int           `yaml:"remembers"`
	Objects   int           `yaml:"objects-per-region"`
	// Rate is the number of callers a second of each region.
	Rate     float64       `yaml:"rate"`
	Distance time.Duration `yaml:"distance"`
	Target   time.Duration `yaml:"target"`
	Patience time.Duration `yaml:"patience"`
	// Timeout is the operators' limit; 0 is the callers' patience.
	Timeout time.Duration `yaml:"timeout"`
	// Tries bounds how often a caller asks.
	Tries   int `yaml:"tries"`
	Seconds int `yaml:"seconds"`
	// From is the second from which callers are counted; before it the servers get
	// to know the objects.
	From      int     `yaml:"from-second"`
	LongShare float64 `yaml:"long-share"`
	LongTimes float64 `yaml:"long-times"`
	// Neighbours take a server's machine for a while: at any moment work takes
	// NoiseTimes as long on NoiseShare of the servers, which changes every NoiseEvery.
	NoiseShare float64       `yaml:"noise-share"`
	NoiseTimes float64       `yaml:"noise-times"`
	NoiseEvery time.Duration `yaml:"noise-every"`
	// ShedShare of the requests are refused by the servers, although they have room.
	ShedShare float64 `yaml:"shed-share"`
	// LostShare of the servers leave at LostAt.
	LostShare float64       `yaml:"lost-share"`
	LostAt    time.Duration `yaml:"lost-at"`
	// Gain is how many times as many callers must be served within the target as
	// under the former policy; Former names what the former policy lacked.
	Former string  `yaml:"former"`
	Gain   float64 `yaml:"gain"`
	// Least is the share that must be served within the target.
	Least float64 `yaml:"least"`
}

// callersTries is how often a caller asks when a load does not say.
const callersTries = 4

// outcome counts what callers got.
type outcome struct {
	asked, inTarget, late, refused, failed int
}

// TestPlay plays each load of testdata/play and checks what callers get. It
// guards against policies that fill slots with work that comes too late.
func TestPlay(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/play/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var l load
			require.NoError(t, yaml.UnmarshalWithOptions(data, &l, yaml.Strict()))
			now := newPlay(l, "").run()
			t.Logf("now: %+v", now)
			require.GreaterOrEqual(t, float64(now.inTarget), l.Least*float64(now.asked))
			if l.Former != "" {
				former := newPlay(l, l.Former).run()
				t.Logf("former: %+v", former)
				require.GreaterOrEqual(t, float64(now.inTarget), l.Gain*float64(former.inTarget))
			}
		})
	}
}

// Policies that the former versions lacked.
const (
	// withoutObjects does not keep objects on servers.
	withoutObjects = "objects"
	// withoutPatience does not recognise callers that come back.
	withoutPatience = "patience"
)

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any) {
	v, _ := x.(happening)
	*h = append(*h, v)
}

func (h *happenings) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]

	return v
}

// backend is a server of the play.
type backend struct {
	region  int
	running int
	// slow is how much longer work takes now.
	slow    float64
	waiting []func()
	known   []string
}

type entry struct {
	region int
	state  direct.State
}

// ask is one caller with all its attempts.
type ask struct {
	region int
	object string
	first  time.Duration
	tries  int
	// counted is false for a caller before the first second that counts.
	counted bool
}

type play struct {
	load
	former string
	random *rand.Rand
	now    time.Duration
	seq    int
	queue  happenings

	entries  []*entry
	listed   []direct.Server
	backends map[string]*backend
	route    intent.Route
	asks     map[direct.RequestID]*ask
	at       map[direct.RequestID]*entry
	lastID   direct.RequestID
	outcome  outcome
}

func region(n int) string { return fmt.Sprintf("region-%d", n) }

func newPlay(l load, former string) *play {
	p := &play{
		load: l, former: former, random: rand.New(rand.NewPCG(1, 2)), backends: map[string]*backend{},
		asks: map[direct.RequestID]*ask{}, at: map[direct.RequestID]*entry{},
	}
	p.route = intent.Route{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: cmp.Or(l.Timeout, l.Patience), Target: l.Target, MaxAttempts: 2,
		Sticky: former != withoutObjects, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
	}
	var servers []direct.Server
	for r, n := range l.Servers {
		for i := range n {
			id := fmt.Sprintf("server-%d-%d", r, i)
			p.backends[id] = &backend{region: r, slow: 1}
			servers = append(servers, direct.Server{ID: id, Address: id, Service: "s", Zone: region(r), Region: region(r), Slots: l.Slots})
		}
	}
	p.listed = servers
	in := intent.New(1, []intent.Route{p.route}, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})
	var names []string
	for r := range l.Regions {
		for i := range l.Entries {
			names = append(names, fmt.Sprintf("entry-%d-%d", r, i))
		}
	}
	for i, name := range names {
		e := &entry{region: i / l.Entries, state: direct.New(direct.Settings{
			Name: name, Zone: region(i / l.Entries), Region: region(i / l.Entries), Seed: uint64(i),
			RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second,
		})}
		p.entries = append(p.entries, e)
		p.apply(e, direct.IntentChanged{Intent: in})
		p.apply(e, direct.EntriesChanged{Names: names})
		p.apply(e, direct.ServersChanged{Servers: servers})
	}

	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, happening{at: p.now + d, seq: p.seq, do: do})
}

func (p *play) run() outcome {
	end := time.Duration(p.Seconds) * time.Second
	for r := range p.Regions {
		p.arrivals(r, end)
	}
	for i, e := range p.entries {
		p.ticks(i, e, end)
	}
	for _, s := range p.listed {
		p.neighbours(p.backends[s.ID], end)
	}
	if p.LostAt > 0 {
		p.after(p.LostAt, p.lose)
	}
	for p.queue.Len() > 0 {
		h, _ := heap.Pop(&p.queue).(happening)
		p.now = h.at
		h.do()
	}

	return p.outcome
}

func (p *play) arrivals(r int, end time.Duration) {
	gap := time.Duration(p.random.ExpFloat64() / p.Rate * float64(time.Second))
	if p.now+gap >= end {
		return
	}
	p.after(gap, func() {
		counted := p.now >= time.Duration(p.From)*time.Second
		p.count(counted, &p.outcome.asked)
		object := fmt.Sprintf("%d-%d", r, p.random.IntN(p.Objects))
		p.try(&ask{region: r, object: object, first: p.now, counted: counted})
		p.arrivals(r, end)
	})
}

// ticks lets an entry's time pass and its reports reach the others.
func (p *play) ticks(i int, e *entry, end time.Duration) {
	const every = 100 * time.Millisecond
	p.after(every, func() {
		p.apply(e, direct.Tick{At: direct.At(p.now)})
		report := e.state.Report()
		for _, other := range p.entries {
			if other != e {
				p.after(p.between(e.region, other.region)/2, func() {
					p.apply(other, direct.PeerReported{At: direct.At(p.now), Peer: fmt.Sprint(i), Report: report})
				})
			}
		}
		if p.now < end {
			p.ticks(i, e, end)
		}
	})
}

// neighbours slows a server down and up again until the end.
func (p *play) neighbours(b *backend, end time.Duration) {
	if p.NoiseShare == 0 || p.now >= end {
		return
	}
	b.slow = 1
	if p.random.Float64() < p.NoiseShare {
		b.slow = p.NoiseTimes
	}
	p.after(time.Duration(p.random.ExpFloat64()*float64(p.NoiseEvery)), func() { p.neighbours(b, end) })
}

// lose lets a share of each region's servers leave.
func (p *play) lose() {
	var left []direct.Server
	for i, s := range p.listed {
		if float64(i%10) >= 10*p.LostShare {
			left = append(left, s)
		}
	}
	p.listed = left
	for _, e := range p.entries {
		p.apply(e, direct.ServersChanged{At: direct.At(p.now), Servers: left})
	}
}

// between returns the time from one region to another and back.
func (p *play) between(a, b int) time.Duration {
	if a == b {
		return time.Millisecond
	}

	return 2 * p.Distance
}

func (p *play) try(a *ask) {
	a.tries++
	e := p.entries[a.region*p.Entries+p.random.IntN(p.Entries)]
	p.lastID++
	id := p.lastID
	p.asks[id], p.at[id] = a, e
	left := p.Patience - (p.now - a.first)
	ev := direct.RequestArrived{At: direct.At(p.now), ID: id, Route: p.route, Object: a.object, Deadline: p.now + left, Patience: left}
	if p.former == withoutPatience {
		ev.Patience = 0
	}
	p.apply(e, ev)
}

func (p *play) apply(e *entry, ev direct.Event) {
	next, effects := direct.Reduce(e.state, ev)
	e.state = next
	for _, effect := range effects {
		p.carryOut(e, effect)
	}
}

func (p *play) carryOut(e *entry, effect direct.Effect) {
	switch f := effect.(type) {
	case direct.Send:
		way := p.between(e.region, p.backends[f.Server.ID].region)
		p.after(way/2, func() { p.arriveAt(e, f, way) })
	case direct.Hold:
		p.after(f.Until-p.now, func() { p.apply(e, direct.HoldExpired{At: direct.At(p.now), ID: f.ID}) })
	case direct.Refuse:
		p.refused(p.asks[f.ID], f.RetryAfter)
	case direct.ReturnAnswer:
		p.answered(p.asks[f.ID])
	case direct.Fail:
		p.count(p.asks[f.ID].counted, &p.outcome.failed)
	}
}

// count adds a caller to one of the outcome's figures.
func (p *play) count(counted bool, figure *int) {
	if counted {
		*figure++
	}
}

// arriveAt runs a request at a server, or lets it wait for a slot.
func (p *play) arriveAt(e *entry, f direct.Send, way time.Duration) {
	b := p.backends[f.Server.ID]
	if p.random.Float64() < p.ShedShare {
		p.ended(e, f, way/2, direct.NotRun, false)

		return
	}
	start := func() {
		if p.now >= f.Deadline {
			p.ended(e, f, way, direct.Unknown, true)
			p.free(b)

			return
		}
		took := p.work(b, p.asks[f.ID].object)
		over := f.Deadline - p.now
		if took > over {
			p.after(over, func() { p.ended(e, f, 0, direct.Unknown, true); p.free(b) })

			return
		}
		p.after(took, func() { p.ended(e, f, way/2, direct.Answered, false); p.free(b) })
	}
	if b.running < p.Slots {
		b.running++
		start()

		return
	}
	b.waiting = append(b.waiting, start)
}

func (p *play) free(b *backend) {
	if len(b.waiting) == 0 {
		b.running--

		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	next()
}

// work returns the time that an object takes at a server, which remembers it.
func (p *play) work(b *backend, object string) time.Duration {
	took := float64(p.Work) * (0.85 + 0.3*p.random.Float64()) * b.slow
	for i, known := range b.known {
		if known == object {
			took *= p.Known
			b.known = append(b.known[:i], b.known[i+1:]...)

			break
		}
	}
	b.known = append(b.known, object)
	if len(b.known) > p.Remembers {
		b.known = b.known[1:]
	}
	if p.random.Float64() < p.LongShare {
		took *= p.LongTimes
	}

	return time.Duration(took)
}

func (p *play) ended(e *entry, f direct.Send, way time.Duration, o direct.Outcome, timedOut bool) {
	p.after(way, func() {
		b := p.backends[f.Server.ID]
		p.apply(e, direct.AttemptEnded{
			At: direct.At(p.now), ID: f.ID, Outcome: o, Status: 200, TimedOut: timedOut, DialTook: p.between(e.region, b.region),
			Load: option.Some(direct.Load{Running: b.running, Waiting: len(b.waiting), Slowdown: b.slow}),
		})
	})
}

func (p *play) answered(a *ask) {
	if p.now-a.first <= p.Target {
		p.count(a.counted, &p.outcome.inTarget)
	} else {
		p.count(a.counted, &p.outcome.late)
	}
}

// refused lets the caller come back, as long as a third of its patience allows.
func (p *play) refused(a *ask, after time.Duration) {
	left := p.Patience - (p.now - a.first)
	if a.tries >= cmp.Or(p.Tries, callersTries) || after > left/3 && a.tries > 1 {
		p.count(a.counted, &p.outcome.refused)

		return
	}
	p.after(min(after, left/3), func() { p.try(a) })
}
