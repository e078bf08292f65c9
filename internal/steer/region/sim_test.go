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
	simLag  = 30 * time.Second
	simTick = 100 * time.Millisecond
	// simDetect is how long membership takes to notice a lost entry.
	simDetect = 5 * time.Second
)

type action struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]

	return last
}

// node is one process incarnation. A dead one never runs again; a frozen one
// handles what arrived in the meantime when it wakes.
type node struct {
	id      event.Member
	state   State
	dead    bool
	frozen  time.Duration // until
	waiting []func()
	lastOK  map[event.Member]time.Duration
	config  *model.Config
	busy    int
}

// sim runs entries of one region over a faulty network, store and VM list.
type sim struct {
	now     time.Duration
	rng     *rand.Rand
	todo    agenda
	seq     int
	nodes   []*node
	running map[string]*node // by VM
	cut     map[string]bool  // VMs that are cut off
	config  *model.Config
	// limit is the capacity that tokens may reach, by pool.
	limit map[string]int64

	drop, dup, late, misreport float64

	value    []byte
	version  uint64
	storeBad bool
	writes   int

	vmLog  []set.Set[string] // true list after each change
	vmTime []time.Duration
	viewed time.Duration

	violation string
	incs      uint64
}

func newSim(seed uint64, config *model.Config) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), running: map[string]*node{}, cut: map[string]bool{},
		config: config, limit: map[string]int64{}, vmLog: []set.Set[string]{{}}, vmTime: []time.Duration{0},
	}
	s.raiseLimit()

	return s
}

func (s *sim) raiseLimit() {
	for _, b := range s.config.Backends {
		s.limit[BackendPoolName(b.Name)] = max(s.limit[BackendPoolName(b.Name)], int64(b.Slots))
	}
	for _, l := range s.config.Links {
		s.limit[LinkPoolName(l.ID)] = max(s.limit[LinkPoolName(l.ID)], l.UsableBits()/1000)
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.todo, action{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) runUntil(end time.Duration, stop func() bool) {
	for len(s.todo) > 0 && s.todo[0].at <= end && s.violation == "" && (stop == nil || !stop()) {
		next := heap.Pop(&s.todo).(action)
		s.now = next.at
		next.run()
		s.check()
	}
}

// check sums the tokens over all incarnations that could still send.
func (s *sim) check() {
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
		if sum > s.limit[name] && s.violation == "" {
			s.violation = fmt.Sprintf("%v: pool %s has %d tokens of %d", s.now, name, sum, s.limit[name])
		}
	}
}

func (s *sim) start(vm string) *node {
	s.incs++
	n := &node{id: event.Member{VM: vm, Incarnation: s.incs}, lastOK: map[event.Member]time.Duration{}, config: s.config}
	n.state = New(Settings{Self: n.id, Region: "r", ListLag: simLag, Seed: s.rng.Uint64()})
	s.nodes = append(s.nodes, n)
	s.running[vm] = n
	s.listChange(vm, true)
	s.deliver(n, event.ConfigInForce{At: event.At(s.now), Config: n.config})
	s.tick(n)

	return n
}

func (s *sim) listChange(vm string, present bool) {
	current := s.vmLog[len(s.vmLog)-1]
	if present {
		current = current.With(vm)
	} else {
		current = current.Without(vm)
	}
	s.vmLog, s.vmTime = append(s.vmLog, current), append(s.vmTime, s.now)
}

func (s *sim) kill(vm string, vmGone bool) {
	n := s.running[vm]
	if n == nil {
		return
	}
	n.dead = true
	delete(s.running, vm)
	if vmGone {
		s.listChange(vm, false)
	}
}

func (s *sim) reaches(a, b *node) bool {
	return !a.dead && !b.dead && !s.cut[a.id.VM] && !s.cut[b.id.VM]
}

// do runs now, or when the node wakes.
func (s *sim) do(n *node, run func()) {
	if n.dead {
		return
	}
	if n.frozen > s.now {
		n.waiting = append(n.waiting, run)

		return
	}
	run()
}

func (s *sim) freeze(n *node, d time.Duration) {
	n.frozen = s.now + d
	s.after(d, func() {
		if n.dead || n.frozen > s.now {
			return
		}
		waiting := n.waiting
		n.waiting = nil
		s.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, run := range waiting {
			run()
		}
	})
}

func (s *sim) tick(n *node) {
	s.do(n, func() {
		var entries []event.EntryView
		for _, other := range s.running {
			if other.frozen <= s.now && s.reaches(n, other) {
				n.lastOK[other.id] = s.now
			}
			if at, ok := n.lastOK[other.id]; ok && s.now-at < simDetect {
				entries = append(entries, event.EntryView{
					Member: other.id, Region: "r", PeerAddress: other.id.VM, State: peerpb.EntryState_ENTRY_STATE_LIVE,
				})
			}
		}
		n.state = n.state.WithEntries(entries)
		s.deliver(n, event.Tick{At: event.At(s.now)})
		if s.rng.IntN(50) == 0 && !s.cut[n.id.VM] && !s.storeBad {
			s.list(n)
		}
		s.work(n)
	})
	if !n.dead {
		s.after(simTick, func() { s.tick(n) })
	}
}

// list answers with a state of at most simLag ago that never goes back.
func (s *sim) list(n *node) {
	s.viewed = max(s.viewed, s.now-time.Duration(s.rng.Int64N(int64(simLag))))
	at := len(s.vmLog) - 1
	for at > 0 && s.vmTime[at] > s.viewed {
		at--
	}
	e := event.VMsListed{Version: uint64(at)}
	for _, name := range set.Sorted(s.vmLog[at]) {
		e.VMs = append(e.VMs, event.VM{Name: name})
	}
	s.after(time.Millisecond, func() {
		s.do(n, func() {
			e.At = event.At(s.now)
			s.deliver(n, e)
		})
	})
}

// work keeps some backend servers busy and asks for tokens when there are none.
func (s *sim) work(n *node) {
	if s.rng.IntN(4) == 0 {
		n.busy = s.rng.IntN(8)
	}
	for range n.busy {
		name := fmt.Sprintf("b%d", s.rng.IntN(len(s.config.Backends)))
		state, ok := n.state.Acquire(name)
		n.state = state
		if ok {
			s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() {
				s.do(n, func() { n.state = n.state.Release(name) })
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

func (s *sim) delay() time.Duration {
	d := time.Duration(s.rng.Int64N(int64(5*time.Millisecond))) + time.Millisecond
	if s.rng.Float64() < s.late {
		d += time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}

	return d
}

func (s *sim) sendToPeer(n *node, e event.SendToPeer) {
	copies := 1
	if s.rng.Float64() < s.dup {
		copies = 2
	}
	lost := s.rng.Float64() < s.drop
	contact := func(ok bool, wait time.Duration) {
		ok = ok && s.rng.Float64() >= s.misreport
		s.after(wait, func() {
			s.do(n, func() { s.deliver(n, event.PeerContact{At: event.At(s.now), Peer: e.To, Reachable: ok}) })
		})
	}
	if lost {
		contact(false, time.Second)

		return
	}
	for i := range copies {
		s.after(s.delay(), func() {
			to := s.running[e.Address] // whatever runs at the address now
			if to == nil || !s.reaches(n, to) {
				if i == 0 {
					contact(false, time.Second)
				}

				return
			}
			for _, m := range e.Messages {
				m = proto.Clone(m).(*peerpb.Message)
				s.do(to, func() {
					s.deliver(to, event.PeerMessage{At: event.At(s.now), From: n.id, Message: m})
				})
			}
			if i == 0 {
				contact(true, s.delay())
			}
		})
	}
}

func (s *sim) read(n *node, key string) {
	failed := s.storeBad || s.cut[n.id.VM]
	s.after(s.delay(), func() {
		value, version := s.value, s.version
		s.after(s.delay(), func() {
			s.do(n, func() {
				s.deliver(n, event.DocumentRead{At: event.At(s.now), Key: key, Version: version, Value: value, Failed: failed})
			})
		})
	})
}

func (s *sim) write(n *node, e event.WriteDocument) {
	answer := func(result event.WriteResult, version uint64) {
		s.after(s.delay(), func() {
			s.do(n, func() {
				s.deliver(n, event.DocumentWritten{At: event.At(s.now), Key: e.Key, Nonce: e.Nonce, Result: result, Version: version})
			})
		})
	}
	if s.storeBad || s.cut[n.id.VM] {
		answer(event.WriteRefused, 0)

		return
	}
	s.writes++
	lost := s.rng.Float64() < s.misreport
	if lost {
		s.after(time.Second, func() { answer(event.WriteUnknown, 0) })
	}
	s.after(s.delay(), func() {
		if s.rng.Float64() < s.drop && lost {
			return
		}
		if e.ExpectedVersion != s.version {
			if !lost {
				answer(event.WriteConflict, 0)
			}

			return
		}
		s.version++
		s.value = e.Value
		if !lost {
			answer(event.WriteDone, s.version)
		}
	})
}
