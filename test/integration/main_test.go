// Package integration_test runs processes of `greengagetally entry` with stand-ins of
// the platform and of backend servers, on loopback addresses.
package integration_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

// serviceName is the only service of the tests.
const serviceName = "booking"

// binaryDir holds the programs greengagetally and greengagetally-lab.
var binaryDir string

// worldSlots limits the number of tests that run processes at the same time.
var worldSlots = make(chan struct{}, 2)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "greengagetally-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "integration:", err)

		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "../..", "../../cmd/greengagetally-lab").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "integration: build: %v\n%s", err, out)

		return 1
	}

	return m.Run()
}

// worldSetup describes the configuration and processes of a test.
type worldSetup struct {
	entryCount int
	// serveWest is the value of the key west in the serve map of the service: the
	// regions that serve callers in west, such as "{west: 50%, east: 50%}". If it is
	// empty, west serves all of them.
	serveWest       string
	medianServiceMs float64
	adjustOptions   func(*world.Options)
}

// startWorld starts the processes of two regions, each with two zones and four
// backend servers, and stops them when the test ends.
func startWorld(t *testing.T, setup worldSetup) *world.World {
	t.Helper()

	worldSlots <- struct{}{}
	octet := reserveOctet(t)
	dir := t.TempDir()
	folder := filepath.Join(dir, "folder")
	require.NoError(t, os.Mkdir(folder, 0o700))
	if setup.serveWest == "" {
		setup.serveWest = "{west: 100%}"
	}
	writeFile(t, folder, "10-net.yaml", `regions:
  east: {zones: [east-a, east-b]}
  west: {zones: [west-a, west-b]}
sites:
  site-east-a: {zone: east-a}
  site-east-b: {zone: east-b}
  site-west-a: {zone: west-a}
  site-west-b: {zone: west-b}
links:
  east:
    west: {limit: 1Gbit/s, headroom: 10%}
  west:
    east: {limit: 1Gbit/s, headroom: 10%}
`)
	writeFile(t, folder, "20-service.yaml", fmt.Sprintf(`services:
  booking:
    deadline: 5s
    class: short
    shift-cap: {percent: 100%%, window: 5s}
    serve:
      east: {east: 100%%}
      west: %s
`, setup.serveWest))
	var backends strings.Builder
	backends.WriteString("backends:\n")
	for i, region := range []string{"east", "west"} {
		for n := range 4 {
			_, _ = fmt.Fprintf(&backends, "  %s-%d: {service: booking, zone: %s-%c, address: \"127.%d.%d.%d:7100\", slots: 4, connections: 100}\n",
				region, n, region, 'a'+n%2, octet, 101+i, n+1)
		}
	}
	writeFile(t, folder, "30-backends.yaml", backends.String())
	writeFile(t, folder, "40-clients.blocks", `127.101.1.0/25 site-east-a
127.101.1.128/25 site-east-b
127.101.2.0/25 site-west-a
127.101.2.128/25 site-west-b
`)
	options := world.Options{
		ProductBinary: filepath.Join(binaryDir, "greengagetally"), LabBinary: filepath.Join(binaryDir, "greengagetally-lab"),
		Dir: dir, Folder: folder, SecondOctet: octet, EntryCount: setup.entryCount,
		// Callers learn of stopping entry VMs soon, which keeps the tests short.
		EntryArgs: []string{"--lookup-ttl", "2s"},
		AdjustBackend: func(spec backend.Spec) backend.Spec {
			spec.ServiceMs = setup.medianServiceMs

			return spec
		},
	}
	if setup.adjustOptions != nil {
		setup.adjustOptions(&options)
	}
	w, err := world.Start(t.Context(), options)
	t.Cleanup(func() {
		_ = w.Stop()
		if t.Failed() {
			printLogs(t, w)
		}
		<-worldSlots
	})
	require.NoError(t, err)

	return w
}

// reserveOctet returns a second octet n for loopback addresses 127.n.x.x that no other
// test uses, not even in another run on the same machine.
func reserveOctet(t *testing.T) int {
	t.Helper()

	for octet := 60; octet < 100; octet++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.9:7000", octet))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })

		return octet
	}
	require.Fail(t, "all loopback networks are in use")

	return 0
}

// printLogs shows the last lines of each entry VM's log.
func printLogs(t *testing.T, w *world.World) {
	t.Helper()

	for _, e := range w.Entries() {
		if e.ChildProcess == nil {
			continue
		}
		data, _ := os.ReadFile(e.LogFile)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		t.Logf("%s:\n%s", e.VM, strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

func writeFile(t *testing.T, dir, name, content string) {
	t.Helper()

	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

var (
	lookupKind  = load.RequestKind{Name: "read", Method: "GET", Path: "/slots", Weight: 1, ResponseBodySize: 2000}
	bookingKind = load.RequestKind{Name: "reserve", Method: "POST", Path: "/bookings", Weight: 1, Keyed: true, RequestBodySize: 300, ResponseBodySize: 200}
)

// westTraffic returns traffic of callers in west; rate is in requests per second.
func westTraffic(w *world.World, rate float64, kinds ...load.RequestKind) load.Profile {
	return w.Profile(serviceName, "west", rate, kinds...)
}

// waitFor fails the test when done does not return true within 60 s; what describes the
// condition.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()

	require.Eventually(t, done, 60*time.Second, 50*time.Millisecond, what)
}

// startTraffic starts traffic for the duration length. The returned function waits for
// the end of the traffic, fails the test if an invariant was violated and returns the
// result.
func startTraffic(t *testing.T, w *world.World, length time.Duration, p load.Profile) func() *load.Result {
	t.Helper()

	type ended struct {
		results map[string]*load.Result
		err     error
	}
	done := make(chan ended, 1)
	go func() {
		results, err := w.SendTraffic(t.Context(), length, p)
		done <- ended{results, err}
	}()

	return func() *load.Result {
		e := <-done
		require.NoError(t, e.err)

		return e.results[serviceName]
	}
}
