package event

// VM is one VM of the platform's list: an entry VM or a backend server.
type VM struct {
	Name        string
	Zone        string
	PeerAddress string
	Leaving     bool
}

// VMsListed delivers the platform's list of VMs, which may be out of date.
type VMsListed struct {
	At

	Version uint64
	VMs     []VM
}

// StoreCallEnded reports whether the platform's store answered a call.
type StoreCallEnded struct {
	At

	OK bool
}

// DocumentRead delivers the result of a ReadDocument; Version 0 means that the key
// does not exist.
type DocumentRead struct {
	At

	Key     string
	Version uint64
	Value   []byte
	// Failed is true when the key could not be read.
	Failed bool
}

// WriteResult is the result of a compare-and-swap in the store.
type WriteResult int

// Results of a compare-and-swap.
const (
	// WriteDone means that the write is known to have taken effect.
	WriteDone WriteResult = iota
	// WriteConflict means that the version differed and nothing was written.
	WriteConflict
	// WriteUnknown means that the write may have taken effect.
	WriteUnknown
	// WriteRefused means that the store refused the call or could not be connected
	// to, and nothing was written.
	WriteRefused
)

// DocumentWritten reports how a WriteDocument ended; Version is the new version of
// the key after WriteDone.
type DocumentWritten struct {
	At

	Key     string
	Nonce   uint64
	Result  WriteResult
	Version uint64
}

// ReadDocument reads a key of the store once; DocumentRead answers it.
type ReadDocument struct {
	effect

	Key string
}

// WriteDocument writes a key of the store by compare-and-swap. ExpectedVersion 0 means
// that the key must not exist yet. DocumentWritten answers it.
type WriteDocument struct {
	effect

	Key             string
	ExpectedVersion uint64
	Value           []byte
	// Nonce is a number that Value contains too. If the response is lost, the nonce in
	// the stored value shows whether the write took effect.
	Nonce uint64
}
