package integration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
)

const changedServiceYAML = `services:
  booking:
    deadline: 4s
    class: short
    shift-cap: {percent: 100%, window: 5s}
    serve:
      east: {east: 100%}
      west: {west: 100%}
`

// Guards against requests that are cut off by a planned stop: each entry VM is
// stopped and started again in turn while callers send.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 20})

	stopped := make(chan error, 1)
	go func() {
		var first error
		for _, e := range w.Entries() {
			err := e.Stop(60 * time.Second)
			if err == nil {
				err = w.StartEntry(e)
			}
			if err == nil {
				err = w.WaitFor(t.Context(), e.VM+" is live", func() bool {
					status, ok := w.Health(t.Context(), e)

					return ok && status.State == entryapi.HealthStateLive
				})
			}
			if err != nil && first == nil {
				first = err
			}
		}
		stopped <- first
	}()
	for {
		r := startTraffic(t, w, 2*time.Second, westTraffic(w, 100, lookupKind, bookingKind))()
		assert.Zero(t, r.Unknown+r.Failed, "requests cut: %v", r.Examples)
		select {
		case err := <-stopped:
			require.NoError(t, err)

			return
		default:
		}
	}
}

// Guards against a configuration that is accepted but depends on the store to
// spread, or is lost by a restart.
func TestConfigSpreadsWithoutStore(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 12, medianServiceMs: 5})

	writeFile(t, w.Folder, "20-service.yaml", changedServiceYAML)
	require.NoError(t, w.ApplyConfig(t.Context(), w.Folder))
	w.PlatformProcess.Kill()
	waitFor(t, "version 2 is in force on all entry VMs", func() bool { return w.ConfigInForce(t.Context(), 2) })
	restarted := w.EntriesIn("west")[0]
	restarted.Kill()
	require.NoError(t, w.StartEntry(restarted))
	waitFor(t, "the restarted entry VM gets version 2 from its peers", func() bool {
		status, ok := w.Health(t.Context(), restarted)

		return ok && status.ConfigMinusVersion == 2
	})
	for _, e := range w.Entries() {
		status, ok := w.Health(t.Context(), e)
		assert.True(t, ok, e.VM)
		assert.EqualValues(t, 2, status.ConfigMinusVersion, e.VM)
	}
}

// Guards against a change that is made twice or reported as failed when the
// write took effect and its response was lost.
func TestChangeWithLostResponse(t *testing.T) {
	t.Parallel()
	w := startWorld(t, worldSetup{entryCount: 4, medianServiceMs: 5})

	writeFile(t, w.Folder, "20-service.yaml", changedServiceYAML)
	require.NoError(t, w.SetPlatformFaults(platform.Faults{LoseWriteResponses: 2}))
	require.NoError(t, w.ApplyConfig(t.Context(), w.Folder))
	waitFor(t, "version 2 is in force", func() bool { return w.ConfigInForce(t.Context(), 2) })
	assert.False(t, w.ConfigInForce(t.Context(), 3), "the change was made once")
	assert.Positive(t, w.PlatformCalls()["lost-answer"])
}
