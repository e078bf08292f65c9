package logging

import (
	"io"
	"sync/atomic"
)

// detachedChunks bounds the output that waits for a slow reader.
const detachedChunks = 32

// Detached writes to another writer in the background. A reader that does not
// read costs log lines, never time.
type Detached struct {
	chunks  chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewDetached returns a writer in front of out.
func NewDetached(out io.Writer) *Detached {
	d := &Detached{chunks: make(chan []byte, detachedChunks), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for chunk := range d.chunks {
			if _, err := out.Write(chunk); err != nil {
				// There is nowhere to report it to; the count shows it.
				d.dropped.Add(1)
			}
		}
	}()

	return d
}

// Write implements io.Writer and never blocks.
func (d *Detached) Write(p []byte) (int, error) {
	select {
	case d.chunks <- append([]byte(nil), p...):
	default:
		d.dropped.Add(1)
	}

	return len(p), nil
}

// Dropped returns the number of chunks that were not written.
func (d *Detached) Dropped() int64 {
	return d.dropped.Load()
}

// Close waits until everything is written or within ends.
func (d *Detached) Close(within <-chan struct{}) {
	close(d.chunks)
	select {
	case <-d.done:
	case <-within:
	}
}
