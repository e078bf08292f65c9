// Package tls makes the TLS configurations of entry VMs and operators: it reloads
// certificates when their files change and compares the certificate of a peer with
// a VM's name. `greengagetally entry` and the operators' commands use it.
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

// checkInterval is how often the files are compared with the content in use.
const checkInterval = 5 * time.Second

// errNoPeerCertificate means that the other side presented no certificate.
var errNoPeerCertificate = errors.New("peer has no certificate")

// Files holds the paths of PEM files: a certificate, its key, and the CA that signs
// the certificates of peers. CA may be empty if peers present no certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// loadedFiles is the content of the files, read and parsed once; it is immutable.
type loadedFiles struct {
	// contents holds the certificate file, the key file and, if set, the CA file.
	contents    [][]byte
	certificate tls.Certificate
	// roots holds the CA's certificates; it is empty without a CA file.
	roots *x509.CertPool
}

// CertReloader holds the newest valid content of the files. Its methods may be
// called concurrently.
type CertReloader struct {
	files   Files
	current atomic.Pointer[loadedFiles]
}

// NewCertReloader reads the files. The error names the file that is missing or wrong.
func NewCertReloader(files Files) (*CertReloader, error) {
	r := &CertReloader{files: files}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}

	return r, nil
}

// Reload reads the files again and returns whether their content changed. When a
// file is missing or wrong, for example while the files are being replaced, Reload
// returns an error and the old content stays in use.
func (r *CertReloader) Reload() (bool, error) {
	next := &loadedFiles{}
	paths := []string{r.files.Cert, r.files.Key}
	if r.files.CA != "" {
		paths = append(paths, r.files.CA)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return false, fmt.Errorf("read TLS file: %w", err)
		}
		next.contents = append(next.contents, content)
	}
	if old := r.current.Load(); old != nil && slices.EqualFunc(old.contents, next.contents, bytes.Equal) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(next.contents[0], next.contents[1])
	if err != nil {
		return false, fmt.Errorf("certificate %s with key %s: %w", r.files.Cert, r.files.Key, err)
	}
	next.certificate = certificate
	next.roots = x509.NewCertPool()
	if r.files.CA != "" && !next.roots.AppendCertsFromPEM(next.contents[2]) {
		return false, fmt.Errorf("no certificate in %s", r.files.CA)
	}
	r.current.Store(next)

	return true, nil
}

// Watch checks the files every 5 s until ctx ends, and reloads changed files. It calls
// report with nil when changed files have come into use, and with the error when a
// reload has failed.
func (r *CertReloader) Watch(ctx context.Context, clock timer.TimeSource, report func(error)) {
	for range clock.Subscribe(ctx, checkInterval) {
		if changed, err := r.Reload(); changed || err != nil {
			report(err)
		}
	}
}

// DNSName returns the first DNS name of the certificate, or "" when it has none.
func (r *CertReloader) DNSName() string {
	leaf := r.current.Load().certificate.Leaf
	if leaf == nil || len(leaf.DNSNames) == 0 {
		return ""
	}

	return leaf.DNSNames[0]
}

// Server returns the configuration of an HTTP/2 listener that requires a
// certificate signed by the CA from each client. New connections use the newest
// content of the files.
func (r *CertReloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := r.current.Load()

			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{loaded.certificate},
				ClientCAs:    loaded.roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// A session ticket would let a client connect again after its CA was
				// removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ServerWithoutClientCert returns the configuration of a listener that requests no
// client certificate. minVersion is the lowest TLS version, such as
// tls.VersionTLS13; protocols are the ALPN names, such as "h2". New connections use
// the newest content of the files.
func (r *CertReloader) ServerWithoutClientCert(minVersion uint16, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: minVersion,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}

// Client returns the configuration of one HTTP/2 connection to the named VM, or to
// any VM with a valid certificate when vm is "". Later changes of the files do not
// affect the configuration.
func (r *CertReloader) Client(vm string) *tls.Config {
	loaded := r.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{loaded.certificate},
		RootCAs:      loaded.roots,
		ServerName:   vm,
	}
	if vm == "" {
		// The VM's name is not known, so VerifyConnection verifies only the chain.
		config.InsecureSkipVerify = true
		config.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, loaded.roots) }
	}

	return config
}

// verifyChain verifies that the peer's certificate chains up to one of the roots; it
// does not compare names.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
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

// PeerIsVM returns whether the peer's certificate has vm as a DNS name. It returns false
// if vm is "".
func PeerIsVM(state tls.ConnectionState, vm string) bool {
	return vm != "" && len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, vm)
}
