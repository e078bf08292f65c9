// Package platform is a stand-in of the platform: its key-value service, its
// lagging list of VMs, and faults of both that the laboratory controls.
package platform

import (
	"context"
	"sync"
	"time"
)

// MaxValueBytes is the size of the largest value in bytes.
const MaxValueBytes = 1 << 20

type record struct {
	version uint64
	value   []byte
	// deleted keeps the version of a removed key, so that versions increase.
	deleted bool
	// older is the value before the latest write, for outdated answers.
	older        []byte
	olderVersion uint64
	lease        string
	changed      chan struct{}
}

type lease struct {
	version uint64
	expires time.Time
}

// store holds values and leases in memory.
type store struct {
	mu      sync.Mutex
	records map[string]*record
	leases  map[string]lease
}

func newStore() *store {
	return &store{records: map[string]*record{}, leases: map[string]lease{}}
}

// get returns the record of key, which it makes when there is none.
func (s *store) get(key string) *record {
	r, ok := s.records[key]
	if !ok {
		r = &record{deleted: true, changed: make(chan struct{})}
		s.records[key] = r
	}

	return r
}

// read returns the version and value; ok is false when the key does not exist.
func (s *store) read(key string, older bool) (version uint64, value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	r := s.get(key)
	if older && r.olderVersion > 0 {
		return r.olderVersion, r.older, true
	}

	return r.version, r.value, !r.deleted
}

// wait returns once the version of key is greater than after, or ctx ends.
func (s *store) wait(ctx context.Context, key string, after uint64) {
	for {
		s.mu.Lock()
		r := s.get(key)
		version, changed := r.version, r.changed
		s.mu.Unlock()
		if version > after {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// write changes or deletes (value nil) a key by compare-and-swap and returns
// the new version, or the present version and false.
func (s *store) write(key string, expected uint64, value []byte, underLease string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	r := s.get(key)
	present := r.version
	if r.deleted {
		present = 0
	}
	if present != expected || (value == nil && r.deleted) {
		return r.version, false
	}
	if underLease != "" && s.leases[underLease].expires.Before(time.Now()) {
		return r.version, false
	}
	r.older, r.olderVersion = r.value, present
	r.version++
	r.value, r.deleted, r.lease = value, value == nil, underLease
	close(r.changed)
	r.changed = make(chan struct{})

	return r.version, true
}

// renew creates or prolongs a lease.
func (s *store) renew(name string, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	l := s.leases[name]
	l.version++
	l.expires = time.Now().Add(ttl)
	s.leases[name] = l

	return l.version
}

// lapse deletes the keys of leases that have expired.
func (s *store) lapse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for name, l := range s.leases {
		if l.expires.After(now) {
			continue
		}
		delete(s.leases, name)
		for _, r := range s.records {
			if r.lease != name || r.deleted {
				continue
			}
			r.version++
			r.value, r.deleted = nil, true
			close(r.changed)
			r.changed = make(chan struct{})
		}
	}
}
