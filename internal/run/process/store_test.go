package process

import (
	"context"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// unavailableStore is a store whose calls all fail.
type unavailableStore struct{}

func (unavailableStore) Read(context.Context, string) (platform.Document, error) {
	return platform.Document{}, platform.ErrUnavailable
}

func (unavailableStore) Watch(ctx context.Context, _ string, _ uint64) (platform.Document, error) {
	<-ctx.Done()

	return platform.Document{}, platform.ErrUnavailable
}

func (unavailableStore) Write(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, platform.ErrOutcomeUnknown
}

func (unavailableStore) Delete(context.Context, string, uint64) error {
	return platform.ErrOutcomeUnknown
}

func (unavailableStore) VMs(ctx context.Context, _ uint64) (uint64, []event.VM, error) {
	<-ctx.Done()

	return 0, nil, platform.ErrUnavailable
}
