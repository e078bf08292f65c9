package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems and maxPageBytes bound one page of a range read.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWatchWait = 30 * time.Second
)

// storeItem is an item of the store in its JSON form.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create_rev"`
	Lease   uint64 `json:"lease"`
}

// storeEvent is one entry of the history that a watch reads.
type storeEvent struct {
	item    storeItem
	deleted bool
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]storeLease
	nextID   uint64
	history  []storeEvent
	changed  chan struct{}
	// rangeReads counts range reads by prefix and by the address that was called.
	rangeReads map[string]map[string]int
}

// newStore starts a store on a free port of an address.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, items: map[string]storeItem{}, leases: map[uint64]storeLease{},
		nextID: 1000, changed: make(chan struct{}), rangeReads: map[string]map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /-/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /-/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleLeaseEnd)
	s.handler = mux
	s.serve(l)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.endExpiredLeases()
		}
	}()

	return s, nil
}

func (s *store) serve(l net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
}

// addAddress lets the store listen at one more address and returns it. The reads are
// counted by address.
func (s *store) addAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.serve(l)

	return l.Addr().String(), nil
}

// put writes a key as operators and upstreams do. It returns when the write is
// acknowledged.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(storeEvent{item: i})
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeEvent{item: storeItem{Key: key, Rev: s.revision}, deleted: true})
}

func (s *store) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endExpiredLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})

		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"as_of"`
	}{i, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rangeReads[prefix] == nil {
		s.rangeReads[prefix] = map[string]int{}
	}
	s.rangeReads[prefix][r.Host]++
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < maxPageItems && size < maxPageBytes {
		size += len(found[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": found[:n], "has_more": n < len(found), "as_of": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			switch {
			case e.item.Rev <= after || !strings.HasPrefix(e.item.Key, q.Get("path_prefix")):
			case e.deleted:
				events = append(events, map[string]any{"key": e.item.Key, "rev": e.item.Rev, "deleted": true})
			default:
				events = append(events, e.item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})

			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Set    []storeItem `json:"set_keys"`
		Delete []string    `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}})

			return
		}
	}
	keys := slices.Clone(t.Delete)
	for _, i := range t.Set {
		keys = append(keys, i.Key)
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)

			return
		}
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)

			return
		}
	}
	for _, i := range t.Set {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Delete {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var grant struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(min(max(grant.TTL, 1), 600) * float64(time.Second))
	s.leases[s.nextID] = storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_s_time": ttl.Seconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
