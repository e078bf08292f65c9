package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/port"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

func newClient(t *testing.T, url string) *Client {
	t.Helper()
	client, err := NewClient(url)
	require.NoError(t, err)
	t.Cleanup(client.Close)

	return client
}

// Guards against reporting that a failed write had no effect although it may have had
// one, and that a refused write may have taken effect.
func TestWriteErrors(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"conflict": {func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusConflict, `{"version":4}`) }, ErrConflict},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			reply(w, http.StatusTooManyRequests, `{"message":"busy"}`)
		}, ErrRefused},
		"failed": {func(w http.ResponseWriter, _ *http.Request) {
			reply(w, http.StatusServiceUnavailable, `{"message":"x"}`)
		}, ErrOutcomeUnknown},
		"no JSON":           {func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, `BANANA`) }, ErrOutcomeUnknown},
		"connection closed": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			t.Cleanup(server.Close)
			client := newClient(t, server.URL)
			_, err := client.Write(context.Background(), "a/b", 3, []byte("x"))
			require.ErrorIs(t, err, c.want)
			require.ErrorIs(t, client.Delete(context.Background(), "a/b", 3), c.want)
		})
	}
	t.Run("timed out", func(t *testing.T) {
		t.Parallel()
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		t.Cleanup(server.Close)
		_, err := newClient(t, server.URL).Write(context.Background(), "a", 0, nil)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	})
	t.Run("no connection", func(t *testing.T) {
		t.Parallel()
		refusing, free, err := port.Refusing()
		require.NoError(t, err)
		t.Cleanup(free)
		client := newClient(t, "http://"+refusing)
		_, err = client.Write(context.Background(), "a", 0, nil)
		require.ErrorIs(t, err, ErrRefused)
		_, err = client.Read(context.Background(), "a")
		require.ErrorIs(t, err, ErrUnavailable)
	})
}

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// Guards against a client that alters the keys, versions, values or VMs that it reads,
// or returns an error for a missing key.
func TestReads(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/vms":
			reply(w, http.StatusOK, `{"version":9,"vms":[{"name":"entry-1","zone":"a1","peer-address":"127.0.0.1:1","state":"leaving"}]}`)
		case r.URL.Path == "/v1/kv/claims/1/2" && r.URL.Query().Get("wait-version") == "5":
			reply(w, http.StatusOK, `{"version":6,"value":"eHl6"}`)
		case r.URL.Path == "/v1/kv/claims/1/2":
			reply(w, http.StatusOK, `{"version":5,"value":"eHk="}`)
		default:
			reply(w, http.StatusNotFound, `{"version":0}`)
		}
	}))
	t.Cleanup(server.Close)
	client, ctx := newClient(t, server.URL), context.Background()
	doc, err := client.Read(ctx, "claims/1/2")
	require.NoError(t, err)
	require.Equal(t, Document{Key: "claims/1/2", Version: 5, Value: []byte("xy")}, doc)
	doc, err = client.Watch(ctx, "claims/1/2", 5)
	require.NoError(t, err)
	require.Equal(t, Document{Key: "claims/1/2", Version: 6, Value: []byte("xyz")}, doc)
	doc, err = client.Read(ctx, "missing")
	require.NoError(t, err)
	require.Equal(t, Document{Key: "missing"}, doc)
	version, vms, err := client.VMs(ctx, 3)
	require.NoError(t, err)
	require.EqualValues(t, 9, version)
	require.Equal(t, []event.VM{{Name: "entry-1", Zone: "a1", PeerAddress: "127.0.0.1:1", Leaving: true}}, vms)
}
