package world

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ChildProcess is a process that greengagetally-lab or a test started.
type ChildProcess struct {
	Name string
	// LogFile is the path of the file that receives stdout and stderr.
	LogFile string

	cmd   *exec.Cmd
	ended chan struct{}
	// err is the result of cmd.Wait, set before ended is closed.
	err error
}

// startProcess starts a program with additional environment variables (as
// KEY=VALUE) and appends its output to the file <name>.log in dir.
func startProcess(dir, name string, env []string, program string, args ...string) (*ChildProcess, error) {
	process := &ChildProcess{Name: name, LogFile: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	logFile, err := os.OpenFile(process.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	// No CommandContext: the process outlives the call that starts it and is
	// ended by Stop or Kill.
	process.cmd = exec.Command(program, args...)
	process.cmd.Env = append(os.Environ(), env...)
	process.cmd.Stdout, process.cmd.Stderr = logFile, logFile
	// The kernel kills the process when its parent ends, even if the parent was killed.
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.cmd.Start(); err != nil {
		_ = logFile.Close()

		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		process.err = process.cmd.Wait()
		_ = logFile.Close()
		close(process.ended)
	}()

	return process, nil
}

// PID returns the id of the process.
func (p *ChildProcess) PID() int {
	return p.cmd.Process.Pid
}

// Running reports whether the process has not ended.
func (p *ChildProcess) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal, such as SIGSTOP.
func (p *ChildProcess) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *ChildProcess) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop ends the process by SIGTERM and returns an error when it exits with a
// code other than 0. It kills the process and returns an error when it takes
// longer than timeout.
func (p *ChildProcess) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.Name, p.err)
		}

		return nil
	case <-time.After(timeout):
		p.Kill()

		return fmt.Errorf("%s: %w", p.Name, errStopTimeout)
	}
}

var errStopTimeout = errors.New("the process did not stop in time")

// StartForwarder starts a backend.Forwarder as a process. The process listens on address
// and forwards to targets, which are all given as host:port.
func (w *World) StartForwarder(address string, targets []string) (*ChildProcess, error) {
	return startProcess(w.Dir, "forwarder", w.EntryEnv, w.LabBinary, "forward", "--listen", address, "--targets", strings.Join(targets, ","))
}

// Usage holds the resources that a process uses.
type Usage struct {
	// ResidentBytes is the resident memory now. CPUTime is the user and system
	// time since the start. IOBytes counts the bytes of read and write calls since
	// the start, also on TCP connections; UDP datagrams sent and received with
	// addresses are not counted.
	ResidentBytes int64
	CPUTime       time.Duration
	IOBytes       int64
}

// Usage reads the counters of the process from /proc. It returns an error when the
// process has ended.
func (p *ChildProcess) Usage() (Usage, error) {
	var u Usage
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	// The indexes count from the field after the name in parentheses, see proc(5): 11 is
	// utime and 12 is stime, in ticks of 10 ms; 21 is rss, in pages.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{11, 12} {
		ticks, _ := strconv.ParseInt(fields[i], 10, 64)
		u.CPUTime += time.Duration(ticks) * 10 * time.Millisecond
	}
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.ResidentBytes = pages * int64(os.Getpagesize())
	ioCounters, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	for line := range strings.Lines(string(ioCounters)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseInt(value, 10, 64)
			u.IOBytes += n
		}
	}

	return u, nil
}
