package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["restart-misses-removal"] = restartMissesRemoval
}

// leaving is an upstream whose entry was removed from the store.
type leaving struct {
	ackedAt  time.Time
	exitedAt time.Time
}

// late is a request that reached an upstream too late.
type late struct {
	id, upstream, vm string
	after            time.Duration
}

// drainWatch finds requests that break DRAIN.
type drainWatch struct {
	mu      sync.Mutex
	leaving map[string]*leaving
	// sent holds when and to which entry VM a client sent each request.
	sent map[string]sentTo
	late []late
	lost []string
}

type sentTo struct {
	at time.Time
	vm *vm
}

// inTouch reports whether the process of an entry VM ran undisturbed for contact_s.
func (v *vm) inTouch(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.done:
		return false
	default:
	}

	return now.Sub(v.upSince) > time.Duration(contactSeconds*float64(time.Second))
}

// arrived checks a request that an upstream begins to run.
func (w *drainWatch) arrived(e *env, u *upstream, id string) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	l, left := w.leaving[u.id]
	s, known := w.sent[id]
	if !left || !known || !s.vm.inTouch(now) {
		return
	}
	if after := now.Sub(l.ackedAt); after > time.Duration(drainSeconds*float64(time.Second)) {
		w.late = append(w.late, late{id, u.id, s.vm.name, after})
		e.log("LATE: request %s reaches %s from %s, %.3f s after the store acknowledged that it is gone", id, u.id, s.vm.name, after.Seconds())
	}
}

// reader returns the entry VM that reads a table from the store most often.
func (e *env) reader(prefix string, during time.Duration) *vm {
	count := func() map[string]int {
		e.store.mu.Lock()
		defer e.store.mu.Unlock()
		out := map[string]int{}
		for port, n := range e.store.rangeReads[prefix] {
			out[port] = n
		}

		return out
	}
	before := count()
	time.Sleep(during)
	best, most := e.vms[0], 0
	for _, v := range e.vms {
		if n := count()[v.store] - before[v.store]; n > most {
			best, most = v, n
		}
	}

	return best
}

// restartMissesRemoval kills and starts the entry VM that reads the list of upstreams while
// some upstreams leave, as in a scale-in. No request may reach them later than drain_s
// after that from an entry VM in touch.
func restartMissesRemoval(e *env) (int, error) {
	const (
		work      = 200 * time.Millisecond
		perSecond = 20
		patience  = 4 * time.Second
		// serveFor is how long an upstream serves after its entry was removed.
		serveFor = 8 * time.Second
		cycles   = 2
	)
	e.configure(7, map[string]any{
		"r-page": route("/spots/", "safe", "guide-api", 3, 2, false), "r-book": route("/book/", "unsafe", "guide-api", 3, 2, false),
	}, "guide-api")
	w := &drainWatch{leaving: map[string]*leaving{}, sent: map[string]sentTo{}}
	var upstreams []*upstream
	started := 0
	startUpstream := func(zone string) error {
		started++
		u, err := newUpstream(fmt.Sprintf("i-%d", started), "guide-api", zone, "127.0.0.1:0", 9, work)
		if err != nil {
			return err
		}
		u.onArrival = func(u *upstream, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			e.log("upstream %s runs %s", u.id, id)
			w.arrived(e, u, id)
		}
		u.serve()
		e.atEnd(u.stop)
		e.store.put("servers/"+u.id, u.entry("ready", 0))
		upstreams = append(upstreams, u)

		return nil
	}
	for i := range 16 {
		if err := startUpstream(zones[i%len(zones)]); err != nil {
			return 0, err
		}
	}
	if err := e.addVMs(len(zones)); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	reader := e.reader("servers/", 3*time.Second)
	e.say("%s reads the list of upstreams", reader.name)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	c := newClient()
	var sent, served, lost atomic.Int64
	for i := range e.vms {
		clients.Go(func() {
			ticker := time.NewTicker(time.Second / perSecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					v, id := e.vms[i], e.id()
					method, path, body := http.MethodGet, fmt.Sprintf("/spots/%d", n), []byte(nil)
					if n%3 == 0 {
						method, path, body = http.MethodPost, fmt.Sprintf("/book/%d", n), []byte("{\"seats\":2}")
					}
					w.mu.Lock()
					w.sent[id] = sentTo{time.Now(), v}
					w.mu.Unlock()
					undisturbed := v.inTouch(time.Now())
					a := c.attempt(v, method, path, id, "", body, patience)
					e.log("client: %s %s %s to %s: %s", method, path, id, v.name, a)
					sent.Add(1)
					if a.served() {
						served.Add(1)
					} else if undisturbed && v.inTouch(time.Now()) && a.status != http.StatusServiceUnavailable {
						lost.Add(1)
						e.log("LOST: %s %s to %s: %s", method, id, v.name, a)
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	leave := func(u *upstream) {
		w.mu.Lock()
		e.store.remove("servers/" + u.id)
		l := &leaving{ackedAt: time.Now()}
		w.leaving[u.id] = l
		w.mu.Unlock()
		e.log("the store acknowledges that %s is gone", u.id)
		time.AfterFunc(serveFor, func() {
			e.log("upstream %s exits", u.id)
			u.stop()
		})
	}
	for cycle := range cycles {
		if e.trouble {
			e.say("%s is killed", reader.name)
			reader.kill()
		}
		time.Sleep(800 * time.Millisecond)
		// A scale-in: 4 upstreams leave one after the other, without draining.
		gone := upstreams[4*cycle : 4*cycle+4]
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, u := range gone {
				leave(u)
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(200 * time.Millisecond)
		if e.trouble {
			if err := reader.start(false); err != nil {
				return 0, err
			}
			e.say("%s starts again", reader.name)
		}
		<-done
		// Other upstreams change their entries meanwhile, so the store is not silent.
		for range 10 {
			time.Sleep(time.Second)
			u := upstreams[len(upstreams)-1]
			e.store.put("servers/"+u.id, u.entry("ready", 0))
		}
	}
	close(stop)
	clients.Wait()
	e.say("%d requests sent, %d served, %d lost at entry VMs in touch", sent.Load(), served.Load(), lost.Load())
	w.mu.Lock()
	defer w.mu.Unlock()
	byUpstream := map[string]int{}
	for _, l := range w.late {
		byUpstream[l.upstream]++
	}
	e.say("%d requests reached an upstream later than %.1f s after it was gone: %v", len(w.late), drainSeconds, byUpstream)
	if len(w.late) > 0 {
		return exitBroken, nil
	}
	if served.Load()*2 < sent.Load() {
		return exitCannot, nil
	}

	return exitHeld, nil
}
