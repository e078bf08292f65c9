// Package keys creates a certificate authority and certificates for greengagetally-lab
// and tests; greengagetally and greengagetally-platform do not use it.
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

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	// CertFile is the path of the authority's own certificate in PEM.
	CertFile string

	// dir is the folder of the issued certificates and keys.
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority that writes its files to dir. It returns an error
// when its certificate cannot be written.
func NewAuthority(dir string) (*Authority, error) {
	template := newTemplate("greengagetally lab")
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	a := &Authority{CertFile: filepath.Join(dir, "ca.pem"), dir: dir, cert: template, key: key}

	return a, a.sign(template, key, a.CertFile)
}

// Issue creates a certificate with a DNS name, for both server and client authentication.
// It returns the paths of the PEM files of the certificate and the key. It returns an
// error when one of these files cannot be written.
func (a *Authority) Issue(dnsName string) (certFile, keyFile string, err error) {
	return a.issue(dnsName, []string{dnsName})
}

// IssueWithoutDNSName is like Issue but the certificate has no DNS name.
func (a *Authority) IssueWithoutDNSName() (certFile, keyFile string, err error) {
	return a.issue("nameless", nil)
}

func (a *Authority) issue(commonName string, dnsNames []string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generate key: %w", err)
	}
	template := newTemplate(commonName)
	template.DNSNames = dnsNames
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certFile = filepath.Join(a.dir, commonName+".pem")
	keyFile = filepath.Join(a.dir, commonName+".key")
	if err := a.sign(template, key, certFile); err != nil {
		return "", "", err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", fmt.Errorf("encode key: %w", err)
	}

	return certFile, keyFile, writePEM(keyFile, "PRIVATE KEY", der)
}

// newTemplate returns a certificate template that is valid from one hour ago until
// 24 hours from now.
func newTemplate(commonName string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: commonName},
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

	return writePEM(file, "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return fmt.Errorf("write PEM file: %w", err)
	}

	return nil
}
