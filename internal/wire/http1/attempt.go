package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
)

// Outcome tells what is known about a request that was given to a server.
type Outcome int

// Outcomes of an attempt.
const (
	// NotSent: no byte of the request reached the server.
	NotSent Outcome = iota
	// NotRun: the server said that it did not run the request and never will.
	NotRun
	// Unknown: the request may have run, and there is no complete answer.
	Unknown
	// Answered: the server's answer is complete, or is being streamed.
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
	// Cold is how long the server says it stays cold.
	Cold option.Option[time.Duration]
	// OtherInstance is true when another server has the address now.
	OtherInstance bool
	// TimedOut is true when the deadline ended the attempt.
	TimedOut bool
	// DialTook is how long the connection took to open; 0 when one was reused.
	DialTook time.Duration
	Err      error
}

const (
	// maxHeld is the longest answer that is read completely before the caller
	// gets its first byte; a longer one is streamed.
	maxHeld = 256 << 10
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 3
	// inlineBody is the longest body that is written before the answer is read.
	inlineBody = 32 << 10
)

// Do sends a request to a server and reads its answer until ctx ends. It never
// sends a request twice.
func (p *Pool) Do(ctx context.Context, to Target, r *Request) Result {
	c, err := p.get(ctx, to)
	if err != nil {
		return Result{Outcome: NotSent, Err: err, TimedOut: ctx.Err() != nil}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	result := p.exchange(ctx, c, r, stop)
	result.DialTook = c.dialTook
	if result.Err != nil {
		stop()
		_ = c.raw.Close()
		result.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
		if c.reused && !errors.Is(ctx.Err(), context.Canceled) {
			p.CloseIdle(to)
		}
	}

	return result
}

func (p *Pool) exchange(ctx context.Context, c *serverConn, r *Request, stop func() bool) Result {
	writing, err := c.write(p.encode(ctx, c.target, r), r.Body)
	if err != nil {
		outcome := Unknown
		if errors.Is(err, errNothingSent) {
			outcome = NotSent
		}

		return Result{Outcome: outcome, Err: fmt.Errorf("send to backend server: %w", err)}
	}
	resp, err := p.readAnswer(c, r) //nolint:bodyclose // The body is read to its end, or closed as the rest.
	if err != nil {
		return Result{Outcome: Unknown, Err: err}
	}
	result := p.describe(resp)
	result.Response = Response{Status: resp.StatusCode, Header: forwardable(resp.Header), Length: resp.ContentLength}
	closing := resp.Close
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeld+1))
	if err != nil {
		return Result{Outcome: Unknown, Load: result.Load, Err: fmt.Errorf("read answer: %w", err)}
	}
	result.Response.Body = held
	if len(held) > maxHeld {
		result.Response.Rest = &rest{body: resp.Body, conn: c, stop: stop}

		return result
	}
	result.Response.Length = int64(len(held))
	if r.Method == http.MethodHead && resp.ContentLength > 0 {
		result.Response.Length = resp.ContentLength
	}
	select {
	case err := <-writing:
		closing = closing || err != nil
	default:
		// The server answered before it had read the body.
		closing = true
	}
	if !stop() {
		closing = true
	}
	p.put(c, resp.Header, closing)

	return result
}

// write sends the header and body; a long body goes on while the answer is read.
// The channel receives the end of the writing.
func (c *serverConn) write(header *bytes.Buffer, body []byte) (<-chan error, error) {
	done := make(chan error, 1)
	if len(body) <= inlineBody {
		header.Write(body)
		n, err := c.raw.Write(header.Bytes())
		buffers.Put(header)
		done <- nil
		if err != nil && n == 0 {
			return done, fmt.Errorf("%w: %w", errNothingSent, err)
		}

		return done, err //nolint:wrapcheck // The caller adds the context.
	}
	go func() {
		_, err := c.raw.Write(header.Bytes())
		if err == nil {
			_, err = c.raw.Write(body)
		}
		buffers.Put(header)
		done <- err
	}()

	return done, nil
}

// errNothingSent reports a write of which the connection took no byte.
var errNothingSent = errors.New("no byte was sent")

// errStray reports answers that belong to other requests.
var errStray = errors.New("answers of the backend server belong to other requests")

// readAnswer returns the answer to r. Answers with another identifier are left
// over from earlier requests and skipped.
func (p *Pool) readAnswer(c *serverConn, r *Request) (*http.Response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errStray
			}

			continue
		}
		if id := resp.Header.Get(p.names.RequestID); id == r.ID || (id == "" && resp.Header.Get(p.names.NotRun) != "") {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeld)); err != nil {
			return nil, fmt.Errorf("skip answer: %w", err)
		}
	}

	return nil, errStray
}

// describe reads what the server says about the request and itself.
func (p *Pool) describe(resp *http.Response) Result {
	result := Result{Outcome: Answered}
	if load, ok := parseLoad(resp.Header.Get(p.names.Load)); ok {
		result.Load = option.Some(load)
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(p.names.ColdMillis), 64); err == nil && ms > 0 {
		result.Cold = option.Some(time.Duration(ms * float64(time.Millisecond)))
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		result.Outcome, result.OtherInstance = NotRun, true
	case resp.Header.Get(p.names.NotRun) != "":
		result.Outcome = NotRun
	}

	return result
}

// encode writes the request's header for a server.
func (p *Pool) encode(ctx context.Context, to Target, r *Request) *bytes.Buffer {
	out, _ := buffers.Get().(*bytes.Buffer)
	out.Reset()
	line := func(parts ...string) {
		for _, part := range parts {
			out.WriteString(part)
		}
		out.WriteString("\r\n")
	}
	line(r.Method, " ", r.Target, " HTTP/1.1")
	line("Host: ", r.Host)
	for name, values := range r.Header {
		if name == p.names.Deadline || name == p.names.ExpectInstance {
			continue
		}
		for _, value := range values {
			line(name, ": ", value)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		line(p.names.Deadline, ": ", strconv.FormatInt(left, 10))
	}
	if to.Instance != "" {
		line(p.names.ExpectInstance, ": ", to.Instance)
	}
	if r.hasBody || len(r.Body) > 0 {
		line("Content-Length: ", strconv.Itoa(len(r.Body)))
	}
	out.WriteString("\r\n")

	return out
}

// Health is what a server's health path answered.
type Health struct {
	Result

	Healthy  bool
	Instance string
}

// Probe asks a server's health path on a connection of its own.
func (p *Pool) Probe(ctx context.Context, to Target, path string) (Health, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return Health{}, fmt.Errorf("connect to backend server %s: %w", to.Address, err)
	}
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(raw, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, to.Address); err != nil {
		return Health{}, fmt.Errorf("send probe: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(raw, poolBuffer), nil)
	if err != nil {
		return Health{}, fmt.Errorf("read health: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()

	return Health{Result: p.describe(resp), Healthy: resp.StatusCode == http.StatusOK, Instance: resp.Header.Get(p.names.Instance)}, nil
}

// rest is the end of an answer that is streamed; its connection is not used again.
type rest struct {
	body io.ReadCloser
	conn *serverConn
	stop func() bool
}

func (r *rest) Read(p []byte) (int, error) {
	return r.body.Read(p) //nolint:wrapcheck // A reader must return io.EOF as it is.
}

func (r *rest) Close() error {
	r.stop()

	return r.conn.raw.Close() //nolint:wrapcheck // Only its presence matters.
}
