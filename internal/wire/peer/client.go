package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

const (
	// sendTimeout bounds the delivery of one envelope and the fetch of one held answer.
	// Peers of other regions respond in 35 ms. Lookups leave out a dead peer after about
	// 5 s: 3 sends must fail, each after at most sendTimeout, and another entry VM must
	// confirm the failure.
	sendTimeout = time.Second
	// fetchTimeout bounds the transfer of a configuration root or of configuration
	// parts.
	fetchTimeout = 30 * time.Second
	// idleTimeout is how long a connection stays open without a call. Only peers that
	// get regular messages stay connected, so that the number of connections does not
	// grow with the number of entry VMs.
	idleTimeout = 30 * time.Second
	// forgetAfter is how long an unused connection is kept in Client.connections. After
	// that time, it is closed and removed when the next connection is added.
	forgetAfter = 5 * time.Minute
	// bufferBytes is the size of the read buffer and of the write buffer of a
	// connection. A usual message fits. With the default of 32 KB, the buffers would
	// take most of the memory for control messages.
	bufferBytes = 4 << 10
	// windowBytes is the smallest flow-control window that gRPC accepts.
	windowBytes = 64 << 10
	// maxMessageBytes bounds a received message; one configuration part of 1 MB and
	// its envelope fit.
	maxMessageBytes = 2 << 20
)

// Counter counts the bytes of control messages between entry VMs.
type Counter interface {
	// ControlBytes adds bytes of a kind, such as "sent/records".
	ControlBytes(kind string, bytes int)
}

// Client sends control messages to other entry VMs, and fetches configuration and held
// answers from other entry VMs. It keeps one connection to each peer. Its methods may be
// called concurrently.
type Client struct {
	tlsFiles *wiretls.CertReloader
	counter  Counter
	now      func() time.Duration

	mu          sync.Mutex
	connections map[target]*connection
}

// target identifies a connection; vm is "" for a seed address whose VM is not known
// yet.
type target struct {
	address string
	vm      string
}

// connection is a gRPC connection, which may be idle.
type connection struct {
	grpc *grpc.ClientConn
	// lastUsed is the time of the last call, counted from the start of the process.
	lastUsed time.Duration
}

// NewClient returns a client. tlsFiles is nil for plain text, and now returns the
// time since the process started.
func NewClient(tlsFiles *wiretls.CertReloader, counter Counter, now func() time.Duration) *Client {
	return &Client{tlsFiles: tlsFiles, counter: counter, now: now, connections: map[target]*connection{}}
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, conn := range c.connections {
		_ = conn.grpc.Close()
		delete(c.connections, to)
	}
}

// OpenConnections returns the number of connections, idle ones included.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.connections)
}

// peer returns the gRPC client for a peer. If there is no connection to the peer, it
// closes the connections that were not used for forgetAfter and makes a new connection.
func (c *Client) peer(address, vm string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, now := target{address, vm}, c.now()
	if conn, ok := c.connections[to]; ok {
		conn.lastUsed = now

		return peerpb.NewPeerClient(conn.grpc), nil
	}
	for other, conn := range c.connections {
		if conn.lastUsed+forgetAfter < now {
			_ = conn.grpc.Close()
			delete(c.connections, other)
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options(vm)...)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	c.connections[to] = &connection{grpc: conn, lastUsed: now}

	return peerpb.NewPeerClient(conn), nil
}

func (c *Client) options(vm string) []grpc.DialOption {
	transport := insecure.NewCredentials()
	if c.tlsFiles != nil {
		transport = &clientCredentials{tlsFiles: c.tlsFiles, vm: vm}
	}

	return []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithContextDialer(dial),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			// The delays are short, so that a replaced VM is reached again soon after it
			// listens.
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: sendTimeout,
		}),
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer

	return dialer.DialContext(ctx, "tcp", address)
}

// Send delivers an envelope and returns the peer's receipt. vm is "" when the VM at
// the address is not known; otherwise, with TLS, the peer's certificate must name vm.
// An error does not tell whether the peer received the envelope.
func (c *Client) Send(ctx context.Context, address, vm string, envelope *peerpb.Envelope) (*peerpb.Receipt, error) {
	peer, err := c.peer(address, vm)
	if err != nil {
		return nil, err
	}
	c.count("sent", envelope)
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	receipt, err := peer.Send(ctx, envelope)
	if err != nil {
		return nil, fmt.Errorf("send to peer %s: %w", vm, err)
	}

	return receipt, nil
}

func (c *Client) count(direction string, envelope *peerpb.Envelope) {
	countMessages(c.counter, direction, envelope)
}

// FetchRoot fetches from a peer the changes of the configuration root since
// knownVersion; 0 requests the whole root.
func (c *Client) FetchRoot(ctx context.Context, address, vm string, knownVersion uint64) (*peerpb.RootDelta, error) {
	peer, err := c.peer(address, vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	delta, err := peer.FetchRoot(ctx, &peerpb.FetchRootRequest{KnownVersion: knownVersion})
	if err != nil {
		return nil, fmt.Errorf("fetch configuration root from %s: %w", vm, err)
	}
	c.counter.ControlBytes("received/root", proto.Size(delta))

	return delta, nil
}

// FetchParts fetches the parts of the configuration with these hashes from a peer and
// calls handlePart with each part. Parts that the peer does not hold are left out. An
// error from handlePart ends the transfer, and FetchParts returns the error.
func (c *Client) FetchParts(ctx context.Context, address, vm string, hashes []string, handlePart func(*peerpb.Part) error) error {
	peer, err := c.peer(address, vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream, err := peer.FetchParts(ctx, &peerpb.FetchPartsRequest{Hashes: hashes})
	if err != nil {
		return fmt.Errorf("fetch configuration parts from %s: %w", vm, err)
	}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("fetch configuration parts from %s: %w", vm, err)
		}
		c.counter.ControlBytes("received/part", proto.Size(part))
		if err := handlePart(part); err != nil {
			return err
		}
	}
}

// FetchAnswer fetches the answer held for an idempotency key. holder is the entry VM
// that holds the claim of the key. The result is false when holder has no answer for a
// request with this fingerprint, or when the request is still in progress on holder.
func (c *Client) FetchAnswer(ctx context.Context, address string, holder event.Member, key string, fingerprint uint64) (caller.Answer, bool, error) {
	peer, err := c.peer(address, holder.VM)
	if err != nil {
		return caller.Answer{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	held, err := peer.FetchAnswer(ctx, &peerpb.FetchAnswerRequest{Key: key, Fingerprint: fingerprint})
	if err != nil {
		return caller.Answer{}, false, fmt.Errorf("fetch held answer from %s: %w", holder.VM, err)
	}
	if !held.GetFound() {
		return caller.Answer{}, false, nil
	}
	answer := caller.Answer{Fingerprint: fingerprint, Status: int(held.GetStatus()), Body: held.GetBody()}
	if err := json.Unmarshal(held.GetHeader(), &answer.Header); err != nil {
		return caller.Answer{}, false, fmt.Errorf("decode header of held answer: %w", err)
	}

	return answer, true, nil
}
