package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// env is the deployment of one case and its record.
type env struct {
	root, tmp string
	trouble   bool
	start     time.Time
	store     *store
	vms       []*vm
	command   []string
	network   string

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	ends   []func()
	nextID int
	// servedBy counts the successful answers by upstream.
	servedBy map[string]int
}

func newEnv(root, caseDir string, trouble bool) (*env, error) {
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	e := &env{root: root, tmp: tmp, trouble: trouble, start: time.Now(), command: command, file: file, record: bufio.NewWriter(file), servedBy: map[string]int{}}
	e.store, err = newStore("127.0.0.1")

	return e, err
}

// log writes a line to the record.
func (e *env) log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (e *env) say(format string, args ...any) {
	e.log(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers a function that end calls.
func (e *env) atEnd(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, f)
}

// end ends all processes of the case.
func (e *env) end() {
	for _, v := range e.vms {
		v.signal(syscall.SIGCONT)
		v.kill()
	}
	e.mu.Lock()
	ends := e.ends
	e.mu.Unlock()
	for _, f := range ends {
		f()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.record.Flush()
	_ = e.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.tmp)
	} else {
		fmt.Println("kept", e.tmp)
	}
}

// addVMs starts n entry VMs, one zone after the other, and waits until all are ready.
func (e *env) addVMs(n int) error {
	network, err := freeNetwork(n)
	if err != nil {
		return err
	}
	e.network = network
	for i := range n {
		zone := zones[i%len(zones)]
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, i+1), command: e.command, root: e.root, dir: e.tmp}
		if v.store, err = e.store.addAddress(); err != nil {
			return err
		}
		e.vms = append(e.vms, v)
		if err := v.start(true); err != nil {
			return err
		}
	}
	for _, v := range e.vms {
		if !e.waitReady(v, 10*time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}

	return nil
}

func (e *env) waitReady(v *vm, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v.ready() {
			return true
		}
	}

	return false
}

// id returns a new request ID.
func (e *env) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++

	return fmt.Sprintf("%016x", 0x9c41000000000000+uint64(e.nextID))
}

// route returns a route of the configuration.
func route(prefix, kind, service string, timeout float64, attempts int, sticky bool) map[string]any {
	return map[string]any{
		"host": "guide.example", "path_prefix": prefix, "kind": kind, "timeout_s": timeout, "target_latency_s": 0.4,
		"priority": 2, "service": service, "max_attempts": attempts, "sticky": sticky, "home_regions": []string{},
	}
}

// configure writes a version of the configuration.
func (e *env) configure(version int, routes map[string]any, services ...string) {
	table := map[string]any{}
	for _, name := range services {
		table[name] = map[string]any{"health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 7.6}
	}
	e.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": table,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}
