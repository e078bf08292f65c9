package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["stop-behind-slow"] = stopBehindSlow
}

// stopBehindSlow stops an entry VM with SIGTERM while connections carry a slow request and,
// behind it, a quick one that an upstream has answered. The quick ones must be answered.
func stopBehindSlow(e *env) (int, error) {
	const (
		connections = 6
		slowWork    = 7 * time.Second
		quickWork   = 100 * time.Millisecond
		grace       = 6 * time.Second
		patience    = 8000
	)
	e.configure(7, map[string]any{"r-map": route("/maps/", "safe", "carte-sync", 8, 2, false)}, "carte-sync")
	for i, zone := range zones {
		u, err := newUpstream(fmt.Sprintf("i-%d", i+1), "carte-sync", zone, "127.0.0.1:0", 9, quickWork)
		if err != nil {
			return 0, err
		}
		u.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			id := r.Header.Get("X-Request-Id")
			work := quickWork
			if strings.HasSuffix(r.URL.Path, "/all") {
				work = slowWork
			}
			e.log("upstream %s begins %s %s", u.id, r.URL.Path, id)
			select {
			case <-time.After(work):
			case <-r.Context().Done():
				e.log("upstream %s drops %s: its connection is closed", u.id, id)

				return true
			}
			w.Header().Set("X-Server-Stamp", u.id+"."+id)
			_, _ = io.WriteString(w, "answer to "+id)
			e.log("upstream %s has answered %s", u.id, id)

			return true
		}
		u.serve()
		e.atEnd(u.stop)
		e.store.put("servers/"+u.id, u.entry("ready", 0))
	}
	if err := e.addVMs(len(zones)); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	v := e.vms[0]
	type result struct{ slow, quick string }
	results := make(chan result, connections)
	for range connections {
		go func() {
			slow, quick := e.id(), e.id()
			conn, err := net.DialTimeout("tcp", v.front(), time.Second)
			if err != nil {
				results <- result{err.Error(), err.Error()}

				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(patience * time.Millisecond))
			for _, r := range [][2]string{{"/maps/all", slow}, {"/maps/one", quick}} {
				fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: guide.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", r[0], r[1], patience)
				e.log("client sends GET %s %s to %s", r[0], r[1], v.name)
			}
			reader := bufio.NewReader(conn)
			read := func(id string) string {
				resp, err := readFinal(reader, http.MethodGet)
				if err != nil {
					e.log("client gets no answer to %s: %v", id, err)

					return "no answer"
				}
				_, err = io.ReadAll(resp.Body)
				e.log("client gets %d for %s, error %v", resp.StatusCode, id, err)

				return fmt.Sprint(resp.StatusCode)
			}
			r := result{slow: read(slow)}
			r.quick = read(quick)
			results <- r
		}()
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.say("%s gets SIGTERM", v.name)
		v.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { v.signal(syscall.SIGKILL) })
	}
	lost, slowLost := 0, 0
	for range connections {
		r := <-results
		if r.quick == "no answer" {
			lost++
		}
		if r.slow == "no answer" {
			slowLost++
		}
	}
	e.say("of %d quick requests that an upstream had answered, %d got no answer; of the slow ones, %d", connections, lost, slowLost)
	if lost > 0 {
		return exitBroken, nil
	}

	return exitHeld, nil
}
