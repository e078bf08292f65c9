package region

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

const (
	simListLag = 30 * time.Second
	simTick    = 100 * time.Millisecond
	// simDetectionTime is how long after the last contact a node is still taken to
	// be reachable.
	simDetectionTime = 5 * time.Second
)

// scheduledAction calls the function run at the time at; seq orders the actions of
// the same time.
type scheduledAction struct {
	at  time.Duration
	seq int
	run func()
}

// actionQueue is a heap of actions by time.
type actionQueue []scheduledAction

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]

	return last
}

// node is one process incarnation of an entry VM. A dead node never runs again.
// When a paused node resumes, it handles what arrived during the pause, in random
// order.
type node struct {
	id              event.Member
	state           State
	dead            bool
	pausedUntil     time.Duration
	deferred        []func() // what arrived during the pause
	lastReached     map[event.Member]time.Duration
	config          *model.Config
	requestsPerTick int
	// idle is true for a node without callers.
	idle bool
}

// sim simulates the entry VMs of one region with a faulty network, store and list
// of VMs.
type sim struct {
	now      time.Duration
	rng      *rand.Rand
	queue    actionQueue
	seq      int
	nodes    []*node          // all incarnations, dead ones too
	running  map[string]*node // by VM
	isolated map[string]bool  // VMs that reach neither the others nor the store
	config   *model.Config
	// maxTokens is the highest number of tokens that all nodes together may have,
	// by pool: the highest capacity so far, because nodes learn a lower capacity
	// later.
	maxTokens map[string]int64

	// Probabilities that a message is lost, sent twice or late, and that the
	// success of a message or write is not reported.
	dropRate, duplicateRate, lateRate, misreportRate float64

	docValue   []byte
	docVersion uint64
	storeDown  bool
	writes     int

	vmLists     []set.Set[string] // actual list of VMs after each change
	vmListTimes []time.Duration   // time of each change in vmLists
	listedAsOf  time.Duration     // time whose list was delivered last

	violation    string // first violation of an invariant, or ""
	incarnations uint64
}

func newSim(seed uint64, config *model.Config) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), running: map[string]*node{}, isolated: map[string]bool{},
		config: config, maxTokens: map[string]int64{}, vmLists: []set.Set[string]{{}}, vmListTimes: []time.Duration{0},
	}
	s.raiseMaxTokens()

	return s
}

func (s *sim) raiseMaxTokens() {
	for _, b := range s.config.Backends {
		s.maxTokens[BackendPoolName(b.Name)] = max(s.maxTokens[BackendPoolName(b.Name)], int64(b.Slots))
	}
	for _, l := range s.config.Links {
		s.maxTokens[LinkPoolName(l.ID)] = max(s.maxTokens[LinkPoolName(l.ID)], l.UsableBits()/1000)
	}
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, scheduledAction{at: s.now + d, seq: s.seq, run: run})
}

// runUntil runs the scheduled actions until the time end, until a violation, or
// until stop returns true; stop may be nil.
func (s *sim) runUntil(end time.Duration, stop func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && s.violation == "" && (stop == nil || !stop()) {
		next := heap.Pop(&s.queue).(scheduledAction)
		s.now = next.at
		next.run()
		s.checkCapacity()
	}
}

// checkCapacity adds up the tokens of all incarnations that could still send
// requests, and records a violation when they exceed maxTokens.
func (s *sim) checkCapacity() {
	sums := map[string]int64{}
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		for name, p := range n.state.c.pools {
			sums[name] += max(p.held, p.used)
		}
	}
	for name, sum := range sums {
		if sum > s.maxTokens[name] && s.violation == "" {
			s.violation = fmt.Sprintf("%v: pool %s has %d tokens of %d", s.now, name, sum, s.maxTokens[name])
		}
	}
}

// start runs a new incarnation of a VM.
func (s *sim) start(vm string) *node {
	s.incarnations++
	n := &node{id: event.Member{VM: vm, Incarnation: s.incarnations}, lastReached: map[event.Member]time.Duration{}, config: s.config}
	n.state = New(Settings{Self: n.id, Region: "r", ListLag: simListLag, Seed: s.rng.Uint64()})
	s.nodes = append(s.nodes, n)
	s.running[vm] = n
	s.changeVMList(vm, true)
	s.deliver(n, event.ConfigInForce{At: event.At(s.now), Config: n.config})
	s.tick(n)

	return n
}

func (s *sim) changeVMList(vm string, present bool) {
	current := s.vmLists[len(s.vmLists)-1]
	if present {
		current = current.With(vm)
	} else {
		current = current.Without(vm)
	}
	s.vmLists, s.vmListTimes = append(s.vmLists, current), append(s.vmListTimes, s.now)
}

// kill ends the running incarnation of a VM. If vmGone is true, the VM leaves the
// actual list of VMs too.
func (s *sim) kill(vm string, vmGone bool) {
	n := s.running[vm]
	if n == nil {
		return
	}
	n.dead = true
	delete(s.running, vm)
	if vmGone {
		s.changeVMList(vm, false)
	}
}

func (s *sim) reaches(a, b *node) bool {
	return !a.dead && !b.dead && !s.isolated[a.id.VM] && !s.isolated[b.id.VM]
}

// runOrDefer calls the function run at once or, if the node is paused, when the node
// resumes. If the node is dead, it does not call the function.
func (s *sim) runOrDefer(n *node, run func()) {
	if n.dead {
		return
	}
	if n.pausedUntil > s.now {
		n.deferred = append(n.deferred, run)

		return
	}
	run()
}

func (s *sim) pause(n *node, d time.Duration) {
	n.pausedUntil = s.now + d
	s.schedule(d, func() {
		if n.dead || n.pausedUntil > s.now {
			return
		}
		deferred := n.deferred
		n.deferred = nil
		s.rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
		for _, run := range deferred {
			run()
		}
	})
}

func (s *sim) tick(n *node) {
	s.runOrDefer(n, func() {
		var entries []event.EntryView
		for _, other := range s.running {
			if other.pausedUntil <= s.now && s.reaches(n, other) {
				n.lastReached[other.id] = s.now
			}
			if at, ok := n.lastReached[other.id]; ok && s.now-at < simDetectionTime {
				entries = append(entries, event.EntryView{
					Member: other.id, Region: "r", PeerAddress: other.id.VM, State: peerpb.EntryState_ENTRY_STATE_LIVE,
				})
			}
		}
		n.state = n.state.WithEntries(entries)
		s.deliver(n, event.Tick{At: event.At(s.now)})
		if s.rng.IntN(50) == 0 && !s.isolated[n.id.VM] && !s.storeDown {
			s.deliverVMList(n)
		}
		s.simulateLoad(n)
	})
	if !n.dead {
		s.schedule(simTick, func() { s.tick(n) })
	}
}

// deliverVMList delivers the list of VMs as it was at most simListLag ago, and
// never an older list than the last one delivered.
func (s *sim) deliverVMList(n *node) {
	s.listedAsOf = max(s.listedAsOf, s.now-time.Duration(s.rng.Int64N(int64(simListLag))))
	i := len(s.vmLists) - 1
	for i > 0 && s.vmListTimes[i] > s.listedAsOf {
		i--
	}
	e := event.VMsListed{Version: uint64(i)}
	for _, name := range set.Sorted(s.vmLists[i]) {
		e.VMs = append(e.VMs, event.VM{Name: name})
	}
	s.schedule(time.Millisecond, func() {
		s.runOrDefer(n, func() {
			e.At = event.At(s.now)
			s.deliver(n, e)
		})
	})
}

// simulateLoad takes tokens of random backend servers into use for up to a second
// each. It requests tokens of a backend server that has none free, and now and then
// of the links.
func (s *sim) simulateLoad(n *node) {
	if n.idle {
		return
	}
	if s.rng.IntN(4) == 0 {
		n.requestsPerTick = s.rng.IntN(8)
	}
	for range n.requestsPerTick {
		name := fmt.Sprintf("b%d", s.rng.IntN(len(s.config.Backends)))
		state, ok := n.state.AcquireToken(name)
		n.state = state
		if ok {
			s.schedule(time.Duration(s.rng.Int64N(int64(time.Second))), func() {
				s.runOrDefer(n, func() { n.state = n.state.ReleaseToken(name) })
			})

			continue
		}
		state, effects := n.state.RequestTokens([]string{name}, s.now)
		n.state = state
		s.execute(n, effects)
	}
	if s.rng.IntN(10) == 0 {
		for id := range s.config.Links {
			state, effects := n.state.RequestLinkTokens(id, s.now)
			n.state = state
			s.execute(n, effects)
		}
	}
}

func (s *sim) deliver(n *node, e event.Event) {
	state, effects := n.state.Handle(e)
	n.state = state
	s.execute(n, effects)
}

func (s *sim) execute(n *node, effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case event.SendToPeer:
			s.sendToPeer(n, e)
		case event.ReadDocument:
			s.read(n, e.Key)
		case event.WriteDocument:
			s.write(n, e)
		case event.ReportViolation:
			s.violation = e.Name + " " + e.Detail
		}
	}
}

// networkDelay returns 1 to 6 ms, and with probability lateRate up to 20 s more.
func (s *sim) networkDelay() time.Duration {
	d := time.Duration(s.rng.Int64N(int64(5*time.Millisecond))) + time.Millisecond
	if s.rng.Float64() < s.lateRate {
		d += time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}

	return d
}

func (s *sim) sendToPeer(n *node, e event.SendToPeer) {
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	lost := s.rng.Float64() < s.dropRate
	reportContact := func(ok bool, wait time.Duration) {
		ok = ok && s.rng.Float64() >= s.misreportRate
		s.schedule(wait, func() {
			s.runOrDefer(n, func() { s.deliver(n, event.PeerContact{At: event.At(s.now), Peer: e.To, Reachable: ok}) })
		})
	}
	if lost {
		reportContact(false, time.Second)

		return
	}
	for i := range copies {
		s.schedule(s.networkDelay(), func() {
			to := s.running[e.Address] // the incarnation that runs at the address now
			if to == nil || !s.reaches(n, to) {
				if i == 0 {
					reportContact(false, time.Second)
				}

				return
			}
			for _, m := range e.Messages {
				m = proto.Clone(m).(*peerpb.Message)
				s.runOrDefer(to, func() {
					s.deliver(to, event.PeerMessage{At: event.At(s.now), From: n.id, Message: m})
				})
			}
			if i == 0 {
				reportContact(true, s.networkDelay())
			}
		})
	}
}

func (s *sim) read(n *node, key string) {
	failed := s.storeDown || s.isolated[n.id.VM]
	s.schedule(s.networkDelay(), func() {
		docValue, docVersion := s.docValue, s.docVersion
		s.schedule(s.networkDelay(), func() {
			s.runOrDefer(n, func() {
				s.deliver(n, event.DocumentRead{At: event.At(s.now), Key: key, Version: docVersion, Value: docValue, Failed: failed})
			})
		})
	})
}

// write is a compare-and-swap whose result may be lost.
func (s *sim) write(n *node, e event.WriteDocument) {
	answer := func(result event.WriteResult, docVersion uint64) {
		s.schedule(s.networkDelay(), func() {
			s.runOrDefer(n, func() {
				s.deliver(n, event.DocumentWritten{At: event.At(s.now), Key: e.Key, Nonce: e.Nonce, Result: result, Version: docVersion})
			})
		})
	}
	if s.storeDown || s.isolated[n.id.VM] {
		answer(event.WriteRefused, 0)

		return
	}
	s.writes++
	lost := s.rng.Float64() < s.misreportRate
	if lost {
		s.schedule(time.Second, func() { answer(event.WriteUnknown, 0) })
	}
	s.schedule(s.networkDelay(), func() {
		if s.rng.Float64() < s.dropRate && lost {
			return
		}
		if e.ExpectedVersion != s.docVersion {
			if !lost {
				answer(event.WriteConflict, 0)
			}

			return
		}
		s.docVersion++
		s.docValue = e.Value
		if !lost {
			answer(event.WriteDone, s.docVersion)
		}
	})
}
