package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/platformapi"
)

// defaultWatchTimeout is how long a watch without the parameter wait-seconds waits.
const defaultWatchTimeout = 30 * time.Second

// vmsKey is the key of the list of VMs in Server.vms.
const vmsKey = "vms"

// VM is one VM in the body of PUT /lab/vms.
type VM struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer-address"`
	Leaving     bool   `json:"leaving"`
}

// Server simulates the platform; it implements platformapi.Handler.
type Server struct {
	store *store
	// vms holds the list of VMs as JSON under vmsKey, so that it has a version and
	// can be watched.
	vms    *store
	faults *faultState
}

// New returns a platform without keys, VMs and faults.
func New() *Server {
	return &Server{store: newStore(), vms: newStore(), faults: newFaultState()}
}

// Handler returns a handler for the API of api/platform.yaml, to which the faults
// apply, and for the control API: PUT /lab/vms?lag-ms=, PUT and GET /lab/faults, GET
// /lab/counters.
func (s *Server) Handler() (http.Handler, error) {
	api, err := platformapi.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("platform server: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.faults.handler(api))
	mux.HandleFunc("PUT /lab/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decodeBody(w, r, &f) {
			s.faults.set(f)
		}
	})
	mux.HandleFunc("GET /lab/faults", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.faults.get())
	})
	mux.HandleFunc("PUT /lab/vms", func(w http.ResponseWriter, r *http.Request) {
		lag, err := time.ParseDuration("0" + r.URL.Query().Get("lag-ms") + "ms")
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		var vms []VM
		if decodeBody(w, r, &vms) {
			s.setVMs(vms, lag)
		}
	})
	mux.HandleFunc("GET /lab/counters", func(w http.ResponseWriter, _ *http.Request) {
		s.faults.mu.Lock()
		counts := maps.Clone(s.faults.counts)
		s.faults.mu.Unlock()
		_ = json.NewEncoder(w).Encode(counts)
	})

	return mux, nil
}

// decodeBody decodes the JSON body into v; it responds with 400 and returns false
// when that fails.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}

// Serve serves Handler on listener and expires leases until ctx ends. It returns an
// error when listener fails before.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	go s.runLeaseExpiry(ctx)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve platform: %w", err)
	}

	return nil
}

// runLeaseExpiry expires leases every 100 ms until ctx ends.
func (s *Server) runLeaseExpiry(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.store.expireLeases(now)
		}
	}
}

// watchTimeout returns how long a watch waits at most.
func watchTimeout(seconds platformapi.OptInt) time.Duration {
	if seconds.Set {
		return time.Duration(seconds.Value) * time.Second
	}

	return defaultWatchTimeout
}

// ReadKey implements platformapi.Handler. Faults.StaleReads does not apply to watches.
func (s *Server) ReadKey(ctx context.Context, p platformapi.ReadKeyParams) (platformapi.ReadKeyRes, error) {
	if p.WaitVersion.Set {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout(p.WaitSeconds))
		defer cancel()
		s.store.wait(ctx, p.Key, uint64(p.WaitVersion.Value))
	}
	previous := s.faults.get().StaleReads && !p.WaitVersion.Set
	version, value, ok := s.store.read(p.Key, previous)
	if !ok {
		return &platformapi.Missing{Version: int64(version)}, nil
	}

	return &platformapi.Entry{Version: int64(version), Value: value}, nil
}

// WriteKey implements platformapi.Handler.
func (s *Server) WriteKey(_ context.Context, req *platformapi.Value, p platformapi.WriteKeyParams) (platformapi.WriteKeyRes, error) {
	if len(req.Value) > MaxValueBytes {
		return nil, errTooLarge
	}
	value := req.Value
	if value == nil {
		value = []byte{}
	}
	version, ok := s.store.write(p.Key, uint64(p.ExpectedVersion), value, p.Lease.Value)
	if !ok {
		return &platformapi.Conflict{Version: int64(version)}, nil
	}

	return &platformapi.Written{Version: int64(version)}, nil
}

// DeleteKey implements platformapi.Handler.
func (s *Server) DeleteKey(_ context.Context, p platformapi.DeleteKeyParams) (platformapi.DeleteKeyRes, error) {
	version, ok := s.store.write(p.Key, uint64(p.ExpectedVersion), nil, "")
	if !ok {
		return &platformapi.Conflict{Version: int64(version)}, nil
	}

	return &platformapi.Written{Version: int64(version)}, nil
}

// RenewLease implements platformapi.Handler.
func (s *Server) RenewLease(_ context.Context, p platformapi.RenewLeaseParams) (*platformapi.Written, error) {
	version := s.store.renew(p.Lease, time.Duration(p.TTLSeconds)*time.Second)

	return &platformapi.Written{Version: int64(version)}, nil
}

// setVMs returns at once; it replaces the list of VMs after the delay lag.
func (s *Server) setVMs(vms []VM, lag time.Duration) {
	value, _ := json.Marshal(vms)
	time.AfterFunc(lag, func() {
		for written := false; !written; {
			version, _, _ := s.vms.read(vmsKey, false)
			_, written = s.vms.write(vmsKey, version, value, "")
		}
	})
}

// ListVMs implements platformapi.Handler.
func (s *Server) ListVMs(ctx context.Context, p platformapi.ListVMsParams) (*platformapi.VMList, error) {
	if p.WaitVersion.Set {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout(p.WaitSeconds))
		defer cancel()
		s.vms.wait(ctx, vmsKey, uint64(p.WaitVersion.Value))
	}
	version, value, _ := s.vms.read(vmsKey, false)
	var vms []VM
	_ = json.Unmarshal(value, &vms)
	list := &platformapi.VMList{Version: int64(version), Vms: make([]platformapi.VM, 0, len(vms))}
	for _, vm := range vms {
		state := platformapi.VMStateLive
		if vm.Leaving {
			state = platformapi.VMStateLeaving
		}
		list.Vms = append(list.Vms, platformapi.VM{
			Name: vm.Name, Zone: vm.Zone, State: state,
			PeerMinusAddress: platformapi.OptString{Value: vm.PeerAddress, Set: vm.PeerAddress != ""},
		})
	}

	return list, nil
}

var errTooLarge = errors.New("the value is larger than 1 MiB")

// NewError implements platformapi.Handler.
func (s *Server) NewError(_ context.Context, err error) *platformapi.FailureStatusCode {
	status := http.StatusInternalServerError
	if errors.Is(err, errTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}

	return &platformapi.FailureStatusCode{StatusCode: status, Response: platformapi.Error{Message: err.Error()}}
}
