package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client sends requests to entry VMs on kept connections.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// answer is what the client got for one attempt.
type answer struct {
	status     int
	stamp      string
	body       string
	retryAfter time.Duration
	err        error
}

// served reports whether the answer is a success with a stamp.
func (a answer) served() bool { return a.err == nil && a.status/100 == 2 && a.stamp != "" }

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}

	return fmt.Sprintf("%d stamp %q", a.status, a.stamp)
}

// attempt sends one client attempt to an entry VM.
func (c *client) attempt(v *vm, method, path, id, cookie string, body []byte, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	// The transport must not repeat a request by itself.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.front()+path, struct{ io.Reader }{content})
	if content == nil {
		req, err = http.NewRequestWithContext(ctx, method, "http://"+v.front()+path, nil)
	} else if err == nil {
		req.ContentLength = int64(len(body))
	}
	if err != nil {
		return answer{err: err}
	}
	req.Host = "guide.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if cookie != "" {
		req.Header.Set("Cookie", "X-Affinity-Key="+cookie)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp"), body: string(data)}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}

	return a
}
