// Command slow-pipeline stops an entry VM while callers that read slowly have several requests
// on their connections, and checks that all that has run is answered.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"greengagetally.example/review2/world"
)

const (
	vms     = 3
	clients = 36
	// A caller sends a booking, two look-ups behind it at once and then one each pause, up to
	// roundRequests in all, and begins again when all are answered. At most outstanding
	// requests wait for their answers. It reads readPerSecond bytes.
	roundRequests = 12
	outstanding   = 8
	pause         = 200 * time.Millisecond
	readPerSecond = 12_000
	bookingBytes  = 9_000
	lookupBytes   = 1_500
	receiveBuffer = 1 << 10
	timeout       = 2 * time.Second
	deadline      = 6 * time.Second

	// The SIGTERM comes busyAfter after the first booking that a caller sends to the VM later
	// than stopAt: the VM is answering then.
	stopAt    = 5 * time.Second
	busyAfter = 20 * time.Millisecond
	grace     = 6 * time.Second
	restartIn = 500 * time.Millisecond
	length    = 16 * time.Second
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// bytesOf returns the length of the answer to a request.
func bytesOf(method string) int {
	if method == http.MethodPost {
		return bookingBytes
	}

	return lookupBytes
}

// lost is a request that was run and whose connection ended without its answer.
type lost struct {
	id, method, address string
	sentAt, endedAt     time.Time
	err                 error
}

type results struct {
	mu     sync.Mutex
	lost   []lost
	whole  int
	latest time.Duration
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
	w.LookupTimeout, w.BookingTimeout = timeout.Seconds(), timeout.Seconds()
	work := func(r *http.Request, _ []byte) world.Work {
		return world.Work{For: 50 * time.Millisecond, Bytes: bytesOf(r.Method)}
	}
	if _, err := w.AddServers(world.ServiceBooking, 12, 6, work); err != nil {
		return fail(err)
	}
	w.PutConfig(7)
	if err := w.StartVMs(ctx, vms); err != nil {
		return fail(err)
	}
	var group sync.WaitGroup
	var all results
	booked := make(chan string)
	start := time.Now()
	for i := range clients {
		c := w.NewClient(fmt.Sprintf("c%02d", i))
		group.Go(func() {
			time.Sleep(time.Duration(i) * roundRequests * pause / clients)
			for n := 0; time.Since(start) < length; n++ {
				converse(ctx, w, c, start.Add(length), &all, booked)
			}
		})
	}
	time.Sleep(stopAt)
	vm := w.VMs[1]
	for address := ""; address != vm.Front(); {
		address = <-booked
	}
	time.Sleep(busyAfter)
	stoppedAt := time.Now()
	if trouble {
		vm.Signal(syscall.SIGTERM)
		select {
		case <-vm.Done():
		case <-time.After(grace):
			vm.Signal(syscall.SIGKILL)
			<-vm.Done()
		}
		time.Sleep(restartIn)
		if err := vm.Start(); err != nil {
			return fail(err)
		}
	}
	group.Wait()

	var breaks []string
	for _, l := range all.lost {
		inTime := l.endedAt.Sub(l.sentAt) < timeout
		planned := l.address == vm.Front() && l.endedAt.After(stoppedAt) && l.endedAt.Before(stoppedAt.Add(grace+time.Second))
		if w.Record.HasRun(l.id) && inTime && (planned || !trouble) {
			breaks = append(breaks, fmt.Sprintf("LOST: %s %s was run, its connection to %s ended %.3f s after it was sent and %.3f s after the SIGTERM, without a complete answer: %v",
				l.method, l.id, l.address, l.endedAt.Sub(l.sentAt).Seconds(), l.endedAt.Sub(stoppedAt).Seconds(), l.err))
		}
	}
	slices.Sort(breaks)
	breaks = append(breaks, w.Record.Breaks()...)
	sent, runs, _ := w.Record.Counts()
	summary := append([]string{fmt.Sprintf("trouble %v; sent %d, run %d, answered whole %d (the slowest after %.2f s); broken rules: %d", trouble, sent, runs, all.whole, all.latest.Seconds(), len(breaks))}, breaks...)
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
	case all.whole < sent/2:
		return fail(fmt.Errorf("only %d of %d requests were served", all.whole, sent))
	}

	return 0
}

// slowReader reads a few bytes at a time at a rate.
type slowReader struct {
	conn net.Conn
}

func (r slowReader) Read(p []byte) (int, error) {
	const step = 20 * time.Millisecond
	time.Sleep(step)
	n := int(readPerSecond * step.Seconds())

	return r.conn.Read(p[:min(len(p), n)])
}

// sentRequest is a request on a connection that has no answer yet.
type sentRequest struct {
	id, method string
	at         time.Time
}

// converse opens a connection and sends requests until it ends, an answer says that it closes,
// or the time is over. It tells of each booking, if somebody listens.
func converse(ctx context.Context, w *world.World, c *world.Client, end time.Time, all *results, booked chan<- string) {
	address, err := c.Resolve(ctx)
	if err != nil {
		time.Sleep(pause)

		return
	}
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})

		return errors.Join(err, setErr)
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(pause)

		return
	}
	defer func() { _ = conn.Close() }()
	var mu sync.Mutex
	var waiting []sentRequest
	closing := false
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			mu.Lock()
			stop := closing || time.Now().After(end)
			isFirst := n%roundRequests == 0
			if !stop && (isFirst && len(waiting) > 0 || len(waiting) >= outstanding) {
				mu.Unlock()
				time.Sleep(pause / 20)
				n--

				continue
			}
			var id string
			method, target, body := http.MethodGet, world.PathLookup+"2f?day=7", ""
			if !stop {
				id = c.NextID()
				if isFirst {
					method, target, body = http.MethodPost, world.PathBooking+"2f", fmt.Sprintf(`{"booking":"%s"}`, id)
				}
				waiting = append(waiting, sentRequest{id, method, time.Now()})
			}
			mu.Unlock()
			if stop {
				return
			}
			w.Record.Sending(world.Sent{ID: id, Method: method, Target: target, Body: world.Digest([]byte(body)), BodyBytes: len(body), Unsafe: isFirst})
			length := ""
			if isFirst {
				length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
			}
			_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s",
				method, target, world.Host, world.HeaderID, id, world.HeaderDeadline, deadline.Milliseconds(), length, body)
			if err != nil {
				return
			}
			if isFirst {
				select {
				case booked <- address:
				default:
				}
			}
			if n%roundRequests >= 2 {
				time.Sleep(pause)
			}
		}
	})
	reader := bufio.NewReaderSize(slowReader{conn}, 512)
	for {
		mu.Lock()
		none, over := len(waiting) == 0, time.Now().After(end)
		mu.Unlock()
		if none && over {
			break
		}
		resp, err := http.ReadResponse(reader, nil)
		var data []byte
		if err == nil {
			data, err = io.ReadAll(resp.Body)
		}
		mu.Lock()
		if err != nil {
			closing = true
			for _, s := range waiting {
				w.Record.Got(world.Answered{ID: s.id, Err: err})
				all.mu.Lock()
				all.lost = append(all.lost, lost{id: s.id, method: s.method, address: address, sentAt: s.at, endedAt: time.Now(), err: err})
				all.mu.Unlock()
			}
			mu.Unlock()

			break
		}
		if len(waiting) == 0 {
			mu.Unlock()

			break
		}
		s := waiting[0]
		waiting = waiting[1:]
		a := world.Answered{ID: s.id, Status: resp.StatusCode, Stamp: resp.Header.Get(world.HeaderStamp), Whole: bytes.Equal(data, world.AnswerBody(s.id, bytesOf(s.method)))}
		closing = closing || strings.EqualFold(resp.Header.Get("Connection"), "close") || resp.Close
		done := closing
		mu.Unlock()
		w.Record.Got(a)
		all.mu.Lock()
		if a.Whole {
			all.whole++
			all.latest = max(all.latest, time.Since(s.at))
		}
		all.mu.Unlock()
		if done {
			// Requests behind an answer that closes the connection count as not read.
			break
		}
	}
	_ = conn.Close()
	group.Wait()
}
