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

// Guards against a token sent to a server that is no entry VM, or without TLS,
// and against "not known whether it took effect" when nothing was sent.
func TestTokenNotSent(t *testing.T) {
	t.Parallel()
	ours, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	theirs, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	untouched := func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("%s was sent with authorization %q", r.URL, r.Header.Get("Authorization"))
	}
	for name, c := range map[string]struct {
		certificate *keys.Authority
		vm          string
		args        []string
		code        int
		message     string
	}{
		"no CA":           {ours, "entry-1", nil, ExitUsage, "--tls-ca or GREENGAGETALLY_TLS_CA is required"},
		"no CA, no TLS":   {nil, "", nil, ExitUsage, "--tls-ca or GREENGAGETALLY_TLS_CA is required"},
		"wrong CA":        {theirs, "entry-1", []string{"--tls-ca", ours.CertFile}, ExitFailed, "signed by unknown authority"},
		"no name":         {ours, "", []string{"--tls-ca", ours.CertFile}, ExitFailed, "has no DNS name"},
		"server of HTTP":  {nil, "", []string{"--tls-ca", ours.CertFile}, ExitFailed, "does not look like a TLS handshake"},
		"CA and no TLS":   {ours, "entry-2", []string{"--tls-ca", ours.CertFile, "--insecure-plaintext"}, ExitUsage, "only one of them"},
		"CA file missing": {ours, "entry-3", []string{"--tls-ca", "/nowhere"}, ExitUsage, "the path of a readable file is expected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, stderr := status(t, serve(t, c.certificate, c.vm, untouched), c.args...)
			require.Equal(t, c.code, code, stderr)
			require.Contains(t, stderr, c.message)
			require.Regexp(t, `^[^\n]+\n$`, stderr)
		})
	}
}

// Guards against a token that follows a redirect to another scheme or host.
func TestTokenNotRedirected(t *testing.T) {
	t.Parallel()
	ours, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	other := serve(t, nil, "", func(http.ResponseWriter, *http.Request) { t.Error("the redirect was followed") })
	address := serve(t, ours, "entry-1", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+other+r.URL.Path, http.StatusTemporaryRedirect)
	})
	code, stderr := status(t, address, "--tls-ca", ours.CertFile)
	require.NotEqual(t, ExitOK, code, stderr)
}

// Guards against the token being lost on the accepted paths.
func TestTokenSent(t *testing.T) {
	t.Parallel()
	ours, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	for _, c := range []struct {
		certificate *keys.Authority
		arg         string
	}{{ours, "--tls-ca=" + ours.CertFile}, {nil, "--insecure-plaintext"}} {
		var authorization string
		address := serve(t, c.certificate, "entry-1", func(w http.ResponseWriter, r *http.Request) {
			authorization = r.Header.Get("Authorization")
			w.WriteHeader(http.StatusTeapot)
		})
		_, _ = status(t, address, c.arg)
		require.Equal(t, "Bearer token-of-ana-0001", authorization)
	}
}

// serve returns the address of a server, of plain HTTP without an authority.
func serve(t *testing.T, authority *keys.Authority, vm string, handler http.HandlerFunc) string {
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

// status runs the status command with an empty environment.
func status(t *testing.T, address string, args ...string) (int, string) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("ana:token-of-ana-0001\n"), 0o600))
	var out, stderr bytes.Buffer
	s := surroundings{stdout: &out, stderr: &stderr, getenv: func(string) string { return "" }}
	err := runStatus(t.Context(), s, append([]string{"--operator-address", address, "--token-file", token}, args...))

	return report(s, "status", err), stderr.String()
}
