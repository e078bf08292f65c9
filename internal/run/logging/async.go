package logging

import (
	"io"
	"sync/atomic"
)

// maxWaitingChunks bounds the output that waits for a slow reader. A chunk is the data
// of one Write call.
const maxWaitingChunks = 32

// AsyncWriter writes to another writer in the background. While the other writer
// blocks, up to maxWaitingChunks chunks wait and further chunks are dropped.
type AsyncWriter struct {
	chunks  chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{chunks: make(chan []byte, maxWaitingChunks), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for chunk := range w.chunks {
			if _, err := out.Write(chunk); err != nil {
				// The error cannot be logged; Dropped counts the chunk.
				w.dropped.Add(1)
			}
		}
	}()

	return w
}

// Write implements io.Writer. It never blocks and never fails: it drops p if too
// many chunks wait.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.chunks <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}

	return len(p), nil
}

// Dropped returns the number of chunks that were dropped or failed to be written.
func (w *AsyncWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close waits until all chunks are written or the channel timedOut is closed; nil means
// to wait without limit. Write must not be called after Close.
func (w *AsyncWriter) Close(timedOut <-chan struct{}) {
	close(w.chunks)
	select {
	case <-w.done:
	case <-timedOut:
	}
}
