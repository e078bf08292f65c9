package cmd

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/lab/broken"
)

// jsonFields are the fields of a response with JSON.
const jsonFields = "Content-Type: application/json\r\n"

// startBroken starts a server that sends a broken response to each request.
func startBroken(t *testing.T, response string) string {
	t.Helper()
	address, stop, err := broken.Start(broken.Always(response, broken.Close))
	require.NoError(t, err)
	t.Cleanup(stop)

	return address
}

// Guards against a broken response of an entry VM that an operator gets as its state.
func TestBrokenResponsesToOperatorsAreRefused(t *testing.T) {
	t.Parallel()
	status, err := json.Marshal(&operatorapi.Status{})
	require.NoError(t, err)
	for name, response := range broken.Responses(jsonFields, string(status)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, stderr := runStatusCommand(t, startBroken(t, response), "--insecure-plaintext")
			require.Equal(t, ExitUnknown, code, stderr)
		})
	}
}

// Guards against a broken response of an entry VM that tells a caller which entry VMs to use.
func TestBrokenResponsesToLookupsAreRefused(t *testing.T) {
	t.Parallel()
	answer, err := json.Marshal(&entryapi.LookupAnswer{Entries: []entryapi.EntryAddress{}})
	require.NoError(t, err)
	for name, response := range broken.Responses(jsonFields, string(answer)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out, stderr bytes.Buffer
			env := environment{stdout: &out, stderr: &stderr, getenv: func(string) string { return "" }}
			err := runLookup(t.Context(), env, []string{"--lookup-address", startBroken(t, response), "booking"})
			require.Error(t, err, out.String())
		})
	}
}
