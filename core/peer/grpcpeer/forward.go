package grpcpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/router"
	"briarwell.dev/core/upstream"
)

// chunkBytes is the largest part of a body sent in one message.
const chunkBytes = 32 << 10

// headerRelayed marks a request that a former owner relayed.
const headerRelayed = "Briarwell-Relayed"

// chunkBuffers pools the buffers through which bodies are sent.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }} //nolint:gochecknoglobals // Buffers are shared by all streams of the process.

// ProtocolError reports a part of a forwarded request or response that the
// protocol does not allow at that point.
type ProtocolError struct {
	expected string
	found    any
}

// Expected returns a description of what the protocol allows there.
func (e *ProtocolError) Expected() string { return e.expected }

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("peer sent %T instead of %s", e.found, e.expected)
}

// forwardStream is the sender's side of a forwarded request. It is also the body
// of the response.
type forwardStream struct {
	stream     grpc.BidiStreamingClient[peerpb.ForwardRequest, peerpb.ForwardResponse]
	connection *connection
	cancel     context.CancelFunc
	bodySender conc.WaitGroup
	// unread is the rest of the last part of the body that was received.
	unread []byte
	// err is returned by Read once unread is empty: io.EOF at the end of a
	// complete response.
	err    error
	closed bool
}

// Forward sends a request to the daemon at the peer address. The error is a
// *router.ForwardError. Its outcome is NotRun if no part of the request was
// handed to a connection, Unknown otherwise.
func (p *Pool) Forward(ctx context.Context, peerAddress string, request *router.Request) (*router.Response, error) {
	remaining := request.Deadline - p.settings.Clock.Now()
	if remaining <= 0 {
		return nil, newNotRunError(outcome.ReasonDeadlineExceeded, context.DeadlineExceeded)
	}
	c, err := p.acquire(peerAddress)
	if err != nil {
		return nil, newNotRunError(outcome.ReasonUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	// If the stream can't be opened, the owner has not run the request: it acts
	// only once it has received the first message.
	stream, err := c.client.Forward(ctx)
	if err != nil {
		cancel()
		c.endCall()
		return nil, newNotRunError(outcome.ReasonUnreachable, err)
	}
	s := &forwardStream{stream: stream, connection: c, cancel: cancel}
	response, err := s.roundTrip(request, int64(remaining))
	if err != nil {
		_ = s.Close()
		return nil, router.NewForwardError(unknownOutcomeOf(err), err)
	}
	return response, nil
}

func newNotRunError(reason outcome.Reason, cause error) error {
	return router.NewForwardError(outcome.NewNotRun(reason), cause)
}

func unknownOutcomeOf(err error) outcome.Outcome {
	if status.Code(err) == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewUnknown(outcome.ReasonTimeout)
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost)
}

func (s *forwardStream) roundTrip(request *router.Request, timeoutMillis int64) (*router.Response, error) {
	// Send returns io.EOF if the stream has ended. The owner may have responded
	// before it read the end of the request: Recv returns the response or the
	// error.
	if err := s.stream.Send(encodeRequestHead(request, timeoutMillis)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if request.Body == nil {
		if err := s.sendRequestEnd(); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	} else {
		body, length := request.Body, request.ContentLength
		s.bodySender.Go(func() { s.sendBody(body, length) })
	}
	first, err := s.stream.Recv()
	if err != nil {
		return nil, err
	}
	head, ok := first.GetPart().(*peerpb.ForwardResponse_Head)
	if !ok {
		return nil, &ProtocolError{expected: "a head", found: first.GetPart()}
	}
	return s.newResponse(head.Head)
}

func (s *forwardStream) sendRequestEnd() error {
	end := &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_End{End: &peerpb.RequestEnd{}}}
	if err := s.stream.Send(end); err != nil {
		return err
	}
	return s.stream.CloseSend()
}

// sendBody sends the body of the request. If the body is truncated, it cancels
// the stream, so that the owner never takes the request for complete. The
// number of remaining bytes is negative if unknown.
func (s *forwardStream) sendBody(body io.Reader, remainingBytes int64) {
	buffer := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	part := &peerpb.ForwardRequest_Body{}
	message := &peerpb.ForwardRequest{Part: part}
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			remainingBytes -= int64(n)
			part.Body = buffer[:n]
			if s.stream.Send(message) != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || remainingBytes > 0 {
			s.cancel()
			return
		}
		_ = s.sendRequestEnd()
		return
	}
}

// newResponse returns the response with the given head. Its body is read from
// the stream.
func (s *forwardStream) newResponse(head *peerpb.ResponseHead) (*router.Response, error) {
	response := &router.Response{Status: int(head.GetStatus()), ContentLength: head.GetContentLength()}
	var outcomeName, reason string
	response.Headers = make([]upstream.Header, 0, len(head.GetHeaders())+1)
	for _, header := range head.GetHeaders() {
		switch {
		case header.GetName() == outcome.HeaderOutcome:
			outcomeName = header.GetValue()
		case header.GetName() == outcome.HeaderReason:
			reason = header.GetValue()
		case router.ParseResponseHeader(response, header.GetName(), header.GetValue()) || router.IsHopByHop(header.GetName()):
		default:
			response.Headers = append(response.Headers, upstream.NewHeader(header.GetName(), header.GetValue()))
		}
	}
	parsed, ok := router.ParseOutcome(outcomeName, reason)
	if !ok {
		return nil, &ProtocolError{expected: "a known outcome", found: outcomeName}
	}
	response.Outcome, response.Body = parsed, s
	return response, nil
}

// Read reads the body of the response. It returns a *router.TruncatedError if
// the stream ends without a ResponseEnd.
func (s *forwardStream) Read(p []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.receivePart()
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *forwardStream) receivePart() {
	message, err := s.stream.Recv()
	if err != nil {
		s.err = router.NewTruncatedError(err)
		return
	}
	switch part := message.GetPart().(type) {
	case *peerpb.ForwardResponse_Body:
		s.unread = part.Body
	case *peerpb.ForwardResponse_End:
		s.err = io.EOF
	default:
		s.err = router.NewTruncatedError(&ProtocolError{expected: "a body or an end", found: part})
	}
}

// Close cancels the stream. It returns only after sendBody has stopped reading
// the body of the request.
func (s *forwardStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.err == nil {
		s.err = router.NewTruncatedError(context.Canceled)
	}
	s.cancel()
	s.bodySender.Wait()
	s.connection.endCall()
	return nil
}

func encodeRequestHead(request *router.Request, timeoutMillis int64) *peerpb.ForwardRequest {
	length := request.ContentLength
	if request.Body == nil {
		length = 0
	}
	head := &peerpb.RequestHead{
		Organisation:  request.Service.Organisation(),
		Service:       request.Service.Name(),
		Key:           request.Key,
		Shard:         uint32(request.Shard),
		Epoch:         uint64(request.Epoch),
		Method:        request.Method,
		Path:          request.Path,
		Headers:       encodeHeaders(request.Headers),
		RequestId:     request.RequestID,
		Stamp:         request.Stamp,
		TimeoutMillis: timeoutMillis,
		ConfigVersion: request.ConfigVersion,
		Attempt:       uint32(request.Attempt),
		ContentLength: length,
	}
	if request.Relayed {
		head.Headers = append(head.Headers, &peerpb.Header{Name: headerRelayed, Value: "1"})
	}
	return &peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Head{Head: head}}
}

// encodeHeaders encodes the headers except the hop-by-hop ones and
// headerRelayed. It allocates all messages at once.
func encodeHeaders(headers []upstream.Header) []*peerpb.Header {
	encoded := make([]*peerpb.Header, 0, len(headers)+1)
	values := make([]peerpb.Header, len(headers))
	for i, header := range headers {
		if router.IsHopByHop(header.Name()) || strings.EqualFold(header.Name(), headerRelayed) {
			continue
		}
		values[i].Name, values[i].Value = header.Name(), header.Value()
		encoded = append(encoded, &values[i])
	}
	return encoded
}
