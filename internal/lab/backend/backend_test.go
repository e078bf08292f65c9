package backend_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
)

func startFleet(t *testing.T, specs ...backend.Spec) (*backend.Fleet, string) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := backend.NewFleet(specs)
	go func() { _ = f.Serve(t.Context(), listener) }()
	for _, s := range specs {
		waitUntilServing(t, s.Address)
	}

	return f, listener.Addr().String()
}

func waitUntilServing(t *testing.T, address string) {
	t.Helper()

	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + address + "/health")
		if err != nil {
			return false
		}
		_ = res.Body.Close()

		return true
	}, 20*time.Second, 10*time.Millisecond)
}

func post(t *testing.T, address, id string, header ...string) (*http.Response, error) {
	t.Helper()

	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set(backend.HeaderID, id)
	req.Header.Set(backend.HeaderAttempt, "0")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}

	return http.DefaultTransport.RoundTrip(req)
}

// Guards against a MaxInFlight that does not include waiting requests. CheckInvariants in
// package world finds servers that were sent more requests than they have slots by this
// count.
func TestMaxInFlightIncludesWaitingRequests(t *testing.T) {
	t.Parallel()
	const address = "127.8.1.1:7100"
	f, _ := startFleet(t, backend.Spec{Name: "b", Address: address, Slots: 1, ServiceMs: 50})

	var requests sync.WaitGroup
	bodies := make([][]byte, 3)
	for i := range bodies {
		requests.Go(func() {
			res, err := post(t, address, "id-1")
			if err == nil {
				bodies[i], _ = io.ReadAll(res.Body)
			}
		})
	}
	requests.Wait()
	for _, body := range bodies {
		assert.Equal(t, backend.ResponseBody("id-1", []byte("body"), 0), body)
	}
	require.Eventually(t, func() bool { return f.Stats()[0].InFlight == 0 }, 20*time.Second, 10*time.Millisecond)
	assert.GreaterOrEqual(t, f.Stats()[0].MaxInFlight, 2)
	assert.EqualValues(t, 3, f.Stats()[0].Done)
}

// Guards against a server that responds to the request that makes it crash, against a
// crash that does not count as a run of the request, and against a server that stays down
// after DownMs.
func TestCrash(t *testing.T) {
	t.Parallel()
	const address = "127.8.1.2:7100"
	f, control := startFleet(t, backend.Spec{Name: "b", Address: address, Slots: 1, ServiceMs: 1, DownMs: 200})

	res, err := post(t, address, "id-2", backend.HeaderCrash, "yes", "Idempotency-Key", "k")
	if err == nil {
		_ = res.Body.Close()
	}
	require.Error(t, err)
	waitUntilServing(t, address)
	assert.EqualValues(t, 1, f.Stats()[0].Crashes)
	runs := map[string]int{}
	require.NoError(t, load.CallControl(t.Context(), http.MethodPost, "http://"+control+"/lab/keys", []string{"k"}, &runs))
	assert.Equal(t, map[string]int{"k": 1}, runs)
}
