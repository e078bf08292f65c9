package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
)

// class is the kind of an outcome; Result counts the outcomes of each class in the field
// of the same name.
type class int

const (
	classAnswered class = iota
	classNotRun
	classUnknown
	classDuplicate
	classFailed
	classWrong
	classUnsent
)

// outcome is how one attempt ended.
type outcome struct {
	class class
	// detail is the region of the backend server that answered, or the reason why
	// there is no correct response.
	detail string
	// retryAfter is how long the caller should wait before it retries.
	retryAfter time.Duration
}

// request is one request of a caller; retries reuse it.
type request struct {
	id string
	// key is the idempotency key, or empty.
	key     string
	kind    RequestKind
	service string
	timeout time.Duration
	body    []byte
}

// singleUseReader hides the type of a body's reader, so that the transport cannot read
// the body again and send the request a second time by itself.
type singleUseReader struct{ io.Reader }

// newHTTPClient returns a client that opens any number of connections.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}

	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}}
}

// send makes one attempt through the entry VM with the request address requestAddress.
func send(ctx context.Context, client *http.Client, requestAddress string, r request, attempt int) outcome {
	// The entry VM ends the attempt at the timeout; the margin is for its response.
	ctx, cancel := context.WithTimeout(ctx, r.timeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.kind.Method, "http://"+requestAddress+r.kind.Path, singleUseReader{bytes.NewReader(r.body)})
	if err != nil {
		return outcome{class: classFailed, detail: err.Error()}
	}
	req.ContentLength = int64(len(r.body))
	if len(r.body) == 0 {
		req.ContentLength = -1
	}
	req.Host = r.service
	req.Header.Set("Greengagetally-Timeout", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	req.Header.Set(backend.HeaderID, r.id)
	req.Header.Set(backend.HeaderAttempt, strconv.Itoa(attempt))
	req.Header.Set(backend.HeaderSize, strconv.Itoa(r.kind.ResponseBodySize))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.kind.ServiceTimeFactor > 0 {
		req.Header.Set(backend.HeaderFactor, strconv.FormatFloat(r.kind.ServiceTimeFactor, 'g', -1, 64))
	}
	if r.kind.Crash {
		req.Header.Set(backend.HeaderCrash, "yes")
	}
	res, err := client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{class: classUnknown, detail: "incomplete response: " + err.Error()}
	}

	return classify(r, res, body)
}

// classifyError returns the outcome of an attempt without a response: unsent if no
// connection was made, otherwise unknown.
func classifyError(err error) outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{class: classUnsent, detail: err.Error()}
	}

	return outcome{class: classUnknown, detail: err.Error()}
}

// classify returns the outcome of an attempt from its complete response.
func classify(r request, res *http.Response, body []byte) outcome {
	reason := res.Header.Get("Greengagetally-Reason")
	switch res.Header.Get("Greengagetally-Outcome") {
	case "not-run":
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)

		return outcome{class: classNotRun, detail: reason, retryAfter: time.Duration(seconds * float64(time.Second))}
	case "unknown":
		return outcome{class: classUnknown, detail: reason}
	case "duplicate":
		return outcome{class: classDuplicate, detail: reason}
	}
	if res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusGatewayTimeout {
		return outcome{class: classUnknown, detail: fmt.Sprintf("status %d: %.80s", res.StatusCode, body)}
	}
	if res.StatusCode != http.StatusOK {
		return outcome{class: classFailed, detail: fmt.Sprintf("status %d: %.80s", res.StatusCode, body)}
	}
	want := backend.ResponseBody(r.id, r.body, r.kind.ResponseBodySize)
	if r.kind.Method == http.MethodHead {
		want = nil
	}
	if !bytes.Equal(body, want) {
		return outcome{class: classWrong, detail: fmt.Sprintf("request %s: %d bytes, %d expected, id %s", r.id, len(body), len(want), res.Header.Get(backend.HeaderID))}
	}

	return outcome{class: classAnswered, detail: res.Header.Get(backend.HeaderRegion)}
}
