package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/lab/broken"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
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

// Guards against heads that are not scanned because the connection is one of TLS.
func TestBrokenResponseOverTLSIsRefused(t *testing.T) {
	t.Parallel()
	status, err := json.Marshal(&operatorapi.Status{})
	require.NoError(t, err)
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	for _, c := range []struct {
		line string
		code int
	}{{"X-A: b\r\n", ExitOK}, {"X A: b\r\n", ExitUnknown}} {
		address := startServer(t, authority, "entry-1", func(w http.ResponseWriter, _ *http.Request) {
			raw, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = raw.Close() }()
			_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", jsonFields, c.line, len(status), status)
		})
		code, stderr := runStatusCommand(t, address, "--tls-ca", authority.CertFile)
		require.Equal(t, c.code, code, stderr)
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
