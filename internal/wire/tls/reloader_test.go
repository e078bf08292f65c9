package tls_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/keys"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

func issue(t *testing.T, a *keys.Authority, vm string) wiretls.Files {
	t.Helper()
	cert, key, err := a.Issue(vm)
	require.NoError(t, err)

	return wiretls.Files{Cert: cert, Key: key, CA: a.File}
}

func newCertReloader(t *testing.T, files wiretls.Files) *wiretls.CertReloader {
	t.Helper()
	k, err := wiretls.NewCertReloader(files)
	require.NoError(t, err)

	return k
}

// shake connects a client to a server; server is the state that the server saw.
func shake(t *testing.T, client, server *tls.Config) (state tls.ConnectionState, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	result := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			result <- err

			return
		}
		conn := tls.Server(raw, server)
		err = conn.Handshake()
		state = conn.ConnectionState()
		_ = conn.Close()
		result <- err
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err == nil {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	if serverErr := <-result; err == nil {
		err = serverErr
	}

	return state, err
}

// Guards against a connection to or from a VM that is not the expected one, or
// that another authority vouches for.
func TestIdentity(t *testing.T) {
	t.Parallel()
	ours, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	theirs, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	one, two := newCertReloader(t, issue(t, ours, "entry-1")), newCertReloader(t, issue(t, ours, "entry-2"))
	foreign := newCertReloader(t, issue(t, theirs, "entry-2"))

	state, err := shake(t, one.Client("entry-2"), two.Server())
	require.NoError(t, err)
	require.True(t, wiretls.PeerIsVM(state, "entry-1"))
	require.False(t, wiretls.PeerIsVM(state, "entry-2"))
	_, err = shake(t, one.Client(""), two.Server())
	require.NoError(t, err)

	_, err = shake(t, one.Client("entry-3"), two.Server())
	require.Error(t, err)
	_, err = shake(t, one.Client("entry-2"), foreign.Server())
	require.Error(t, err)
	_, err = shake(t, one.Client(""), foreign.Server())
	require.Error(t, err)
	_, err = shake(t, foreign.Client("entry-1"), one.Server())
	require.Error(t, err)
	_, err = shake(t, &tls.Config{InsecureSkipVerify: true}, one.Server())
	require.Error(t, err)
}

// Guards against a restart being needed for new certificates, and against the
// loss of valid ones while the files are being replaced.
func TestReload(t *testing.T) {
	t.Parallel()
	old, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	next, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	files := issue(t, old, "entry-1")
	server, client := newCertReloader(t, files), newCertReloader(t, issue(t, next, "entry-2"))
	config := server.Server()
	_, err = shake(t, client.Client("entry-1"), config)
	require.Error(t, err)

	changed, err := server.Reload()
	require.NoError(t, err)
	require.False(t, changed)

	replacement := issue(t, next, "entry-1")
	copyFile(t, replacement.Cert, files.Cert)
	changed, err = server.Reload()
	require.Error(t, err, "the certificate does not fit the old key")
	require.False(t, changed)
	_, err = shake(t, server.Client("entry-1"), config)
	require.NoError(t, err, "the old files are still in use")

	copyFile(t, replacement.Key, files.Key)
	copyFile(t, replacement.CA, files.CA)
	changed, err = server.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	_, err = shake(t, client.Client("entry-1"), config)
	require.NoError(t, err)
}

// Guards against a listener without a CA file that asks for a client certificate
// or keeps an old certificate after its files changed.
func TestOpenServerReload(t *testing.T) {
	t.Parallel()
	old, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	next, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	files, replacement := issue(t, old, "callers"), issue(t, next, "callers")
	server := newCertReloader(t, wiretls.Files{Cert: files.Cert, Key: files.Key})
	config := server.ServerWithoutClientCert(tls.VersionTLS12, "http/1.1")
	before, err := wiretls.OperatorClient(old.File)
	require.NoError(t, err)
	after, err := wiretls.OperatorClient(next.File)
	require.NoError(t, err)
	_, err = shake(t, before, config)
	require.NoError(t, err)
	_, err = shake(t, after, config)
	require.Error(t, err)

	copyFile(t, replacement.Cert, files.Cert)
	copyFile(t, replacement.Key, files.Key)
	changed, err := server.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	_, err = shake(t, after, config)
	require.NoError(t, err)
	_, err = shake(t, before, config)
	require.Error(t, err)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	content, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, content, 0o600))
}
