package world

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Work is what a backend server does with a request that it runs.
type Work struct {
	// For is how long the request is in a slot.
	For time.Duration
	// Status is the status of the answer; 0 is 200.
	Status int
	// Bytes is the length of the answer's body; 0 is 600.
	Bytes int
}

// Server is a backend server: it runs as many requests at a time as it has slots, queues a
// few more, and rejects the rest.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Work decides about each request that is run.
	Work func(r *http.Request, body []byte) Work

	record *Record
	slots  chan struct{}
	entry  []byte
	mu     sync.Mutex
	// running and waiting count requests.
	running, waiting int
	http             *http.Server
}

// queued is how many requests wait at a server beyond its slots.
const queued = 18

// Start starts the server and writes its entry.
func (s *Server) Start(store *Store, record *Record) error {
	s.record, s.slots = record, make(chan struct{}, s.Slots)
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.entry = s.newEntry()
	store.Put(ServersPrefix+s.ID, s.entry)
	go s.beat(store)

	return nil
}

// heartbeat is how often a server looks after its entry.
const heartbeat = 1500 * time.Millisecond

// beat writes the entry again whenever it is not the server's own. Otherwise only its count
// changes, which the entry does not show.
func (s *Server) beat(store *Store) {
	for range time.Tick(heartbeat) {
		if value, _ := store.Value(ServersPrefix + s.ID); !bytes.Equal(value, s.entry) {
			store.Put(ServersPrefix+s.ID, s.entry)
		}
	}
}

// Entry returns the value of the server's entry in the store.
func (s *Server) Entry() []byte { return s.entry }

func (s *Server) newEntry() []byte {
	data, err := json.Marshal(map[string]any{
		"address": s.Address,
		"born":    time.Now().UnixMilli(),
		"info":    map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status":  map[string]any{"state": "ready", "seq": 1, `warmup_left` + "_s": 0},
	})
	if err != nil {
		panic(err)
	}

	return data
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.Slots)
	full := s.waiting >= queued
	s.mu.Unlock()
	w.Header().Set(HeaderLoad, load)
	if r.URL.Path == "/health" {
		w.Header().Set(HeaderInstance, s.ID)
		w.WriteHeader(http.StatusOK)

		return
	}
	id := r.Header.Get(HeaderID)
	w.Header().Set(HeaderID, id)
	reject := func(status int) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get(HeaderExpect); {
	case expected != "" && expected != s.ID:
		w.Header().Set(HeaderInstance, s.ID)
		reject(http.StatusMisdirectedRequest)

		return
	case id == "":
		reject(http.StatusBadRequest)

		return
	case full:
		reject(http.StatusServiceUnavailable)

		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	s.count(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.count(1, -1)
	case <-ctx.Done():
		s.count(0, -1)
		reject(http.StatusServiceUnavailable)

		return
	}
	defer func() { <-s.slots; s.count(-1, 0) }()
	work := Work{For: 20 * time.Millisecond}
	if s.Work != nil {
		work = s.Work(r, body)
	}
	s.record.ran(Run{Server: s.ID, Service: s.Service, ID: id, Method: r.Method, Target: r.RequestURI, Body: digest(body), BodyBytes: len(body)})
	select {
	case <-time.After(work.For):
	case <-ctx.Done():
		work.Status = http.StatusGatewayTimeout
	}
	if work.Status == 0 {
		work.Status = http.StatusOK
	}
	answer := AnswerBody(id, work.Bytes)
	w.Header().Set(HeaderStamp, s.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	s.record.note("answer of %s to %s: %d, %d bytes", s.ID, id, work.Status, len(answer))
	w.WriteHeader(work.Status)
	_, _ = w.Write(answer)
}

func (s *Server) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// AnswerBody returns the body of the answer to a request.
func AnswerBody(id string, n int) []byte {
	if n == 0 {
		n = 600
	}
	text := []byte("answer to " + id + "\n")

	return bytes.Repeat(text, n/len(text)+1)[:n]
}

// EmptyBody is the digest of an empty body.
var EmptyBody = digest(nil)

// Digest returns a short digest of a body.
func Digest(body []byte) string { return digest(body) }

// digest returns a short digest of a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)

	return hex.EncodeToString(sum[:6])
}
