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

// scenario describes a simulated load: callers of several regions ask for objects,
// servers remember the objects that they handled last, and refused callers come back.
type scenario struct {
	Regions int `yaml:"regions"`
	// Entries is the number of entry VMs of each region.
	Entries int `yaml:"entries-per-region"`
	// Servers holds the number of servers of each region. Slots is the number of slots of
	// each server.
	Servers []int `yaml:"servers"`
	Slots   int   `yaml:"slots"`
	// UnknownObjectTime is the processing time at a server that does not know the object.
	// At a server that knows the object the time is multiplied by KnownFactor.
	// RememberedObjects is the number of objects that a server remembers.
	UnknownObjectTime time.Duration `yaml:"work"`
	KnownFactor       float64       `yaml:"known"`
	RememberedObjects int           `yaml:"remembers"`
	// Objects is the number of different objects for which the callers of one region ask.
	Objects int `yaml:"objects-per-region"`
	// Rate is the number of new callers a second in each region.
	Rate float64 `yaml:"rate"`
	// Distance is the network time from one region to another.
	Distance time.Duration `yaml:"distance"`
	Target   time.Duration `yaml:"target"`
	// Patience is how long a caller waits in all, from its first request on.
	Patience time.Duration `yaml:"patience"`
	// Timeout is the timeout of the route; 0 means Patience.
	Timeout time.Duration `yaml:"timeout"`
	// MaxRequests is the largest number of requests that a caller sends; 0 means
	// defaultMaxRequests.
	MaxRequests int `yaml:"tries"`
	Seconds     int `yaml:"seconds"`
	// CountFrom is the second from which callers are counted. Before that the servers get
	// to know the objects.
	CountFrom int `yaml:"from-second"`
	// LongShare is the share of the requests that take LongFactor times as long as the
	// others.
	LongShare  float64 `yaml:"long-share"`
	LongFactor float64 `yaml:"long-times"`
	// NoiseShare is the share of the servers that other VMs on the same machine slow down
	// at any moment. Requests take NoiseFactor times as long there. Whether a server is
	// slow is drawn again after MeanNoisePeriod on average.
	NoiseShare      float64       `yaml:"noise-share"`
	NoiseFactor     float64       `yaml:"noise-times"`
	MeanNoisePeriod time.Duration `yaml:"noise-every"`
	// ShedShare is the share of the requests that servers refuse although they have room.
	ShedShare float64 `yaml:"shed-share"`
	// Pause is how long servers that refuse a request want no more from that entry VM; 0
	// means that they do not say.
	Pause time.Duration `yaml:"pause"`
	// LostShare is the share of the servers, rounded up to tenths, that are removed at
	// LostAt. No server is removed if LostAt is 0.
	LostShare float64       `yaml:"lost-share"`
	LostAt    time.Duration `yaml:"lost-at"`
	// Former names another policy: withoutObjects, withoutPatience, toldOfPauses, or "" for
	// no comparison. The current policy must serve at least MinGain times as many callers
	// within the target as the other policy.
	Former  string  `yaml:"former"`
	MinGain float64 `yaml:"gain"`
	// MinServedShare is the share of callers that must be served within the target.
	MinServedShare float64 `yaml:"least"`
}

// defaultMaxRequests is the value of MaxRequests if a scenario does not set it.
const defaultMaxRequests = 4

// outcome counts all callers, and the callers by what they got in the end.
type outcome struct {
	callers, withinTarget, late, refused, failed int
}

// TestSimulatedLoads runs each scenario of testdata/play. It guards against policies
// that fill slots with requests whose responses come too late.
func TestSimulatedLoads(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/play/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var sc scenario
			require.NoError(t, yaml.UnmarshalWithOptions(data, &sc, yaml.Strict()))
			currentOutcome := newSimulation(sc, "").run()
			t.Logf("current policy: %+v", currentOutcome)
			require.GreaterOrEqual(t, float64(currentOutcome.withinTarget), sc.MinServedShare*float64(currentOutcome.callers))
			if sc.Former != "" {
				formerOutcome := newSimulation(sc, sc.Former).run()
				t.Logf("former policy: %+v", formerOutcome)
				require.GreaterOrEqual(t, float64(currentOutcome.withinTarget), sc.MinGain*float64(formerOutcome.withinTarget))
			}
		})
	}
}

// Values of scenario.Former.
const (
	// withoutObjects is a policy that does not keep objects on their servers.
	withoutObjects = "objects"
	// withoutPatience is a policy that does not recognise callers that come back.
	withoutPatience = "patience"
	// toldOfPauses is a policy in which an entry VM tells the others at which server it
	// pauses, and they pause too.
	toldOfPauses = "told"
)

// scheduledCall is a function to call at a simulated time. Calls at the same time are
// ordered by seq.
type scheduledCall struct {
	at   time.Duration
	seq  int
	call func()
}

// callQueue is a heap of calls, the earliest first.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any) {
	v, _ := x.(scheduledCall)
	*q = append(*q, v)
}

func (q *callQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]

	return v
}

// backend is a simulated backend server.
type backend struct {
	region  int
	running int
	// slowdown is the processing time now, relative to the usual one.
	slowdown float64
	// waiting holds one function for each request that waits for a slot. Calling the
	// function starts the request.
	waiting []func()
	// known holds the objects that the server remembers, the most recent one last.
	known []string
}

// entry is a simulated entry VM.
type entry struct {
	region int
	state  direct.State
}

// caller is a simulated caller, which asks for one object with one or more requests.
type caller struct {
	region         int
	object         string
	firstRequestAt time.Duration
	requests       int
	// counted is false for a caller that comes before scenario.CountFrom.
	counted bool
}

// simulation runs a scenario in simulated time on the reducers of all entry VMs.
type simulation struct {
	scenario
	formerPolicy string
	random       *rand.Rand
	now          time.Duration
	seq          int
	queue        callQueue

	entries       []*entry
	listedServers []direct.Server
	backends      map[string]*backend
	route         intent.Route
	callers       map[direct.RequestID]*caller
	entryOf       map[direct.RequestID]*entry
	lastID        direct.RequestID
	outcome       outcome
}

func region(n int) string { return fmt.Sprintf("region-%d", n) }

func newSimulation(sc scenario, formerPolicy string) *simulation {
	sim := &simulation{
		scenario: sc, formerPolicy: formerPolicy, random: rand.New(rand.NewPCG(1, 2)), backends: map[string]*backend{},
		callers: map[direct.RequestID]*caller{}, entryOf: map[direct.RequestID]*entry{},
	}
	sim.route = intent.Route{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: cmp.Or(sc.Timeout, sc.Patience), Target: sc.Target, MaxAttempts: 2,
		Sticky: formerPolicy != withoutObjects, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
	}
	var servers []direct.Server
	for r, n := range sc.Servers {
		for i := range n {
			id := fmt.Sprintf("server-%d-%d", r, i)
			sim.backends[id] = &backend{region: r, slowdown: 1}
			servers = append(servers, direct.Server{ID: id, Address: id, Service: "s", Zone: region(r), Region: region(r), Slots: sc.Slots})
		}
	}
	sim.listedServers = servers
	in := intent.New(1, []intent.Route{sim.route}, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})
	var names []string
	for r := range sc.Regions {
		for i := range sc.Entries {
			names = append(names, fmt.Sprintf("entry-%d-%d", r, i))
		}
	}
	for i, name := range names {
		e := &entry{region: i / sc.Entries, state: direct.New(direct.Settings{
			Name: name, Zone: region(i / sc.Entries), Region: region(i / sc.Entries), Seed: uint64(i),
			RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second,
		})}
		sim.entries = append(sim.entries, e)
		sim.apply(e, direct.IntentChanged{Intent: in})
		sim.apply(e, direct.EntryVMsChanged{Names: names})
		sim.apply(e, direct.ServersChanged{Servers: servers})
	}

	return sim
}

// after schedules call to run when the duration d has passed.
func (sim *simulation) after(d time.Duration, call func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledCall{at: sim.now + d, seq: sim.seq, call: call})
}

// run simulates the scenario and returns the outcome of the counted callers.
func (sim *simulation) run() outcome {
	end := time.Duration(sim.Seconds) * time.Second
	for r := range sim.Regions {
		sim.scheduleArrivals(r, end)
	}
	for i, e := range sim.entries {
		sim.scheduleTicks(i, e, end)
	}
	for _, s := range sim.listedServers {
		sim.varySpeed(sim.backends[s.ID], end)
	}
	if sim.LostAt > 0 {
		sim.after(sim.LostAt, sim.removeServers)
	}
	for sim.queue.Len() > 0 {
		next, _ := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = next.at
		next.call()
	}

	return sim.outcome
}

// scheduleArrivals schedules the callers of a region until the end.
func (sim *simulation) scheduleArrivals(r int, end time.Duration) {
	gap := time.Duration(sim.random.ExpFloat64() / sim.Rate * float64(time.Second))
	if sim.now+gap >= end {
		return
	}
	sim.after(gap, func() {
		counted := sim.now >= time.Duration(sim.CountFrom)*time.Second
		sim.count(counted, &sim.outcome.callers)
		object := fmt.Sprintf("%d-%d", r, sim.random.IntN(sim.Objects))
		sim.sendRequest(&caller{region: r, object: object, firstRequestAt: sim.now, counted: counted})
		sim.scheduleArrivals(r, end)
	})
}

// scheduleTicks schedules the ticks of an entry VM and its reports to the others until
// the end.
func (sim *simulation) scheduleTicks(i int, e *entry, end time.Duration) {
	const every = 100 * time.Millisecond
	sim.after(every, func() {
		sim.apply(e, direct.Tick{At: direct.At(sim.now)})
		report := e.state.Report()
		for _, other := range sim.entries {
			if other != e {
				sim.after(sim.roundTrip(e.region, other.region)/2, func() {
					sim.apply(other, direct.PeerReported{At: direct.At(sim.now), Peer: fmt.Sprint(i), Report: report})
				})
			}
		}
		if sim.now < end {
			sim.scheduleTicks(i, e, end)
		}
	})
}

// varySpeed draws at random intervals until the end whether a server is slow.
func (sim *simulation) varySpeed(b *backend, end time.Duration) {
	if sim.NoiseShare == 0 || sim.now >= end {
		return
	}
	b.slowdown = 1
	if sim.random.Float64() < sim.NoiseShare {
		b.slowdown = sim.NoiseFactor
	}
	sim.after(time.Duration(sim.random.ExpFloat64()*float64(sim.MeanNoisePeriod)), func() { sim.varySpeed(b, end) })
}

// removeServers removes LostShare of every ten servers, rounded up, from the list.
func (sim *simulation) removeServers() {
	var remaining []direct.Server
	for i, s := range sim.listedServers {
		if float64(i%10) >= 10*sim.LostShare {
			remaining = append(remaining, s)
		}
	}
	sim.listedServers = remaining
	for _, e := range sim.entries {
		sim.apply(e, direct.ServersChanged{At: direct.At(sim.now), Servers: remaining})
	}
}

// roundTrip returns the network time from one region to another and back.
func (sim *simulation) roundTrip(a, b int) time.Duration {
	if a == b {
		return time.Millisecond
	}

	return 2 * sim.Distance
}

// sendRequest sends a request of a caller to an entry VM of its region.
func (sim *simulation) sendRequest(c *caller) {
	c.requests++
	e := sim.entries[c.region*sim.Entries+sim.random.IntN(sim.Entries)]
	sim.lastID++
	id := sim.lastID
	sim.callers[id], sim.entryOf[id] = c, e
	remainingPatience := sim.Patience - (sim.now - c.firstRequestAt)
	ev := direct.RequestArrived{At: direct.At(sim.now), ID: id, Route: sim.route, Object: c.object, Deadline: sim.now + remainingPatience, Patience: remainingPatience}
	if sim.formerPolicy == withoutPatience {
		ev.Patience = 0
	}
	sim.apply(e, ev)
}

func (sim *simulation) apply(e *entry, ev direct.Event) {
	next, effects := direct.Reduce(e.state, ev)
	e.state = next
	for _, effect := range effects {
		sim.carryOut(e, effect)
	}
}

func (sim *simulation) carryOut(e *entry, effect direct.Effect) {
	switch f := effect.(type) {
	case direct.Send:
		rtt := sim.roundTrip(e.region, sim.backends[f.Server.ID].region)
		sim.after(rtt/2, func() { sim.runRequest(e, f, rtt) })
	case direct.Hold:
		sim.after(f.Until-sim.now, func() { sim.apply(e, direct.HoldExpired{At: direct.At(sim.now), ID: f.ID}) })
	case direct.Refuse:
		sim.refused(sim.callers[f.ID], f.RetryAfter)
	case direct.ReturnResponse:
		sim.recordResponse(sim.callers[f.ID])
	case direct.Fail:
		sim.count(sim.callers[f.ID].counted, &sim.outcome.failed)
	}
}

// count increments counter, a field of the outcome, if counted is true.
func (sim *simulation) count(counted bool, counter *int) {
	if counted {
		*counter++
	}
}

// runRequest runs a request at a server, at once or when a slot is free, unless the
// server sheds it.
func (sim *simulation) runRequest(e *entry, f direct.Send, rtt time.Duration) {
	b := sim.backends[f.Server.ID]
	if sim.random.Float64() < sim.ShedShare {
		sim.endAttempt(e, f, rtt/2, direct.NotRun, false)
		if sim.formerPolicy == toldOfPauses {
			sim.tellOfPause(e, f.Server.ID)
		}

		return
	}
	start := func() {
		if sim.now >= f.Deadline {
			sim.endAttempt(e, f, rtt, direct.Unknown, true)
			sim.freeSlot(b)

			return
		}
		took := sim.processingTime(b, sim.callers[f.ID].object)
		untilDeadline := f.Deadline - sim.now
		if took > untilDeadline {
			sim.after(untilDeadline, func() { sim.endAttempt(e, f, 0, direct.Unknown, true); sim.freeSlot(b) })

			return
		}
		sim.after(took, func() { sim.endAttempt(e, f, rtt/2, direct.Answered, false); sim.freeSlot(b) })
	}
	if b.running < sim.Slots {
		b.running++
		start()

		return
	}
	b.waiting = append(b.waiting, start)
}

// tellOfPause lets the other entry VMs pause at a server, as if it had asked them to.
func (sim *simulation) tellOfPause(e *entry, server string) {
	const reportTime = 100 * time.Millisecond
	for _, other := range sim.entries {
		if other != e {
			sim.after(reportTime, func() {
				sim.apply(other, direct.ProbeEnded{At: direct.At(sim.now), Server: server, Healthy: true, PauseFor: option.Some(sim.Pause)})
			})
		}
	}
}

// freeSlot gives a slot to the next waiting request.
func (sim *simulation) freeSlot(b *backend) {
	if len(b.waiting) == 0 {
		b.running--

		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	next()
}

// processingTime returns the processing time of a request for an object at a server.
// The server remembers the object from then on.
func (sim *simulation) processingTime(b *backend, object string) time.Duration {
	took := float64(sim.UnknownObjectTime) * (0.85 + 0.3*sim.random.Float64()) * b.slowdown
	for i, known := range b.known {
		if known == object {
			took *= sim.KnownFactor
			b.known = append(b.known[:i], b.known[i+1:]...)

			break
		}
	}
	b.known = append(b.known, object)
	if len(b.known) > sim.RememberedObjects {
		b.known = b.known[1:]
	}
	if sim.random.Float64() < sim.LongShare {
		took *= sim.LongFactor
	}

	return time.Duration(took)
}

// endAttempt tells entry VM e, networkTime from now, that its attempt has ended.
func (sim *simulation) endAttempt(e *entry, f direct.Send, networkTime time.Duration, o direct.Outcome, timedOut bool) {
	sim.after(networkTime, func() {
		b := sim.backends[f.Server.ID]
		var pause option.Option[time.Duration]
		if o == direct.NotRun && sim.Pause > 0 {
			pause = option.Some(sim.Pause)
		}
		sim.apply(e, direct.AttemptEnded{
			PauseFor: pause,
			At:       direct.At(sim.now), ID: f.ID, Outcome: o, Status: 200, TimedOut: timedOut, DialTook: sim.roundTrip(e.region, b.region),
			Load: option.Some(direct.Load{RunningRequests: b.running, WaitingRequests: len(b.waiting), Slowdown: b.slowdown}),
		})
	})
}

func (sim *simulation) recordResponse(c *caller) {
	if sim.now-c.firstRequestAt <= sim.Target {
		sim.count(c.counted, &sim.outcome.withinTarget)
	} else {
		sim.count(c.counted, &sim.outcome.late)
	}
}

// refused handles a refusal; the parameter after is how long the caller is asked to
// wait. The caller comes back after that time, or after a third of its remaining
// patience if that is shorter. It gives up if it may send no more requests. It also
// gives up if it has come back before and is asked to wait for more than a third of its
// remaining patience.
func (sim *simulation) refused(c *caller, after time.Duration) {
	remainingPatience := sim.Patience - (sim.now - c.firstRequestAt)
	if c.requests >= cmp.Or(sim.MaxRequests, defaultMaxRequests) || after > remainingPatience/3 && c.requests > 1 {
		sim.count(c.counted, &sim.outcome.refused)

		return
	}
	sim.after(min(after, remainingPatience/3), func() { sim.sendRequest(c) })
}
