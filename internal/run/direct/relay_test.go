package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two faults after a relay has stopped: counts of requests in flight no
// longer reach the other entry VMs of the region or the other regions, and lookups
// return the stopped entry VM for ever.
func TestRelaysReportRegionLoads(t *testing.T) {
	t.Parallel()
	release, started := make(chan struct{}), make(chan struct{}, 1)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		ok(w, r)
	})
	defer close(release)
	d := newDeployment(s.listed("server", "z1"))
	const perRegion = 3
	regions := map[string][]*runningEntryVM{}
	var all []*runningEntryVM
	for i, ip := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.1.5", "127.0.1.6"} {
		region := []string{"r", "s"}[i%2]
		e := startEntryVMIn(t, d, ip, region, time.Second)
		regions[region] = append(regions[region], e)
		all = append(all, e)
	}
	countReturned := func(e *runningEntryVM, region string) int {
		return len(e.Lookup("a.example", "elsewhere", region).Addresses)
	}
	require.Eventually(t, func() bool {
		for _, e := range all {
			if countReturned(e, "r") != perRegion || countReturned(e, "s") != perRegion {
				return false
			}
		}

		return true
	}, waitTimeout, 20*time.Millisecond)
	stoppedRelay := relayOf(t, regions["r"])
	stoppedRelay.end()
	<-stoppedRelay.done
	var remaining []*runningEntryVM
	for _, e := range regions["r"] {
		if e != stoppedRelay {
			remaining = append(remaining, e)
		}
	}
	require.Eventually(t, func() bool {
		return countReturned(remaining[0], "r") == perRegion-1 && countReturned(regions["s"][0], "r") == perRegion-1
	}, waitTimeout, 20*time.Millisecond, "lookups still return the stopped entry VM")
	conn, err := net.Dial("tcp", remaining[0].address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /read/slow HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow\r\n\r\n")
	require.NoError(t, err)
	<-started
	for _, e := range []*runningEntryVM{remaining[1], regions["s"][1]} {
		require.Eventually(t, func() bool {
			for _, line := range e.logs.FilterMessage("service status").All() {
				if occupied, ok := line.ContextMap()["occupied"].(float64); ok && occupied > 0 {
					return true
				}
			}

			return false
		}, waitTimeout, 50*time.Millisecond, "the request in flight is not counted")
	}
}

// relayOf waits until all entry VMs of a region have elected the same relay, and returns it.
func relayOf(t *testing.T, region []*runningEntryVM) *runningEntryVM {
	t.Helper()
	var elected *runningEntryVM
	require.Eventually(t, func() bool {
		relayNames := map[any]bool{}
		for _, e := range region {
			lines := e.logs.FilterMessage("relay of the region changed").All()
			if len(lines) == 0 {
				return false
			}
			relayNames[lines[len(lines)-1].ContextMap()["entry"]] = true
		}
		for _, e := range region {
			host, _, err := net.SplitHostPort(e.address)
			require.NoError(t, err)
			if relayNames["entry-"+host] {
				elected = e
			}
		}

		return len(relayNames) == 1 && elected != nil
	}, waitTimeout, 20*time.Millisecond)

	return elected
}

// Guards against entry VMs of a large region that, without callers, lose sight of the
// others, and against one that, when callers come, does not learn the requests in flight
// of the others.
func TestIdleEntryVMsOfALargeRegion(t *testing.T) {
	t.Parallel()
	release, started := make(chan struct{}), make(chan struct{}, 2)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/slow" {
			started <- struct{}{}
			<-release
		}
		ok(w, r)
	})
	defer close(release)
	d := newDeployment(s.listed("server", "z1"))
	// The slow request is in flight for the whole test.
	d.routeTimeout = 2 * waitTimeout
	var all []*runningEntryVM
	for i := range 18 {
		all = append(all, startEntryVM(t, d, fmt.Sprintf("127.0.2.%d", i+1), time.Second))
	}
	waitUntilReady(t, all...)
	relay := relayOf(t, all)
	others := slices.DeleteFunc(slices.Clone(all), func(e *runningEntryVM) bool { return e == relay })
	idle, busy := others[0], others[1]
	conn, err := net.Dial("tcp", busy.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /read/slow HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow\r\n\r\n")
	require.NoError(t, err)
	<-started
	// Longer than it takes to become idle, and to be taken for stopped without reports.
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		require.Len(t, idle.Lookup("a.example", "z1", "r").Addresses, len(all))
	}
	before := idle.logs.Len()
	require.Eventually(t, func() bool {
		resp, _ := sendRequest(t, idle.address, http.MethodGet, "/read/fast")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		for _, line := range idle.logs.All()[before:] {
			occupied, ok := line.ContextMap()["occupied"].(float64)
			if line.Message == "request ended" && ok && occupied > 0 {
				return true
			}
		}

		return false
	}, waitTimeout, 50*time.Millisecond, "the request in flight at another entry VM is not counted")
}
