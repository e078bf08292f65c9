package event

// VM is one VM of the platform's list.
type VM struct {
	Name        string
	Zone        string
	PeerAddress string
	Leaving     bool
}

// VMsListed delivers the platform's lagging list of VMs.
type VMsListed struct {
	At

	Version uint64
	VMs     []VM
}

// StoreCallEnded tells whether the store answered a call.
type StoreCallEnded struct {
	At

	OK bool
}

// DocumentRead delivers a value of the store; Version 0 means that the key
// does not exist.
type DocumentRead struct {
	At

	Key     string
	Version uint64
	Value   []byte
	// Failed is true when the store did not answer.
	Failed bool
}

// WriteResult is how a compare-and-swap ended.
type WriteResult int

// Results of compare-and-swap.
const (
	// WriteDone means that the write is known to have taken effect.
	WriteDone WriteResult = iota
	// WriteConflict means that the version differed and nothing was written.
	WriteConflict
	// WriteUnknown means that the write may have taken effect.
	WriteUnknown
	// WriteRefused means that the store refused the call without effect.
	WriteRefused
)

// DocumentWritten tells how a WriteDocument ended.
type DocumentWritten struct {
	At

	Key     string
	Nonce   uint64
	Result  WriteResult
	Version uint64
}

// ReadDocument reads a key of the store once.
type ReadDocument struct {
	effect

	Key string
}

// WriteDocument writes a key by compare-and-swap; expected version 0 creates it.
type WriteDocument struct {
	effect

	Key             string
	ExpectedVersion uint64
	Value           []byte
	// Nonce identifies the write in the value, so that a lost answer can be
	// decided by reading back.
	Nonce uint64
}
