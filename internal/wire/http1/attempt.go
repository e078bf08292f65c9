package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
)

// Outcome is what an attempt shows about whether the request has run.
type Outcome int

// Outcomes of an attempt.
const (
	// NotSent: the server has received no byte of the request.
	NotSent Outcome = iota
	// NotRun: the server responded that it did not run the request and never will run it.
	NotRun
	// Unknown: the request may have run, and there is no complete response.
	Unknown
	// Answered: the response is complete, or its rest is streamed as Response.Rest.
	Answered
)

func (o Outcome) String() string {
	return [...]string{"not-sent", "not-run", "unknown", "answered"}[o]
}

// Result is how an attempt ended.
type Result struct {
	Outcome  Outcome
	Response Response
	// Load is what the server reported about itself.
	Load option.Option[Load]
	// ColdFor is how long the server says that it stays cold. A cold server has started
	// recently and tolerates few requests.
	ColdFor option.Option[time.Duration]
	// OtherInstance is true when another server has taken over the address. The outcome is
	// Unknown if that server does not identify itself.
	OtherInstance bool
	// Leaving is true when the server says that it is leaving and wants no new requests.
	Leaving bool
	// PauseFor is how long the server wants no request from this entry VM.
	PauseFor option.Option[time.Duration]
	// TimedOut is true when the deadline ended the attempt.
	TimedOut bool
	// DialTook is the time that a new connection took, 0 for a reused one.
	DialTook time.Duration
	// Err is why there is no complete response, or nil.
	Err error

	held *reservation
}

// Release gives back the memory of the response, which must not be used any more, and closes
// Response.Rest.
func (r Result) Release() {
	if r.Response.Rest != nil {
		_ = r.Response.Rest.Close()
	}
	if r.held != nil {
		r.held.release()
	}
}

const (
	// maxBufferedResponse is the size in bytes of the longest body that is read
	// completely before the caller gets its first byte. A longer body is streamed, and so
	// is one for which there is no memory.
	maxBufferedResponse = 256 << 10
	// maxInlineBody is the size in bytes of the longest request body that is written before
	// the response is read.
	maxInlineBody = 32 << 10
)

// errUnclearInstance means that a response with status 421 tells neither who sent it nor that the
// request has not run.
var errUnclearInstance = errors.New("response with status 421 does not state that the request has not run")

// errInvalidInstance means that a header cannot carry Target.Instance.
var errInvalidInstance = errors.New("identity of the backend server has bytes that a header cannot carry")

// Do sends a request to a server and reads its response. It never sends a request twice.
// It fails when ctx ends. The caller must close Response.Rest; reading from it fails when
// ctx is canceled, and without a stated length also at the deadline of ctx. The caller must also call Result.Release when it no longer needs the
// response.
func (p *Pool) Do(ctx context.Context, to Target, r *Request) Result {
	if to.Instance != "" && !IsVisible(to.Instance) {
		return Result{Outcome: NotSent, Err: errInvalidInstance}
	}
	// A late response to another request cannot be told apart without an identifier.
	c, err := p.get(ctx, to, r.ID != "")
	if err != nil {
		return Result{Outcome: NotSent, Err: err, TimedOut: ctx.Err() != nil}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	// Once the connection is back in the pool, another attempt may use it.
	dialTook := c.dialTook
	held := p.memory.hold()
	result := p.roundTrip(ctx, c, r, stop, held)
	result.DialTook, result.held = dialTook, held
	if result.Err != nil {
		held.release()
		stop()
		_ = c.raw.Close()
		result.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
		if c.reused && !errors.Is(ctx.Err(), context.Canceled) {
			p.CloseIdle(to)
		}
	}

	return result
}

// roundTrip sends a request on a connection and reads its response. It gives the
// connection back to the pool, unless the rest of the response is streamed. The function
// stop prevents the end of ctx from interrupting the connection; it returns false when
// ctx has already ended.
func (p *Pool) roundTrip(ctx context.Context, c *serverConn, r *Request, stop func() bool, held *reservation) Result {
	sending, err := c.sendRequest(p.encodeHeader(ctx, c.target, r), r.Body)
	if err != nil {
		outcome := Unknown
		if errors.Is(err, errNothingSent) {
			outcome = NotSent
		}

		return Result{Outcome: outcome, Err: fmt.Errorf("send to backend server: %w", err)}
	}
	resp, err := p.readResponse(c, r, held)
	if err != nil {
		return Result{Outcome: Unknown, Err: err}
	}
	result := p.parseResult(resp, c.target)
	if result.Outcome == Unknown {
		result.Response.Status, result.Err = resp.StatusCode, errUnclearInstance

		return result
	}
	result.Response = Response{Status: resp.StatusCode, Header: endToEndHeader(resp.Header), Length: resp.ContentLength}
	mustClose := resp.Close || r.ID == ""
	length := resp.ContentLength
	if r.Method == http.MethodHead {
		length = 0
	}
	resp.Body = sending.responseBody(resp)
	buffered, whole, err := held.readBody(resp.Body, length)
	if err != nil {
		return Result{Outcome: Unknown, Load: result.Load, Err: fmt.Errorf("read response: %w", err)}
	}
	result.Response.Body = buffered
	if !whole {
		result.Response.Rest = p.newStreamedBody(ctx, resp, c, stop)

		return result
	}
	result.Response.Length = int64(len(buffered))
	if r.Method == http.MethodHead && resp.ContentLength > 0 {
		result.Response.Length = resp.ContentLength
	}
	select {
	case <-sending.ended:
		mustClose = mustClose || sending.err != nil
	default:
		// The server responded before it had read the body.
		mustClose = true
	}
	if !stop() {
		mustClose = true
	}
	p.release(c, resp.Header, mustClose)

	return result
}

// encodeHeader returns the request line and the header for a server, with the time left
// until the deadline of ctx.
func (p *Pool) encodeHeader(ctx context.Context, to Target, r *Request) *bytes.Buffer {
	out, _ := buffers.Get().(*bytes.Buffer)
	out.Reset()
	writeLine := func(parts ...string) {
		for _, part := range parts {
			out.WriteString(part)
		}
		out.WriteString("\r\n")
	}
	writeLine(r.Method, " ", r.Target, " HTTP/1.1")
	writeLine("Host: ", r.Host)
	for name, values := range r.Header {
		if name == p.names.Deadline || name == p.names.ExpectInstance {
			continue
		}
		for _, value := range values {
			writeLine(name, ": ", value)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		writeLine(p.names.Deadline, ": ", strconv.FormatInt(left, 10))
	}
	if to.Instance != "" {
		writeLine(p.names.ExpectInstance, ": ", to.Instance)
	}
	if r.hasBody || len(r.Body) > 0 {
		writeLine("Content-Length: ", strconv.Itoa(len(r.Body)))
	}
	out.WriteString("\r\n")

	return out
}
