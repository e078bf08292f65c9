package tls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// errNoDNSName means that a certificate has no DNS name, so it is not the certificate
// of a VM.
var errNoDNSName = errors.New("certificate of the entry VM has no DNS name")

// OperatorClient returns the TLS configuration of operators' HTTP/1.1 connections to
// entry VMs. It accepts certificates signed by the CA in the PEM file, and fails when
// the file cannot be read or holds no certificate.
func OperatorClient(caFile string) (*tls.Config, error) {
	content, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read TLS file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("no certificate in %s", caFile)
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		// Operators address VMs by IP address, but a certificate holds the VM's name. So
		// the host name is not compared; VerifyConnection verifies only the chain and
		// that there is a DNS name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyChain(state, roots); err != nil {
				return err
			}
			if len(state.PeerCertificates[0].DNSNames) == 0 {
				return errNoDNSName
			}

			return nil
		},
	}, nil
}
