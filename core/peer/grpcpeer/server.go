package grpcpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

const (
	// keepaliveTime is the idle time after which the server pings an incoming
	// connection, to detect peers that are gone.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time in which a ping must be answered; otherwise
	// the connection is closed.
	keepaliveTimeout = 5 * time.Second
)

// Handler runs forwarded requests; router.OwnerHandler implements it.
type Handler interface {
	// Serve runs a request. It never returns nil.
	Serve(ctx context.Context, request *router.Request) *router.Response
}

// ServerSettings holds the settings of a Server. All are required.
type ServerSettings struct {
	Clock   clock.Clock
	Handler Handler
	// HandleControl is called for each control message. It must not block for
	// long, as it delays the later messages of the same sender.
	HandleControl func(envelope *peerpb.Envelope)
	// Status returns the state of the daemon.
	Status func() *peerpb.StatusResponse
	// Drain makes the daemon hand over its shards and leave the cluster, if the
	// incarnation is the running one. It returns the running incarnation, its
	// state and whether the request was accepted.
	Drain func(incarnation identity.Incarnation) (running identity.Incarnation, state string, accepted bool)
}

// Server serves peerpb.Peer to the other daemons.
type Server struct {
	grpcServer *grpc.Server
	// stopping is closed by Stop to end the control streams, which otherwise
	// never end.
	stopping chan struct{}
	stopOnce sync.Once
}

// NewServer returns a Server.
func NewServer(settings ServerSettings) *Server {
	server := &Server{stopping: make(chan struct{})}
	server.grpcServer = grpc.NewServer(
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connectionWindowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	peerpb.RegisterPeerServer(server.grpcServer, &peerService{settings: settings, stopping: server.stopping})
	return server
}

// Serve accepts connections until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	return s.grpcServer.Serve(listener)
}

// Stop ends the control streams, refuses new requests and waits until the
// running ones are done or ctx ends. Then it closes all connections.
func (s *Server) Stop(ctx context.Context) {
	s.stopOnce.Do(func() { close(s.stopping) })
	var group conc.WaitGroup
	stopped := make(chan struct{})
	group.Go(func() {
		s.grpcServer.GracefulStop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-ctx.Done():
		s.grpcServer.Stop()
	}
	group.Wait()
}

// peerService implements peerpb.PeerServer.
type peerService struct {
	peerpb.UnimplementedPeerServer
	settings ServerSettings
	stopping <-chan struct{}
}

// Probe responds immediately.
func (s *peerService) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return &peerpb.ProbeResponse{}, nil
}

// Status returns the state of the daemon.
func (s *peerService) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return s.settings.Status(), nil
}

// Drain makes the daemon hand over its shards and leave the cluster.
func (s *peerService) Drain(_ context.Context, request *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	running, state, accepted := s.settings.Drain(identity.Incarnation(request.GetIncarnation()))
	return &peerpb.DrainResponse{Incarnation: uint64(running), State: state, Accepted: accepted}, nil
}

// Control handles the messages of one stream until the stream ends or the server
// stops.
func (s *peerService) Control(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.ControlSummary]) error {
	ended := make(chan error, 1)
	// The goroutine ends with the stream, after this method has returned.
	go func() { ended <- s.receiveControl(stream) }()
	select {
	case err := <-ended:
		return err
	case <-s.stopping:
		return status.Error(codes.Unavailable, "daemon is stopping")
	}
}

func (s *peerService) receiveControl(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.ControlSummary]) error {
	for {
		envelope, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.ControlSummary{})
		}
		if err != nil {
			return err
		}
		s.settings.HandleControl(envelope)
	}
}

// Forward runs one request and sends the response.
func (s *peerService) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "first part is not a head")
	}
	request := s.decodeRequest(head)
	if head.GetContentLength() != 0 {
		request.Body = &requestBody{stream: stream, remainingBytes: head.GetContentLength()}
	}
	response := s.settings.Handler.Serve(stream.Context(), request)
	if response.Body != nil {
		defer response.Body.Close() //nolint:errcheck // An error of Close does not change the response.
	}
	return sendResponse(stream, response)
}

func (s *peerService) decodeRequest(head *peerpb.RequestHead) *router.Request {
	request := &router.Request{
		Service:       identity.NewService(head.GetOrganisation(), head.GetService()),
		Key:           head.GetKey(),
		Shard:         shard.ID(head.GetShard()),
		Epoch:         identity.Epoch(head.GetEpoch()),
		Method:        head.GetMethod(),
		Path:          head.GetPath(),
		RequestID:     head.GetRequestId(),
		Stamp:         head.GetStamp(),
		ContentLength: head.GetContentLength(),
		Deadline:      s.settings.Clock.Now() + clock.Millis(head.GetTimeoutMillis()),
		ConfigVersion: head.GetConfigVersion(),
		Attempt:       int(head.GetAttempt()),
	}
	request.Headers = make([]upstream.Header, 0, len(head.GetHeaders()))
	for _, header := range head.GetHeaders() {
		switch {
		case strings.EqualFold(header.GetName(), headerRelayed):
			request.Relayed = true
		case router.IsHopByHop(header.GetName()):
		default:
			request.Headers = append(request.Headers, upstream.NewHeader(header.GetName(), header.GetValue()))
		}
	}
	return request
}

// sendResponse sends the response. The ResponseEnd is sent only after a complete
// body: a response without it counts as truncated.
func sendResponse(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse], response *router.Response) error {
	if err := stream.Send(encodeResponseHead(response)); err != nil {
		return err
	}
	if response.Body != nil {
		if err := sendResponseBody(stream, response.Body); err != nil {
			return err
		}
	}
	return stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ResponseEnd{
		Outcome:  response.Outcome.String(),
		Reason:   string(outcome.ReasonOf(response.Outcome)),
		Epoch:    uint64(response.Epoch),
		Stamp:    response.Stamp,
		ServedBy: response.ServedBy,
	}}})
}

func sendResponseBody(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse], body io.Reader) error {
	buffer := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	part := &peerpb.ForwardResponse_Body{}
	message := &peerpb.ForwardResponse{Part: part}
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			part.Body = buffer[:n]
			if sendErr := stream.Send(message); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return status.Error(codes.DataLoss, err.Error())
		}
	}
}

func encodeResponseHead(response *router.Response) *peerpb.ForwardResponse {
	headers := router.AppendResponseHeaders(response.Headers, response)
	encoded := encodeHeaders(headers)
	if response.OwnerPeer != "" {
		encoded = append(encoded, &peerpb.Header{Name: router.HeaderOwnerPeer, Value: response.OwnerPeer})
	}
	return &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ResponseHead{
		Status:        uint32(response.Status),
		Headers:       encoded,
		ContentLength: response.ContentLength,
	}}}
}

// requestBody is the body of a forwarded request, read from its stream.
type requestBody struct {
	stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]
	// unread is the rest of the last part of the body that was received.
	unread []byte
	// remainingBytes is the number of bytes that Read has yet to return, negative
	// if unknown.
	remainingBytes int64
	err            error
}

// Read reads the body. It returns an error other than io.EOF if the body is
// truncated.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.receivePart()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if b.remainingBytes >= 0 {
		b.remainingBytes -= int64(n)
	}
	return n, nil
}

func (b *requestBody) receivePart() {
	message, err := b.stream.Recv()
	if err != nil {
		b.err = truncatedBodyError(err)
		return
	}
	switch part := message.GetPart().(type) {
	case *peerpb.ForwardRequest_Body:
		b.unread = part.Body
	case *peerpb.ForwardRequest_End:
		b.err = io.EOF
		if b.remainingBytes > 0 {
			b.err = io.ErrUnexpectedEOF
		}
	default:
		b.err = &ProtocolError{expected: "a body or an end", found: part}
	}
}

// truncatedBodyError returns the error for a stream that ended without a
// RequestEnd. It replaces io.EOF, which would mark the end of a complete body.
func truncatedBodyError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
