package http1_test

import (
	"bufio"
	"context"
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

// Guards against a stop that closes the connection after a response although the next
// request is being read: that request would run, and its response be lost. Nor may the first
// response say that the connection closes, because callers send what is behind it again.
func TestStopAnswersRequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started, release := make(chan struct{}, 2), make(chan struct{})
	// The limits are asked for twice for each request: before it, and after its first byte.
	asked := make(chan struct{}, 8)
	listener := http1.NewListener(testNames, handlerFunc(func(x *http1.Exchange) {
		started <- struct{}{}
		<-release
		x.Respond(http1.Response{Status: 200, Body: []byte(x.ID)})
	}), func() http1.RequestLimits {
		asked <- struct{}{}

		return http1.RequestLimits{HeaderTimeout: testWait, IdleTimeout: testWait}
	}, testBodyMemory)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = listener.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	c := dial(t, l.Addr().String())
	second := get("/2")
	_, err = io.WriteString(c, get("/1")+second[:10])
	require.NoError(t, err)
	<-started
	for range 4 {
		<-asked
	}
	listener.Drain()
	close(release)
	in := bufio.NewReader(c)
	status, body, closes := readResponse(t, in)
	require.Equal(t, 200, status)
	require.Equal(t, "1", body)
	require.False(t, closes)
	_, err = io.WriteString(c, second[10:])
	require.NoError(t, err)
	status, body, closes = readResponse(t, in)
	require.Equal(t, 200, status)
	require.Equal(t, "2", body)
	require.True(t, closes)
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
