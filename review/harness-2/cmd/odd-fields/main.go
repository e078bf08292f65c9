// Command odd-fields lets another writer replace the entry of a backend server by one in which
// fields are missing and the service is another, and checks what the servers run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"greengagetally.example/review2/world"
)

const (
	clients = 24
	// The entry is replaced just after a heartbeat of its server, which puts its own back 1.5 s
	// later.
	troubled = 4600 * time.Millisecond
	length   = 14 * time.Second
	pause    = 60 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run returns the exit code: 1 if the rule was broken, 0 if it held, 2 if nothing was shown.
func run(program, recordPath string, trouble bool) int {
	fail := func(err error) int {
		fmt.Println("cannot run:", err)

		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	w, err := world.New(program)
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	started := time.Now()
	_, err = w.AddServers(world.ServiceBooking, 6, 6, nil)
	if err != nil {
		return fail(err)
	}
	talent, err := w.AddServers(world.ServiceTalent, 4, 6, nil)
	if err != nil {
		return fail(err)
	}
	w.PutConfig(7)
	if err := w.StartVMs(ctx, 6); err != nil {
		return fail(err)
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		group.Go(func() { requests(ctx, w.NewClient(fmt.Sprintf("c%02d", i)), end) })
	}
	time.Sleep(time.Until(started.Add(troubled)))
	if trouble {
		server := talent[0]
		value := fmt.Appendf(nil, `{"address":%q,"info":{"service":%q,"zone":%q,"slots":6},"status":{"state":"ready"}}`, server.Address, world.ServiceBooking, server.Zone)
		w.Record.Note("another writer leaves the entry %q: %s", world.ServersPrefix+server.ID, value)
		w.Store.Put(world.ServersPrefix+server.ID, value)
	}
	group.Wait()
	breaks := w.Record.Breaks()
	sent, runs, successes := w.Record.Counts()
	summary := append([]string{fmt.Sprintf("trouble %v; sent %d, run %d, answered with success %d; broken rules: %d", trouble, sent, runs, successes, len(breaks))}, breaks...)
	fmt.Println(summary[0])
	for _, line := range breaks[:min(len(breaks), 5)] {
		fmt.Println(line)
	}
	if err := w.Record.Write(recordPath, summary...); err != nil {
		return fail(err)
	}
	switch {
	case len(breaks) > 0:
		return 1
	case successes < sent/2:
		return fail(fmt.Errorf("only %d of %d requests were served", successes, sent))
	}

	return 0
}

// requests sends bookings and searches one after the other.
func requests(ctx context.Context, c *world.Client, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		if n%3 < 2 {
			body := fmt.Appendf(nil, `{"studio":%d,"from":"2026-12-%02dT10:00","hours":%d}`, rand.IntN(90), 1+rand.IntN(28), 1+rand.IntN(5))
			c.Do(ctx, http.MethodPost, world.PathBooking+"2f", body, deadline, 0, "")
		} else {
			c.Do(ctx, http.MethodGet, world.PathSearch+"voice", nil, deadline, 0, "")
		}
		time.Sleep(pause)
	}
}
