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

// issue returns the files of a new certificate with the VM's name.
func issue(t *testing.T, a *keys.Authority, vm string) wiretls.Files {
	t.Helper()
	cert, key, err := a.Issue(vm)
	require.NoError(t, err)

	return wiretls.Files{Cert: cert, Key: key, CA: a.CertFile}
}

func newCertReloader(t *testing.T, files wiretls.Files) *wiretls.CertReloader {
	t.Helper()
	r, err := wiretls.NewCertReloader(files)
	require.NoError(t, err)

	return r
}

// handshake connects a client to a server and returns the connection state of the
// server and the error of either side.
func handshake(t *testing.T, client, server *tls.Config) (state tls.ConnectionState, err error) {
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

// Guards against a connection to or from a VM that is not the expected VM, has no
// certificate, or has a certificate that another CA signed.
func TestPeerCertificate(t *testing.T) {
	t.Parallel()
	ownCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	otherCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	entry1, entry2 := newCertReloader(t, issue(t, ownCA, "entry-1")), newCertReloader(t, issue(t, ownCA, "entry-2"))
	untrusted := newCertReloader(t, issue(t, otherCA, "entry-2"))

	state, err := handshake(t, entry1.Client("entry-2"), entry2.Server())
	require.NoError(t, err)
	require.True(t, wiretls.PeerIsVM(state, "entry-1"))
	require.False(t, wiretls.PeerIsVM(state, "entry-2"))
	_, err = handshake(t, entry1.Client(""), entry2.Server())
	require.NoError(t, err)

	_, err = handshake(t, entry1.Client("entry-3"), entry2.Server())
	require.Error(t, err)
	_, err = handshake(t, entry1.Client("entry-2"), untrusted.Server())
	require.Error(t, err)
	_, err = handshake(t, entry1.Client(""), untrusted.Server())
	require.Error(t, err)
	_, err = handshake(t, untrusted.Client("entry-1"), entry1.Server())
	require.Error(t, err)
	_, err = handshake(t, &tls.Config{InsecureSkipVerify: true}, entry1.Server())
	require.Error(t, err)
}

// Guards against new certificates that take effect only after a restart, and against
// dropping a valid certificate while the files are being replaced.
func TestReload(t *testing.T) {
	t.Parallel()
	oldCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	newCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	files := issue(t, oldCA, "entry-1")
	server, client := newCertReloader(t, files), newCertReloader(t, issue(t, newCA, "entry-2"))
	config := server.Server()
	_, err = handshake(t, client.Client("entry-1"), config)
	require.Error(t, err)

	changed, err := server.Reload()
	require.NoError(t, err)
	require.False(t, changed)

	replacement := issue(t, newCA, "entry-1")
	copyFile(t, replacement.Cert, files.Cert)
	changed, err = server.Reload()
	require.Error(t, err, "the certificate does not fit the old key")
	require.False(t, changed)
	_, err = handshake(t, server.Client("entry-1"), config)
	require.NoError(t, err, "the old files are still in use")

	copyFile(t, replacement.Key, files.Key)
	copyFile(t, replacement.CA, files.CA)
	changed, err = server.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	_, err = handshake(t, client.Client("entry-1"), config)
	require.NoError(t, err)
}

// Guards against a listener without a CA file that requests a client certificate or
// keeps an old certificate after its files changed.
func TestServerWithoutClientCertReload(t *testing.T) {
	t.Parallel()
	oldCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	newCA, err := keys.NewAuthority(t.TempDir())
	require.NoError(t, err)
	files, replacement := issue(t, oldCA, "callers"), issue(t, newCA, "callers")
	server := newCertReloader(t, wiretls.Files{Cert: files.Cert, Key: files.Key})
	config := server.ServerWithoutClientCert(tls.VersionTLS12, "http/1.1")
	oldCAClient, err := wiretls.OperatorClient(oldCA.CertFile)
	require.NoError(t, err)
	newCAClient, err := wiretls.OperatorClient(newCA.CertFile)
	require.NoError(t, err)
	_, err = handshake(t, oldCAClient, config)
	require.NoError(t, err)
	_, err = handshake(t, newCAClient, config)
	require.Error(t, err)

	copyFile(t, replacement.Cert, files.Cert)
	copyFile(t, replacement.Key, files.Key)
	changed, err := server.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	_, err = handshake(t, newCAClient, config)
	require.NoError(t, err)
	_, err = handshake(t, oldCAClient, config)
	require.Error(t, err)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	content, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, content, 0o600))
}
