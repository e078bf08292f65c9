// Package relay forwards TCP connections and injects network faults into them, for
// greengagetally-lab, the integration tests and the soak tests of
// greengagetally-platform. The faults are delay, a rate limit, bytes that are held
// back or lost, and closed connections.
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

// DirectionFaults are the faults of one direction; the zero value forwards all bytes.
type DirectionFaults struct {
	// DelayMs is the added latency in milliseconds.
	DelayMs int `json:"delay-ms"`
	// BytesPerSecond limits the rate of all connections together; 0 means no limit.
	BytesPerSecond int `json:"bytes-per-second"`
	// Freeze holds bytes back until the faults change, then forwards them.
	Freeze bool `json:"freeze"`
	// Drop discards bytes while the connection stays open.
	Drop bool `json:"drop"`
}

// Faults are the faults of one relay. Up applies to the direction from the client to the
// target, Down to the opposite direction.
type Faults struct {
	// Cut closes all open connections, and closes new connections as soon as they are
	// accepted.
	Cut  bool            `json:"cut"`
	Up   DirectionFaults `json:"up"`
	Down DirectionFaults `json:"down"`
}

// Relay listens on an address and forwards each connection to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	// conns holds the open connections: those from clients and those to the target.
	conns map[net.Conn]struct{}
	// up and down limit the rate of all connections together in each direction.
	up, down *rate.Limiter
	// bytesUp and bytesDown count the forwarded bytes in each direction. Bytes that Drop
	// discarded or Freeze still holds back are not counted.
	bytesUp, bytesDown int64
}

// New returns a relay that listens on the TCP address listenAddress and forwards
// connections to target until ctx ends. It returns an error when it cannot listen.
func New(ctx context.Context, listenAddress, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		listener: listener, target: target, changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, up: newLimiter(0), down: newLimiter(0),
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

// Set replaces all faults; the zero value of f clears them.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.faults = f
	r.up, r.down = newLimiter(f.Up.BytesPerSecond), newLimiter(f.Down.BytesPerSecond)
	close(r.changed)
	r.changed = make(chan struct{})
	if f.Cut {
		for c := range r.conns {
			_ = c.Close()
		}
	}
}

// ForwardedBytes returns the number of bytes forwarded from clients to the target
// (up) and from the target to clients (down).
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
			defer r.untrack(client)
			target, err := net.DialTimeout("tcp", r.target, 5*time.Second)
			if err != nil || !r.track(target) {
				return
			}
			defer r.untrack(target)
			r.copyBothDirections(client, target)
		}()
	}
}

// track adds a connection to conns, whose connections Faults.Cut closes. If Cut is set
// already, it closes the connection and returns false.
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

// untrack closes a connection and removes it from conns.
func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) copyBothDirections(client, target net.Conn) {
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(target, client, true) })
	directions.Go(func() { r.copyDirection(client, target, false) })
	directions.Wait()
}

// newLimiter returns a limiter for a rate; a bytesPerSecond of 0 means no limit. The
// burst is one chunk, so that the rate also holds in short periods.
func newLimiter(bytesPerSecond int) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)
}

// chunkSize is the largest number of bytes read and written at once.
const chunkSize = 16 << 10

// chunk is data that is to be written at dueAt.
type chunk struct {
	data  []byte
	dueAt time.Time
}

// copyDirection copies one direction; up is true for the direction from the client to the
// target. A second goroutine reads ahead, so that a delay does not limit the rate.
func (r *Relay) copyDirection(dst, src net.Conn, up bool) {
	chunks := make(chan chunk, 256)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := src.Read(buf)
			if n > 0 {
				delay := time.Duration(r.directionFaults(up).DelayMs) * time.Millisecond
				chunks <- chunk{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.dueAt))
		if !r.write(dst, c.data, up) {
			_ = src.Close()

			break
		}
	}
	// A half-close is forwarded; a reset ends both directions.
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for range chunks {
		continue
	}
}

// write forwards one chunk as the faults of its direction allow. It returns false when
// the relaying in that direction has to end.
func (r *Relay) write(dst io.Writer, data []byte, up bool) bool {
	for {
		r.mu.Lock()
		f, changed := r.faults.Down, r.changed
		limiter, count := r.down, &r.bytesDown
		if up {
			f, limiter, count = r.faults.Up, r.up, &r.bytesUp
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
		time.Sleep(limiter.ReserveN(time.Now(), len(data)).Delay())
		_, err := dst.Write(data)

		return err == nil || errors.Is(err, io.ErrShortWrite)
	}
}

func (r *Relay) directionFaults(up bool) DirectionFaults {
	r.mu.Lock()
	defer r.mu.Unlock()

	if up {
		return r.faults.Up
	}

	return r.faults.Down
}
