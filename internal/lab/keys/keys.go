// Package keys makes a certificate authority and certificates for tests.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates; its own is in File.
type Authority struct {
	// CertFile is the PEM file of the authority's certificate.
	CertFile string

	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority whose files are in dir.
func NewAuthority(dir string) (*Authority, error) {
	template := certificate("greengagetally lab")
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	a := &Authority{CertFile: filepath.Join(dir, "ca.pem"), dir: dir, cert: template, key: key}

	return a, a.sign(template, key, a.CertFile)
}

// Issue makes a certificate with vm as its DNS name, for servers and clients,
// and returns the PEM files of the certificate and the key.
func (a *Authority) Issue(vm string) (certFile, keyFile string, err error) {
	return a.issue(vm, []string{vm})
}

// IssueWithoutDNSName makes a certificate without a DNS name; otherwise it is as Issue.
func (a *Authority) IssueWithoutDNSName() (certFile, keyFile string, err error) {
	return a.issue("nameless", nil)
}

func (a *Authority) issue(vm string, names []string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("make key: %w", err)
	}
	template := certificate(vm)
	template.DNSNames = names
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certFile = filepath.Join(a.dir, vm+".pem")
	keyFile = filepath.Join(a.dir, vm+".key")
	if err := a.sign(template, key, certFile); err != nil {
		return "", "", err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", fmt.Errorf("encode key: %w", err)
	}

	return certFile, keyFile, write(keyFile, "PRIVATE KEY", der)
}

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		BasicConstraintsValid: true,
	}
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey, file string) error {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate: %w", err)
	}

	return write(file, "CERTIFICATE", der)
}

func write(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}

	return nil
}
