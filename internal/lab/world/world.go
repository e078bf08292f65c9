// Package world starts and controls the processes of an experiment or
// integration test on loopback addresses: entry VMs (`greengagetally entry`), the
// simulated platform and simulated backend servers. greengagetally-lab and the
// tests in test/integration use it.
package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
	"github.com/greengagetally/greengagetally/internal/lab/relay"
)

// Options describe the processes of a World.
type Options struct {
	// ProductBinary and LabBinary are the paths of the binaries greengagetally
	// and greengagetally-lab.
	ProductBinary, LabBinary string
	// Dir holds the operator tokens, specs of backend servers, certificates and logs.
	Dir string
	// Folder is the configuration folder that is applied at the start.
	Folder string
	// SecondOctet is the second octet of the loopback addresses of entry VMs,
	// the platform, relays and control endpoints.
	SecondOctet int
	// EntryCount is the number of entry VMs; they are assigned in turn to the first
	// two availability zones of each region.
	EntryCount int
	// EntryArgs and EntryEnv are additional arguments and environment variables
	// (as KEY=VALUE) of all entry VMs.
	EntryArgs, EntryEnv []string
	// EntryRelays puts a relay in front of the peer and carry address of each
	// entry VM.
	EntryRelays bool
	// AdjustBackend, if set, gets the default spec of each backend server and returns the
	// spec with which the server starts.
	AdjustBackend func(backend.Spec) backend.Spec
}

// World is a set of running processes.
type World struct {
	Options

	Config          model.Config
	PlatformProcess *ChildProcess
	// PlatformRelay is the relay through which entry VMs reach the platform.
	PlatformRelay *relay.Relay
	// Backends holds, by region, the process that runs all backend servers of the region.
	// ControlAddresses holds, by region, the address of that process's control endpoints.
	Backends         map[string]*ChildProcess
	ControlAddresses map[string]string

	mu        sync.Mutex
	entries   map[string]*Entry
	authority *keys.Authority
	ctx       context.Context
	cancel    context.CancelFunc
}

// Start starts all processes, applies the folder and waits until the
// configuration is in force. The caller must call Stop, also after an error.
func Start(ctx context.Context, o Options) (*World, error) {
	w := &World{
		Options: o, Backends: map[string]*ChildProcess{}, ControlAddresses: map[string]string{}, entries: map[string]*Entry{},
	}
	w.ctx, w.cancel = context.WithCancel(ctx)
	files, err := folder.Read(o.Folder)
	if err != nil {
		return w, fmt.Errorf("read folder: %w", err)
	}
	if w.Config, err = folder.Parse(files); err != nil {
		return w, fmt.Errorf("read folder: %w", err)
	}
	if w.authority, err = keys.NewAuthority(o.Dir); err != nil {
		return w, err
	}
	if err := w.startPlatform(); err != nil {
		return w, err
	}
	if err := os.WriteFile(w.tokensFile(), []byte("lab:"+OperatorToken+"\n"), 0o600); err != nil {
		return w, fmt.Errorf("operator tokens: %w", err)
	}
	for _, region := range w.Regions() {
		if err := w.startBackends(region); err != nil {
			return w, err
		}
	}
	if err := w.startEntries(); err != nil {
		return w, err
	}
	if err := w.WaitFor(ctx, "the entry VMs serve operators", w.acceptOperators); err != nil {
		return w, err
	}
	if err := w.ApplyConfig(ctx, o.Folder); err != nil {
		return w, err
	}

	return w, w.WaitFor(ctx, "the configuration is in force", func() bool {
		return w.ConfigInForce(ctx, 1) && w.allRunning()
	})
}

// acceptOperators reports whether every entry VM accepts connections on its
// operator address.
func (w *World) acceptOperators() bool {
	for _, e := range w.Entries() {
		connection, err := net.DialTimeout("tcp", e.OperatorAddress, time.Second)
		if err != nil {
			return false
		}
		_ = connection.Close()
	}

	return true
}

func (w *World) tokensFile() string {
	return filepath.Join(w.Dir, "tokens")
}

func (w *World) allRunning() bool {
	return !slices.ContainsFunc(w.Entries(), func(e *Entry) bool { return !e.Running() })
}

// Regions returns the names of the regions in order.
func (w *World) Regions() []string {
	return slices.Sorted(maps.Keys(w.Config.Regions))
}

func (w *World) loopbackAddress(region string, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.SecondOctet, slices.Index(w.Regions(), region)+1, host, port)
}

func (w *World) platformAddress() string {
	return fmt.Sprintf("127.%d.0.1:7001", w.SecondOctet)
}

func (w *World) startPlatform() error {
	var err error
	if w.PlatformProcess, err = startProcess(w.Dir, "platform", nil, w.LabBinary, "platform", "--listen", w.platformAddress()); err != nil {
		return err
	}
	if w.PlatformRelay, err = relay.New(w.ctx, fmt.Sprintf("127.%d.0.2:7001", w.SecondOctet), w.platformAddress()); err != nil {
		return fmt.Errorf("relay of the platform: %w", err)
	}

	return w.WaitFor(w.ctx, "the platform answers", func() bool { return w.PlatformCalls() != nil })
}

// startBackends starts the process that runs all backend servers of a region
// and waits until its control endpoints answer.
func (w *World) startBackends(region string) error {
	var specs []backend.Spec
	for _, name := range slices.Sorted(maps.Keys(w.Config.Backends)) {
		b := w.Config.Backends[name]
		if w.Config.RegionOfZone(b.Zone) != region {
			continue
		}
		spec := backend.Spec{
			Name: b.Name, Service: b.Service, Region: region, Zone: b.Zone,
			Address: b.Address.String(), Slots: b.Slots, ServiceMs: 5, Sigma: 0.5, DownMs: 1000,
		}
		if w.AdjustBackend != nil {
			spec = w.AdjustBackend(spec)
		}
		specs = append(specs, spec)
	}
	data, err := json.Marshal(specs)
	if err != nil {
		return fmt.Errorf("backend servers: %w", err)
	}
	specsFile := filepath.Join(w.Dir, "backends-"+region+".json")
	if err := os.WriteFile(specsFile, data, 0o600); err != nil {
		return fmt.Errorf("backend servers: %w", err)
	}
	control := w.loopbackAddress(region, 250, 7001)
	p, err := startProcess(w.Dir, "backends-"+region, nil, w.LabBinary, "backend", "--spec", specsFile, "--listen", control)
	if err != nil {
		return err
	}
	w.Backends[region], w.ControlAddresses[region] = p, control

	return w.WaitFor(w.ctx, "backend servers answer", func() bool { return w.control(http.MethodGet, region, "servers", nil, nil) == nil })
}

func (w *World) control(method, region, call string, requestBody, responseBody any) error {
	return load.CallControl(w.ctx, method, "http://"+w.ControlAddresses[region]+"/lab/"+call, requestBody, responseBody)
}

// ControlBackends sends a PUT with requestBody as JSON to a control endpoint of the
// backend servers of a region. The parameter call is the path of the endpoint below
// /lab/, with its query. The errors are those of load.CallControl.
func (w *World) ControlBackends(region, call string, requestBody any) error {
	return w.control(http.MethodPut, region, call, requestBody, nil)
}

// BackendStats returns the counters of the backend servers of all regions; a
// region whose process does not answer is left out.
func (w *World) BackendStats() []backend.Stats {
	var all []backend.Stats
	for _, region := range w.Regions() {
		var regional []backend.Stats
		if w.control(http.MethodGet, region, "servers", nil, &regional) == nil {
			all = append(all, regional...)
		}
	}

	return all
}

// PlatformCalls returns the platform's counts of calls by kind or fault, or nil
// when it does not answer.
func (w *World) PlatformCalls() map[string]int64 {
	var counters map[string]int64
	_ = load.CallControl(w.ctx, http.MethodGet, "http://"+w.platformAddress()+"/lab/counters", nil, &counters)

	return counters
}

// SetPlatformFaults replaces the faults of the simulated platform. It returns an
// error when the platform does not answer.
func (w *World) SetPlatformFaults(f platform.Faults) error {
	return load.CallControl(w.ctx, http.MethodPut, "http://"+w.platformAddress()+"/lab/faults", f, nil)
}

// WaitFor polls condition until it returns true. After 30 s, or when ctx ends, it returns
// an error that includes the text of description.
func (w *World) WaitFor(ctx context.Context, description string, condition func() bool) error {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("%w: %s", errConditionNotMet, description)
}

var (
	errConditionNotMet = errors.New("condition not met in time")
	errInvariant       = errors.New("invariant violated")
)

// Violations compares the outcomes that callers were told with what the backend servers
// ran and returns the requests that violate an invariant. Regions whose process has ended
// are left out. An error is returned when the process of any other region does not
// answer.
func (w *World) Violations(results ...*load.Result) (load.Violations, error) {
	var all load.Violations
	var controls []string
	for _, region := range w.Regions() {
		if w.Backends[region].Running() {
			controls = append(controls, w.ControlAddresses[region])
		}
	}
	for _, r := range results {
		found, err := r.Verify(w.ctx, controls)
		if err != nil {
			return all, fmt.Errorf("verify: %w", err)
		}
		all.RanTwice = append(all.RanTwice, found.RanTwice...)
		all.RanDespiteNotRun = append(all.RanDespiteNotRun, found.RanDespiteNotRun...)
	}

	return all, nil
}

// Stop stops all processes with SIGTERM: first the entry VMs, concurrently and for at
// most 45 s, then the backend servers and the platform, for at most 10 s each. A process
// that takes longer is killed, and the error names it.
func (w *World) Stop() error {
	defer w.cancel()
	var errs []error
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, e := range w.Entries() {
		all.Go(func() {
			if !e.Running() {
				return
			}
			err := e.Stop(45 * time.Second)
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		})
	}
	all.Wait()
	for _, p := range append(slices.Collect(maps.Values(w.Backends)), w.PlatformProcess) {
		if p != nil && p.Running() {
			errs = append(errs, p.Stop(10*time.Second))
		}
	}

	return errors.Join(errs...)
}
