package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"

	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// clientCredentials makes the TLS connections to one VM. Each new connection uses the
// newest certificate. vm is "" if the VM at the address is not known.
type clientCredentials struct {
	tlsFiles *wiretls.CertReloader
	vm       string
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *clientCredentials) ClientHandshake(ctx context.Context, _ string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.tlsFiles.Client(c.vm)).ClientHandshake(ctx, c.vm, raw)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *clientCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.tlsFiles.Server()).ServerHandshake(raw)
}

// Info implements credentials.TransportCredentials.
func (c *clientCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	clone := *c

	return &clone
}

// OverrideServerName implements credentials.TransportCredentials. It has no effect: the
// expected server name is always the field vm.
func (c *clientCredentials) OverrideServerName(string) error {
	return nil
}

// callerIsVM returns whether the caller of an RPC presented a certificate that names vm.
func callerIsVM(ctx context.Context, vm string) bool {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)

	return ok && wiretls.PeerIsVM(info.State, vm)
}
