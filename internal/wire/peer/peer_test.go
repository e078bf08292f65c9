package peer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	"github.com/greengagetally/greengagetally/internal/wire/peer"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// stubHandler holds one answer, configuration version 7, and every part except
// "missing". It records the senders of envelopes.
type stubHandler struct {
	mu       sync.Mutex
	received []event.Member
}

func (h *stubHandler) Received(from event.Member, _ *peerpb.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, from)
}

func (h *stubHandler) ConfigVersion() uint64 { return 7 }

func (h *stubHandler) Root(knownVersion uint64) *peerpb.RootDelta {
	return &peerpb.RootDelta{FromVersion: knownVersion, Version: 7}
}

func (h *stubHandler) Parts(hashes []string) []*peerpb.Part {
	var parts []*peerpb.Part
	for _, hash := range hashes {
		if hash != "missing" {
			parts = append(parts, &peerpb.Part{Hash: hash, Content: make([]byte, 1<<20)})
		}
	}

	return parts
}

func (h *stubHandler) Answer(key string, fingerprint uint64) (caller.Answer, bool, bool) {
	if key != "known" || fingerprint != 5 {
		return caller.Answer{}, false, false
	}

	return caller.Answer{Status: http.StatusCreated, Header: http.Header{"A": {"b", "c"}}, Body: []byte("body")}, true, false
}

type counter struct {
	mu    sync.Mutex
	bytes map[string]int
}

func (c *counter) ControlBytes(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[kind] += bytes
}

func (c *counter) get(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.bytes[kind]
}

func newCounter() *counter { return &counter{bytes: map[string]int{}} }

// startServer starts a server and returns its address, handler and counter.
func startServer(tb testing.TB, tlsFiles *wiretls.CertReloader) (string, *stubHandler, *counter) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	handler, count := &stubHandler{}, newCounter()
	server := peer.NewServer(handler, tlsFiles, count)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	tb.Cleanup(func() {
		server.Stop()
		require.NoError(tb, <-done)
	})

	return l.Addr().String(), handler, count
}

func newClient(t *testing.T, tlsFiles *wiretls.CertReloader) (*peer.Client, *counter) {
	t.Helper()
	start, count := time.Now(), newCounter()
	client := peer.NewClient(tlsFiles, count, func() time.Duration { return time.Since(start) })
	t.Cleanup(client.Close)

	return client, count
}

func newCertReloader(t *testing.T, a *keys.Authority, vm string) *wiretls.CertReloader {
	t.Helper()
	cert, key, err := a.Issue(vm)
	require.NoError(t, err)
	tlsFiles, err := wiretls.NewCertReloader(wiretls.Files{Cert: cert, Key: key, CA: a.CertFile})
	require.NoError(t, err)

	return tlsFiles
}

// envelope returns an envelope with one message and vm as its sender.
func envelope(vm string) *peerpb.Envelope {
	return &peerpb.Envelope{
		From:     &peerpb.Member{Vm: vm, Incarnation: 3},
		Messages: []*peerpb.Message{{Kind: &peerpb.Message_Farewell{Farewell: &peerpb.Farewell{}}}},
	}
}

// Guards against accepting an envelope that names a VM other than its real sender, and
// against a connection to or from the wrong VM.
func TestEnvelopeSenderMatchesCertificate(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	address, handler, _ := startServer(t, newCertReloader(t, authority, "entry-1"))
	client, _ := newClient(t, newCertReloader(t, authority, "entry-2"))
	ctx := context.Background()

	receipt, err := client.Send(ctx, address, "entry-1", envelope("entry-2"))
	require.NoError(t, err)
	require.EqualValues(t, 7, receipt.GetConfigVersion())
	_, err = client.Send(ctx, address, "", envelope("entry-2"))
	require.NoError(t, err, "the VM of a seed address is not known")

	_, err = client.Send(ctx, address, "entry-1", envelope("entry-3"))
	require.Equal(t, codes.PermissionDenied, status.Code(errors.Unwrap(err)))
	_, err = client.Send(ctx, address, "entry-1", envelope(""))
	require.Equal(t, codes.InvalidArgument, status.Code(errors.Unwrap(err)))
	_, err = client.Send(ctx, address, "entry-4", envelope("entry-2"))
	require.Error(t, err)
	plain, _ := newClient(t, nil)
	_, err = plain.Send(ctx, address, "entry-1", envelope("entry-2"))
	require.Error(t, err)
	member := event.Member{VM: "entry-2", Incarnation: 3}
	require.Equal(t, []event.Member{member, member}, handler.received)
}

// Guards against held answers and configuration parts that change in transfer, and
// against messages that are not counted.
func TestFetch(t *testing.T) {
	t.Parallel()
	address, _, serverCounter := startServer(t, nil)
	client, clientCounter := newClient(t, nil)
	ctx := context.Background()
	holder := event.Member{VM: "entry-1"}

	answer, found, err := client.FetchAnswer(ctx, address, holder, "known", 5)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, caller.Answer{
		Fingerprint: 5, Status: http.StatusCreated, Header: http.Header{"A": {"b", "c"}}, Body: []byte("body"),
	}, answer)
	_, found, err = client.FetchAnswer(ctx, address, holder, "known", 6)
	require.NoError(t, err)
	require.False(t, found)

	delta, err := client.FetchRoot(ctx, address, "entry-1", 4)
	require.NoError(t, err)
	require.EqualValues(t, 4, delta.GetFromVersion())
	var hashes []string
	take := func(p *peerpb.Part) error {
		require.Len(t, p.GetContent(), 1<<20)
		hashes = append(hashes, p.GetHash())

		return nil
	}
	require.NoError(t, client.FetchParts(ctx, address, "entry-1", []string{"x", "missing", "y"}, take))
	require.Equal(t, []string{"x", "y"}, hashes)

	_, err = client.Send(ctx, address, "entry-1", envelope("entry-2"))
	require.NoError(t, err)
	require.Positive(t, clientCounter.get("sent/farewell"))
	require.Equal(t, clientCounter.get("sent/farewell"), serverCounter.get("received/farewell"))
	require.Greater(t, clientCounter.get("received/part"), 2<<20)
	require.Equal(t, 1, client.OpenConnections())
}
