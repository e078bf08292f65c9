package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// copyBufferBytes is the size of the buffers that bodies are copied through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)

	return &b
}}

// errCallerGone ends the relaying of a response when writing to the caller failed.
var errCallerGone = errors.New("caller does not take the response")

// relay streams the response of an attempt to the caller. When the response cannot be
// completed, or the attempt was cancelled before its response was relayed, it ends the
// caller's connection by a panic with http.ErrAbortHandler.
func (x *exchange) relay(id event.AttemptID) {
	x.mu.Lock()
	a := x.findAttempt(id)
	if a == nil || a.canceled || a.phase != phaseHeaderReceived {
		x.mu.Unlock()
		x.abortResponse()
	}
	a.phase = phaseRelaying
	x.mu.Unlock()
	stopInterrupt := x.interruptWriteAtEnd(a)
	err := x.copyResponse(a)
	if !stopInterrupt() && err == nil {
		err = context.DeadlineExceeded
	}
	_ = a.response.Body.Close()
	result := x.relayResult(a, err)
	if result != event.ResultComplete {
		x.endAttempt(a, result, a.response.StatusCode, "")
		x.abortResponse()
	}
	x.endAttempt(a, result, a.response.StatusCode, "")
}

// interruptWriteAtEnd arranges that the end of the attempt's context interrupts writes to
// a slow caller. It does nothing when the announced length of the response is at most
// maxHeldBodyBytes. The returned function undoes the arrangement; it returns false when
// the context has already ended.
func (x *exchange) interruptWriteAtEnd(a *attempt) func() bool {
	if n := a.response.ContentLength; n >= 0 && n <= maxHeldBodyBytes {
		return func() bool { return true }
	}
	control := http.NewResponseController(x.w)

	return context.AfterFunc(a.ctx, func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
}

// relayResult returns the result of an attempt whose response was relayed. The parameter
// err is nil when the whole response was relayed.
func (x *exchange) relayResult(a *attempt, err error) event.Result {
	x.mu.Lock()
	canceled := a.canceled
	x.mu.Unlock()
	switch {
	case err == nil:
		return event.ResultComplete
	case canceled || errors.Is(err, errCallerGone) || x.callerGone():
		return event.ResultCanceled
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return event.ResultTimeout
	default:
		return event.ResultTruncated
	}
}

// copyResponse writes header, body and trailers to the caller.
func (x *exchange) copyResponse(a *attempt) error {
	resp := a.response
	stripHopHeaders(resp.Header)
	if !a.target.toEntry {
		stripSystemHeaders(resp.Header)
		resp.Header[headerServedBy] = []string{a.target.backend + "; region=" + a.target.region}
	}
	header := x.w.Header()
	copyHeader(header, resp.Header)
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a Content-Type.
		header["Content-Type"] = nil
	}
	announcedTrailers := len(resp.Trailer)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	x.w.WriteHeader(resp.StatusCode)
	bodyCopier := &bodyCopier{x: x, out: x.w, recorder: x.answerRecorder(resp), ctx: a.ctx}
	if resp.ContentLength < 0 {
		bodyCopier.flush = http.NewResponseController(x.w).Flush
	}
	if err := bodyCopier.copyFrom(resp.Body); err != nil {
		return err
	}
	x.copyTrailers(resp, announcedTrailers)
	if bodyCopier.recorder != nil {
		bodyCopier.recorder.save()
	}

	return nil
}

// copyTrailers passes on all trailers, whether they were announced or not. The parameter
// announced is the number of trailers that the response header announced.
func (x *exchange) copyTrailers(resp *http.Response, announced int) {
	if len(resp.Trailer) == 0 {
		return
	}
	stripSystemHeaders(resp.Trailer)
	stripHopHeaders(resp.Trailer)
	for name, values := range resp.Trailer {
		if announced != len(resp.Trailer) {
			name = http.TrailerPrefix + name
		}
		x.w.Header()[name] = values
	}
}

// bodyCopier copies the body of one response to the caller.
type bodyCopier struct {
	x   *exchange
	out io.Writer
	// flush sends written bytes to the caller at once. It is nil when the length of the
	// response was announced.
	flush func() error
	// recorder is nil when the response is not to be held for duplicates.
	recorder  *answerRecorder
	linkPacer *pacer
	ctx       context.Context
	// writeFailed is true once writing to the caller failed; the rest of the response
	// is only recorded.
	writeFailed bool
}

// copyFrom copies the body from source to the caller. The copying is paced when the
// request was carried here.
func (c *bodyCopier) copyFrom(source io.Reader) error {
	c.linkPacer = c.x.responsePacer()
	defer c.linkPacer.close()
	pooled, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buf := *pooled
	for {
		n, err := source.Read(buf)
		if n > 0 {
			if writeErr := c.write(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *bodyCopier) write(p []byte) error {
	if c.recorder != nil {
		c.recorder.write(p)
	}
	if c.writeFailed {
		return nil
	}
	if err := c.linkPacer.wait(c.ctx, len(p)); err != nil {
		return err
	}
	_, err := c.out.Write(p)
	if err == nil && c.flush != nil {
		err = c.flush()
	}
	if err == nil {
		return nil
	}
	if c.recorder == nil {
		return errCallerGone
	}
	// The rest is still recorded, for a duplicate that the caller may send.
	c.writeFailed = true

	return nil
}
