// Package gossip exchanges reports between entry VMs in UDP datagrams, and copies of the
// store's tables over TCP, for greengagetally-platform. It ignores datagrams and
// connections from addresses that the deployment does not list as entry VMs.
//
// Package steer/relay decides which entry VM of a region is its relay and which is the
// relay's stand-in.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

const (
	// maxDatagramSize is the largest size of a UDP datagram, in bytes. The digest of a
	// usual region fits into one unfragmented packet.
	maxDatagramSize = 64 << 10
	// maxCopySize bounds a compressed copy, in bytes.
	maxCopySize = 16 << 20
	// maxDecodedCopySize bounds a copy after decompression, in bytes. It is a few times the
	// store's tables and fits into the memory of the smallest VM.
	maxDecodedCopySize = 32 << 20
	// copyTimeout bounds the set-up of a connection and, separately, the transfer of a
	// copy.
	copyTimeout = 400 * time.Millisecond
)

// ErrBusy is returned by Fetch when the other entry VM closes the connection without a
// copy. That VM already sends as many copies as it may at once, has no copy of the
// table, or does not list this VM as an entry VM.
var ErrBusy = errors.New("entry VM sent no copy, it may be sending others")

// errCopyTooLong means that a copy exceeds maxDecodedCopySize or is not compressed as
// expected.
var errCopyTooLong = errors.New("copy is too long or malformed")

// Message is the content of a datagram between entry VMs. All fields but one are nil.
type Message struct {
	Report       *Report       `cbor:"1,keyasint,omitempty"`
	Digest       *Digest       `cbor:"2,keyasint,omitempty"`
	QuotaRequest *QuotaRequest `cbor:"3,keyasint,omitempty"`
	QuotaGrant   *QuotaGrant   `cbor:"4,keyasint,omitempty"`
}

// Load is the load that one entry VM, or all entry VMs of a region, put on the backend
// servers, and the failures that these entry VMs saw. Each server is identified by its
// key, a hash of its ID.
type Load struct {
	// InFlight is, by server key, how much of the server's slots the requests in flight
	// take, in eighths of a slot.
	InFlight map[uint32]int `cbor:"1,keyasint,omitempty"`
	// Demand is, by service, the number of slots that callers' requests need. Requests that
	// are sent again after a refusal are left out.
	Demand map[string]float64 `cbor:"2,keyasint,omitempty"`
	// Lost holds the keys of the servers that failed a request and then a probe in the last 1.5 s.
	Lost []uint32 `cbor:"4,keyasint,omitempty"`
	// Leaving holds the incarnations of the servers that have recently said in a response that
	// they are leaving. An incarnation stands for one start of a server.
	Leaving []uint64 `cbor:"5,keyasint,omitempty"`
	// Suspects holds, by the fingerprint of a request's content, the incarnations of the
	// servers that in a row broke the connection while they had a request with this content.
	// Key 3 was their number.
	Suspects map[uint64][]uint64 `cbor:"6,keyasint,omitempty"`
	// Waiting holds, by service, the keys of the entry VMs at which requests wait for a slot.
	Waiting map[string][]uint32 `cbor:"7,keyasint,omitempty"`
}

// Report is what an entry VM tells the relay of its region and the relay's stand-in. The
// relay sums the reports of its region in a digest.
type Report struct {
	// Name is the name of the sender.
	Name string `cbor:"1,keyasint"`
	// Sequence is the number of this report among the reports of the sender.
	Sequence uint32 `cbor:"2,keyasint"`
	// Ready is true when callers should be sent to the sender.
	Ready bool `cbor:"3,keyasint"`
	// Tables describe the sender's copies of the store's tables, by table name.
	Tables map[string]TableState `cbor:"4,keyasint"`
	Load   Load                  `cbor:"5,keyasint"`
	// Busy is true while the sender's processor is overloaded.
	Busy bool `cbor:"6,keyasint,omitempty"`
	// Idle is true when no caller has sent the sender a request recently.
	Idle bool `cbor:"7,keyasint,omitempty"`
	// QuotaEra is the era of the sender's right as the holder of the quotas, or 0 if it is not
	// the holder.
	QuotaEra uint64 `cbor:"8,keyasint,omitempty"`
}

// Digest is the summary of a region. The relay of the region sends it to the region's entry
// VMs and to the relays of the other regions.
type Digest struct {
	// Name is the name of the relay that made the digest. The digest can come from another
	// address, because relays of other regions forward it to their entry VMs.
	Name    string                `cbor:"1,keyasint"`
	Region  string                `cbor:"2,keyasint"`
	Tables  map[string]TableState `cbor:"3,keyasint"`
	Load    Load                  `cbor:"4,keyasint"`
	Members []Member              `cbor:"5,keyasint,omitempty"`
	// Scope says which of the fields Load and Members are left out.
	Scope Scope `cbor:"6,keyasint,omitempty"`
	// Mark names this digest in Reading.Marks, see proof.Mark. 0 if no marks are told.
	Mark proof.Mark `cbor:"7,keyasint,omitempty"`
	// QuotaHolder is the entry VM among the reports that is the holder of the quotas, if any.
	QuotaHolder *QuotaHolder `cbor:"8,keyasint,omitempty"`
}

// Scope is how much of a digest is sent. Entry VMs without callers need less.
type Scope uint8

// Scopes of a digest.
const (
	// ScopeWhole: all fields.
	ScopeWhole Scope = iota
	// ScopeSummary: all but Load.InFlight.
	ScopeSummary
	// ScopeTables: neither Load nor Members, and no marks of readings.
	ScopeTables
)

// WithScope returns the digest without the fields that the scope leaves out.
func (d Digest) WithScope(scope Scope) Digest {
	d.Scope = scope
	switch scope {
	case ScopeWhole:
	case ScopeSummary:
		d.Load.InFlight = nil
	case ScopeTables:
		d.Load, d.Members, d.Tables = Load{}, nil, withoutMarks(d.Tables)
	}

	return d
}

// withoutMarks returns the states of tables without the marks of their readings.
func withoutMarks(tables map[string]TableState) map[string]TableState {
	out := maps.Clone(tables)
	for name, t := range out {
		if t.Reading != nil && len(t.Reading.Marks) > 0 {
			reading := *t.Reading
			reading.Marks, reading.Shown = nil, 0
			t.Reading = &reading
			out[name] = t
		}
	}

	return out
}

// Member is an entry VM whose report a digest includes.
type Member struct {
	// Key is a hash of the entry VM's name.
	Key uint32 `cbor:"1,keyasint"`
	// Sequence is the Sequence of the included report.
	Sequence uint32 `cbor:"2,keyasint"`
	Ready    bool   `cbor:"3,keyasint,omitempty"`
	// Failing names the tables whose last read from the store failed on this entry VM.
	Failing []string `cbor:"4,keyasint,omitempty"`
	Busy    bool     `cbor:"5,keyasint,omitempty"`
}

// TableState describes a copy of one of the store's tables.
type TableState struct {
	// Revision is the store revision up to which the sender's copy holds all changes.
	Revision uint64 `cbor:"1,keyasint"`
	// Reading is the newest completed read of the table from the store. In a report, it is
	// a read by the sender; in a digest, by any entry VM that reports to the sender. It is
	// nil if there was no recent read.
	Reading *Reading `cbor:"2,keyasint,omitempty"`
	// Failing is true when the sender's last read of the table from the store failed.
	Failing bool `cbor:"3,keyasint,omitempty"`
	// Era is the store's era to which Revision belongs.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Version returns the version of the sender's copy.
func (t TableState) Version() table.Version {
	return table.Version{Era: t.Era, Revision: t.Revision}
}

// Reading describes a completed read of a table from the store.
type Reading struct {
	// Revision is the revision of the table that was read.
	Revision uint64 `cbor:"1,keyasint"`
	// AgeMillis is the age of the read, in milliseconds, when the message was sent.
	AgeMillis int64 `cbor:"2,keyasint"`
	// Marks name the digests that the reader had received last before it began the read, one
	// for each region.
	Marks []proof.Mark `cbor:"3,keyasint,omitempty"`
	// Shown is the revision up to which the reader's copy shows all changes. 0 without marks.
	Shown uint64 `cbor:"4,keyasint,omitempty"`
	// Era is the store's era to which Revision and Shown belong.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// Version returns the version of the table that was read.
func (r Reading) Version() table.Version {
	return table.Version{Era: r.Era, Revision: r.Revision}
}

// Bus exchanges messages and copies of tables with the other entry VMs.
type Bus struct {
	ip  netip.Addr
	udp *net.UDPConn
	tcp net.Listener
	// peerTablePort is the TCP port at which every entry VM serves copies of tables.
	peerTablePort uint16
	receive       func(Message, netip.AddrPort)
	// malformed is called for datagrams that cannot be decoded.
	malformed     func(netip.AddrPort, error)
	encodeChanges func(name string, since table.Version) ([]byte, bool)

	// copySlots holds an element for each copy that is being sent. The capacity limits the
	// copies that share the VM's link: with too many on a slow link, every transfer would
	// take longer than copyTimeout.
	copySlots chan struct{}

	mu sync.Mutex
	// entryVMs holds the addresses from which messages and requests are accepted.
	entryVMs map[netip.Addr]struct{}
}

// Handlers are the functions that a bus calls. Receive and Malformed are called one at a
// time, EncodeChanges concurrently.
type Handlers struct {
	// Receive gets a message from another entry VM and the source address.
	Receive func(Message, netip.AddrPort)
	// Malformed gets the source address of a datagram that cannot be decoded, and the error.
	Malformed func(netip.AddrPort, error)
	// EncodeChanges returns the changes of the named table since the version given by
	// since, encoded as CBOR. It returns false when there is no copy of the table.
	EncodeChanges func(name string, since table.Version) ([]byte, bool)
}

// Listen opens a bus at an address. datagramPort is the UDP port for messages and tablePort
// the TCP port for copies of tables; all entry VMs must use the same ports. The bus sends
// at most copySlots copies at once. Listen fails when a port cannot be opened.
func Listen(ctx context.Context, ip netip.Addr, datagramPort, tablePort uint16, copySlots int, h Handlers) (*Bus, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for messages: %w", err)
	}
	var config net.ListenConfig
	tcp, err := config.Listen(ctx, "tcp4", netip.AddrPortFrom(ip, tablePort).String())
	if err != nil {
		_ = udp.Close()

		return nil, fmt.Errorf("listen for copy requests: %w", err)
	}

	return &Bus{ip: ip, udp: udp, tcp: tcp, peerTablePort: tablePort, receive: h.Receive, malformed: h.Malformed, encodeChanges: h.EncodeChanges, entryVMs: map[netip.Addr]struct{}{}, copySlots: make(chan struct{}, copySlots)}, nil
}

// SetEntryVMs replaces the addresses from which messages and requests are accepted.
func (b *Bus) SetEntryVMs(ips []netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryVMs = make(map[netip.Addr]struct{}, len(ips))
	for _, ip := range ips {
		b.entryVMs[ip] = struct{}{}
	}
}

func (b *Bus) isEntryVM(ip netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.entryVMs[ip.Unmap()]

	return ok
}

// Run handles messages and requests for copies until ctx ends. Then it closes the bus.
func (b *Bus) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	go b.serveTables(ctx)
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := b.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The kernel also reports here that the port of another entry VM is closed. That
			// VM's missing reports show the same, so the error is ignored.
			continue
		}
		if !b.isEntryVM(from.Addr()) {
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

// Close closes the ports.
func (b *Bus) Close() {
	_ = b.udp.Close()
	_ = b.tcp.Close()
}

// Send sends a message to entry VMs. A lost message is not sent again, because the next
// message replaces it. Send tries all addresses and returns the last error.
func (b *Bus) Send(m Message, to []netip.AddrPort) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	var lastErr error
	for _, address := range to {
		if _, err := b.udp.WriteToUDPAddrPort(data, address); err != nil {
			lastErr = fmt.Errorf("send message to %s: %w", address, err)
		}
	}

	return lastErr
}

// tableRequest asks for the changes of a table since a revision of an era.
type tableRequest struct {
	Table string `cbor:"1,keyasint"`
	Since uint64 `cbor:"2,keyasint"`
	Era   uint64 `cbor:"3,keyasint,omitempty"`
}

// serveTables accepts connections until the bus is closed.
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

// serveTable sends one copy, or closes the connection without sending a copy.
func (b *Bus) serveTable(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil || !b.isEntryVM(from.Addr()) {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(copyTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	var r tableRequest
	if cbor.NewDecoder(conn).Decode(&r) != nil {
		return
	}
	select {
	case b.copySlots <- struct{}{}:
		defer func() { <-b.copySlots }()
	default:
		// The requester tries again, maybe at another entry VM that has received a copy in
		// the meantime.
		return
	}
	if data, ok := b.encodeChanges(r.Table, table.Version{Era: r.Era, Revision: r.Since}); ok {
		_, _ = conn.Write(s2.Encode(nil, data))
	}
}

// Fetch requests the changes of a table since a version from the entry VM at an address,
// and decodes the changes into v. Connecting and the transfer take at most copyTimeout
// each; ctx cancels only the connecting.
func (b *Bus) Fetch(ctx context.Context, ip netip.Addr, name string, since table.Version, v any) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	// Other entry VMs accept connections only from the listed addresses of entry VMs, so the
	// connection is made from this VM's listed address.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: b.ip.AsSlice()}}
	conn, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(ip.Unmap(), b.peerTablePort).String())
	if err != nil {
		return fmt.Errorf("connect to entry VM %s: %w", ip, err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(copyTimeout)) //nolint:forbidigo // Deadlines of connections are wall-clock times.
	if err := cbor.NewEncoder(conn).Encode(tableRequest{Table: name, Since: since.Revision, Era: since.Era}); err != nil {
		return fmt.Errorf("ask entry VM %s for %s: %w", ip, name, err)
	}
	compressed, err := io.ReadAll(io.LimitReader(conn, maxCopySize))
	if err != nil {
		return fmt.Errorf("read %s from entry VM %s: %w", name, ip, err)
	}
	if len(compressed) == 0 {
		return ErrBusy
	}
	if n, err := s2.DecodedLen(compressed); err != nil || n > maxDecodedCopySize {
		return fmt.Errorf("%s of entry VM %s has %d bytes: %w", name, ip, n, errCopyTooLong)
	}
	data, err := s2.Decode(nil, compressed)
	if err != nil {
		return fmt.Errorf("decompress %s of entry VM %s: %w", name, ip, err)
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s of entry VM %s: %w", name, ip, err)
	}

	return nil
}
