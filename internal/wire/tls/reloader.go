// Package tls gives entry VMs their TLS: certificates from files that may
// change while the process runs, and the identity of peers.
package tls

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
)

// checkInterval is how often the files are compared with what is in use.
const checkInterval = 5 * time.Second

// errNoPeer means that the other side showed no certificate.
var errNoPeer = errors.New("peer has no certificate")

// Files names the PEM files of a process. The CA is empty for a certificate that
// is only shown to clients without one.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// material is one reading of the files; it is immutable.
type material struct {
	raw         [][]byte
	certificate tls.Certificate
	// roots is empty without a CA file.
	roots *x509.CertPool
}

// CertReloader holds the newest valid content of the files.
type CertReloader struct {
	files   Files
	current atomic.Pointer[material]
}

// NewCertReloader reads the files; the error names the file that is wrong.
func NewCertReloader(files Files) (*CertReloader, error) {
	k := &CertReloader{files: files}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}

	return k, nil
}

// Reload reads the files again and returns whether they changed. What is in use
// stays in use when they are wrong, for example while they are being replaced.
func (k *CertReloader) Reload() (bool, error) {
	next := &material{}
	names := []string{k.files.Cert, k.files.Key}
	if k.files.CA != "" {
		names = append(names, k.files.CA)
	}
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return false, fmt.Errorf("read TLS file: %w", err)
		}
		next.raw = append(next.raw, content)
	}
	if old := k.current.Load(); old != nil && slices.EqualFunc(old.raw, next.raw, bytes.Equal) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(next.raw[0], next.raw[1])
	if err != nil {
		return false, fmt.Errorf("certificate %s with key %s: %w", k.files.Cert, k.files.Key, err)
	}
	next.certificate = certificate
	next.roots = x509.NewCertPool()
	if k.files.CA != "" && !next.roots.AppendCertsFromPEM(next.raw[2]) {
		return false, fmt.Errorf("no certificate in %s", k.files.CA)
	}
	k.current.Store(next)

	return true, nil
}

// Watch reloads the files when they change, until ctx ends; report is called
// with the error of each wrong reading and with nil for each change in use.
func (k *CertReloader) Watch(ctx context.Context, clock timer.TimeSource, report func(error)) {
	for range clock.Subscribe(ctx, checkInterval) {
		if changed, err := k.Reload(); changed || err != nil {
			report(err)
		}
	}
}

// DNSName returns the DNS name of the own certificate, or "" when it has none.
func (k *CertReloader) DNSName() string {
	leaf := k.current.Load().certificate.Leaf
	if leaf == nil || len(leaf.DNSNames) == 0 {
		return ""
	}

	return leaf.DNSNames[0]
}

// Server returns the configuration of a listener that requires a certificate
// of each client. It follows the files.
func (k *CertReloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()

			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{m.certificate},
				ClientCAs:    m.roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// A ticket would let a client return after its CA was removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ServerWithoutClientCert returns the configuration of a listener that asks for no client
// certificate, with a TLS version such as tls.VersionTLS13 as the lowest. It
// follows the files.
func (k *CertReloader) ServerWithoutClientCert(minVersion uint16, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: minVersion,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
	}
}

// Client returns the configuration of one connection to the VM of that name,
// or to any VM with a valid certificate when the name is "".
func (k *CertReloader) Client(vm string) *tls.Config {
	m := k.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.roots,
		ServerName:   vm,
	}
	if vm == "" {
		// The chain is verified without a name, because none is known yet.
		config.InsecureSkipVerify = true
		config.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, m.roots) }
	}

	return config
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeer
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify certificate of peer: %w", err)
	}

	return nil
}

// PeerIsVM returns whether the peer's certificate names the VM.
func PeerIsVM(state tls.ConnectionState, vm string) bool {
	return vm != "" && len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, vm)
}
