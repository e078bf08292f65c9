package main

import (
	"context"
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

// Ports of the entry VMs, the same on all of them.
const (
	portFront     = 8161
	portDirectory = 8164
	portReady     = 8167
	portMetrics   = 9100
	portInternal  = 7720
)

// bounds of the small deployments on the pages, which the settings repeat.
const (
	contactSeconds  = 3.0
	drainSeconds    = 2.5
	recoverySeconds = 15.0
)

// zones of the deployment, with their regions.
var zones = []string{"sud-a", "nord-a", "sud-b", "nord-b"}

var regionOf = map[string]string{"sud-a": "qc-sud", "nord-a": "qc-nord", "sud-b": "qc-sud", "nord-b": "qc-nord"}

// vm is an entry VM: one process of the project.
type vm struct {
	name, zone, ip string
	command        []string
	root, dir      string
	// store is the address at which the entry VM calls the store.
	store string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// upSince is when the present process was started; stoppedAt is when the last
	// process was killed or stopped.
	upSince time.Time
}

// deployCommand returns the command that the deploy file gives for the entry role.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
			words[0] = filepath.Join(root, words[0])
			if _, err := os.Stat(words[0]); err != nil {
				return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
			}

			return words, nil
		}
	}

	return nil, fmt.Errorf("no run command in the deploy file")
}

// freeNetwork returns the first three numbers of loopback addresses at which the ports of
// n entry VMs are free.
func freeNetwork(n int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if allFree(prefix, n) {
			return prefix, nil
		}
	}

	return "", fmt.Errorf("no free loopback addresses")
}

func allFree(prefix string, n int) bool {
	for i := range n {
		for _, port := range []int{portFront, portDirectory, portReady, portMetrics, portInternal, portInternal + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}

	return true
}

// settings returns the settings file of an entry VM of a small deployment.
func (v *vm) settings(first bool) string {
	lines := []string{
		"self.node_name=" + v.name, "self.role=entry", "self.machine_class=front", "self.serves=front,directory",
		"self.ip=" + v.ip, "self.zone=" + v.zone, "self.region=" + regionOf[v.zone], "self.loss_counts=false",
		fmt.Sprintf("self.bootstrap=%t", first),
		"self.limits.cpu_share=0.32", "self.limits.cpu_cores=1", "self.limits.memory_mb=284", "self.limits.max_fds=4100",
		"self.limits.link_mbps=1000.0", "self.limits.disk_mb=0",
		fmt.Sprintf("network.listen.front=%s:%d", v.ip, portFront),
		fmt.Sprintf("network.listen.ready=%s:%d", v.ip, portReady),
		fmt.Sprintf("network.listen.directory=%s:%d", v.ip, portDirectory),
		fmt.Sprintf("network.internal_ports=%d,%d", portInternal, portInternal+15),
		"platform.discovery=platform", "platform.entry=directory", "platform.heartbeat_s=1.5",
		"platform.platform.address=" + v.store, "platform.platform.form=kv",
		"platform.platform.writes_per_s=400", "platform.platform.reads_per_s=2000", "platform.platform.history_s=20",
		"platform.platform.value_bytes=1048576", "platform.platform.ttl_min_s=1",
		"terms.contracts=base,drain,config,cost,retry,recover,places,platform",
		"terms.bounds.seed_lag_s=3", "terms.bounds.reuse_after_s=2", "terms.bounds.contact_s=3", "terms.bounds.ack_s=4",
		"terms.bounds.catch_up_s=4", "terms.bounds.drain_s=2.5", "terms.bounds.grace_s=6", "terms.bounds.loss_slack_s=0.2",
		"terms.bounds.config_apply_s=2.5", "terms.bounds.rollback_slack_s=0.25", "terms.bounds.max_stretch_s=5",
		"terms.bounds.retry_budget_ratio=0.2", "terms.bounds.budget_window_s=10", "terms.bounds.retry_budget_slack=56",
		"terms.bounds.warmup_factor=1.5", "terms.bounds.warmup_slack=5", "terms.bounds.evacuate_s=5",
		"terms.bounds.recovery_s=15", "terms.bounds.ttl_max_s=5", "terms.bounds.max_shift=0.15",
	}
	for zone, region := range regionOf {
		lines = append(lines, "network.zones."+zone+"="+region)
	}

	return strings.Join(lines, "\n") + "\n"
}

// start writes the settings file and starts the process.
func (v *vm) start(first bool) error {
	path := filepath.Join(v.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(v.settings(first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(v.command[0], v.command[1:]...)
	cmd.Dir = v.root
	cmd.Env = []string{"GREENGAGETALLY_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.process, v.done, v.upSince = cmd, done, time.Now()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()

	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ready asks for the readiness of the entry VM.
func (v *vm) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", v.ip, portReady), nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, portFront) }

// stopped reports whether the process does not run now.
func (v *vm) stopped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))

	return err != nil || strings.Contains(string(status), "State:\tT")
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()

	return l.Addr().String(), nil
}
