// Package peer carries control messages between entry VMs over grpc.
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
	// serverIdle closes connections of peers that do not call any more.
	serverIdle = time.Minute
	// deadAfter finds out connections of peers that vanished.
	deadAfter = 20 * time.Second
	// headerListBytes bounds the header of a call.
	headerListBytes = 4 << 10
)

// Handler is the process that a server speaks for.
type Handler interface {
	// Received takes the messages of an envelope.
	Received(from event.Member, envelope *peerpb.Envelope)
	// ConfigVersion returns the version in force, or 0.
	ConfigVersion() uint64
	// Root returns the changes of the configuration root since a version.
	Root(known uint64) *peerpb.RootDelta
	// Parts returns those of the configuration's parts that are held.
	Parts(hashes []string) []*peerpb.Part
	// Answer returns a held answer and whether its request is in progress.
	Answer(key string, fingerprint uint64) (answer caller.Answer, found, inProgress bool)
}

// Server answers other entry VMs.
type Server struct {
	peerpb.UnimplementedPeerServer

	local   Handler
	counter Counter
	secure  bool
	grpc    *grpc.Server
}

// NewServer returns a server; tlsFiles is nil for plain text.
func NewServer(local Handler, tlsFiles *wiretls.CertReloader, counter Counter) *Server {
	s := &Server{local: local, counter: counter, secure: tlsFiles != nil}
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(headerListBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: serverIdle, Time: deadAfter, Timeout: deadAfter}),
	}
	if tlsFiles != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsFiles.Server())))
	}
	s.grpc = grpc.NewServer(options...)
	peerpb.RegisterPeerServer(s.grpc, s)

	return s
}

// Serve answers calls until Stop.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}

	return nil
}

// Stop ends all calls.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Send implements peerpb.PeerServer. An envelope is refused when its sender is
// not the VM that the certificate names.
func (s *Server) Send(ctx context.Context, envelope *peerpb.Envelope) (*peerpb.Receipt, error) {
	from := envelope.GetFrom()
	if from.GetVm() == "" {
		return nil, status.Error(codes.InvalidArgument, "the envelope names no sender")
	}
	if s.secure && !isPeer(ctx, from.GetVm()) {
		return nil, status.Errorf(codes.PermissionDenied, "the certificate is not that of VM %q", from.GetVm())
	}
	countMessages(s.counter, "received", envelope)
	s.local.Received(event.Member{VM: from.GetVm(), Incarnation: from.GetIncarnation()}, envelope)

	return &peerpb.Receipt{ConfigVersion: s.local.ConfigVersion()}, nil
}

// FetchRoot implements peerpb.PeerServer.
func (s *Server) FetchRoot(_ context.Context, r *peerpb.FetchRootRequest) (*peerpb.RootDelta, error) {
	delta := s.local.Root(r.GetKnownVersion())
	s.counter.ControlBytes("sent/root", proto.Size(delta))

	return delta, nil
}

// FetchParts implements peerpb.PeerServer.
func (s *Server) FetchParts(r *peerpb.FetchPartsRequest, stream grpc.ServerStreamingServer[peerpb.Part]) error {
	for _, part := range s.local.Parts(r.GetHashes()) {
		s.counter.ControlBytes("sent/part", proto.Size(part))
		if err := stream.Send(part); err != nil {
			return fmt.Errorf("send part: %w", err)
		}
	}

	return nil
}

// FetchAnswer implements peerpb.PeerServer.
func (s *Server) FetchAnswer(_ context.Context, r *peerpb.FetchAnswerRequest) (*peerpb.HeldAnswer, error) {
	answer, found, inProgress := s.local.Answer(r.GetKey(), r.GetFingerprint())
	if !found {
		return &peerpb.HeldAnswer{InProgress: inProgress}, nil
	}
	header, err := json.Marshal(answer.Header)
	if err != nil {
		return nil, fmt.Errorf("encode header of held answer: %w", err)
	}

	return &peerpb.HeldAnswer{Found: true, Status: int32(answer.Status), Header: header, Body: answer.Body}, nil
}

// countMessages counts each message of an envelope by kind, and its total.
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
