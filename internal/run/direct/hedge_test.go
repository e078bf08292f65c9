package direct_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/direct"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

// hedgedEntryVM is an entry VM that may hedge, with two servers.
type hedgedEntryVM struct {
	*runningEntryVM

	servers [2]*server
	// first is true until a server has received a request that is not for /read/learn. That
	// server does not answer, but reports at closed that its connection was closed. The other
	// one answers with body, or never if the body is empty.
	first  atomic.Bool
	closed chan string
	body   atomic.Pointer[string]
}

func startHedgedEntryVM(t *testing.T) *hedgedEntryVM {
	t.Helper()
	h := &hedgedEntryVM{closed: make(chan string, 4)}
	answer := func(w http.ResponseWriter, r *http.Request) {
		switch body := *h.body.Load(); {
		case r.URL.Path == "/read/learn":
			ok(w, r)
		case !h.first.CompareAndSwap(true, false) && body != "":
			_, _ = io.WriteString(w, body)
		default:
			select {
			case <-r.Context().Done():
				h.closed <- r.URL.Path
			case <-time.After(waitTimeout / 20):
				ok(w, r)
			}
		}
	}
	h.servers = [2]*server{newServer(t, answer), newServer(t, answer)}
	h.runningEntryVM = startEntryVM(t, newDeployment(h.servers[0].listed("one", "z1"), h.servers[1].listed("two", "z1")), "127.0.0.95", time.Second)
	waitUntilReady(t, h.runningEntryVM)
	h.Reload(direct.Settings{LookupTTL: lookupTTL, GracePeriod: time.Second, Steering: steer.Settings{
		Name: "entry-127.0.0.95", Zone: "z1", Region: "r", RetryRatio: 0.2, RetryAllowance: 1000, RetryWindow: 10 * time.Second, MaxShift: 0.15,
		HedgeShares: steer.HedgeShares{Default: 1},
	}})

	return h
}

// prepare lets the servers answer requests until a late one is noticed, and sets what they
// answer next. It returns how many requests they have run.
func (h *hedgedEntryVM) prepare(t *testing.T, body string) int64 {
	t.Helper()
	h.body.Store(&body)
	for range 200 {
		resp, _ := sendRequest(t, h.address, http.MethodGet, "/read/learn")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	h.first.Store(true)

	return h.runs()
}

func (h *hedgedEntryVM) runs() int64 { return h.servers[0].runs.Load() + h.servers[1].runs.Load() }

// Guards against a caller that waits for a slow server although another answers, gets two
// answers or a part of one, and against servers that work on for nobody.
func TestHedges(t *testing.T) {
	t.Parallel()
	h := startHedgedEntryVM(t)
	for _, c := range []struct{ name, body string }{{"short", "whole"}, {"streamed", strings.Repeat("x", 600_000)}} {
		// A busy machine may make many answers late, and then the entry VM sends no hedge.
		require.Eventually(t, func() bool {
			runs := h.prepare(t, c.body)
			conn, in := connect(t, h.runningEntryVM, fmt.Sprintf("GET /read/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n\r\n", c.name, c.name))
			resp, body := readBody(t, in)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			if h.runs() == runs+1 {
				return false
			}
			require.Equal(t, runs+2, h.runs())
			require.Equal(t, c.body, body)
			require.Equal(t, "/read/"+c.name, <-h.closed, "the slow server works on")
			// The connection carries the next answer and nothing else.
			_, err := io.WriteString(conn, "GET /read/learn HTTP/1.1\r\nHost: a.example\r\nRequest-Id: next\r\n\r\n")
			require.NoError(t, err)
			resp, body = readBody(t, in)
			require.Equal(t, "next", resp.Header.Get(names.RequestID))
			require.Equal(t, "whole", body)
			require.Equal(t, 1, h.logs.FilterMessage("request hedged").FilterField(zap.String("request", c.name)).Len())
			require.Equal(t, 1, h.logs.FilterMessage("request ended").FilterField(zap.String("request", c.name)).FilterField(zap.Int("attempts", 2)).Len())

			return true
		}, 3*waitTimeout, time.Millisecond)
	}
	require.GreaterOrEqual(t, h.metrics.Count("hedges/s/won"), int64(2))
	require.GreaterOrEqual(t, h.metrics.Count("hedges/s/sent"), h.metrics.Count("hedges/s/won"))

	// A request that may not be repeated waits for its server.
	runs := h.prepare(t, "whole")
	resp, _ := sendRequest(t, h.address, http.MethodPost, "/write/")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, runs+1, h.runs())

	// Both servers end when the caller leaves.
	require.Eventually(t, func() bool {
		runs := h.prepare(t, "")
		conn, _ := connect(t, h.runningEntryVM, "GET /read/left HTTP/1.1\r\nHost: a.example\r\nRequest-Id: left\r\n\r\n")
		require.Eventually(t, func() bool { return h.runs() > runs }, waitTimeout, time.Millisecond)
		for range 100 {
			if time.Sleep(time.Millisecond); h.runs() == runs+2 {
				break
			}
		}
		require.NoError(t, conn.Close())
		for range h.runs() - runs {
			require.Equal(t, "/read/left", <-h.closed)
		}

		return h.runs() == runs+2
	}, 3*waitTimeout, time.Millisecond)
}
