package cmd

import (
	"bytes"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/keys"
)

// Guards against a token that is sent without TLS or to a server that is not an entry
// VM, and against ExitUnknown when nothing was sent.
func TestTokenNotSent(t *testing.T) {
	t.Parallel()
	trusted, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	untrusted, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	failOnRequest := func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s was sent with authorization %q", r.URL, r.Header.Get("Authorization"))
	}
	for name, c := range map[string]struct {
		issuer  *keys.Authority
		vm      string
		args    []string
		code    int
		message string
	}{
		"no CA":           {trusted, "entry-1", nil, ExitUsage, "--tls-ca or GREENGAGETALLY_TLS_CA is required"},
		"no CA, no TLS":   {nil, "", nil, ExitUsage, "--tls-ca or GREENGAGETALLY_TLS_CA is required"},
		"wrong CA":        {untrusted, "entry-1", []string{"--tls-ca", trusted.CertFile}, ExitFailed, "signed by unknown authority"},
		"no name":         {trusted, "", []string{"--tls-ca", trusted.CertFile}, ExitFailed, "has no DNS name"},
		"server of HTTP":  {nil, "", []string{"--tls-ca", trusted.CertFile}, ExitFailed, "does not look like a TLS handshake"},
		"CA and no TLS":   {trusted, "entry-2", []string{"--tls-ca", trusted.CertFile, "--insecure-plaintext"}, ExitUsage, "only one of them"},
		"CA file missing": {trusted, "entry-3", []string{"--tls-ca", "/nowhere"}, ExitUsage, "the path of an existing file is expected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, stderr := runStatusCommand(t, startServer(t, c.issuer, c.vm, failOnRequest), c.args...)
			require.Equal(t, c.code, code, stderr)
			require.Contains(t, stderr, c.message)
			require.Regexp(t, `^[^\n]+\n$`, stderr)
		})
	}
}

// Guards against a token that is sent again after a redirect to another scheme or host.
func TestTokenNotRedirected(t *testing.T) {
	t.Parallel()
	trusted, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	other := startServer(t, nil, "", func(http.ResponseWriter, *http.Request) { t.Error("the redirect was followed") })
	address := startServer(t, trusted, "entry-1", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+other+r.URL.Path, http.StatusTemporaryRedirect)
	})
	code, stderr := runStatusCommand(t, address, "--tls-ca", trusted.CertFile)
	require.NotEqual(t, ExitOK, code, stderr)
}

// Guards against requests that lack the token, over TLS or over plain HTTP that the
// operator allowed.
func TestTokenSent(t *testing.T) {
	t.Parallel()
	trusted, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	for _, c := range []struct {
		issuer *keys.Authority
		arg    string
	}{{trusted, "--tls-ca=" + trusted.CertFile}, {nil, "--insecure-plaintext"}} {
		var authorization string
		address := startServer(t, c.issuer, "entry-1", func(w http.ResponseWriter, r *http.Request) {
			authorization = r.Header.Get("Authorization")
			w.WriteHeader(http.StatusTeapot)
		})
		_, _ = runStatusCommand(t, address, c.arg)
		require.Equal(t, "Bearer token-of-ana-0001", authorization)
	}
}

// startServer starts a server and returns its address. If authority is nil, the server
// speaks plain HTTP; if vm is "", its certificate has no DNS name.
func startServer(t *testing.T, authority *keys.Authority, vm string, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	if authority == nil {
		server.Start()

		return server.Listener.Addr().String()
	}
	issue := authority.Issue
	if vm == "" {
		issue = func(string) (string, string, error) { return authority.IssueWithoutDNSName() }
	}
	cert, key, err := issue(vm)
	require.NoError(t, err)
	certificate, err := tls.LoadX509KeyPair(cert, key)
	require.NoError(t, err)
	server.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}}
	server.StartTLS()

	return server.Listener.Addr().String()
}

// runStatusCommand runs status without environment variables and returns the exit code
// and the error output.
func runStatusCommand(t *testing.T, address string, args ...string) (int, string) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("ana:token-of-ana-0001\n"), 0o600))
	var out, stderr bytes.Buffer
	env := environment{stdout: &out, stderr: &stderr, getenv: func(string) string { return "" }}
	err := runStatus(t.Context(), env, append([]string{"--operator-address", address, "--token-file", token}, args...))

	return reportError(env, "status", err), stderr.String()
}
