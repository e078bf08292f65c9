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

// PeerContact reports that an envelope came from another entry VM, or whether a
// SendToPeer reached it, with what the envelope or receipt says about the peer.
type PeerContact struct {
	At

	Peer          Member
	Reachable     bool
	ConfigVersion uint64
	// TableDigests are the digests of the peer's table of entry VMs, or empty on a
	// receipt.
	TableDigests []uint32
}

// SendToPeer sends control messages to another entry VM; PeerContact answers it.
// Messages must not be changed after they are sent.
type SendToPeer struct {
	effect

	To       Member
	Address  string
	Messages []*peerpb.Message
	// TableDigests are the digests of the sender's table of entry VMs, by which the peer
	// notices a difference; they are empty when nothing is to be compared.
	TableDigests []uint32
}

// EntryView is what the other entry VMs know of an entry VM.
type EntryView struct {
	Member Member
	Region string
	Zone   string
	Site   string
	// Addresses are "host:port": for messages of peers, for requests that peers
	// carry here, and for requests and lookups of callers.
	PeerAddress    string
	CarryAddress   string
	RequestAddress string
	LookupAddress  string
	State          peerpb.EntryState
	ConfigVersion  uint64
	// LastHeard is when the entry was last known to be alive.
	LastHeard time.Duration
}

// PublishEntries replaces the list of known entry VMs that lookups and the
// carrying of requests use.
type PublishEntries struct {
	effect

	Entries []EntryView
	// Stale is true when this entry has heard from neither the store nor an entry of
	// another availability zone for more than 10 s.
	Stale bool
}
