package integration_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

// Guards against requests that are lost or mixed up on the way to another region.
func TestServedThroughTwoRegions(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, serveWest: "{west: 50%, east: 50%}", medianServiceMs: 5})

	// An entry VM sends nothing to another region during its first window of shift-cap.
	waitFor(t, "both regions serve", func() bool {
		r := load.Run(t.Context(), westTraffic(w, 50, lookupKind), time.Second)

		return r.ByRegion["west"] > 0 && r.ByRegion["east"] > 0
	})
	r := startTraffic(t, w, 4*time.Second, westTraffic(w, 150, lookupKind, bookingKind))()
	assert.Equal(t, r.Sent, r.Answered, "%v %v", r.NotRun, r.Examples)
	assert.Positive(t, r.ByRegion["west"])
	assert.Positive(t, r.ByRegion["east"])
}

// Guards against answers that are lost silently when an entry VM dies, and
// against a dead entry VM that stays in lookups.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 5})

	result := startTraffic(t, w, 6*time.Second, westTraffic(w, 100, lookupKind, bookingKind))
	time.Sleep(time.Second)
	killed := w.EntriesIn("west")[0]
	killed.Kill()
	r := result()
	assert.Greater(t, r.Answered, r.Sent/2, "%v %v", r.NotRun, r.Examples)
	waitFor(t, "lookups do not name the dead entry VM and all is answered", func() bool {
		r := load.Run(t.Context(), westTraffic(w, 50, lookupKind), time.Second)

		return r.Answered == r.Sent && r.Attempts == r.Sent
	})
}

// Guards against an entry VM that acts on outdated state when it resumes: more
// requests than slots at a backend server, requests that run twice or a wrong
// "not run".
func TestEntryFrozenAndResumed(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 20})

	result := startTraffic(t, w, 14*time.Second, westTraffic(w, 100, lookupKind, bookingKind))
	time.Sleep(time.Second)
	frozen := w.EntriesIn("west")[0]
	frozen.Signal(syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	frozen.Signal(syscall.SIGCONT)
	r := result()
	assert.Greater(t, r.Answered, r.Sent/2, "%v %v", r.NotRun, r.Examples)
	waitFor(t, "the resumed entry VM is live and all is answered", func() bool {
		p := westTraffic(w, 50, lookupKind)
		p.LookupAddresses = []string{frozen.LookupAddress}
		r := load.Run(t.Context(), p, time.Second)

		return r.Answered == r.Sent
	})
}

// Guards against steering that needs the store: while the store is down, only
// requests with an idempotency key may be refused.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 5})

	require.NoError(t, w.SetPlatformFaults(platform.Faults{Outage: true}))
	r := startTraffic(t, w, 3*time.Second, westTraffic(w, 100, lookupKind))()
	assert.Equal(t, r.Sent, r.Answered, "%v %v", r.NotRun, r.Examples)
	r = startTraffic(t, w, 2*time.Second, westTraffic(w, 20, bookingKind))()
	assert.Equal(t, r.Sent, r.NotRun["store-unavailable"], "%v %v", r.NotRun, r.Examples)
	require.NoError(t, w.SetPlatformFaults(platform.Faults{}))
	waitFor(t, "keyed requests are answered again", func() bool {
		r := load.Run(t.Context(), westTraffic(w, 20, bookingKind), time.Second)

		return r.Answered == r.Sent
	})
}

// Guards against a booking that runs twice because its caller sends it again through
// another entry VM, also when the store loses the responses to writes of claims.
func TestBookingsResent(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 60, adjustOptions: func(o *world.Options) { o.EntryRelays = true }})

	impatient := westTraffic(w, 60, bookingKind)
	impatient.Timeout = 80 * time.Millisecond
	result := startTraffic(t, w, 6*time.Second, impatient)
	time.Sleep(time.Second)
	require.NoError(t, w.SetPlatformFaults(platform.Faults{LoseWriteResponses: 20}))
	time.Sleep(2 * time.Second)
	w.EntriesIn("west")[0].Kill()
	r := result()
	assert.Positive(t, r.Answered)
	assert.Greater(t, r.Attempts, r.Sent, "some bookings were sent again")
}

// Guards against new work for a backend server that is leaving.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 5})

	result := startTraffic(t, w, 8*time.Second, westTraffic(w, 200, lookupKind))
	// On a busy machine the capacity of a region is divided only some seconds after the
	// start.
	waitFor(t, "the server gets requests", func() bool { return arrivalsAt(w, "west-1") > 0 })
	require.NoError(t, w.ControlBackends("west", "leaving?on=true&name=west-1", nil))
	r := result()
	assert.Equal(t, r.Sent, r.Answered, "%v %v", r.NotRun, r.Examples)
	for _, s := range w.BackendStats() {
		if s.Name == "west-1" {
			assert.Positive(t, s.Arrivals)
			assert.Zero(t, s.AfterLeaving, "requests that arrived more than 3 s after the server was marked as leaving")
		}
	}
}

// arrivalsAt returns how many requests a backend server got.
func arrivalsAt(w *world.World, name string) int64 {
	for _, s := range w.BackendStats() {
		if s.Name == name {
			return s.Arrivals
		}
	}

	return 0
}

// Guards against more work at a backend server than its slots when demand is
// three times the capacity.
func TestWorkNeverAboveSlots(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 12, medianServiceMs: 40})

	// 16 slots of 40 ms carry 400 requests a second. The first recounts come
	// some 8 s after the start.
	r := startTraffic(t, w, 14*time.Second, westTraffic(w, 1200, lookupKind))()
	assert.Positive(t, r.NotRunTotal())
	assert.Greater(t, r.Answered, r.Sent/10, "%v %v", r.NotRun, r.Examples)
	assert.Zero(t, r.Unknown+r.Failed, "%v", r.Examples)
}
