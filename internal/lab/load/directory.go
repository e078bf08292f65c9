package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
)

// avoidDuration is the least time for which an entry VM that failed is listed last. After
// that time, the entry VM is listed last only until any entry VM fails again.
const avoidDuration = 2 * time.Second

// cacheEntry is the answer to a lookup and the end of its time to live.
type cacheEntry struct {
	answer    *entryapi.LookupAnswer
	expiresAt time.Time
}

// directory looks up entry VMs as callers do: it caches answers for their time to
// live and remembers which entry VMs failed.
type directory struct {
	mu              sync.Mutex
	http            *http.Client
	lookupAddresses []string
	// cache is keyed by service and caller address.
	cache map[string]cacheEntry
	// failedAt is the time of the last failure by request address.
	failedAt map[string]time.Time
}

func newDirectory(lookupAddresses []string, client *http.Client) *directory {
	return &directory{
		http: client, lookupAddresses: slices.Clone(lookupAddresses),
		cache: map[string]cacheEntry{}, failedAt: map[string]time.Time{},
	}
}

// entries looks up a service for a caller, first in the cache. It returns the entry VMs,
// those that failed recently last, and the idempotency key that the lookup answer
// contains. If no entry VM answers, it uses an expired answer, or returns an error if
// there is none.
func (d *directory) entries(ctx context.Context, service, callerAddress string) ([]entryapi.EntryAddress, string, error) {
	key := service + " " + callerAddress
	d.mu.Lock()
	c, ok := d.cache[key]
	d.mu.Unlock()
	if !ok || time.Now().After(c.expiresAt) {
		answer, err := d.ask(ctx, service, callerAddress)
		if err != nil && !ok {
			return nil, "", err
		}
		if err == nil {
			c = cacheEntry{answer, time.Now().Add(time.Duration(answer.TTLMinusSeconds) * time.Second)}
			d.store(key, c)
		}
	}

	return d.sortFailedLast(c.answer.Entries), c.answer.IdempotencyMinusKey, nil
}

// store caches an answer and adds the lookup addresses that the answer names.
func (d *directory) store(key string, c cacheEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.cache[key] = c
	for _, e := range c.answer.Entries {
		if !slices.Contains(d.lookupAddresses, e.LookupMinusAddress) {
			d.lookupAddresses = append(d.lookupAddresses, e.LookupMinusAddress)
		}
	}
}

// sortFailedLast returns the entry VMs with those that failed recently at the end; the
// entry VM with the latest failure is the last.
func (d *directory) sortFailedLast(entries []entryapi.EntryAddress) []entryapi.EntryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()

	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b entryapi.EntryAddress) int {
		return d.failedAt[a.RequestMinusAddress].Compare(d.failedAt[b.RequestMinusAddress])
	})

	return out
}

// markFailed records a failure of the entry VM with the given request address. It expires
// the cached answer for the service and caller address, so that the next request looks up
// again.
func (d *directory) markFailed(service, callerAddress, requestAddress string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.failedAt[requestAddress] = time.Now()
	for e, failureTime := range d.failedAt {
		if time.Since(failureTime) > avoidDuration {
			delete(d.failedAt, e)
		}
	}
	if c, ok := d.cache[service+" "+callerAddress]; ok {
		c.expiresAt = time.Time{}
		d.cache[service+" "+callerAddress] = c
	}
}

// ask sends the lookup to the known lookup addresses in turn until an address answers
// with entry VMs.
func (d *directory) ask(ctx context.Context, service, callerAddress string) (*entryapi.LookupAnswer, error) {
	d.mu.Lock()
	lookupAddresses := slices.Clone(d.lookupAddresses)
	d.mu.Unlock()
	errs := []error{errors.New("no entry VM answered the lookup")}
	for i, lookupAddress := range lookupAddresses {
		answer, err := d.askEntry(ctx, lookupAddress, service, callerAddress)
		if err == nil && len(answer.Entries) > 0 {
			if i > 0 {
				d.prefer(lookupAddress)
			}

			return answer, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", lookupAddress, err))
	}

	return nil, errors.Join(errs...)
}

// prefer moves a lookup address that answered to the front of the list.
func (d *directory) prefer(lookupAddress string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	i := slices.Index(d.lookupAddresses, lookupAddress)
	d.lookupAddresses = append([]string{lookupAddress}, slices.Delete(d.lookupAddresses, i, i+1)...)
}

// askEntry sends the lookup to one address, with a timeout of 1 s.
func (d *directory) askEntry(ctx context.Context, lookupAddress, service, callerAddress string) (*entryapi.LookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client, err := entryapi.NewClient("http://"+lookupAddress, entryapi.WithClient(d.http))
	if err != nil {
		return nil, fmt.Errorf("lookup client: %w", err)
	}
	res, err := client.Lookup(ctx, entryapi.LookupParams{
		Service: service, Address: entryapi.OptString{Value: callerAddress, Set: callerAddress != ""},
	})
	if err != nil {
		return nil, fmt.Errorf("lookup: %w", err)
	}
	answer, ok := res.(*entryapi.LookupAnswer)
	if !ok {
		return nil, fmt.Errorf("lookup refused: %v", res)
	}

	return answer, nil
}
