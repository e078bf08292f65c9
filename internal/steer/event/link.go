package event

import "github.com/greengagetally/greengagetally/internal/config/model"

// LinkBytesRequested asks for permission to send bytes of a request or response
// to another region; one or more GrantLinkBytes answer it.
type LinkBytesRequested struct {
	At

	// Stream is the number of the body or header that waits, unique within the process.
	Stream uint64
	Link   model.LinkID
	Class  model.Class
	// Service is the name of the service that the bytes belong to.
	Service string
	Bytes   int64
}

// LinkStreamEnded reports that a stream sends no more bytes.
type LinkStreamEnded struct {
	At

	Stream uint64
	Link   model.LinkID
}

// GrantLinkBytes lets a stream send a number of bytes.
type GrantLinkBytes struct {
	effect

	Stream uint64
	Bytes  int64
}
