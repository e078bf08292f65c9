package direct_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/broken"
	"github.com/greengagetally/greengagetally/internal/run/direct"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

// startBrokenServer starts a server that reads the head of each request, sends a response and
// ends the connection; "%s" in the response stands for the request's identifier.
func startBrokenServer(t *testing.T, response string, end broken.End) steer.Server {
	t.Helper()
	address, stop, err := broken.Start(func(r *http.Request) (string, broken.End) {
		return strings.ReplaceAll(response, "%s", r.Header.Get(names.RequestID)), end
	})
	require.NoError(t, err)
	t.Cleanup(stop)

	return steer.Server{ID: "broken", Address: address, Service: "s", Zone: "z1", Region: "r", Slots: 4}
}

// upload sends a request with a body of 4 MB. It returns the status of the response if the
// caller takes it for a whole one, or 0.
func upload(t *testing.T, address, id string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/write/"+id, bytes.NewReader(make([]byte, 4<<20)))
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set(names.RequestID, id)
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}

	return resp.StatusCode
}

// Guards against a part of an answer that reaches the caller as a whole one: the server
// answers a long upload at once, without a length, and resets the connection while the upload
// is being written. The longer answer is streamed.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for i, part := range []int{1, 300 << 10} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			var servers []steer.Server
			for k := range 4 {
				s := startBrokenServer(t, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n"+strings.Repeat("x", part), broken.Reset)
				s.ID = fmt.Sprint("broken-", k)
				servers = append(servers, s)
			}
			d := newDeployment(servers...)
			e := startEntryVMWith(t, d, fmt.Sprint("127.0.0.", 230+i), func(s *direct.Settings) { s.MaxBufferedBodyBytes = 16 << 20 })
			waitUntilReady(t, e)
			answered := 0
			for k := range servers {
				if upload(t, e.address, fmt.Sprint("id-", k)) == http.StatusOK {
					answered++
				}
			}
			require.Zero(t, answered)
		})
	}
}

// Guards against a broken answer that reaches the caller. Its server may have run the request,
// so the caller gets a 502.
func TestBrokenAnswerReachesNoCaller(t *testing.T) {
	t.Parallel()
	next := 0
	for name, response := range broken.Responses("Request-Id: %s\r\n", "ok") {
		next++
		ip := fmt.Sprint("127.0.17.", next)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEntryVM(t, newDeployment(startBrokenServer(t, response, broken.Close)), ip, time.Second)
			waitUntilReady(t, e)
			resp, body := sendRequest(t, e.address, http.MethodPost, "/write/1")
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", body)
		})
	}
}
