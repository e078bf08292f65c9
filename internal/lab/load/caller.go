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

// outcome is how one attempt ended; detail is the region or the reason.
type outcome struct {
	class  class
	detail string
	// after is how long the caller should wait before it sends again.
	after time.Duration
}

// request is one request of a caller.
type request struct {
	id      string
	key     string
	kind    RequestKind
	service string
	timeout time.Duration
	body    []byte
}

// onceReader keeps the transport from sending a request twice by itself.
type onceReader struct{ io.Reader }

// newHTTPClient returns a client without limits on connections.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}

	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}}
}

// send makes one attempt through an entry VM.
func send(ctx context.Context, client *http.Client, entry string, r request, attempt int) outcome {
	// The entry VM ends the attempt at the timeout; the margin is for its answer.
	ctx, cancel := context.WithTimeout(ctx, r.timeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.kind.Method, "http://"+entry+r.kind.Path, onceReader{bytes.NewReader(r.body)})
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
		return failure(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{class: classUnknown, detail: "cut answer: " + err.Error()}
	}

	return judge(r, res, body)
}

func failure(err error) outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{class: classUnsent, detail: err.Error()}
	}

	return outcome{class: classUnknown, detail: err.Error()}
}

func judge(r request, res *http.Response, body []byte) outcome {
	reason := res.Header.Get("Greengagetally-Reason")
	switch res.Header.Get("Greengagetally-Outcome") {
	case "not-run":
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)

		return outcome{class: classNotRun, detail: reason, after: time.Duration(seconds * float64(time.Second))}
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
