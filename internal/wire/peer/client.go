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
	// sendTimeout bounds one delivery; peers of other regions answer in 35 ms. A
	// dead peer is tried 3 times before it leaves lookups, which takes about 5 s.
	sendTimeout = time.Second
	// fetchTimeout bounds the transfer of configuration parts.
	fetchTimeout = 30 * time.Second
	// idleTimeout closes connections between gossip to peers that are not
	// neighbours, so that connections do not grow with the fleet.
	idleTimeout = 30 * time.Second
	// forgetAfter drops what is left of a connection that was not used.
	forgetAfter = 5 * time.Minute
	// bufferBytes holds a usual message; the default of 32 KB for each direction
	// of each connection would take most of the memory for control.
	bufferBytes = 4 << 10
	// windowBytes is the smallest flow-control window that grpc accepts.
	windowBytes = 64 << 10
	// maxMessageBytes admits one configuration part of 1 MB and its envelope.
	maxMessageBytes = 2 << 20
)

// Counter counts the bytes of control messages.
type Counter interface {
	// ControlBytes counts bytes of a kind, such as "sent/records".
	ControlBytes(kind string, bytes int)
}

// Client sends control messages to other entry VMs.
type Client struct {
	tlsFiles *wiretls.CertReloader
	counter  Counter
	now      func() time.Duration

	mu          sync.Mutex
	connections map[target]*connection
}

// target is a peer; vm is "" for a seed address of which no VM is known yet.
type target struct {
	address string
	vm      string
}

type connection struct {
	grpc *grpc.ClientConn
	used time.Duration
}

// NewClient returns a client; tlsFiles is nil for plain text, and now tells the
// time of the process.
func NewClient(tlsFiles *wiretls.CertReloader, counter Counter, now func() time.Duration) *Client {
	return &Client{tlsFiles: tlsFiles, counter: counter, now: now, connections: map[target]*connection{}}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, conn := range c.connections {
		_ = conn.grpc.Close()
		delete(c.connections, to)
	}
}

// OpenConnections returns the number of peers with a connection, idle ones included.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.connections)
}

func (c *Client) peer(address, vm string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, now := target{address, vm}, c.now()
	if conn, ok := c.connections[to]; ok {
		conn.used = now

		return peerpb.NewPeerClient(conn.grpc), nil
	}
	for other, conn := range c.connections {
		if conn.used+forgetAfter < now {
			_ = conn.grpc.Close()
			delete(c.connections, other)
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options(vm)...)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	c.connections[to] = &connection{grpc: conn, used: now}

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
			// A replaced VM is reached again soon after it listens.
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: sendTimeout,
		}),
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer

	return dialer.DialContext(ctx, "tcp", address)
}

// Send delivers an envelope and returns the peer's receipt.
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

// FetchRoot asks a peer for the configuration root.
func (c *Client) FetchRoot(ctx context.Context, address, vm string, known uint64) (*peerpb.RootDelta, error) {
	peer, err := c.peer(address, vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	delta, err := peer.FetchRoot(ctx, &peerpb.FetchRootRequest{KnownVersion: known})
	if err != nil {
		return nil, fmt.Errorf("fetch configuration root from %s: %w", vm, err)
	}
	c.counter.ControlBytes("received/root", proto.Size(delta))

	return delta, nil
}

// FetchParts asks a peer for parts of the configuration and gives each to take.
func (c *Client) FetchParts(ctx context.Context, address, vm string, hashes []string, take func(*peerpb.Part) error) error {
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
		if err := take(part); err != nil {
			return err
		}
	}
}

// FetchAnswer asks the holder of a claim for the held answer of its key.
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
