package event

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
)

// PeerMessage delivers one control message of another entry VM.
type PeerMessage struct {
	At

	From    Member
	Message *peerpb.Message
}

// PeerContact reports whether another entry VM, the peer, can be reached. For each
// envelope (a packet of control messages) that arrives from the peer, there is a
// PeerContact with Reachable true. For each SendToPeer there is one too; its Reachable
// tells whether the peer confirmed the messages with a receipt.
type PeerContact struct {
	At

	Peer      Member
	Reachable bool
	// ConfigVersion is the version of the peer's configuration, as the envelope or
	// the receipt says, or 0 if the peer was not reached or has no configuration.
	ConfigVersion uint64
	// TableDigests are the digests of the peer's table of entry VMs. They are empty if
	// the envelope has none, and for the result of a SendToPeer.
	TableDigests []uint32
}

// SendToPeer sends control messages to another entry VM; PeerContact answers it.
// Messages must not be changed after they are sent.
type SendToPeer struct {
	effect

	To       Member
	Address  string
	Messages []*peerpb.Message
	// TableDigests are the digests of the sender's table of entry VMs. The peer
	// compares them with those of its own table. They are empty when nothing is to be
	// compared.
	TableDigests []uint32
}

// EntryView is what the other entry VMs know of an entry VM.
type EntryView struct {
	Member Member
	Region string
	Zone   string
	Site   string
	// The addresses have the form "host:port". PeerAddress is for messages of peers,
	// CarryAddress for requests that peers send to this entry VM to be served,
	// RequestAddress and LookupAddress for requests and lookups of callers.
	PeerAddress    string
	CarryAddress   string
	RequestAddress string
	LookupAddress  string
	State          peerpb.EntryState
	ConfigVersion  uint64
	// LastHeard is when the entry was last known to be alive.
	LastHeard time.Duration
}

// PublishEntries replaces the list of known entry VMs that the runtime uses, for
// example to answer lookups and to find the address for a CarryToEntry.
type PublishEntries struct {
	effect

	Entries []EntryView
	// Stale is true when this entry has heard from neither the store nor an entry of
	// another availability zone for more than 10 s.
	Stale bool
}
