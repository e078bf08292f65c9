package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/platformapi"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

const (
	// callTimeout bounds a call that does not wait for a change. The store usually
	// answers such a call in milliseconds.
	callTimeout = 3 * time.Second
	// watchSeconds is how long the service may wait for a change before it answers a
	// watch. A longer wait takes fewer calls, but a broken connection may be noticed
	// only after watchTimeout.
	watchSeconds = 60
	// watchTimeout bounds a call that waits for a change. It leaves the service 5 s to
	// answer after the wait.
	watchTimeout = (watchSeconds + 5) * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Client implements Store by calls to the platform's HTTP service.
type Client struct {
	api  *platformapi.Client
	http wirehttp.Transport
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the service at url; it fails when url is malformed.
func NewClient(url string) (*Client, error) {
	transport := wirehttp.Transport{Transport: &http.Transport{
		DialContext:         wirehttp.Dial(new(net.Dialer).DialContext),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	api, err := platformapi.NewClient(url, platformapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}

	return &Client{api: api, http: transport}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, key string) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.read(ctx, platformapi.ReadKeyParams{Key: key})
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, afterVersion uint64) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	return c.read(ctx, platformapi.ReadKeyParams{
		Key:         key,
		WaitVersion: platformapi.NewOptInt64(int64(afterVersion)),
		WaitSeconds: platformapi.NewOptInt(watchSeconds),
	})
}

// read returns the document of a key; params may ask the service to wait.
func (c *Client) read(ctx context.Context, params platformapi.ReadKeyParams) (Document, error) {
	res, err := c.api.ReadKey(ctx, params)
	if err != nil {
		return Document{}, readError(err)
	}
	switch r := res.(type) {
	case *platformapi.Entry:
		return Document{Key: params.Key, Version: uint64(r.Version), Value: r.Value}, nil
	case *platformapi.Missing:
		return Document{Key: params.Key}, nil
	default:
		return Document{}, fmt.Errorf("read key: response %T: %w", res, ErrUnavailable)
	}
}

// Write implements Store.
func (c *Client) Write(ctx context.Context, key string, expectedVersion uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.api.WriteKey(ctx, &platformapi.Value{Value: value}, platformapi.WriteKeyParams{
		Key: key, ExpectedVersion: int64(expectedVersion),
	})
	if err != nil {
		return 0, writeError(err)
	}
	switch r := res.(type) {
	case *platformapi.Written:
		return uint64(r.Version), nil
	case *platformapi.Conflict:
		return uint64(r.Version), ErrConflict
	default:
		return 0, fmt.Errorf("write key: response %T: %w", res, ErrOutcomeUnknown)
	}
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.api.DeleteKey(ctx, platformapi.DeleteKeyParams{Key: key, ExpectedVersion: int64(expectedVersion)})
	if err != nil {
		return writeError(err)
	}
	switch res.(type) {
	case *platformapi.Written:
		return nil
	case *platformapi.Conflict:
		return ErrConflict
	default:
		return fmt.Errorf("delete key: response %T: %w", res, ErrOutcomeUnknown)
	}
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context, afterVersion uint64) (uint64, []event.VM, error) {
	timeout := watchTimeout
	params := platformapi.ListVMsParams{
		WaitVersion: platformapi.NewOptInt64(int64(afterVersion)),
		WaitSeconds: platformapi.NewOptInt(watchSeconds),
	}
	if afterVersion == 0 {
		timeout, params = callTimeout, platformapi.ListVMsParams{}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := c.api.ListVMs(ctx, params)
	if err != nil {
		return 0, nil, readError(err)
	}
	vms := make([]event.VM, 0, len(list.Vms))
	for _, vm := range list.Vms {
		vms = append(vms, event.VM{
			Name: vm.Name, Zone: vm.Zone, PeerAddress: vm.PeerMinusAddress.Or(""),
			Leaving: vm.State == platformapi.VMStateLeaving,
		})
	}

	return uint64(list.Version), vms, nil
}

// readError wraps the error of a read in ErrUnavailable. A read has no effect, so its
// errors need not be told apart.
func readError(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// writeError wraps the error of a write: ErrRefused when nothing was written, and
// ErrOutcomeUnknown in all other cases. By the service's contract only status 429
// promises that nothing was written. Nothing was written either when no connection
// could be opened.
func writeError(err error) error {
	var failure *platformapi.FailureStatusCode
	if errors.As(err, &failure) && failure.StatusCode == http.StatusTooManyRequests {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}

	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}

	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
