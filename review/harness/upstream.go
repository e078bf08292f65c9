package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in for an upstream of a service.
type upstream struct {
	id, zone, service string
	slots             int
	born              int64
	listener          net.Listener
	server            *http.Server
	// work is how long a request takes.
	work time.Duration
	// handle replaces the usual response, if it is set.
	handle func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// onArrival is called when a request begins to run.
	onArrival func(u *upstream, r *http.Request)

	running  atomic.Int64
	slotSem  chan struct{}
	stopOnce sync.Once
}

// newUpstream starts an upstream at an address; port 0 is a free port.
func newUpstream(id, service, zone, address string, slots int, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l, work: work,
		slotSem: make(chan struct{}, slots),
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}

	return u, nil
}

func (u *upstream) serve() { go func() { _ = u.server.Serve(u.listener) }() }

func (u *upstream) address() string { return u.listener.Addr().String() }

// stop ends the upstream at once and breaks its connections.
func (u *upstream) stop() { u.stopOnce.Do(func() { _ = u.server.Close() }) }

// entry returns the upstream's entry in the store.
func (u *upstream) entry(state string, warmupLeft float64) map[string]any {
	return map[string]any{
		"address": u.address(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "seq": 1, "warmup_left_s": warmupLeft},
	}
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := u.running.Load()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", running, u.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)

		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case u.slotSem <- struct{}{}:
		defer func() { <-u.slotSem }()
	case <-r.Context().Done():
		return
	}
	u.running.Add(1)
	defer u.running.Add(-1)
	if u.onArrival != nil {
		u.onArrival(u, r)
	}
	if u.handle != nil && u.handle(w, r, body) {
		return
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", u.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+u.id+" to "+id)
}
