// Package platform reads and writes the platform's key-value store and reads its
// list of VMs, over HTTP; `greengagetally entry` uses it.
package platform

import (
	"context"
	"errors"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Errors of calls to the store. After any other error of a write, the write may
// have taken effect.
var (
	// ErrConflict means that the key has another version than expected; the write
	// had no effect.
	ErrConflict = errors.New("the key has another version than expected")
	// ErrRefused means that the store refused a write or could not be connected to;
	// the write had no effect.
	ErrRefused = errors.New("the store refused the call without effect")
	// ErrUnavailable means that a read failed.
	ErrUnavailable = errors.New("the store does not answer")
	// ErrOutcomeUnknown means that the write may have taken effect.
	ErrOutcomeUnknown = errors.New("not known whether the write took effect")
)

// Document is a key of the store with its value. Version 0 means that the key does
// not exist.
type Document struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the platform's key-value store and list of VMs. Reads return errors that
// wrap ErrUnavailable.
type Store interface {
	// Read returns the document of the key; a missing key is not an error.
	Read(ctx context.Context, key string) (Document, error)
	// Watch waits until the document has a version greater than afterVersion, and returns
	// the document. If the service ends the wait before that, Watch returns the unchanged
	// document.
	Watch(ctx context.Context, key string, afterVersion uint64) (Document, error)
	// Write sets the value by compare-and-swap: only if the key has expectedVersion. It
	// returns the new version. If expectedVersion is 0, Write creates the key. Errors wrap
	// ErrConflict, ErrRefused or ErrOutcomeUnknown. With ErrConflict, Write returns the
	// version that the key has.
	Write(ctx context.Context, key string, expectedVersion uint64, value []byte) (uint64, error)
	// Delete removes the key by compare-and-swap: only if the key has expectedVersion. It
	// returns the same errors as Write.
	Delete(ctx context.Context, key string, expectedVersion uint64) error
	// VMs waits until the list of VMs has a version greater than afterVersion, and returns
	// the list. If the service ends the wait before that, VMs returns the unchanged list.
	// If afterVersion is 0, VMs does not wait.
	VMs(ctx context.Context, afterVersion uint64) (version uint64, vms []event.VM, err error)
}
