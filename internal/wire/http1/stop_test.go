package http1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// Guards against a planned stop under load that cuts off requests which were just
// accepted: every request that reached the handler must have its whole response.
func TestStopUnderLoadAnswersEveryAcceptedRequest(t *testing.T) {
	t.Parallel()
	const callers = 32
	var mu sync.Mutex
	accepted, answered := map[string]bool{}, map[string]bool{}
	listener, address := startListener(t, func(x *http1.Exchange) {
		mu.Lock()
		accepted[x.ID] = true
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		x.Respond(http1.Response{Status: 200, Body: []byte(x.ID)})
	}, http1.RequestLimits{HeaderTimeout: testWait, IdleTimeout: testWait})
	var running sync.WaitGroup
	half := make(chan struct{}, callers*4)
	for caller := range callers {
		running.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(testWait))
			in := bufio.NewReader(c)
			for i := 0; ; i++ {
				id := fmt.Sprintf("%d-%d", caller, i)
				if _, err := io.WriteString(c, get("/"+id)); err != nil {
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || string(body) != id {
					return
				}
				mu.Lock()
				answered[id] = true
				mu.Unlock()
				select {
				case half <- struct{}{}:
				default:
				}
				if resp.Close {
					return
				}
			}
		})
	}
	for range callers * 4 {
		<-half
	}
	listener.Drain()
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id := range accepted {
		require.True(t, answered[id], "request %s was accepted and has no response", id)
	}
	require.Eventually(t, func() bool { return listener.OpenConnections() == 0 }, testWait, 10*time.Millisecond)
}

// Guards against a response that breaks off at the server and looks complete to the
// caller.
func TestBrokenOffResponseLooksIncomplete(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{-1, 100} {
		t.Run(fmt.Sprint("length ", length), func(t *testing.T) {
			t.Parallel()
			_, address := startListener(t, func(x *http1.Exchange) {
				rest := io.MultiReader(strings.NewReader("second"), iotest.ErrReader(errors.New("connection reset")))
				x.Respond(http1.Response{Status: 200, Body: []byte("first"), Rest: io.NopCloser(rest), Length: length})
			}, http1.RequestLimits{})
			c := dial(t, address)
			_, err := io.WriteString(c, get("/1"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
			_ = resp.Body.Close()
		})
	}
}
