package command

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/peer/peerpb"
)

// askTimeout bounds one question to a daemon. It is far above the 40 ms there
// and back between regions, and within the interval of two renewals of a lease.
const askTimeout = 2 * time.Second

// SilentError reports a daemon that gave no answer.
type SilentError struct {
	instance string
	address  string
	cause    error
}

// Instance returns the name of the instance.
func (e *SilentError) Instance() string { return e.instance }

func (e *SilentError) Error() string {
	return fmt.Sprintf("the daemon of %s at %s gave no answer: %s", e.instance, e.address, reason(e.cause))
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return e.cause }

// reason returns the message of a gRPC status without its prefix.
func reason(err error) string {
	if converted, ok := status.FromError(err); ok {
		return converted.Message()
	}
	return err.Error()
}

// grpcPeers opens one connection for each question: commands ask each daemon
// seldom, and a connection that has gone silent must not be used again.
type grpcPeers struct{}

func newGRPCPeers() grpcPeers { return grpcPeers{} }

func (grpcPeers) Status(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	var answer *peerpb.StatusResponse
	err := ask(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Status(ctx, &peerpb.StatusRequest{})
		return err
	})
	return answer, err
}

func (grpcPeers) Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error) {
	var answer *peerpb.DrainResponse
	err := ask(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Drain(ctx, &peerpb.DrainRequest{Incarnation: uint64(incarnation)})
		return err
	})
	return answer, err
}

func ask(ctx context.Context, address string, question func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return question(ctx, peerpb.NewPeerClient(connection))
}
