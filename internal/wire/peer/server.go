// Package peer sends control messages, configuration and held answers between entry
// VMs over gRPC; `greengagetally entry` uses it. Package run/configuration defines the
// root and the parts of the configuration; held answers are those of wire/caller.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/caller"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

const (
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 64
	// serverIdleTimeout closes connections without a call in progress.
	serverIdleTimeout = time.Minute
	// keepaliveTimeout is how long a connection may be silent before the server sends a
	// ping, and also how long the server waits for the response to the ping. Without a
	// response, the peer no longer exists and the server closes the connection.
	keepaliveTimeout = 20 * time.Second
	// maxHeaderListBytes bounds the header of a call.
	maxHeaderListBytes = 4 << 10
)

// Handler handles the calls that a Server receives.
type Handler interface {
	// Received handles the messages of an envelope from the entry VM sender. With TLS,
	// the certificate of that VM was verified.
	Received(sender event.Member, envelope *peerpb.Envelope)
	// ConfigVersion returns the version of the configuration in force, or 0 if there is
	// none yet.
	ConfigVersion() uint64
	// Root returns the changes of the configuration root since knownVersion. It returns
	// the whole root if knownVersion is 0 or that version is not kept.
	Root(knownVersion uint64) *peerpb.RootDelta
	// Parts returns the parts of the configuration with these hashes that this process
	// holds.
	Parts(hashes []string) []*peerpb.Part
	// Answer returns the answer held for an idempotency key and the fingerprint of its
	// request. If no answer is found, inProgress says whether the request is still in
	// progress.
	Answer(key string, fingerprint uint64) (answer caller.Answer, found, inProgress bool)
}

// Server serves the control calls of other entry VMs.
type Server struct {
	peerpb.UnimplementedPeerServer

	handler Handler
	counter Counter
	// secure is true when connections use TLS and each envelope's sender is compared
	// with the client's certificate.
	secure bool
	grpc   *grpc.Server
}

// NewServer returns a server; tlsFiles is nil for plain text.
func NewServer(handler Handler, tlsFiles *wiretls.CertReloader, counter Counter) *Server {
	s := &Server{handler: handler, counter: counter, secure: tlsFiles != nil}
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: serverIdleTimeout, Time: keepaliveTimeout, Timeout: keepaliveTimeout}),
	}
	if tlsFiles != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsFiles.Server())))
	}
	s.grpc = grpc.NewServer(options...)
	peerpb.RegisterPeerServer(s.grpc, s)

	return s
}

// Serve serves calls until Stop, after which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}

	return nil
}

// Stop ends all calls and closes all connections and the listener.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Send passes an envelope to the handler. With TLS it refuses an envelope whose
// sender is not the VM that the certificate names. Send implements
// peerpb.PeerServer, like the Fetch methods.
func (s *Server) Send(ctx context.Context, envelope *peerpb.Envelope) (*peerpb.Receipt, error) {
	from := envelope.GetFrom()
	if from.GetVm() == "" {
		return nil, status.Error(codes.InvalidArgument, "the envelope names no sender")
	}
	if s.secure && !callerIsVM(ctx, from.GetVm()) {
		return nil, status.Errorf(codes.PermissionDenied, "the certificate does not name VM %q", from.GetVm())
	}
	countMessages(s.counter, "received", envelope)
	s.handler.Received(event.Member{VM: from.GetVm(), Incarnation: from.GetIncarnation()}, envelope)

	return &peerpb.Receipt{ConfigVersion: s.handler.ConfigVersion()}, nil
}

// FetchRoot returns the changes of the configuration root since a version.
func (s *Server) FetchRoot(_ context.Context, r *peerpb.FetchRootRequest) (*peerpb.RootDelta, error) {
	delta := s.handler.Root(r.GetKnownVersion())
	s.counter.ControlBytes("sent/root", proto.Size(delta))

	return delta, nil
}

// FetchParts sends the requested parts of the configuration that are held here.
func (s *Server) FetchParts(r *peerpb.FetchPartsRequest, stream grpc.ServerStreamingServer[peerpb.Part]) error {
	for _, part := range s.handler.Parts(r.GetHashes()) {
		s.counter.ControlBytes("sent/part", proto.Size(part))
		if err := stream.Send(part); err != nil {
			return fmt.Errorf("send configuration part: %w", err)
		}
	}

	return nil
}

// FetchAnswer returns the answer held for an idempotency key.
func (s *Server) FetchAnswer(_ context.Context, r *peerpb.FetchAnswerRequest) (*peerpb.HeldAnswer, error) {
	answer, found, inProgress := s.handler.Answer(r.GetKey(), r.GetFingerprint())
	if !found {
		return &peerpb.HeldAnswer{InProgress: inProgress}, nil
	}
	header, err := json.Marshal(answer.Header)
	if err != nil {
		return nil, fmt.Errorf("encode header of held answer: %w", err)
	}

	return &peerpb.HeldAnswer{Found: true, Status: int32(answer.Status), Header: header, Body: answer.Body}, nil
}

// countMessages counts the bytes of an envelope and, by kind, the bytes of its messages.
// direction is "sent" or "received".
func countMessages(counter Counter, direction string, envelope *peerpb.Envelope) {
	counter.ControlBytes(direction+"/envelopes", proto.Size(envelope))
	for _, m := range envelope.GetMessages() {
		reflection := m.ProtoReflect()
		kind := "unknown"
		if field := reflection.WhichOneof(reflection.Descriptor().Oneofs().Get(0)); field != nil {
			kind = string(field.Name())
		}
		counter.ControlBytes(direction+"/"+kind, proto.Size(m))
	}
}
