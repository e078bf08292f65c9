package world

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a range.
const pageItems = 500

// item is an item of the store as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"create_rev"`
	Lease     uint64 `json:"lease"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the platform's store: linearizable, and it loses nothing.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	nextID   uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, items: map[string]item{}, leases: map[uint64]lease{}, nextID: 77000}
}

// Put writes a key as the operator, a backend server or another writer does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// Value returns the value of a key.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]

	return it.Value, ok
}

// set writes an item at the revision. Callers hold s.mu.
func (s *Store) set(key string, value []byte, leaseID uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.revision, CreateRev: created, Lease: leaseID}
}

// expire removes what has lapsed. Callers hold s.mu.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. Callers hold s.mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	call := r.Method + " " + r.URL.Path
	switch {
	case call == "GET "+callKey:
		if it, ok := s.items[r.URL.Query().Get("key")]; ok {
			reply(w, http.StatusOK, struct {
				item
				AsOf uint64 `json:"as_of"`
			}{it, s.revision})
		} else {
			reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		}
	case call == "GET "+callRange:
		s.serveRange(w, r)
	case call == "POST "+callTxn:
		s.serveTxn(w, r)
	case call == "POST "+callLease:
		var body map[string]float64
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, http.StatusBadRequest, nil)

			return
		}
		ttl := body[`ttl_s`+"_time"]
		s.nextID++
		d := time.Duration(ttl * float64(time.Second))
		s.leases[s.nextID] = lease{ttl: d, end: time.Now().Add(d)}
		reply(w, http.StatusOK, map[string]any{"lease": s.nextID, `ttl_s` + "_time": ttl})
	case strings.HasPrefix(call, "POST "+callKeep):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, callKeep), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})

			return
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
		reply(w, http.StatusOK, map[string]any{`ttl_s` + "_time": l.ttl.Seconds()})
	case strings.HasPrefix(call, "DELETE "+callLeaseEnd):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, callLeaseEnd), 10, 64)
		if _, ok := s.leases[id]; !ok {
			reply(w, http.StatusNotFound, map[string]any{})

			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get(`path`+"_prefix"), r.URL.Query().Get("after")
	var out struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		AsOf  uint64 `json:"as_of"`
	}
	out.Items, out.AsOf = []item{}, s.revision
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true

			break
		}
		out.Items = append(out.Items, s.items[key])
	}
	reply(w, http.StatusOK, out)
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Delete []string `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		reply(w, http.StatusBadRequest, nil)

		return
	}
	current, holds := []item{}, true
	for _, e := range txn.Expected {
		it, ok := s.items[e.Key]
		holds = holds && it.Rev == e.Rev
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})

		return
	}
	for _, e := range txn.Set {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, ServersPrefix) {
			reply(w, http.StatusForbidden, nil)

			return
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, nil)

			return
		}
	}
	s.revision++
	for _, e := range txn.Set {
		s.set(e.Key, e.Value, e.Lease)
	}
	for _, key := range txn.Delete {
		delete(s.items, key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
}
