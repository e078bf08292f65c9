package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// callTimeout bounds one call to an entry VM; it is longer than an entry VM takes to
// decide on a change.
const callTimeout = 30 * time.Second

// operatorClient calls the operator API of entry VMs; when an entry VM does not answer,
// it calls the next one.
type operatorClient struct {
	// addresses are tried in this order.
	addresses []string
	token     string
	// scheme is http or https.
	scheme string
	http   *http.Client
}

// operatorFlags adds the flags for calling entry VMs. It returns a function that makes
// the client; that function must be called after parse.
func (s *settings) operatorFlags() func() (*operatorClient, error) {
	addresses := s.text("operator-address", "", true, "Operator address of an entry VM; several are separated by commas and tried in turn.")
	tokenFile := s.file("token-file", true, "File whose first line is the operator's token, or name:token.")
	ca := s.file("tls-ca", false, "PEM file of the CA that signs the certificates of entry VMs; required unless --insecure-plaintext is set.")
	plaintext := s.boolean("insecure-plaintext", "Send the token without TLS, for tests on one machine.")

	return func() (*operatorClient, error) {
		scheme, transport, err := operatorTransport(*ca, *plaintext)
		if err != nil {
			return nil, err
		}
		data, err := os.ReadFile(*tokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token: %w", err)
		}
		line, _, _ := bytes.Cut(data, []byte("\n"))
		token := strings.TrimSpace(string(line))
		if _, after, ok := strings.Cut(token, ":"); ok {
			token = after
		}

		return &operatorClient{
			addresses: strings.Split(*addresses, ","), token: token, scheme: scheme,
			http: &http.Client{
				Timeout: callTimeout, Transport: transport,
				// net/http would send the token again on a redirect to plain HTTP on the same host.
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			},
		}, nil
	}
}

// OperatorToken implements operatorapi.SecuritySource; the error is always nil.
func (o *operatorClient) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: o.token}, nil
}

// call sends a request, which must be safe to repeat, to the entry VMs in turn until
// one answers. It tries the next one when there is no answer or status 503, which means
// that the entry VM cannot reach the store. The error is an exitError with ExitUnknown
// after status 504, or when no entry VM answered although an entry VM may have got the
// request.
func call[T any](ctx context.Context, o *operatorClient, request func(context.Context, *operatorapi.Client) (T, error)) (T, error) {
	var (
		zero      T
		lastErr   error
		maybeSent bool
	)
	for _, address := range o.addresses {
		client, err := operatorapi.NewClient(o.scheme+"://"+strings.TrimSpace(address), o, operatorapi.WithClient(o.http))
		if err != nil {
			return zero, usageError(fmt.Sprintf("--operator-address %q: addresses and ports such as 127.0.0.1:7104, separated by commas, are expected", address))
		}
		out, err := request(ctx, client)
		var failure *operatorapi.FailureStatusCode
		switch {
		case err == nil:
			return out, nil
		case errors.As(err, &failure) && failure.StatusCode == http.StatusGatewayTimeout:
			return zero, exitError{code: ExitUnknown, message: failure.Response.Message}
		case errors.As(err, &failure) && failure.StatusCode != http.StatusServiceUnavailable:
			return zero, errors.New(failure.Response.Message)
		case failure != nil:
			err = errors.New(failure.Response.Message)
		}
		var notConnected connectError
		maybeSent = maybeSent || failure == nil && !errors.As(err, &notConnected)
		lastErr = fmt.Errorf("entry VM %s: %w", address, err)
	}
	if maybeSent {
		return zero, exitError{code: ExitUnknown, message: "not known whether the call took effect: " + lastErr.Error()}
	}

	return zero, lastErr
}

// folderAt returns the number and the files of a configuration version; 0 asks for
// the version in force.
func (o *operatorClient) folderAt(ctx context.Context, version int64) (int64, []folder.File, error) {
	params := operatorapi.GetConfigParams{}
	if version > 0 {
		params.Version.SetTo(version)
	}
	out, err := call(ctx, o, func(ctx context.Context, c *operatorapi.Client) (*operatorapi.Folder, error) {
		return c.GetConfig(ctx, params)
	})
	if err != nil {
		return 0, nil, err
	}
	files := make([]folder.File, 0, len(out.Files))
	for _, f := range out.Files {
		files = append(files, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}

	return out.Version, files, nil
}
