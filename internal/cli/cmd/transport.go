package cmd

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// connectTimeout bounds the dial and the TLS handshake of a connection together.
const connectTimeout = 10 * time.Second

// connectError means that the connection failed before anything of a request was sent.
type connectError struct {
	error
}

// Unwrap returns the cause.
func (e connectError) Unwrap() error {
	return e.error
}

// operatorTransport returns the scheme and the transport for calls to the operator API;
// ca is the path of a PEM file. The error is a usageError.
func operatorTransport(ca string, plaintext bool) (string, http.RoundTripper, error) {
	switch {
	case ca == "" && !plaintext:
		return "", nil, usageError(fmt.Sprintf("--tls-ca or %s is required unless --insecure-plaintext is set: the path of a PEM file", envVariable("tls-ca")))
	case ca != "" && plaintext:
		return "", nil, usageError("--tls-ca and --insecure-plaintext: only one of them is expected")
	case plaintext:
		return "http", wirehttp.Transport{Transport: &http.Transport{DialContext: dialMarkingErrors(&net.Dialer{})}}, nil
	}
	config, err := wiretls.OperatorClient(ca)
	if err != nil {
		return "", nil, usageError(fmt.Sprintf("--tls-ca %q: %s", ca, err))
	}

	return "https", wirehttp.Transport{Transport: &http.Transport{DialTLSContext: dialMarkingErrors(&tls.Dialer{Config: config})}}, nil
}

// dialMarkingErrors returns a function that dials with d and wraps errors in
// connectError. With TLS, these include the errors of the handshake, which is part of
// the dial.
func dialMarkingErrors(d interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
},
) wirehttp.DialFunc {
	return wirehttp.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, connectError{fmt.Errorf("connect: %w", err)}
		}

		return conn, nil
	})
}
