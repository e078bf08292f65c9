package event

import "github.com/greengagetally/greengagetally/internal/config/model"

// LinkBytesRequested asks to send bytes of a request or response to another region.
type LinkBytesRequested struct {
	At

	// Stream identifies the waiting body within the process.
	Stream uint64
	Link   model.LinkID
	Class  model.Class
	// Service is the service that the bytes belong to.
	Service string
	Bytes   int64
}

// LinkStreamEnded removes a waiting body.
type LinkStreamEnded struct {
	At

	Stream uint64
	Link   model.LinkID
}

// GrantLinkBytes lets a stream send bytes.
type GrantLinkBytes struct {
	effect

	Stream uint64
	Bytes  int64
}
