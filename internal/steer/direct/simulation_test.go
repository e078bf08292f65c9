package direct_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
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
	// From BurstAt on, for BurstFor, the rate is BurstTimes as high.
	BurstAt    time.Duration `yaml:"burst-at"`
	BurstFor   time.Duration `yaml:"burst-for"`
	BurstTimes float64       `yaml:"burst-times"`
	// Distance is the network time from one region to another.
	Distance time.Duration `yaml:"distance"`
	Target   time.Duration `yaml:"target"`
	// Patience is how long a caller waits in all, from its first request on.
	Patience time.Duration `yaml:"patience"`
	// Timeout is the timeout of the route; 0 means the patience of each caller.
	Timeout time.Duration `yaml:"timeout"`
	// MaxRequests is the largest number of requests that a caller sends; 0 means
	// defaultMaxRequests.
	MaxRequests int `yaml:"tries"`
	// Kinds are the kinds of callers. Without any, all have Patience and MaxRequests.
	Kinds []callerKind `yaml:"callers"`
	// Customers are the customers to whom the callers belong; without any there are none.
	Customers []customerKind `yaml:"customers"`
	Seconds   int            `yaml:"seconds"`
	// CountFrom is the second from which callers are counted. Before that the servers get
	// to know the objects.
	CountFrom int `yaml:"from-second"`
	// LongShare is the share of the requests that take LongFactor times as long as the
	// others.
	LongShare  float64 `yaml:"long-share"`
	LongFactor float64 `yaml:"long-times"`
	// LongAnywhere is true if these requests take as long at any server; otherwise each
	// server draws anew.
	LongAnywhere bool `yaml:"long-anywhere"`
	// From SlowAt on, for SlowFor, all servers take SlowTimes as long, without saying so.
	SlowAt    time.Duration `yaml:"slow-at"`
	SlowFor   time.Duration `yaml:"slow-for"`
	SlowTimes float64       `yaml:"slow-times"`
	// HedgeShare is direct.HedgeShares.Default.
	HedgeShare float64 `yaml:"hedge-share"`
	// Without hedges the 99th percentile must be at least MinTailGain times as long. With
	// them, attempts may spend at most MaxSlotTime times as long in slots.
	MinTailGain float64 `yaml:"tail-gain"`
	MaxSlotTime float64 `yaml:"most-slot-time"`
	// NoiseShare is the share of the servers that other VMs on the same machine slow down
	// at any moment. Requests take NoiseFactor times as long there. Whether a server is
	// slow is drawn again after MeanNoisePeriod on average.
	NoiseShare      float64       `yaml:"noise-share"`
	NoiseFactor     float64       `yaml:"noise-times"`
	MeanNoisePeriod time.Duration `yaml:"noise-every"`
	// ShedShare is the share of the requests that servers refuse although they have room.
	ShedShare float64 `yaml:"shed-share"`
	// SheddingServers is the share of the servers that do so, rounded up to tenths; 0 means
	// all.
	SheddingServers float64 `yaml:"shedding-servers"`
	// Room is the number of requests that a server lets wait at most; it refuses others. 0
	// means any number.
	Room int `yaml:"room"`
	// ReportAge is how old the reports of other entry VMs are when they arrive, besides the
	// network time: at random between a sixth of it and all.
	ReportAge time.Duration `yaml:"report-age"`
	// Pause is how long servers that refuse a request want no more from that entry VM; 0
	// means that they do not say.
	Pause time.Duration `yaml:"pause"`
	// LostShare is the share of the servers, rounded up to tenths, that are removed at
	// LostAt. No server is removed if LostAt is 0.
	LostShare float64       `yaml:"lost-share"`
	LostAt    time.Duration `yaml:"lost-at"`
	// Former names another policy: withoutObjects, toldOfPauses, inOrderOfArrival, or "" for
	// no comparison. It must answer at most 1/MinGain times as many callers in their time, or
	// take at least MinGain times as long for half of them. For inOrderOfArrival this holds
	// for the callers of the customers that are not hot.
	Former  string  `yaml:"former"`
	MinGain float64 `yaml:"gain"`
	// MinAnswered is the share of callers that must be answered in their time, MinInRegion
	// that of each region's callers, and MinUrgent that of the callers at level 0. MaxMedian
	// and MaxP99 bound the time to the answer.
	MinAnswered float64       `yaml:"least-answered"`
	MinInRegion float64       `yaml:"least-in-region"`
	MinUrgent   float64       `yaml:"least-urgent"`
	MaxMedian   time.Duration `yaml:"most-p50"`
	MaxP99      time.Duration `yaml:"most-p99"`
	// MaxInVain bounds the share of the begun work that is not finished in its caller's
	// time.
	MaxInVain float64 `yaml:"most-in-vain"`
	// MaxTurnedAway bounds the share of the arrivals at servers that do not fit there.
	MaxTurnedAway float64 `yaml:"most-turned-away"`
	// MinOfCustomer is the share of the callers of each customer that must be answered.
	// MaxLossToHot bounds what the customers that are not hot lose of theirs, all together,
	// relative to the same load without a hot customer, and MaxSlowdownByHot the 99th
	// percentile of their times relative to that load.
	MinOfCustomer    float64 `yaml:"least-of-customer"`
	MaxLossToHot     float64 `yaml:"most-lost-to-hot"`
	MaxSlowdownByHot float64 `yaml:"most-slower-by-hot"`
}

// customerKind is a kind of customers.
type customerKind struct {
	// Count is the number of such customers, and Share the share of the callers that belong
	// to each of them.
	Count int     `yaml:"count"`
	Share float64 `yaml:"share"`
	// Limit is the limit in requests a second that gives the weight, Level the priority level.
	Limit float64 `yaml:"limit"`
	Level int     `yaml:"level"`
	// From HotAt on, for HotFor, such a customer has HotTimes as many callers.
	HotAt    time.Duration `yaml:"hot-at"`
	HotFor   time.Duration `yaml:"hot-for"`
	HotTimes float64       `yaml:"hot-times"`
	// OneEntry is true for customers whose callers use only the first entry VM of a region.
	OneEntry bool `yaml:"one-entry"`
}

// timesAt returns how many times its usual callers a customer of the kind has at a time.
func (k customerKind) timesAt(now time.Duration) float64 {
	if k.HotTimes > 0 && now >= k.HotAt && now < k.HotAt+k.HotFor {
		return k.HotTimes
	}

	return 1
}

// simulatedCustomer is a customer with its kind.
type simulatedCustomer struct {
	intent.Customer

	kind customerKind
}

// callerKind is a kind of callers.
type callerKind struct {
	// Share is the share of the callers that are of this kind.
	Share float64 `yaml:"share"`
	// Patience and MaxRequests are as in scenario.
	Patience    time.Duration `yaml:"patience"`
	MaxRequests int           `yaml:"tries"`
	// AtOnce is true for callers that ignore Retry-After.
	AtOnce bool `yaml:"at-once"`
	// Level is the priority level of the route that the callers use.
	Level int `yaml:"level"`
}

// defaultMaxRequests is the value of MaxRequests if a scenario does not set it.
const defaultMaxRequests = 4

// count counts some callers, and those of them that were answered in their time.
type count struct {
	callers, answered int
}

// outcome counts callers by what they got in the end, and the work for them.
type outcome struct {
	count
	refused, failed int
	// requests counts all requests of the callers. begun counts the requests at which a
	// server began to work, inVain those of them that it did not finish in time.
	requests, begun, inVain int
	// arrivals counts the requests that reached a server, turnedAway those of them for which
	// it had no room.
	arrivals, turnedAway int
	// hedges counts the second attempts, slotTime the time that attempts spent in slots.
	hedges   int
	slotTime time.Duration
	// times are the times from the first request to the answer.
	times    []time.Duration
	byRegion map[int]*count
	byLevel  map[int]*count
	// byCustomer holds the counts by the customer's name, others those of all customers that
	// are never hot.
	byCustomer map[string]*count
	others     count
	otherTimes []time.Duration
}

// percentile returns a percentile of the times to the answer.
func (o outcome) percentile(p float64) time.Duration { return percentile(o.times, p) }

func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))

	return sorted[int(p/100*float64(len(sorted)-1))]
}

func (o outcome) String() string {
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	var groups strings.Builder
	for _, m := range []map[int]*count{o.byRegion, o.byLevel} {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			fmt.Fprintf(&groups, " %.3f", share(m[key].answered, m[key].callers))
		}
		groups.WriteString(" |")
	}
	if len(o.byCustomer) > 0 {
		fmt.Fprintf(&groups, " others %.3f p99 %d ms, by customer:", share(o.others.answered, o.others.callers), percentile(o.otherTimes, 99).Milliseconds())
		for _, name := range slices.Sorted(maps.Keys(o.byCustomer)) {
			fmt.Fprintf(&groups, " %.3f", share(o.byCustomer[name].answered, o.byCustomer[name].callers))
		}
	}

	return fmt.Sprintf("callers %d answered %.3f refused %.3f failed %.3f p50 %d ms p99 %d ms in-vain %.3f turned-away %.3f requests %.2f by region, level:%s",
		o.callers, share(o.answered, o.callers), share(o.refused, o.callers), share(o.failed, o.callers),
		o.percentile(50).Milliseconds(), o.percentile(99).Milliseconds(), share(o.inVain, o.begun), share(o.turnedAway, o.arrivals), share(o.requests, o.callers), groups.String())
}

// TestSimulatedLoads runs each scenario of testdata/play. It guards against decisions that
// leave callers without an answer in their time although the servers could have answered
// them, that let them wait longer than others need for the same, or that fill slots with
// work that nobody waits for any more.
func TestSimulatedLoads(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/play/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			sc := readScenario(t, file)
			got := newSimulation(sc, "").run()
			t.Logf("%s: %s", filepath.Base(file), got)
			share := func(n, of int) float64 { return float64(n) / float64(of) }
			require.GreaterOrEqual(t, share(got.answered, got.callers), sc.MinAnswered)
			for key, n := range got.byRegion {
				require.GreaterOrEqual(t, share(n.answered, n.callers), sc.MinInRegion, "region %d", key)
			}
			require.GreaterOrEqual(t, share(got.byLevel[0].answered, got.byLevel[0].callers), sc.MinUrgent)
			require.LessOrEqual(t, got.percentile(50), cmp.Or(sc.MaxMedian, math.MaxInt64))
			require.LessOrEqual(t, got.percentile(99), cmp.Or(sc.MaxP99, math.MaxInt64))
			require.LessOrEqual(t, share(got.inVain, got.begun), cmp.Or(sc.MaxInVain, 1))
			require.LessOrEqual(t, share(got.turnedAway, got.arrivals), cmp.Or(sc.MaxTurnedAway, 1))
			for name, n := range got.byCustomer {
				require.GreaterOrEqual(t, share(n.answered, n.callers), sc.MinOfCustomer, "customer %s", name)
			}
			if sc.MaxSlowdownByHot > 0 {
				requireUnharmedByHot(t, sc, got)
			}
			if sc.Former != "" {
				former := newSimulation(sc, sc.Former).run()
				t.Logf("%s with the other policy: %s", filepath.Base(file), former)
				if sc.Former == inOrderOfArrival {
					got.count, former.count, got.times, former.times = got.others, former.others, got.otherTimes, former.otherTimes
				}
				gain := max(share(got.answered, former.answered), float64(former.percentile(50))/float64(got.percentile(50)))
				require.GreaterOrEqual(t, gain, sc.MinGain)
			}
		})
	}
}

// requireUnharmedByHot compares an outcome with that of the same load without a hot customer.
func requireUnharmedByHot(t *testing.T, sc scenario, got outcome) {
	t.Helper()
	share := func(n count) float64 { return float64(n.answered) / float64(n.callers) }
	usual := sc
	usual.Customers = slices.Clone(sc.Customers)
	for i := range usual.Customers {
		// They stay marked as hot, so that the same customers are compared.
		usual.Customers[i].HotTimes = min(usual.Customers[i].HotTimes, 1)
	}
	without := newSimulation(usual, "").run()
	t.Logf("without a hot customer: %s", without)
	require.GreaterOrEqual(t, share(got.others), share(without.others)-sc.MaxLossToHot)
	require.LessOrEqual(t, float64(percentile(got.otherTimes, 99)), sc.MaxSlowdownByHot*float64(percentile(without.otherTimes, 99)))
}

func readScenario(t *testing.T, file string) scenario {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var sc scenario
	require.NoError(t, yaml.UnmarshalWithOptions(data, &sc, yaml.Strict()))
	if len(sc.Kinds) == 0 {
		sc.Kinds = []callerKind{{Share: 1, Patience: sc.Patience, MaxRequests: cmp.Or(sc.MaxRequests, defaultMaxRequests)}}
	}

	return sc
}

// Values of scenario.Former.
const (
	// withoutObjects is a policy that does not keep objects on their servers.
	withoutObjects = "objects"
	// toldOfPauses is a policy in which an entry VM tells the others at which server it
	// pauses, and they pause too.
	toldOfPauses = "told"
	// inOrderOfArrival is a policy that does not look at customers.
	inOrderOfArrival = "arrival"
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
	// number counts the servers of all regions.
	number  int
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
	callerKind

	customer       simulatedCustomer
	region         int
	object         string
	firstRequestAt time.Duration
	requests       int
	// counted is false for a caller that comes before scenario.CountFrom.
	counted bool
	// long is true if its requests are long at any server.
	long bool
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
	// routes holds the routes by priority level.
	routes    map[int]intent.Route
	customers []simulatedCustomer
	callers   map[direct.RequestID]*caller
	entryOf   map[direct.RequestID]*entry
	lastID    direct.RequestID
	runs      map[runKey]*run
	outcome   outcome
}

func region(n int) string { return fmt.Sprintf("region-%d", n) }

func newSimulation(sc scenario, formerPolicy string) *simulation {
	sim := &simulation{
		scenario: sc, formerPolicy: formerPolicy, random: rand.New(rand.NewPCG(1, 2)), backends: map[string]*backend{},
		callers: map[direct.RequestID]*caller{}, entryOf: map[direct.RequestID]*entry{}, routes: map[int]intent.Route{}, runs: map[runKey]*run{},
	}
	sim.outcome.byRegion, sim.outcome.byLevel, sim.outcome.byCustomer = map[int]*count{}, map[int]*count{}, map[string]*count{}
	var routes []intent.Route
	for _, kind := range sc.Kinds {
		route := intent.Route{
			Name: fmt.Sprint("r", kind.Level), Host: "h", Prefix: "/", Idempotent: true, Timeout: sc.Timeout, Target: sc.Target, MaxAttempts: 2, PriorityLevel: kind.Level,
			Sticky: formerPolicy != withoutObjects, ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
		}
		routes = append(routes, route)
		sim.routes[kind.Level] = route
	}
	var servers []direct.Server
	for r, n := range sc.Servers {
		for i := range n {
			id := fmt.Sprintf("server-%d-%d", r, i)
			sim.backends[id] = &backend{number: len(servers), region: r, slowdown: 1}
			servers = append(servers, direct.Server{ID: id, Address: id, Service: "s", Zone: region(r), Region: region(r), Slots: sc.Slots})
		}
	}
	sim.listedServers = servers
	in := intent.New(1, routes, map[string]intent.Service{"s": {Name: "s"}}, intent.Limits{})
	byName := map[string]intent.Customer{}
	for k, kind := range sc.Customers {
		for i := range kind.Count {
			c := intent.Customer{Name: fmt.Sprintf("c%d-%02d", k, i), PriorityLevel: kind.Level, Limit: intent.RateLimit{PerSecond: kind.Limit}}
			byName[c.Name] = c
			sim.customers = append(sim.customers, simulatedCustomer{c, kind})
		}
	}
	if formerPolicy != inOrderOfArrival {
		in = in.WithCustomers(byName, nil)
	}
	var names []string
	for r := range sc.Regions {
		for i := range sc.Entries {
			names = append(names, fmt.Sprintf("entry-%d-%d", r, i))
		}
	}
	shares := direct.HedgeShares{Default: sc.HedgeShare}
	if formerPolicy != "" {
		shares = direct.HedgeShares{}
	}
	for i, name := range names {
		e := &entry{region: i / sc.Entries, state: direct.New(direct.Settings{
			Name: name, Zone: region(i / sc.Entries), Region: region(i / sc.Entries), Seed: uint64(i),
			RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second, MaxShift: 0.15, FaultTime: 4 * time.Second, HedgeShares: shares,
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
	rate := sim.Rate
	if sim.now >= sim.BurstAt && sim.now < sim.BurstAt+sim.BurstFor {
		rate *= sim.BurstTimes
	}
	for _, c := range sim.customers {
		rate += sim.Rate * c.kind.Share * (c.kind.timesAt(sim.now) - 1)
	}
	gap := time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second))
	if sim.now+gap >= end {
		return
	}
	sim.after(gap, func() {
		c := &caller{
			callerKind: sim.drawKind(), region: r, object: fmt.Sprintf("%d-%d", r, sim.random.IntN(sim.Objects)), firstRequestAt: sim.now,
			counted: sim.now >= time.Duration(sim.CountFrom)*time.Second, customer: sim.drawCustomer(),
		}
		c.long = sim.LongAnywhere && sim.random.Float64() < sim.LongShare
		if c.counted {
			for _, n := range sim.countsOf(c) {
				n.callers++
			}
		}
		sim.sendRequest(c)
		sim.scheduleArrivals(r, end)
	})
}

// drawKind draws the kind of a caller.
func (sim *simulation) drawKind() callerKind {
	point := sim.random.Float64()
	for _, kind := range sim.Kinds {
		if point < kind.Share {
			return kind
		}
		point -= kind.Share
	}

	return sim.Kinds[len(sim.Kinds)-1]
}

// drawCustomer draws the customer of a caller, which has no name if there are none.
func (sim *simulation) drawCustomer() simulatedCustomer {
	total := 0.0
	for _, c := range sim.customers {
		total += c.kind.Share * c.kind.timesAt(sim.now)
	}
	if total == 0 {
		return simulatedCustomer{}
	}
	point := sim.random.Float64() * total
	for _, c := range sim.customers {
		if point -= c.kind.Share * c.kind.timesAt(sim.now); point < 0 {
			return c
		}
	}

	return sim.customers[len(sim.customers)-1]
}

// countsOf returns the counts to which a caller belongs.
func (sim *simulation) countsOf(c *caller) []*count {
	counts := []*count{&sim.outcome.count, group(sim.outcome.byRegion, c.region), group(sim.outcome.byLevel, c.Level)}
	if c.customer.Name != "" {
		counts = append(counts, group(sim.outcome.byCustomer, c.customer.Name))
		if c.customer.kind.HotTimes == 0 {
			counts = append(counts, &sim.outcome.others)
		}
	}

	return counts
}

func group[K comparable](m map[K]*count, key K) *count {
	if m[key] == nil {
		m[key] = &count{}
	}

	return m[key]
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
				age := time.Duration(0)
				if sim.ReportAge > 0 {
					age = sim.ReportAge/6 + time.Duration(sim.random.Float64()*5/6*float64(sim.ReportAge))
				}
				sim.after(age+sim.roundTrip(e.region, other.region)/2, func() {
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
	if c.customer.kind.OneEntry {
		e = sim.entries[c.region*sim.Entries]
	}
	sim.lastID++
	id := sim.lastID
	sim.callers[id], sim.entryOf[id] = c, e
	sim.add(c.counted, &sim.outcome.requests)
	left := c.Patience - (sim.now - c.firstRequestAt)
	sim.apply(e, direct.RequestArrived{
		At: direct.At(sim.now), ID: id, Route: sim.routes[c.Level], Customer: sim.customerOf(c), Object: c.object, Deadline: sim.now + left,
	})
}

// customerOf returns the customer that the request of a caller carries.
func (sim *simulation) customerOf(c *caller) intent.Customer {
	if sim.formerPolicy == inOrderOfArrival {
		return intent.Customer{}
	}

	return c.customer.Customer
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
		r := &run{entry: e, send: f, roundTrip: rtt, backend: sim.backends[f.Server.ID]}
		sim.runs[runKey{f.ID, f.Hedge}] = r
		sim.after(rtt/2, func() { sim.runRequest(r) })
		if f.LateAt > 0 {
			sim.after(f.LateAt-sim.now, func() { sim.apply(e, direct.HedgeDue{At: direct.At(sim.now), ID: f.ID}) })
		}
		sim.add(f.Hedge && sim.callers[f.ID].counted, &sim.outcome.hedges)
	case direct.Cancel:
		r := sim.runs[runKey{f.ID, f.Hedge}]
		sim.after(r.roundTrip/2, func() { sim.cancel(r) })
	case direct.Hold:
		sim.after(f.Until-sim.now, func() { sim.apply(e, direct.HoldExpired{At: direct.At(sim.now), ID: f.ID}) })
	case direct.Refuse:
		sim.refused(sim.callers[f.ID], f.RetryAfter)
	case direct.ReturnResponse:
		sim.recordResponse(sim.callers[f.ID])
	case direct.Fail:
		sim.add(sim.callers[f.ID].counted, &sim.outcome.failed)
	}
}

// add increments counter, a field of the outcome, if counted is true.
func (sim *simulation) add(counted bool, counter *int) {
	if counted {
		*counter++
	}
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

// processingTime returns the processing time of a request for an object at a server.
// The server remembers the object from then on.
func (sim *simulation) processingTime(b *backend, c *caller) time.Duration {
	object := c.object
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
	if !sim.LongAnywhere && sim.random.Float64() < sim.LongShare || c.long {
		took *= sim.LongFactor
	}
	if sim.now >= sim.SlowAt && sim.now < sim.SlowAt+sim.SlowFor {
		took *= sim.SlowTimes
	}

	return time.Duration(took)
}

// endAttempt tells entry VM e, networkTime from now, that its attempt has ended.
func (sim *simulation) endAttempt(e *entry, f direct.Send, networkTime time.Duration, o direct.Outcome, timedOut bool) {
	b := sim.backends[f.Server.ID]
	load := direct.Load{RunningRequests: b.running, WaitingRequests: len(b.waiting)}
	sim.after(networkTime, func() {
		load.Slowdown = b.slowdown
		var pause option.Option[time.Duration]
		if o == direct.NotRun && sim.Pause > 0 {
			pause = option.Some(sim.Pause)
		}
		sim.apply(e, direct.AttemptEnded{
			PauseFor: pause,
			At:       direct.At(sim.now), ID: f.ID, Hedge: f.Hedge, Outcome: o, Status: 200, TimedOut: timedOut, DialTook: sim.roundTrip(e.region, b.region),
			Load: option.Some(load),
		})
	})
}

// recordResponse counts the answer to a caller. An answer after the caller has left counts
// as a failure.
func (sim *simulation) recordResponse(c *caller) {
	took := sim.now - c.firstRequestAt
	switch {
	case !c.counted:
	case took > c.Patience:
		sim.outcome.failed++
	default:
		sim.outcome.times = append(sim.outcome.times, took)
		if c.customer.kind.HotTimes == 0 {
			sim.outcome.otherTimes = append(sim.outcome.otherTimes, took)
		}
		for _, n := range sim.countsOf(c) {
			n.answered++
		}
	}
}

// refused handles a refusal; the parameter after is how long the caller is asked to
// wait. The caller comes back after that time, or after a third of its remaining
// patience if that is shorter, or at once if it is impatient. It gives up if it may send no
// more requests.
func (sim *simulation) refused(c *caller, after time.Duration) {
	const pauseAtOnce = 10 * time.Millisecond
	left := c.Patience - (sim.now - c.firstRequestAt)
	if c.AtOnce {
		after = pauseAtOnce
	}
	after = min(after, left/3)
	if c.requests >= c.MaxRequests || after >= left {
		sim.add(c.counted, &sim.outcome.refused)

		return
	}
	sim.after(after, func() { sim.sendRequest(c) })
}
