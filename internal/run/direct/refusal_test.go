package direct_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// answerAsAsked answers a request whose target ends with a status with that status, as a server
// does that has run it, and any other one with 200. "long" before the status asks for a body that
// is streamed.
func answerAsAsked(w http.ResponseWriter, r *http.Request) {
	_, text, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number, long := strings.CutPrefix(text, "long")
	status, err := strconv.Atoi(number)
	if err != nil {
		status = http.StatusOK
	}
	w.Header().Set(names.Instance, "one")
	w.Header().Set("Retry-After", "0")
	w.Header().Set("Stamp", "server")
	w.WriteHeader(status)
	body := "server"
	if long {
		body = strings.Repeat(body, 100_000)
	}
	_, _ = w.Write([]byte(body))
}

// Guards against a caller who is told by a server's status that a request which has run, and must
// not be repeated, has not run. The status goes on to callers whose requests may be repeated.
func TestRefusalOfARequestThatHasRunIsNotPassedOn(t *testing.T) {
	t.Parallel()
	one := newServer(t, answerAsAsked)
	e := startEntryVM(t, newDeployment(one.listed("one", "z1")), "127.0.0.24", time.Second)
	waitUntilReady(t, e)
	send := func(method, target string) (*http.Response, string) {
		// The server answers in between, so that it does not seem to fail.
		for range 4 {
			resp, _ := sendRequest(t, e.address, http.MethodPost, "/write/ok")
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
		before := one.runs.Load()
		resp, body := sendRequest(t, e.address, method, target)
		require.Equal(t, before+1, one.runs.Load(), target)

		return resp, body
	}
	withheld := []string{"408", "421", "429", "503", "long408", "long421", "long429", "long503"}
	for _, status := range withheld {
		resp, body := send(http.MethodPost, "/write/"+status)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, status)
		require.Empty(t, body, status)
		require.Empty(t, resp.Header.Get("Stamp"), "the stamp says that the server answered so")
		require.Empty(t, resp.Header.Get("Retry-After"), status)
		lines := e.logs.FilterMessage("request failed").FilterField(zap.String("request", "id-/write/"+status)).
			FilterField(zap.String("reason", "unclear-refusal")).FilterFieldKey("withheld-status")
		require.Equal(t, 1, lines.Len(), status)
	}
	require.EqualValues(t, len(withheld), e.metrics.Count("refused/unknown/unclear-refusal"))
	for _, target := range []string{"/write/400", "/write/409", "/write/500", "/write/502", "/write/504", "/read/408", "/read/429", "/read/503"} {
		resp, body := send(http.MethodPost, target)
		require.Equal(t, target[len(target)-3:], strconv.Itoa(resp.StatusCode))
		require.Equal(t, "server", body, target)
		require.Equal(t, "server", resp.Header.Get("Stamp"), target)
	}
}

// Guards against a request that must not be repeated and is sent to a second server after an
// answer that does not state that it has not run, whatever its status, and against one that is
// not sent after an answer that does.
func TestOnlyAStatementAllowsASecondAttempt(t *testing.T) {
	t.Parallel()
	const otherInstance, stated = "another instance", "stated"
	for i, c := range []struct {
		status   int
		says     string
		attempts int64
		answer   int
	}{
		{http.StatusRequestTimeout, "", 1, http.StatusBadGateway},
		{http.StatusMisdirectedRequest, "", 1, http.StatusBadGateway},
		{http.StatusTooManyRequests, "", 1, http.StatusBadGateway},
		{http.StatusServiceUnavailable, "", 1, http.StatusBadGateway},
		{http.StatusTooManyRequests, otherInstance, 1, http.StatusBadGateway},
		{http.StatusServiceUnavailable, otherInstance, 1, http.StatusBadGateway},
		{http.StatusMisdirectedRequest, otherInstance, 2, http.StatusOK},
		{http.StatusRequestTimeout, stated, 2, http.StatusOK},
		{http.StatusMisdirectedRequest, stated, 2, http.StatusOK},
		{http.StatusTooManyRequests, stated, 2, http.StatusOK},
		{http.StatusServiceUnavailable, stated, 2, http.StatusOK},
		{http.StatusBadRequest, stated, 2, http.StatusOK},
	} {
		t.Run(strconv.Itoa(c.status)+" "+c.says, func(t *testing.T) {
			t.Parallel()
			var first atomic.Bool
			answer := func(w http.ResponseWriter, r *http.Request) {
				if !first.CompareAndSwap(false, true) {
					ok(w, r)

					return
				}
				switch c.says {
				case stated:
					w.Header().Set(names.NotRun, "1")
				case otherInstance:
					w.Header().Set(names.Instance, "three")
				}
				w.WriteHeader(c.status)
			}
			one, two := newServer(t, answer), newServer(t, answer)
			d := newDeployment(one.listed("one", "z1"), two.listed("two", "z1"))
			e := startEntryVM(t, d, fmt.Sprint("127.0.1.", 100+i), time.Second)
			waitUntilReady(t, e)
			resp, _ := sendRequest(t, e.address, http.MethodPost, "/write/")
			require.Equal(t, c.answer, resp.StatusCode)
			require.Equal(t, c.attempts, one.runs.Load()+two.runs.Load())
		})
	}
}
