package world

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment, which is a small one like that of voixdarmor-lb.
const (
	Host           = "hume12.example"
	ServiceBooking = "lage55a"
	ServiceTalent  = "wopi31b"
	// PathLookup is a safe route and PathBooking an unsafe one to ServiceBooking. PathSearch is
	// a safe route to ServiceTalent.
	PathLookup  = "/kelo11/"
	PathBooking = "/bamu27/"
	PathSearch  = "/rofa93/"
)

// zones are the availability zones with their regions.
var zones = [][2]string{
	{"brest-a", "finistere"},
	{"rennes-a", "ille-vilaine"},
	{"vannes-a", "morbihan"},
	{"quimper-b", "finistere"},
	{"vitre-b", "ille-vilaine"},
	{"lorient-b", "morbihan"},
}

// MemoryMB is the memory of an entry VM.
const MemoryMB = 284

// VM is an entry VM.
type VM struct {
	Name, Zone, Region, IP string

	world *World
	cmd   *exec.Cmd
	done  chan struct{}
	first bool
}

// World is a deployment on loopback addresses.
type World struct {
	Record  *Record
	Store   *Store
	VMs     []*VM
	Servers []*Server
	// Program is the entry VMs' program.
	Program string
	// LookupTimeout and BookingTimeout are the timeouts of PathLookup and PathBooking in
	// seconds, 0 for those of voixdarmor-lb.
	LookupTimeout, BookingTimeout float64

	dir                                  string
	prefix                               string
	front, ready, directoryPort, storeAt int
	internal                             int
	serverPort                           int
	mu                                   sync.Mutex
	nextServer                           int
}

// New returns a deployment with an empty store, on addresses that nobody uses.
func New(program string) (*World, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: NewRecord(), Store: NewStore(), Program: program, dir: dir}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		base := 10000 + rand.IntN(15000)
		w.front, w.ready, w.directoryPort, w.storeAt, w.serverPort, w.internal = base, base+1, base+2, base+3, base+4, base+10
		if w.isFree() {
			l, err := net.Listen("tcp", w.storeAddress())
			if err != nil {
				continue
			}
			go func() { _ = http.Serve(l, w.Store) }()

			return w, nil
		}
	}

	return nil, errors.New("no free addresses")
}

// isFree reports whether the ports of the entry VMs are free on a few of the addresses.
func (w *World) isFree() bool {
	for i := 10; i < 16; i++ {
		for _, port := range []int{w.front, w.ready, w.directoryPort, w.internal, w.internal + 1, 9100} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", w.prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}

	return true
}

func (w *World) storeAddress() string { return fmt.Sprintf("%s1:%d", w.prefix, w.storeAt) }

// AddServers starts backend servers, spread over the zones, and returns them.
func (w *World) AddServers(service string, n, slots int, work func(*http.Request, []byte) Work) ([]*Server, error) {
	var out []*Server
	for range n {
		w.nextServer++
		zone := zones[w.nextServer%len(zones)][0]
		s := &Server{
			ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Zone: zone, Slots: slots, Work: work,
			Address: fmt.Sprintf("%s%d:%d", w.prefix, 100+w.nextServer, w.serverPort),
		}
		if err := s.Start(w.Store, w.Record); err != nil {
			return nil, err
		}
		w.Servers = append(w.Servers, s)
		out = append(out, s)
	}

	return out, nil
}

// PutConfig writes the operator's configuration.
func (w *World) PutConfig(version int) {
	route := func(prefix, kind, service string, timeout, target float64, priority int) map[string]any {
		return map[string]any{
			"host": Host, `path` + "_prefix": prefix, "kind": kind, `timeout` + "_s": timeout, `target_latency` + "_s": target,
			"priority": priority, "service": service, "max_attempts": 2, "sticky": true, `home` + "_regions": []string{},
		}
	}
	service := map[string]any{
		"health_path": "/health", `max` + "_conns": 390, "protocol": "h1", "tls": false, `warmup` + "_s": 3.0, `warmup` + "_per_s": 15.0,
	}
	timeoutOr := func(timeout, other float64) float64 {
		if timeout > 0 {
			return timeout
		}

		return other
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"r-1": route(PathLookup, "safe", ServiceBooking, timeoutOr(w.LookupTimeout, 1), 0.25, 2),
			"r-2": route(PathBooking, "unsafe", ServiceBooking, timeoutOr(w.BookingTimeout, 1.2), 0.3, 1),
			"r-3": route(PathSearch, "safe", ServiceTalent, 2, 0.5, 2),
		},
		"services": map[string]any{ServiceBooking: service, ServiceTalent: service},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		panic(err)
	}
	w.Store.Put(ConfigKey, data)
}

// StartVMs starts an entry VM in each of the first n zones and waits until all are ready.
func (w *World) StartVMs(ctx context.Context, n int) error {
	for i := range n {
		vm := &VM{
			Name: fmt.Sprintf("front-%s-1", zones[i][0]), Zone: zones[i][0], Region: zones[i][1],
			IP: fmt.Sprintf("%s%d", w.prefix, 10+i), world: w, first: true,
		}
		w.VMs = append(w.VMs, vm)
		if err := vm.Start(); err != nil {
			return err
		}
	}
	for _, vm := range w.VMs {
		if err := vm.AwaitReady(ctx); err != nil {
			return err
		}
	}

	return nil
}

func (vm *VM) directory() string { return fmt.Sprintf("%s:%d", vm.IP, vm.world.directoryPort) }

// Front returns the address for requests.
func (vm *VM) Front() string { return fmt.Sprintf("%s:%d", vm.IP, vm.world.front) }

func (vm *VM) settings() string {
	w := vm.world
	lines := []string{
		"self.node_name=" + vm.Name, "self.role=entry", "self.machine_class=front", "self.serves=front,directory",
		"self.ip=" + vm.IP, "self.zone=" + vm.Zone, "self.region=" + vm.Region, "self.loss_counts=false",
		fmt.Sprintf("self.bootstrap=%v", vm.first), "self.limits.cpu_share=0.32", "self.limits.cpu_cores=1",
		fmt.Sprintf("self.limits.memory_mb=%d", MemoryMB), "self.limits.max_fds=4100", "self.limits.link_mbps=1000.0", "self.limits.disk_mb=0",
		fmt.Sprintf("network.listen.front=%s:%d", vm.IP, w.front), fmt.Sprintf("network.listen.ready=%s:%d", vm.IP, w.ready),
		fmt.Sprintf("network.listen.directory=%s:%d", vm.IP, w.directoryPort),
		fmt.Sprintf("network.internal_ports=%d,%d", w.internal, w.internal+15), "network.seeds=",
		"platform.discovery=platform", "platform.entry=directory", "platform.heartbeat_s=1.5",
		"platform.platform.address=" + w.storeAddress(), "platform.platform.form=kv", "platform.platform.writes_per_s=400",
		"platform.platform.reads_per_s=2000", "platform.platform.history_s=20", "platform.platform.value_bytes=1048576",
		"platform.platform.ttl_min_s=1", "terms.contracts=base,drain,config,cost,retry,recover,places,platform",
		"terms.fault_tolerance.machines=1", "terms.fault_tolerance.zones=1", "terms.fault_tolerance.regions=1",
		"terms.bounds.seed_lag_s=3", "terms.bounds.reuse_after_s=2", "terms.bounds.contact_s=4", "terms.bounds.ack_s=4",
		"terms.bounds.catch_up_s=4", "terms.bounds.drain_s=2.5", "terms.bounds.grace_s=6", "terms.bounds.loss_slack_s=0.2",
		"terms.bounds.config_apply_s=2.5", "terms.bounds.rollback_slack_s=0.25", "terms.bounds.max_stretch_s=6",
		"terms.bounds.retry_budget_ratio=0.2", "terms.bounds.budget_window_s=10", "terms.bounds.retry_budget_slack=64",
		"terms.bounds.warmup_factor=1.5", "terms.bounds.warmup_slack=5", "terms.bounds.evacuate_s=5", "terms.bounds.recovery_s=15",
		"terms.bounds.ttl_max_s=5", "terms.bounds.max_shift=0.15",
	}
	for _, z := range zones {
		lines = append(lines, "network.zones."+z[0]+"="+z[1])
	}

	return strings.Join(lines, "\n") + "\n"
}

// Start starts the VM's process.
func (vm *VM) Start() error {
	w := vm.world
	path := filepath.Join(w.dir, vm.Name+".conf")
	if err := os.WriteFile(path, []byte(vm.settings()), 0o644); err != nil {
		return err
	}
	vm.first = false
	log, err := os.OpenFile(filepath.Join(w.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.Program)
	cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	done := make(chan struct{})
	vm.cmd, vm.done = cmd, done
	w.Record.Note("process of %s starts, pid %d", vm.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		w.Record.Note("process of %s has ended: %v", vm.Name, err)
		close(done)
	}()

	return nil
}

// PID returns the process ID.
func (vm *VM) PID() int { return vm.cmd.Process.Pid }

// Signal sends a signal to the process.
func (vm *VM) Signal(sig syscall.Signal) {
	vm.world.Record.Note("%s gets %v", vm.Name, sig)
	_ = vm.cmd.Process.Signal(sig)
}

// Done is closed when the process has ended.
func (vm *VM) Done() <-chan struct{} { return vm.done }

// AwaitReady waits until the VM says that it is ready.
func (vm *VM) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", vm.IP, vm.world.ready, callReady), nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", vm.Name, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// LogDir returns the folder with the logs of the processes.
func (w *World) LogDir() string { return w.dir }

// Close ends all processes that were started and removes the temporary folder, unless KEEP is
// set in the environment.
func (w *World) Close() {
	for _, vm := range w.VMs {
		if vm.cmd != nil {
			_ = vm.cmd.Process.Kill()
			<-vm.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}
