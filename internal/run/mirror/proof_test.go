package mirror_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/mirror"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
)

// change is an acknowledged change of the table.
type change struct {
	at       time.Duration
	key      string
	revision uint64
	deleted  bool
}

// fleet simulates entry VMs that read a store and tell each other of it. now is the true
// time, which no entry VM knows.
type fleet struct {
	now     time.Duration
	store   *store
	changes []change
	vms     []*simulatedVM
	// relays are the regions' relays, by region.
	relays map[string]int
	sent   []packet
	starts uint32
	// during is called in each read, before and after the store answers.
	during func()
	// firstSequence returns the sequence number of the first report of a started process.
	firstSequence func() uint32
}

// reading is what a message tells of a read of the table.
type reading struct {
	mirror.OwnRead

	at time.Duration
}

// packet is a report if mark is 0, else a digest.
type packet struct {
	from, to int
	at       time.Duration
	sequence uint32
	mark     proof.Mark
	region   string
	members  map[int]uint32
	reading  *reading
}

// simulatedVM is one start of an entry VM. Its clock stands for stood in all.
type simulatedVM struct {
	fleet *fleet

	index      int
	region     string
	started    time.Duration
	stood      time.Duration
	wallOffset time.Duration
	refused    bool
	mirror     *mirror.Mirror
	journal    *proof.Journal
	sequence   uint32
	reports    map[int]packet
	snapshot   mirror.Snapshot
}

func (vm *simulatedVM) Now() time.Duration { return vm.fleet.now - vm.started - vm.stood }
func (vm *simulatedVM) Wall() time.Time {
	return time.Unix(1000, 0).Add(vm.fleet.now + vm.wallOffset)
}

func (vm *simulatedVM) Subscribe(context.Context, time.Duration) <-chan time.Duration { return nil }

var _ timer.TimeSource = (*simulatedVM)(nil)

// Range implements mirror.Source.
func (vm *simulatedVM) Range(ctx context.Context, prefix, after string) (mirror.Page, error) {
	vm.fleet.during()
	if vm.refused {
		return mirror.Page{}, errStoreUnreachable
	}
	page, err := vm.fleet.store.Range(ctx, prefix, after)
	vm.fleet.during()

	return page, err
}

func newFleet(n int) *fleet {
	f := &fleet{
		store: newStore(0), relays: map[string]int{"r": 0, "s": 1}, during: func() {},
		firstSequence: func() uint32 { return 0 },
	}
	f.store.revision = 1
	for i := range n {
		f.vms = append(f.vms, nil)
		f.start(i)
	}

	return f
}

// start starts the process of an entry VM, which knows nothing of an earlier one.
func (f *fleet) start(i int) {
	f.starts++
	vm := &simulatedVM{
		fleet: f, index: i, region: []string{"r", "s"}[i%2], started: f.now,
		journal: proof.NewJournal(f.starts), sequence: f.firstSequence(), reports: map[int]packet{},
	}
	if old := f.vms[i]; old != nil {
		vm.wallOffset, vm.refused = old.wallOffset, old.refused
	}
	vm.mirror = mirror.New(vm, vm, zap.NewNop(), mirror.Options{
		Prefix: "t/", MaxAge: 300 * time.Millisecond, OnChange: func(s mirror.Snapshot) { vm.snapshot = s }, Marks: vm.journal.Marks,
	})
	f.vms[i] = vm
}

func (f *fleet) write(key string) {
	f.store.put(key, "x")
	f.changes = append(f.changes, change{at: f.now, key: key, revision: f.store.revision})
}

func (f *fleet) remove(key string) {
	if _, ok := f.store.items[key]; ok {
		f.store.remove(key)
		f.changes = append(f.changes, change{at: f.now, key: key, revision: f.store.revision, deleted: true})
	}
}

// report sends the report of an entry VM to another one.
func (f *fleet) report(from, to int) {
	vm := f.vms[from]
	vm.sequence++
	vm.journal.Sent(vm.sequence, proof.NewMoment(vm.Now(), vm.Wall()))
	p := packet{from: from, to: to, at: f.now, sequence: vm.sequence}
	if read, ok := vm.mirror.OwnRead(); ok {
		p.reading = &reading{OwnRead: read, at: f.now - read.Age}
	}
	vm.reports[from] = p
	if to != from {
		f.sent = append(f.sent, p)
	}
}

// digest sends a digest of an entry VM to all.
func (f *fleet) digest(from int) {
	vm := f.vms[from]
	d := packet{from: from, at: f.now, region: vm.region, mark: vm.journal.Make(vm.region), members: map[int]uint32{}}
	for _, member := range slices.Sorted(maps.Keys(vm.reports)) {
		r := vm.reports[member]
		d.members[member] = r.sequence
		if r.reading != nil && (d.reading == nil || r.reading.at > d.reading.at) {
			d.reading = r.reading
		}
	}
	if sequence, ok := d.members[from]; ok {
		vm.journal.Listed(d.mark, sequence)
	}
	for to := range f.vms {
		if to != from {
			d.to = to
			f.sent = append(f.sent, d)
		}
	}
}

// receive passes a message to the entry VM to which it was sent.
func (f *fleet) receive(p packet) {
	vm := f.vms[p.to]
	if p.mark == 0 {
		vm.reports[p.from] = p
	} else {
		vm.journal.Received(p.region, p.mark)
		if sequence, ok := p.members[p.to]; ok && p.region == vm.region {
			vm.journal.Listed(p.mark, sequence)
		}
	}
	if p.reading == nil {
		return
	}
	if after, ok := vm.journal.Before(p.reading.Marks); ok {
		vm.mirror.ObserveReading(proof.Reading{Version: p.reading.Version, Shown: p.reading.Shown, After: after})
	}
}

// copyTable copies the table from one entry VM to another.
func (f *fleet) copyTable(from, to int) {
	base, _ := f.vms[to].mirror.Version()
	if revision, ok := f.vms[from].mirror.Version(); ok && base.Before(revision) {
		f.vms[to].mirror.ApplyDelta(f.vms[from].mirror.ChangesSince(base))
	}
}

// round lets all report to one entry VM and that one make a digest. It receives the messages
// that arrives chooses.
func (f *fleet) round(relay int, arrives func() bool) {
	receive := func(first int) {
		for _, p := range slices.Clone(f.sent[first:]) {
			if arrives() {
				f.receive(p)
			}
		}
	}
	first := len(f.sent)
	for i := range f.vms {
		f.report(i, relay)
	}
	receive(first)
	first = len(f.sent)
	f.digest(relay)
	receive(first)
}

// check fails if the copy of an entry VM misses a change from before its proof.
func (f *fleet) check(t require.TestingT) {
	for _, vm := range f.vms {
		age, ok := vm.mirror.ProvenAge()
		if !ok {
			continue
		}
		provenAt := f.now - age
		for _, c := range f.changes {
			if c.at >= provenAt {
				break
			}
			item, there := vm.snapshot.Items[c.key]
			later := slices.ContainsFunc(f.changes, func(l change) bool { return l.key == c.key && l.deleted && l.revision >= c.revision })
			shown := there && (item.Revision > c.revision || item.Revision == c.revision && !c.deleted) || !there && later
			require.True(t, shown, "entry VM %d misses change %+v from before %s, now %s", vm.index, c, provenAt, f.now)
		}
	}
}

// weighted returns each name as often as its weight says.
func weighted(weights map[string]int) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		all = append(all, slices.Repeat([]string{name}, weights[name])...)
	}

	return all
}

// Guards against a removed key that an entry VM goes on using: no change from before the
// proven time may be missing, whatever messages are lost, late or there twice, and whatever
// processes and machines stop, go on or start anew.
func TestProofNeverMissesAChange(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(4)
		f.firstSequence = func() uint32 { return f.starts * 1000 }
		depth, vmOf := 0, func() int { return rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "vm") }
		millis := func(most int) time.Duration {
			return time.Duration(rapid.IntRange(1, most).Draw(rt, "ms")) * time.Millisecond
		}
		events := weighted(map[string]int{
			"wait": 2, "report": 2, "digest": 1, "message": 6, "write": 4, "remove": 1, "read": 6, "copy": 3, "start": 1, "suspend": 1, "refuse": 1, "round": 12,
		})
		step := func() {
			f.now += time.Millisecond
			switch rapid.SampledFrom(events).Draw(rt, "event") {
			case "wait":
				f.now += millis(3000)
			case "report":
				f.report(vmOf(), vmOf())
			case "digest":
				f.digest(vmOf())
			case "message":
				if len(f.sent) > 0 {
					f.receive(f.sent[len(f.sent)-1-rapid.IntRange(0, min(len(f.sent)-1, 60)).Draw(rt, "packet")])
				}
			case "write":
				f.write(fmt.Sprint("t/", rapid.IntRange(0, 4).Draw(rt, "key")))
			case "remove":
				f.remove(fmt.Sprint("t/", rapid.IntRange(0, 4).Draw(rt, "key")))
			case "read":
				f.vms[vmOf()].mirror.Read(rt.Context())
			case "copy":
				f.copyTable(vmOf(), vmOf())
			case "start":
				f.start(vmOf())
			case "suspend":
				stood := millis(5000)
				f.now += stood
				f.vms[vmOf()].stood += stood
			case "refuse":
				vm := f.vms[vmOf()]
				vm.refused = !vm.refused
			case "round":
				f.round(vmOf(), func() bool { return rapid.SampledFrom([]bool{true, true, true, false}).Draw(rt, "arrives") })
			}
			f.check(rt)
		}
		f.during = func() {
			if depth >= 2 {
				return
			}
			depth++
			defer func() { depth-- }()
			for range rapid.SampledFrom([]int{0, 0, 1, 2, 4}).Draw(rt, "during read") {
				step()
			}
		}
		for range 80 {
			step()
		}
	})
}

// run lets time pass in steps: reports and digests at the usual intervals, with delays and
// losses, and reads of the entry VMs that are due.
func (f *fleet) run(random *rand.Rand, forTime time.Duration) {
	const step, interval, longestDelay, readInterval = 10 * time.Millisecond, 50 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond
	for end := f.now + forTime; f.now < end; {
		f.now += step
		var arrived []packet
		f.sent = slices.DeleteFunc(f.sent, func(p packet) bool {
			if p.at > f.now {
				return false
			}
			arrived = append(arrived, p)

			return true
		})
		for _, p := range arrived {
			f.receive(p)
			f.copyTable(p.from, p.to)
		}
		for i, vm := range f.vms {
			if (f.now+time.Duration(i)*step)%interval != 0 {
				continue
			}
			first := len(f.sent)
			f.report(i, f.relays[vm.region])
			if f.relays[vm.region] == i {
				f.digest(i)
			}
			added := slices.DeleteFunc(slices.Clone(f.sent[first:]), func(packet) bool { return random.Float64() < 0.1 })
			for j := range added {
				added[j].at = f.now + time.Duration(random.Int64N(int64(longestDelay)))
			}
			f.sent = append(f.sent[:first], added...)
		}
		if f.now%readInterval == 0 {
			for _, vm := range f.vms[len(f.vms)-2:] {
				vm.mirror.Read(context.Background())
			}
		}
	}
}

// Guards against proofs that do not come although messages flow and the store answers one
// entry VM: the others must not lose the use of keys. Reads take 0.1 s.
func TestProofsComeFromTheReadsOfOthers(t *testing.T) {
	t.Parallel()
	const goal = 1500 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(8)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)) //nolint:gosec // A simulation.
		reader := rapid.IntRange(6, 7).Draw(rt, "reader")
		for i, vm := range f.vms {
			vm.refused = i != reader
		}
		inRead := false
		f.during = func() {
			if !inRead {
				inRead = true
				f.run(random, 50*time.Millisecond)
				inRead = false
			}
		}
		f.write("t/1")
		f.run(random, 2*time.Second)
		for i := range 20 {
			f.run(random, 200*time.Millisecond)
			if i%7 == 0 {
				f.write("t/1")
			}
			f.check(rt)
			for _, vm := range f.vms {
				age, ok := vm.mirror.ProvenAge()
				require.True(rt, ok, "entry VM %d has no proof", vm.index)
				require.Less(rt, age, goal, "entry VM %d", vm.index)
			}
		}
	})
}

// Guards against a copy that seems fresh while nobody can read the store, and against one
// that this entry VM has read itself and that is not proven.
func TestProofWithoutOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(2)
	f.write("t/1")
	f.during = func() { f.now += 100 * time.Millisecond }
	vm, other := f.vms[0], f.vms[1]
	_, ok := vm.mirror.ProvenAge()
	require.False(t, ok)
	require.False(t, vm.mirror.ProofDue(0, 0), "without a copy Due decides")
	require.True(t, vm.mirror.Read(t.Context()))
	age, ok := vm.mirror.ProvenAge()
	require.True(t, ok)
	require.Equal(t, 200*time.Millisecond, age, "the age counts from the start of the read")
	vm.refused, other.refused = true, true
	for range 20 {
		f.now += 100 * time.Millisecond
		f.report(0, 1)
		f.report(1, 0)
		f.digest(0)
		f.digest(1)
		for _, p := range f.sent {
			f.receive(p)
		}
		f.sent = nil
	}
	age, _ = vm.mirror.ProvenAge()
	require.Equal(t, 2200*time.Millisecond, age)
	require.False(t, vm.mirror.ProofDue(2300*time.Millisecond, 0))
	require.True(t, vm.mirror.ProofDue(2200*time.Millisecond, 0))
	require.False(t, vm.mirror.Read(t.Context()))
	require.False(t, vm.mirror.ProofDue(0, time.Second), "retries are spread")
	vm.stood += time.Second
	f.now += time.Second
	age, _ = vm.mirror.ProvenAge()
	require.Equal(t, 3300*time.Millisecond, age, "the wall clock shows what the other clock left out")
	f.now += time.Hour
	vm.wallOffset -= 2 * time.Hour
	age, _ = vm.mirror.ProvenAge()
	require.Greater(t, age, 50*time.Minute, "a wall clock that was set back makes no copy fresh")
}

// Guards against a proof that is told before the copy is in force: a request could be
// decided by the older one.
func TestProofComesAfterTheCopyIsInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(1)
	vm := f.vms[0]
	f.write("t/1")
	var ages []time.Duration
	vm.mirror = mirror.New(vm, vm, zap.NewNop(), mirror.Options{
		Prefix: "t/", Marks: vm.journal.Marks, OnChange: func(mirror.Snapshot) {
			age, ok := vm.mirror.ProvenAge()
			if !ok {
				age = -1
			}
			ages = append(ages, age)
		},
	})
	require.True(t, vm.mirror.Read(t.Context()))
	f.now += time.Minute
	f.write("t/1")
	require.True(t, vm.mirror.Read(t.Context()))
	require.Equal(t, []time.Duration{-1, time.Minute}, ages)
}
