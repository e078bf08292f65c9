// Package platform simulates the platform on which entry VMs run, for `greengagetally-lab
// platform` and the integration tests. It has the platform's key-value service and its
// list of VMs, which lags behind changes, and injects faults into both.
package platform

import (
	"context"
	"sync"
	"time"
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// record is the state of one key.
type record struct {
	version uint64
	value   []byte
	// deleted marks a key that does not exist. Its record stays, so that the versions
	// of a key that is written again keep increasing.
	deleted bool
	// previous and previousVersion are the value and version before the latest write, for
	// stale reads. The version is 0 when the key did not exist then.
	previous        []byte
	previousVersion uint64
	// lease is the name of the lease with which the key expires, or empty.
	lease string
	// changed is closed and replaced when the version changes.
	changed chan struct{}
}

// lease is the state of one lease, which expires at expiresAt unless it is renewed.
type lease struct {
	version   uint64
	expiresAt time.Time
}

// store is a key-value store with leases, in memory.
type store struct {
	mu      sync.Mutex
	records map[string]*record
	leases  map[string]lease
}

func newStore() *store {
	return &store{records: map[string]*record{}, leases: map[string]lease{}}
}

// get returns the record of a key and creates the record if there is none.
func (s *store) get(key string) *record {
	r, ok := s.records[key]
	if !ok {
		r = &record{deleted: true, changed: make(chan struct{})}
		s.records[key] = r
	}

	return r
}

// read returns the version and value of a key; ok is false when the key does not exist.
// If previous is true and the key existed before the latest write, read returns the
// version and value from before that write.
func (s *store) read(key string, previous bool) (version uint64, value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	r := s.get(key)
	if previous && r.previousVersion > 0 {
		return r.previousVersion, r.previous, true
	}

	return r.version, r.value, !r.deleted
}

// wait blocks until the version of a key is greater than lastVersion, or until ctx ends.
func (s *store) wait(ctx context.Context, key string, lastVersion uint64) {
	for {
		s.mu.Lock()
		r := s.get(key)
		version, changed := r.version, r.changed
		s.mu.Unlock()
		if version > lastVersion {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// write sets a key by compare-and-swap, or deletes the key when value is nil. It returns
// the new version and true. It changes nothing and returns the current version and false
// in three cases: expectedVersion is not the current version (0 for a key that does not
// exist), there is nothing to delete, or the lease has expired or never existed. A
// leaseName of "" means no lease.
func (s *store) write(key string, expectedVersion uint64, value []byte, leaseName string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	r := s.get(key)
	current := r.version
	if r.deleted {
		current = 0
	}
	if current != expectedVersion || (value == nil && r.deleted) {
		return r.version, false
	}
	if leaseName != "" && s.leases[leaseName].expiresAt.Before(time.Now()) {
		return r.version, false
	}
	r.previous, r.previousVersion = r.value, current
	r.version++
	r.value, r.deleted, r.lease = value, value == nil, leaseName
	close(r.changed)
	r.changed = make(chan struct{})

	return r.version, true
}

// renew creates or extends a lease and returns its new version.
func (s *store) renew(name string, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	l := s.leases[name]
	l.version++
	l.expiresAt = time.Now().Add(ttl)
	s.leases[name] = l

	return l.version
}

// expireLeases removes the leases that have expired, with their keys.
func (s *store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for name, l := range s.leases {
		if l.expiresAt.After(now) {
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
