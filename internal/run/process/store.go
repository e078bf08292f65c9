package process

import (
	"context"
	"errors"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// meteredStore counts the calls to the platform's store and tells the reducer
// whether the store answers.
type meteredStore struct {
	store   platform.Store
	process *Process
}

var _ platform.Store = meteredStore{}

// Read implements platform.Store.
func (s meteredStore) Read(ctx context.Context, key string) (platform.Document, error) {
	doc, err := s.store.Read(ctx, key)
	s.recordCall(ctx, "read", err)

	return doc, err
}

// Watch implements platform.Store.
func (s meteredStore) Watch(ctx context.Context, key string, afterVersion uint64) (platform.Document, error) {
	doc, err := s.store.Watch(ctx, key, afterVersion)
	s.recordCall(ctx, "watch", err)

	return doc, err
}

// Write implements platform.Store.
func (s meteredStore) Write(ctx context.Context, key string, expectedVersion uint64, value []byte) (uint64, error) {
	version, err := s.store.Write(ctx, key, expectedVersion, value)
	s.recordCall(ctx, "write", err)

	return version, err
}

// Delete implements platform.Store.
func (s meteredStore) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	err := s.store.Delete(ctx, key, expectedVersion)
	s.recordCall(ctx, "delete", err)

	return err
}

// VMs implements platform.Store.
func (s meteredStore) VMs(ctx context.Context, afterVersion uint64) (uint64, []event.VM, error) {
	version, vms, err := s.store.VMs(ctx, afterVersion)
	s.recordCall(ctx, "vms", err)

	return version, vms, err
}

func (s meteredStore) recordCall(ctx context.Context, operation string, err error) {
	failed := err != nil && !errors.Is(err, platform.ErrConflict)
	s.process.metrics.StoreCall(operation, failed)
	if failed && ctx.Err() != nil {
		// The call failed because ctx ended, which says nothing about the store.
		return
	}
	s.process.Apply(event.StoreCallEnded{At: s.process.eventTime(), OK: !failed})
}
