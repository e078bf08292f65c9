package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runUpstream runs an upstream in a process of its own, so that it can lose power.
func runUpstream(args []string) {
	f := flag.NewFlagSet("upstream", flag.ExitOnError)
	id := f.String("id", "", "")
	zone := f.String("zone", "", "")
	service := f.String("service", "", "")
	address := f.String("address", "", "")
	slots := f.Int("slots", 8, "")
	work := f.Duration("work", 100*time.Millisecond, "")
	_ = f.Parse(args)
	u, err := newUpstream(*id, *service, *zone, *address, *slots, *work)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	u.onArrival = func(u *upstream, r *http.Request) {
		fmt.Printf("%s runs %s\n", u.id, r.Header.Get("X-Request-Id"))
	}
	u.serve()
	fmt.Println("ready")
	select {}
}

// upstreamProcess is an upstream in a process of its own.
type upstreamProcess struct {
	id, zone, address string
	cmd               *exec.Cmd
}

func (e *env) startUpstreamProcess(id, zone, address string, work time.Duration) (*upstreamProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &upstreamProcess{id: id, zone: zone, address: address}
	p.cmd = exec.Command(self, "upstream", "-id", id, "-zone", zone, "-service", "guide-api", "-address", address, "-slots", "8", "-work", work.String())
	out, err := os.OpenFile(e.tmp+"/"+id+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	e.atEnd(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	})
	go func() { _ = p.cmd.Wait() }()

	return p, nil
}

func (e *env) registerProcess(p *upstreamProcess, warmupLeft float64) {
	e.store.put("servers/"+p.id, map[string]any{
		"address": p.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "guide-api", "version": "v1", "zone": p.zone, "slots": 8},
		"status": map[string]any{"state": "ready", "seq": 1, "warmup_left_s": warmupLeft},
	})
}

func init() {
	cases["zone-loss-then-refused"] = zoneLoss
}

// zoneLoss lets a zone lose power for some seconds while clients read one page. Later than
// recovery_s after the zone is back, at least a quarter of the requests must be served.
func zoneLoss(e *env) (int, error) {
	const (
		lossFor   = 3 * time.Second
		work      = 100 * time.Millisecond
		perSecond = 2
		patience  = 6 * time.Second
		entryTTL  = 4500 * time.Millisecond
	)
	e.configure(7, map[string]any{"r-page": route("/spots/", "safe", "guide-api", 5, 2, true)}, "guide-api")
	var upstreams []*upstreamProcess
	for i, zone := range append(slices.Clone(zones), zones...) {
		address, err := freeAddress()
		if err != nil {
			return 0, err
		}
		p, err := e.startUpstreamProcess(fmt.Sprintf("i-%d", i+1), zone, address, work)
		if err != nil {
			return 0, err
		}
		upstreams = append(upstreams, p)
	}
	time.Sleep(200 * time.Millisecond)
	for _, p := range upstreams {
		e.registerProcess(p, 0)
	}
	if err := e.addVMs(len(zones)); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	c := newClient()
	type span struct{ sent, served atomic.Int64 }
	var before, after span
	var faultAt, backAt atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range e.vms {
		clients.Go(func() {
			ticker := time.NewTicker(time.Second / perSecond)
			defer ticker.Stop()
			var requests sync.WaitGroup
			defer requests.Wait()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				requests.Go(func() {
					sentAt := time.Now()
					served := e.request(c, i, patience)
					var s *span
					switch {
					case faultAt.Load() == 0:
						s = &before
					case backAt.Load() > 0 && sentAt.UnixNano() > backAt.Load()+int64(recoverySeconds*float64(time.Second)):
						s = &after
					default:
						return
					}
					s.sent.Add(1)
					if served {
						s.served.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	faultAt.Store(time.Now().UnixNano())
	if e.trouble {
		lost := e.busiestZone(upstreams, "qc-sud")
		lostVM := e.vms[slices.Index(zones, lost)]
		e.say("zone %s loses power", lost)
		for _, p := range upstreams {
			if p.zone == lost {
				_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			}
		}
		lostVM.signal(syscall.SIGSTOP)
		time.Sleep(lossFor)
		for i, p := range upstreams {
			if p.zone != lost {
				continue
			}
			_ = p.cmd.Process.Kill()
			gone := p.id
			// The store removes an entry after three heartbeats of silence.
			time.AfterFunc(entryTTL-lossFor, func() { e.store.remove("servers/" + gone) })
			time.Sleep(50 * time.Millisecond)
			next, err := e.startUpstreamProcess(fmt.Sprintf("i-%d", i+11), p.zone, p.address, work)
			if err != nil {
				return 0, err
			}
			upstreams[i] = next
		}
		lostVM.kill()
		if err := lostVM.start(false); err != nil {
			return 0, err
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range upstreams {
			if p.zone == lost {
				e.registerProcess(p, 3)
			}
		}
		e.say("zone %s is back", lost)
	}
	backAt.Store(time.Now().UnixNano())
	time.Sleep(time.Duration(recoverySeconds*float64(time.Second)) + 30*time.Second)
	close(stop)
	clients.Wait()
	e.say("before the fault: %d of %d requests served", before.served.Load(), before.sent.Load())
	e.say("sent later than %.0f s after the machines were back: %d of %d requests served", recoverySeconds, after.served.Load(), after.sent.Load())
	if before.served.Load()*4 < before.sent.Load() || after.sent.Load() < 100 {
		return exitCannot, nil
	}
	if after.served.Load()*4 < after.sent.Load() {
		return exitBroken, nil
	}

	return exitHeld, nil
}

// request sends one request of a client of the zone of entry VM number home, and one more
// attempt as the pages allow: at another entry VM after a failure, and after Retry-After
// when it was refused.
func (e *env) request(c *client, home int, patience time.Duration) bool {
	end := time.Now().Add(patience)
	for try := range 2 {
		v := e.vms[home]
		if try > 0 {
			v = e.vms[rand.IntN(len(e.vms))]
		}
		left := time.Until(end)
		id := e.id()
		// A client gives an attempt up that is not read after a second or a third of the time.
		limit := left
		if v.stopped() {
			limit = min(time.Second, left/3)
		}
		a := c.attempt(v, http.MethodGet, "/spots/today", id, "17", nil, limit)
		e.log("request %s to %s: %s", id, v.name, a)
		if a.served() {
			id, _, _ := strings.Cut(a.stamp, ".")
			e.mu.Lock()
			e.servedBy[id]++
			e.mu.Unlock()

			return true
		}
		time.Sleep(min(a.retryAfter, time.Until(end)/3))
	}

	return false
}

// busiestZone returns the zone of a region whose upstreams served the most requests.
func (e *env) busiestZone(upstreams []*upstreamProcess, region string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := map[string]int{}
	best := ""
	for _, p := range upstreams {
		if regionOf[p.zone] != region {
			continue
		}
		if count[p.zone] += e.servedBy[p.id]; best == "" || count[p.zone] > count[best] {
			best = p.zone
		}
	}

	return best
}
