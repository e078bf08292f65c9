// Package gossip carries short reports between entry VMs in datagrams, and
// copies of tables over TCP. Only addresses that the deployment lists as entry
// VMs are heard.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

const (
	// maxDatagram is the longest datagram; the digests of usual regions take one
	// unfragmented packet.
	maxDatagram = 64 << 10
	// maxCopyBytes bounds a compressed table.
	maxCopyBytes = 16 << 20
	// copyTimeout bounds the transfer of a table.
	copyTimeout = 400 * time.Millisecond
)

// ErrBusy is returned by an entry VM that is sending enough copies.
var ErrBusy = errors.New("entry VM sends other copies")

// Message is a datagram between entry VMs: a report or a digest.
type Message struct {
	Report *Report `cbor:"1,keyasint,omitempty"`
	Digest *Digest `cbor:"2,keyasint,omitempty"`
}

// Load is what requests take and ask for, of one entry VM or of a region.
type Load struct {
	// InFlight is what the requests take of the slots of each server, in eighths.
	InFlight map[uint32]int     `cbor:"1,keyasint"`
	Demand   map[string]float64 `cbor:"2,keyasint"`
	// Suspects count the servers lost by requests with the same content.
	Suspects map[uint64]int `cbor:"3,keyasint,omitempty"`
	// Lost are servers that took no connection in the last moments.
	Lost []uint32 `cbor:"4,keyasint,omitempty"`
}

// Report is what an entry VM tells the relays of its region.
type Report struct {
	Name string `cbor:"1,keyasint"`
	// Sequence counts the reports of the sender.
	Sequence uint32 `cbor:"2,keyasint"`
	Ready    bool   `cbor:"3,keyasint"`
	// Tables describe the sender's copies of the store's tables.
	Tables map[string]TableState `cbor:"4,keyasint"`
	Load   Load                  `cbor:"5,keyasint"`
	// Busy is true when the sender's processor is too slow for its work.
	Busy bool `cbor:"6,keyasint,omitempty"`
}

// Digest is what a relay tells about the entry VMs of its region.
type Digest struct {
	// Name is that of the relay; a digest may be passed on by another one.
	Name    string                `cbor:"1,keyasint"`
	Region  string                `cbor:"2,keyasint"`
	Tables  map[string]TableState `cbor:"3,keyasint"`
	Load    Load                  `cbor:"4,keyasint"`
	Members []Member              `cbor:"5,keyasint"`
}

// Member is an entry VM that reports to a relay.
type Member struct {
	// Key is the short form of its name.
	Key uint32 `cbor:"1,keyasint"`
	// Sequence is that of the report that the digest includes.
	Sequence uint32 `cbor:"2,keyasint"`
	Ready    bool   `cbor:"3,keyasint,omitempty"`
	// Failing names the tables that it cannot read from the store.
	Failing []string `cbor:"4,keyasint,omitempty"`
	Busy    bool     `cbor:"5,keyasint,omitempty"`
}

// TableState describes a copy of one of the store's tables.
type TableState struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Reading is the newest reading from the store that the sender has made, or
	// heard of from an entry VM that reports to it.
	Reading *Reading `cbor:"2,keyasint,omitempty"`
	// Failing is true when the sender's last reading from the store failed.
	Failing bool `cbor:"3,keyasint,omitempty"`
}

// Reading tells that a copy was that of the store.
type Reading struct {
	Revision uint64 `cbor:"1,keyasint"`
	// AgeMillis is how long ago it was read when the message was sent.
	AgeMillis int64 `cbor:"2,keyasint"`
}

// Bus exchanges messages and tables with the other entry VMs.
type Bus struct {
	ip  netip.Addr
	udp *net.UDPConn
	tcp net.Listener
	// copyPort is the port at which every entry VM serves its tables.
	copyPort uint16
	receive  func(Message, netip.AddrPort)
	// malformed takes datagrams that cannot be read.
	malformed func(netip.AddrPort, error)
	table     func(name string, since uint64) ([]byte, bool)

	// copies holds a place for each table that is being sent: a large table over a
	// weak link would reach nobody in time if all shared it.
	copies chan struct{}

	mu     sync.Mutex
	listed map[netip.Addr]struct{}
}

// Handlers are called by a bus.
type Handlers struct {
	// Receive takes a message of another entry VM and the address it came from.
	Receive func(Message, netip.AddrPort)
	// Malformed takes the address of a datagram that cannot be read, and why.
	Malformed func(netip.AddrPort, error)
	// EncodeChanges returns the encoded changes of a table since a revision.
	EncodeChanges func(name string, since uint64) ([]byte, bool)
}

// Listen opens a bus at an address with a datagram port and a port for tables.
// It sends at most a number of copies at once.
func Listen(ctx context.Context, ip netip.Addr, datagrams, tables uint16, copies int, h Handlers) (*Bus, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagrams)))
	if err != nil {
		return nil, fmt.Errorf("listen for reports: %w", err)
	}
	var config net.ListenConfig
	tcp, err := config.Listen(ctx, "tcp4", netip.AddrPortFrom(ip, tables).String())
	if err != nil {
		_ = udp.Close()

		return nil, fmt.Errorf("listen for tables: %w", err)
	}

	return &Bus{ip: ip, udp: udp, tcp: tcp, copyPort: tables, receive: h.Receive, malformed: h.Malformed, table: h.EncodeChanges, listed: map[netip.Addr]struct{}{}, copies: make(chan struct{}, copies)}, nil
}

// SetEntryVMs replaces the addresses of the entry VMs.
func (b *Bus) SetEntryVMs(ips []netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = make(map[netip.Addr]struct{}, len(ips))
	for _, ip := range ips {
		b.listed[ip] = struct{}{}
	}
}

func (b *Bus) isListed(ip netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.listed[ip.Unmap()]

	return ok
}

// Run receives until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	go b.serveTables(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := b.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A port that is closed at a peer is reported here; the peer is silent then.
			continue
		}
		if !b.isListed(from.Addr()) {
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			b.malformed(from, err)

			continue
		}
		b.receive(m, from)
	}
}

// Close ends the bus.
func (b *Bus) Close() {
	_ = b.udp.Close()
	_ = b.tcp.Close()
}

// Send gives a message to entry VMs; a lost one is replaced by the next.
func (b *Bus) Send(m Message, to []netip.AddrPort) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	var failed error
	for _, address := range to {
		if _, err := b.udp.WriteToUDPAddrPort(data, address); err != nil {
			failed = fmt.Errorf("send report to %s: %w", address, err)
		}
	}

	return failed
}

// request asks for a table.
type request struct {
	Table string `cbor:"1,keyasint"`
	Since uint64 `cbor:"2,keyasint"`
}

func (b *Bus) serveTables(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := b.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go b.serveTable(conn)
	}
}

func (b *Bus) serveTable(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !b.isListed(from.Addr()) {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(copyTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	var r request
	if cbor.NewDecoder(conn).Decode(&r) != nil {
		return
	}
	select {
	case b.copies <- struct{}{}:
		defer func() { <-b.copies }()
	default:
		// The asker tries another entry VM, which may have the table by now.
		return
	}
	if data, ok := b.table(r.Table, r.Since); ok {
		_, _ = conn.Write(s2.Encode(nil, data))
	}
}

// Fetch reads the changes of a table since a revision from the entry VM at an
// address into v.
func (b *Bus) Fetch(ctx context.Context, ip netip.Addr, table string, since uint64, v any) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	// The others hear only the addresses that are listed as entry VMs.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: b.ip.AsSlice()}}
	conn, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(ip.Unmap(), b.copyPort).String())
	if err != nil {
		return fmt.Errorf("connect to entry VM %s: %w", ip, err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(copyTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	if err := cbor.NewEncoder(conn).Encode(request{Table: table, Since: since}); err != nil {
		return fmt.Errorf("ask entry VM %s for %s: %w", ip, table, err)
	}
	compressed, err := io.ReadAll(io.LimitReader(conn, maxCopyBytes))
	if err != nil {
		return fmt.Errorf("read %s from entry VM %s: %w", table, ip, err)
	}
	if len(compressed) == 0 {
		return ErrBusy
	}
	data, err := s2.Decode(nil, compressed)
	if err != nil {
		return fmt.Errorf("decompress %s of entry VM %s: %w", table, ip, err)
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s of entry VM %s: %w", table, ip, err)
	}

	return nil
}
