// Command ran-503 lets one backend server fail a part of the bookings that it has run, with
// status 503 and without saying that they have not run, and checks what callers are told.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"greengagetally.example/review2/world"
)

const (
	clients    = 24
	servers    = 8
	failedPart = 0.45
	troubled   = 4 * time.Second
	trouble    = 6500 * time.Millisecond
	length     = 14 * time.Second
	pause      = 60 * time.Millisecond
	deadline   = 1500 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run returns the exit code: 1 if the rule was broken, 0 if it held, 2 if nothing was shown.
func run(program, recordPath string, troubles bool) int {
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
	var grey atomic.Bool
	work := func(r *http.Request, _ []byte) world.Work { return world.Work{For: 20 * time.Millisecond} }
	greyWork := func(r *http.Request, body []byte) world.Work {
		if grey.Load() && r.Method == http.MethodPost && rand.Float64() < failedPart {
			return world.Work{For: 20 * time.Millisecond, Status: http.StatusServiceUnavailable}
		}

		return work(r, body)
	}
	if _, err := w.AddServers(world.ServiceBooking, 1, 6, greyWork); err != nil {
		return fail(err)
	}
	if _, err := w.AddServers(world.ServiceBooking, servers-1, 6, work); err != nil {
		return fail(err)
	}
	w.PutConfig(7)
	if err := w.StartVMs(ctx, 6); err != nil {
		return fail(err)
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		group.Go(func() { bookings(ctx, w.NewClient(fmt.Sprintf("c%02d", i)), end) })
	}
	time.Sleep(troubled)
	grey.Store(troubles)
	time.Sleep(trouble)
	grey.Store(false)
	group.Wait()
	breaks := w.Record.Breaks()
	sent, runs, successes := w.Record.Counts()
	summary := append([]string{fmt.Sprintf("trouble %v; sent %d, run %d, answered with success %d; broken rules: %d", troubles, sent, runs, successes, len(breaks))}, breaks...)
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

// bookings sends bookings one after the other. One that is answered with a promise that it has
// not run is sent again once, as PROTOCOL.md says of clients.
func bookings(ctx context.Context, c *world.Client, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		body := fmt.Appendf(nil, `{"booking":"%s-%d","studio":%d}`, c.Name, n, rand.IntN(90))
		a, wait := c.Do(ctx, http.MethodPost, world.PathBooking+"2f", body, deadline, 0, "")
		if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
			time.Sleep(min(wait, deadline/3))
			c.Do(ctx, http.MethodPost, world.PathBooking+"2f", body, deadline-min(wait, deadline/3), 0, a.ID)
		}
		time.Sleep(pause)
	}
}
