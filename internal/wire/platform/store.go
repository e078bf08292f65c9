// Package platform speaks to the platform's key-value service and list of VMs.
package platform

import (
	"context"
	"errors"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Errors of store calls. Any other error of a write means that it may have
// taken effect.
var (
	ErrConflict       = errors.New("the version differs")
	ErrRefused        = errors.New("the store refused the call without effect")
	ErrUnavailable    = errors.New("the store does not answer")
	ErrOutcomeUnknown = errors.New("not known whether the write took effect")
)

// Document is a value of the store; Version 0 means that the key does not exist.
type Document struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the key-value service as the rest of the system uses it.
type Store interface {
	// Read returns the document; a missing key is not an error.
	Read(ctx context.Context, key string) (Document, error)
	// Watch returns once the document's version is greater than after, or the
	// unchanged document when the wait of the service ends.
	Watch(ctx context.Context, key string, after uint64) (Document, error)
	// Write writes by compare-and-swap and returns the new version; expected 0
	// creates the key. Errors are ErrConflict, ErrRefused and ErrUnknown.
	Write(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Delete removes the key by compare-and-swap; errors are those of Write.
	Delete(ctx context.Context, key string, expected uint64) error
	// VMs returns the list of VMs once its version is greater than after, or
	// the unchanged list when the wait of the service ends.
	VMs(ctx context.Context, after uint64) (version uint64, vms []event.VM, err error)
}
