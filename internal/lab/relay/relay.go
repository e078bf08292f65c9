// Package relay is a TCP relay that injects faults of links.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// DirectionFaults is the fault state of one direction; the zero value passes bytes on.
type DirectionFaults struct {
	// DelayMs holds bytes back by milliseconds.
	DelayMs int `json:"delay-ms"`
	// BytesPerSecond limits the rate of all connections together; 0 means no limit.
	BytesPerSecond int `json:"bytes-per-second"`
	// Freeze stops the bytes and keeps them.
	Freeze bool `json:"freeze"`
	// Drop loses the bytes while the connection stays open.
	Drop bool `json:"drop"`
}

// Faults are the faults of one relay. Up is from the client to the target.
type Faults struct {
	// Cut ends all connections and refuses new ones.
	Cut  bool            `json:"cut"`
	Up   DirectionFaults `json:"up"`
	Down DirectionFaults `json:"down"`
}

// Relay passes connections to its listen address on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	up, down *rate.Limiter
	// bytes that passed, by direction.
	bytesUp, bytesDown int64
}

// New listens on listen and passes connections on to target until ctx ends.
func New(ctx context.Context, listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		listener: listener, target: target, changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, up: limiter(0), down: limiter(0),
	}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		r.Set(Faults{Cut: true})
	})
	go r.accept()

	return r, nil
}

// Address returns the listen address.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Set replaces the faults; the zero value ends all of them.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.faults = f
	r.up, r.down = limiter(f.Up.BytesPerSecond), limiter(f.Down.BytesPerSecond)
	close(r.changed)
	r.changed = make(chan struct{})
	if f.Cut {
		for c := range r.conns {
			_ = c.Close()
		}
	}
}

// ForwardedBytes returns the bytes that passed from clients to the target and back.
func (r *Relay) ForwardedBytes() (up, down int64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.bytesUp, r.bytesDown
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.track(client) {
			continue
		}
		go func() {
			defer r.forget(client)
			target, err := net.DialTimeout("tcp", r.target, 5*time.Second)
			if err != nil || !r.track(target) {
				return
			}
			defer r.forget(target)
			r.join(client, target)
		}()
	}
}

// track keeps a connection for Cut; it closes it and reports false while cut.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.faults.Cut {
		_ = c.Close()

		return false
	}
	r.conns[c] = struct{}{}

	return true
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) join(client, target net.Conn) {
	var both sync.WaitGroup
	both.Go(func() { r.pass(target, client, true) })
	both.Go(func() { r.pass(client, target, false) })
	both.Wait()
}

// limiter passes a chunk at a time, so that the rate holds in short periods.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(perSecond), chunkSize)
}

// chunkSize is the largest number of bytes that pass at once.
const chunkSize = 16 << 10

type chunk struct {
	data []byte
	due  time.Time
}

// pass copies one direction; a second goroutine writes, so that a delay does
// not limit the rate.
func (r *Relay) pass(dst, src net.Conn, up bool) {
	chunks := make(chan chunk, 256)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := src.Read(buf)
			if n > 0 {
				delay := time.Duration(r.direction(up).DelayMs) * time.Millisecond
				chunks <- chunk{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !r.write(dst, c.data, up) {
			_ = src.Close()

			break
		}
	}
	// The end of one direction is passed on; a reset ends both.
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for range chunks {
		continue
	}
}

// write applies the faults of a direction to one chunk.
func (r *Relay) write(dst io.Writer, data []byte, up bool) bool {
	for {
		r.mu.Lock()
		f, changed := r.faults.Down, r.changed
		limit, count := r.down, &r.bytesDown
		if up {
			f, limit, count = r.faults.Up, r.up, &r.bytesUp
		}
		cut := r.faults.Cut
		if !f.Freeze && !f.Drop {
			*count += int64(len(data))
		}
		r.mu.Unlock()
		if cut {
			return false
		}
		if f.Drop {
			return true
		}
		if f.Freeze {
			<-changed

			continue
		}
		time.Sleep(limit.ReserveN(time.Now(), len(data)).Delay())
		_, err := dst.Write(data)

		return err == nil || errors.Is(err, io.ErrShortWrite)
	}
}

func (r *Relay) direction(up bool) DirectionFaults {
	r.mu.Lock()
	defer r.mu.Unlock()

	if up {
		return r.faults.Up
	}

	return r.faults.Down
}
