package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
)

const (
	tickInterval = 50 * time.Millisecond
	// rightTTL is how long a right holds, renewInterval is when the holder renews it.
	rightTTL      = 4 * time.Second
	renewInterval = time.Second
	// hintInterval is how often the other VMs learn who the holder is.
	hintInterval = 300 * time.Millisecond
	// silence is how long there must be no holder before an entry VM tries to become it.
	silence = time.Second
)

// world simulates entry VMs, the network between them and the store's key of the holder.
// Its clock is the true time; each process counts from its own start.
type world struct {
	now       time.Duration
	random    *rand.Rand
	events    eventHeap
	eventID   int
	vms       []*vm
	tolerance quota.Tolerance
	// limits are the configured limits by customer, in the version limitsVersion.
	limits        map[string]intent.RateLimit
	limitsVersion int
	// latency returns the delay of a datagram, and false if it is lost.
	latency func(from, to *vm) (time.Duration, bool)
	// repeatRate is the part of the datagrams that arrive again.
	repeatRate float64
	// storeLatency is the same for a call to the store or its answer.
	storeLatency func(v *vm) (time.Duration, bool)
	key          storeKey
	revision     uint64
	// returnRate is the part of the admitted requests that do not run. They are refused after
	// returnTime, or within 300 ms if it is 0.
	returnRate float64
	returnTime time.Duration
	// admitted holds the times of admitted requests by customer.
	admitted map[string][]time.Duration
	outcomes map[string]*outcome
	// check runs after each event.
	check func()
}

// outcome counts what became of the requests of a customer.
type outcome struct {
	arrived, admitted, over, noHolder int
	waits                             []time.Duration
}

// storeKey is the key of the holder in the store.
type storeKey struct {
	owner    *vm
	era      uint64
	leaseEnd time.Duration
}

// vm is an entry VM with its process.
type vm struct {
	name   string
	region int
	rank   int
	// listed is true while the store's list has the VM.
	listed, up, cut bool
	startedAt       time.Duration
	frozenUntil     time.Duration
	incarnation     uint64
	// limitsVersion is that of the limits in force.
	limitsVersion int
	shares        *quota.Shares
	ledger        *quota.Ledger
	// calling is true during a call to the store, renewAt is when the next renewal is due.
	calling bool
	renewAt time.Duration
	triedAt time.Duration
	// hintedAt is when the others were last told that this VM is the holder.
	hintedAt time.Duration
	lastID   quota.RequestID
	waiting  map[quota.RequestID]waitingRequest
}

type waitingRequest struct {
	customer  string
	arrivedAt time.Duration
}

type event struct {
	at  time.Duration
	id  int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) } //nolint:forcetypeassert // Only events are pushed.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]

	return last
}

func newWorld(seed uint64, count int, t quota.Tolerance, limits map[string]intent.RateLimit) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0)), tolerance: t, limits: limits, //nolint:gosec // A test needs no unpredictable numbers.
		admitted: map[string][]time.Duration{}, outcomes: map[string]*outcome{},
	}
	for name := range limits {
		w.outcomes[name] = &outcome{}
	}
	for i := range count {
		w.addVM(i)
	}

	return w
}

func (w *world) addVM(i int) {
	v := &vm{name: fmt.Sprintf("vm-%d", i), region: i % 3, rank: i, listed: true}
	w.vms = append(w.vms, v)
	w.start(v)
	w.after(w.uniform(tickInterval), func() { w.tick(v) })
}

func (w *world) uniform(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

func (w *world) after(d time.Duration, run func()) {
	w.eventID++
	heap.Push(&w.events, event{at: w.now + d, id: w.eventID, run: run})
}

// runUntil runs the events up to a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event) //nolint:forcetypeassert // Only events are pushed.
		w.now = e.at
		e.run()
		if w.check != nil {
			w.check()
		}
	}
	w.now = end
}

// start starts the process of a VM anew.
func (w *world) start(v *vm) {
	v.up, v.startedAt, v.incarnation = true, w.now-time.Millisecond, v.incarnation+1
	v.shares = quota.NewShares(v.name, v.incarnation, w.tolerance)
	v.ledger = quota.NewLedger(v.name)
	v.calling, v.triedAt, v.renewAt, v.hintedAt, v.limitsVersion = false, 0, 0, 0, 0
	v.waiting = map[quota.RequestID]waitingRequest{}
	w.configure(v)
}

func (w *world) kill(v *vm) {
	v.up = false
	v.waiting = nil
}

// changeLimit changes the configured limit of a customer. VMs must be told by configure.
func (w *world) changeLimit(customer string, limit intent.RateLimit) {
	w.limits[customer] = limit
	w.limitsVersion++
}

// configure tells a VM the limits. As in run/direct, a VM ignores a configuration that is
// older than the one in force, which may come later when both waited for the end of a freeze.
func (w *world) configure(v *vm) {
	version := w.limitsVersion
	limits := map[quota.Key]quota.Limit{}
	for name, limit := range w.limits {
		limits[quota.KeyOf(name)] = quota.EffectiveLimit(limit, w.tolerance)
	}
	w.do(v, func(at quota.At) {
		if version < v.limitsVersion {
			return
		}
		v.limitsVersion = version
		w.run(v, v.shares.Reduce(quota.LimitsChanged{At: at, Limits: limits}))
		w.run(v, v.ledger.Reduce(quota.LimitsChanged{At: at, Limits: limits}))
	})
}

// do runs something on a VM, when it is not frozen.
func (w *world) do(v *vm, run func(at quota.At)) {
	if !v.up {
		return
	}
	if w.now < v.frozenUntil {
		w.after(v.frozenUntil-w.now, func() { w.do(v, run) })

		return
	}
	run(w.at(v))
}

// at returns the time of a VM's process.
func (w *world) at(v *vm) quota.At { return quota.At(w.now - v.startedAt) }

// run runs the effects of a VM.
func (w *world) run(v *vm, effects []quota.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case quota.Admit:
			w.admit(v, e)
		case quota.Refuse:
			r := v.waiting[e.ID]
			delete(v.waiting, e.ID)
			if e.OverLimit {
				w.outcomes[r.customer].over++
			} else {
				w.outcomes[r.customer].noHolder++
			}
		case quota.Send:
			w.send(v, e.To, func(to *vm) {
				w.run(to, to.ledger.Reduce(quota.Asked{At: w.at(to), Request: e.Request}))
			})
		case quota.Answer:
			w.send(v, e.To, func(to *vm) {
				w.run(to, to.shares.Reduce(quota.Granted{At: w.at(to), Grant: e.Grant}))
			})
		}
	}
}

// send delivers a datagram to a VM.
func (w *world) send(from *vm, name string, receive func(to *vm)) {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	to := w.vms[i]
	if from == to {
		receive(to)

		return
	}
	for copies := 1; copies > 0; copies-- {
		if delay, ok := w.latency(from, to); ok && !from.cut && !to.cut {
			w.after(delay, func() { w.do(to, func(quota.At) { receive(to) }) })
		}
		if w.random.Float64() < w.repeatRate {
			copies++
		}
	}
}

func (w *world) admit(v *vm, e quota.Admit) {
	id := e.ID
	r := v.waiting[id]
	delete(v.waiting, id)
	o := w.outcomes[r.customer]
	o.admitted++
	o.waits = append(o.waits, w.now-r.arrivedAt)
	if w.random.Float64() >= w.returnRate {
		w.admitted[r.customer] = append(w.admitted[r.customer], w.now)

		return
	}
	// The request is refused later, and has not run.
	incarnation := v.incarnation
	refusedAfter := w.returnTime
	if refusedAfter == 0 {
		refusedAfter = w.uniform(300 * time.Millisecond)
	}
	w.after(refusedAfter, func() {
		w.do(v, func(now quota.At) {
			if v.incarnation == incarnation {
				w.run(v, v.shares.Reduce(quota.Returned{At: now, Key: quota.KeyOf(r.customer), Admitted: e}))
			}
		})
	})
}

// arrive lets a request of a customer arrive at a VM.
func (w *world) arrive(v *vm, customer string, patience time.Duration) {
	w.do(v, func(at quota.At) {
		v.lastID++
		v.waiting[v.lastID] = waitingRequest{customer: customer, arrivedAt: w.now}
		w.outcomes[customer].arrived++
		w.run(v, v.shares.Reduce(quota.Arrived{At: at, ID: v.lastID, Key: quota.KeyOf(customer), Until: time.Duration(at) + patience}))
	})
}

// tick runs a VM's clock.
func (w *world) tick(v *vm) {
	w.after(tickInterval, func() { w.tick(v) })
	if !v.up || w.now < v.frozenUntil {
		return
	}
	at := w.at(v)
	w.run(v, v.shares.Reduce(quota.Tick{At: at}))
	w.run(v, v.ledger.Reduce(quota.Tick{At: at}))
	era, holds := v.ledger.Era(time.Duration(at))
	if holds && time.Duration(at)-v.hintedAt >= hintInterval {
		v.hintedAt = time.Duration(at)
		// Digests of relays name the holder.
		for _, other := range w.vms {
			w.send(v, other.name, func(to *vm) {
				w.run(to, to.shares.Reduce(quota.HolderHeard{At: w.at(to), Holder: v.name, Era: era}))
			})
		}
	}
	_, heardAt := v.shares.Holder()
	rankDelay := time.Duration(v.rank) * 500 * time.Millisecond
	switch {
	case v.calling || !v.listed:
	case holds && time.Duration(at) >= v.renewAt:
		w.renew(v)
	case !holds && time.Duration(at)-max(heardAt, v.triedAt) > silence+rankDelay, !holds && heardAt == 0 && v.triedAt == 0 && v.rank == 0:
		w.acquire(v)
	}
}

// call makes a call to the store. It runs execute in the store, and finish at the VM if the
// answer reaches the same process.
func (w *world) call(v *vm, execute func() bool, finish func(at quota.At)) {
	v.calling = true
	incarnation := v.incarnation
	there, arrives := w.storeLatency(v)
	back, returns := w.storeLatency(v)
	executed := false
	if arrives {
		w.after(there, func() { executed = execute() })
	}
	w.after(there+back, func() {
		w.do(v, func(at quota.At) {
			if v.incarnation != incarnation {
				return
			}
			v.calling = false
			if executed && returns {
				finish(at)
			}
		})
	})
}

// acquire tries to become the holder.
func (w *world) acquire(v *vm) {
	start, era := time.Duration(w.at(v)), uint64(0)
	v.triedAt = start
	w.call(v, func() bool {
		if w.now < w.key.leaseEnd && w.key.owner != v {
			return false
		}
		w.revision++
		era = w.revision
		w.key = storeKey{owner: v, era: era, leaseEnd: w.now + rightTTL}

		return true
	}, func(at quota.At) {
		v.renewAt = start + renewInterval
		w.run(v, v.ledger.Reduce(quota.RightGained{At: at, Era: era, End: start + rightTTL, OpensAt: time.Duration(at) + quota.ShareTTL}))
		w.after(w.uniform(100*time.Millisecond), func() { w.list(v) })
	})
}

// list tells the holder the list of VMs.
func (w *world) list(v *vm) {
	var names []string
	for _, other := range w.vms {
		if other.listed {
			names = append(names, other.name)
		}
	}
	w.do(v, func(at quota.At) {
		w.run(v, v.ledger.Reduce(quota.EntryVMsChanged{At: at, Names: names}))
	})
}

// renew renews the right.
func (w *world) renew(v *vm) {
	start := time.Duration(w.at(v))
	v.renewAt = start + renewInterval
	era, _ := v.ledger.Era(start)
	w.call(v, func() bool {
		if w.key.era == era && w.now < w.key.leaseEnd {
			w.key.leaseEnd = w.now + rightTTL

			return true
		}

		return false
	}, func(at quota.At) {
		w.run(v, v.ledger.Reduce(quota.RightRenewed{At: at, Era: era, End: start + rightTTL}))
	})
}

// mostInWindow returns the greatest number of admitted requests of a customer in a window
// that begins at or after a time.
func (w *world) mostInWindow(customer string, from time.Duration) int {
	times, most, first := w.admitted[customer], 0, 0
	for last, at := range times {
		for at-times[first] > w.tolerance.Window {
			first++
		}
		if times[first] >= from {
			most = max(most, last-first+1)
		}
	}

	return most
}

// bound returns the number of requests that the tolerance allows in a window.
func bound(limit intent.RateLimit, t quota.Tolerance) float64 {
	return (limit.PerSecond*t.Window.Seconds()+limit.Burst)*(1+t.Overage) + t.Allowance
}
