package process

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// secureSettings returns settings with TLS for entry VMs and operators.
func secureSettings(t *testing.T, authority *keys.Authority) Settings {
	t.Helper()
	s := testSettings()
	cert, key, err := authority.Issue(s.VM)
	require.NoError(t, err)
	s.InsecurePlaintext, s.TLSCert, s.TLSKey, s.TLSCA = false, cert, key, authority.CertFile

	return s
}

// operatorHTTP returns a client that trusts the authority.
func operatorHTTP(t *testing.T, authority *keys.Authority) *http.Client {
	t.Helper()
	config, err := wiretls.OperatorClient(authority.CertFile)
	require.NoError(t, err)
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	t.Cleanup(transport.CloseIdleConnections)

	return &http.Client{Transport: transport}
}

// operatorURL returns the base URL of the operator listener.
func (f *fixture) operatorURL() string {
	return "https://" + f.process.listeners.operator.Addr().String()
}

// unknownToken implements operatorapi.SecuritySource with a token that the entry
// VM does not know.
type unknownToken struct{}

func (unknownToken) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: "token-of-nobody-9"}, nil
}

// errorOf returns the error of a call with two results.
func errorOf[T any](_ T, err error) error {
	return err
}

// Guards against any bearer token being accepted by an entry VM without a file of them.
func TestOperatorCallsWithoutTokenFile(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	f := startProcess(t, secureSettings(t, authority))
	c, err := operatorapi.NewClient(f.operatorURL(), unknownToken{}, operatorapi.WithClient(operatorHTTP(t, authority)))
	require.NoError(t, err)
	ctx := t.Context()
	for name, call := range map[string]func() error{
		"status":  func() error { return errorOf(c.Status(ctx)) },
		"drain":   func() error { return c.Drain(ctx) },
		"history": func() error { return errorOf(c.History(ctx, operatorapi.HistoryParams{})) },
		"force":   func() error { return errorOf(c.InForce(ctx)) },
		"config":  func() error { return errorOf(c.GetConfig(ctx, operatorapi.GetConfigParams{})) },
		"change": func() error {
			return errorOf(c.ApplyChange(ctx, &operatorapi.Change{Message: "m", Nonce: "0123456789abcdef", Files: []operatorapi.File{}, Removed: []string{}}))
		},
	} {
		var failure *operatorapi.FailureStatusCode
		require.ErrorAs(t, call(), &failure, name)
		require.Equal(t, http.StatusUnauthorized, failure.StatusCode, name)
	}
	select {
	case <-f.process.stopping:
		t.Error("the refused drain started a shutdown")
	default:
	}
}

// Guards against operators being served over plain HTTP, and against a restart
// being needed for a new certificate.
func TestOperatorCertificateReload(t *testing.T) {
	t.Parallel()
	old, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	next, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	settings := secureSettings(t, old)
	f := startProcess(t, settings)
	servesMetrics := func(c *http.Client, url string) bool {
		resp, err := c.Get(url + "/metrics")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	}
	before, after := operatorHTTP(t, old), operatorHTTP(t, next)
	require.True(t, servesMetrics(before, f.operatorURL()))
	require.False(t, servesMetrics(after, f.operatorURL()))
	require.False(t, servesMetrics(newClient(t), "http://"+f.process.listeners.operator.Addr().String()))

	replacement := secureSettings(t, next)
	for from, to := range map[string]string{
		replacement.TLSCert: settings.TLSCert, replacement.TLSKey: settings.TLSKey, replacement.TLSCA: settings.TLSCA,
	} {
		content, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(to, content, 0o600))
	}
	require.Eventually(t, func() bool { return servesMetrics(after, f.operatorURL()) }, 30*time.Second, 100*time.Millisecond)
	require.False(t, servesMetrics(before, f.operatorURL()))
}

// Guards against a request or lookup listener that does not serve HTTP/1.1 and
// HTTP/2 over TLS.
func TestCallersTLS(t *testing.T) {
	t.Parallel()
	authority, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	settings := testSettings()
	settings.CallerCert, settings.CallerKey, err = authority.Issue("booking.test")
	require.NoError(t, err)
	f := startProcess(t, settings, backendServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	for version, enable := range map[int]func(*http.Protocols){
		1: func(p *http.Protocols) { p.SetHTTP1(true) },
		2: func(p *http.Protocols) { p.SetHTTP2(true) },
	} {
		config, err := wiretls.OperatorClient(authority.CertFile)
		require.NoError(t, err)
		config.NextProtos = nil
		transport := &http.Transport{TLSClientConfig: config.Clone(), Protocols: new(http.Protocols)}
		enable(transport.Protocols)
		t.Cleanup(transport.CloseIdleConnections)
		req := f.request(t, http.MethodPost, "/", "over TLS")
		req.URL.Scheme = "https"
		resp, err := (&http.Client{Transport: transport}).Do(req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(t, err)
		require.Equal(t, version, resp.ProtoMajor)
		require.Equal(t, "over TLS", string(body))
		resp, err = (&http.Client{Transport: transport}).Get("https://" + f.process.listeners.lookup.Addr().String() + "/v1/health")
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, version, resp.ProtoMajor)
		require.Equal(t, uint16(tls.VersionTLS13), resp.TLS.Version)
	}
}
