package process

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a graceful shutdown that cuts off a request in flight or ends before
// all requests are answered.
func TestGracefulStopUnderLoad(t *testing.T) {
	t.Parallel()
	content := strings.Repeat("x", 50_000)
	address := backendServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(body)%20) * time.Millisecond)
		_, _ = io.WriteString(w, content)
	})
	settings := testSettings()
	settings.LookupTTL = 2 * time.Second
	f := startProcess(t, settings, address)
	var sent, complete, failed atomic.Int64
	stopCallers := make(chan struct{})
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			client := newClient(t)
			for i := 0; ; i++ {
				select {
				case <-stopCallers:
					return
				default:
				}
				status, _, body, err := send(f, client, f.request(t, http.MethodPost, "/", strings.Repeat("y", worker*i)))
				sent.Add(1)
				if err != nil || status != http.StatusOK || body != content {
					failed.Add(1)
					t.Errorf("request was not served: status %d, %d bytes, error %v", status, len(body), err)

					return
				}
				complete.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return complete.Load() > 100 }, 10*time.Second, time.Millisecond)
	f.process.Stop()
	before := complete.Load()
	require.Eventually(t, func() bool { return complete.Load() > before+20 }, 10*time.Second, time.Millisecond, "new requests are served until lookup responses that name the entry expire")
	// Callers stop within the time to live of the lookup response.
	close(stopCallers)
	wg.Wait()
	require.Zero(t, failed.Load())
	select {
	case err := <-f.done:
		require.NoError(t, err)
		f.done <- nil
	case <-time.After(20 * time.Second):
		t.Fatal("the graceful shutdown does not end")
	}
}

// Guards against a long request being cut off when the time to live of lookup responses
// ends, and against an exit before the response to the request is delivered.
func TestGracefulStopAwaitsLongRequest(t *testing.T) {
	t.Parallel()
	running, release := make(chan struct{}), make(chan struct{})
	address := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	settings := testSettings()
	settings.LookupTTL = 10 * time.Millisecond
	f := startProcess(t, settings, address)
	result := make(chan string, 1)
	client, req := newClient(t), f.request(t, http.MethodPost, "/", "")
	go func() {
		_, _, body, err := send(f, client, req)
		if err != nil {
			body = err.Error()
		}
		result <- body
	}()
	<-running
	f.process.Stop()
	require.Equal(t, "stopping", string(f.process.health()))
	select {
	case err := <-f.done:
		t.Fatalf("the process ended with a request in flight: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	require.Equal(t, "done", <-result)
	require.NoError(t, <-f.done)
	f.done <- nil
}
