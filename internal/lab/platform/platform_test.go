package platform_test

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/platformapi"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
)

// fixture is a running platform with a client.
type fixture struct {
	t      *testing.T
	url    string
	client *platformapi.Client
}

func startPlatform(t *testing.T) fixture {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = platform.New().Serve(t.Context(), listener) }()
	url := "http://" + listener.Addr().String()
	client, err := platformapi.NewClient(url)
	require.NoError(t, err)

	return fixture{t, url, client}
}

func (f fixture) put(path, body string) {
	f.t.Helper()

	req, err := http.NewRequest(http.MethodPut, f.url+path, bytes.NewBufferString(body))
	require.NoError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	_ = res.Body.Close()
	require.Equal(f.t, http.StatusOK, res.StatusCode)
}

func (f fixture) write(key string, expected int64, value []byte) (platformapi.WriteKeyRes, error) {
	return f.client.WriteKey(f.t.Context(), &platformapi.Value{Value: value}, platformapi.WriteKeyParams{Key: key, ExpectedVersion: expected})
}

func (f fixture) read(key string) platformapi.ReadKeyRes {
	f.t.Helper()

	res, err := f.client.ReadKey(f.t.Context(), platformapi.ReadKeyParams{Key: key})
	require.NoError(f.t, err)

	return res
}

// Guards against a compare-and-swap that is weaker than that of the real platform, which
// would hide lost updates.
func TestCompareAndSwap(t *testing.T) {
	t.Parallel()
	f := startPlatform(t)

	res, err := f.write("config/root", 0, []byte("a"))
	require.NoError(t, err)
	assert.Equal(t, &platformapi.Written{Version: 1}, res)
	res, err = f.write("config/root", 0, []byte("b"))
	require.NoError(t, err)
	assert.Equal(t, &platformapi.Conflict{Version: 1}, res)
	_, err = f.client.DeleteKey(t.Context(), platformapi.DeleteKeyParams{Key: "config/root", ExpectedVersion: 1})
	require.NoError(t, err)
	assert.Equal(t, &platformapi.Missing{Version: 2}, f.read("config/root"))
	res, err = f.write("config/root", 0, []byte("c"))
	require.NoError(t, err)
	assert.Equal(t, &platformapi.Written{Version: 3}, res, "the versions of a key keep increasing after a deletion")
	_, err = f.write("big", 0, make([]byte, platform.MaxValueBytes+1))
	require.Error(t, err)
}

// Guards against a watch that misses a change: the product's own watches would then
// look broken.
func TestWatchReturnsOnChange(t *testing.T) {
	t.Parallel()
	f := startPlatform(t)

	got := make(chan platformapi.ReadKeyRes, 1)
	go func() {
		res, _ := f.client.ReadKey(t.Context(), platformapi.ReadKeyParams{Key: "k", WaitVersion: platformapi.NewOptInt64(0)})
		got <- res
	}()
	_, err := f.write("k", 0, []byte("x"))
	require.NoError(t, err)
	select {
	case res := <-got:
		assert.Equal(t, &platformapi.Entry{Version: 1, Value: []byte("x")}, res)
	case <-time.After(20 * time.Second):
		t.Fatal("the watch did not return")
	}
}

// Guards against faults that differ from their description at the type Faults. A write
// with a lost response must take effect, or the tests do not cover how the product
// handles such a write.
func TestFaults(t *testing.T) {
	t.Parallel()
	f := startPlatform(t)

	f.put("/lab/faults", `{"lose-writes":1}`)
	_, err := f.write("k", 0, []byte("x"))
	require.Error(t, err)
	assert.Equal(t, &platformapi.Entry{Version: 1, Value: []byte("x")}, f.read("k"))
	f.put("/lab/faults", `{"outage":true}`)
	_, err = f.write("k", 1, []byte("y"))
	require.Error(t, err)
	f.put("/lab/faults", `{"writes-per-second":1}`)
	_, err = f.write("k", 1, []byte("y"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := f.write("k", 1, []byte("z"))
		var refused *platformapi.FailureStatusCode

		return errors.As(err, &refused) && refused.StatusCode == http.StatusTooManyRequests
	}, 20*time.Second, time.Millisecond)
	f.put("/lab/faults", `{"older-reads":true}`)
	assert.Equal(t, &platformapi.Entry{Version: 1, Value: []byte("x")}, f.read("k"))
}

// Guards against keys that outlive their lease and a list of VMs without lag.
func TestLeasesAndVMs(t *testing.T) {
	t.Parallel()
	f := startPlatform(t)

	_, err := f.client.RenewLease(t.Context(), platformapi.RenewLeaseParams{Lease: "l", TTLSeconds: 1})
	require.NoError(t, err)
	_, err = f.client.WriteKey(t.Context(), &platformapi.Value{Value: []byte("x")}, platformapi.WriteKeyParams{Key: "k", Lease: platformapi.NewOptString("l")})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, missing := f.read("k").(*platformapi.Missing)

		return missing
	}, 20*time.Second, 50*time.Millisecond)

	f.put("/lab/vms?lag-ms=300", `[{"name":"vm-1","zone":"z","peer-address":"127.0.0.1:1"}]`)
	list, err := f.client.ListVMs(t.Context(), platformapi.ListVMsParams{})
	require.NoError(t, err)
	assert.Empty(t, list.Vms)
	list, err = f.client.ListVMs(t.Context(), platformapi.ListVMsParams{WaitVersion: platformapi.NewOptInt64(list.Version)})
	require.NoError(t, err)
	assert.Len(t, list.Vms, 1)
}
