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

// daemonCallTimeout bounds one question to a daemon. It is far above the 40 ms there
// and back between regions, and within the interval of two renewals of a lease.
const daemonCallTimeout = 2 * time.Second

// NoResponseError reports a daemon that gave no answer.
type NoResponseError struct {
	instance string
	address  string
	cause    error
}

// Instance returns the name of the instance.
func (e *NoResponseError) Instance() string { return e.instance }

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("the daemon of %s at %s gave no answer: %s", e.instance, e.address, statusMessage(e.cause))
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.cause }

// statusMessage returns the message of a gRPC status without its prefix.
func statusMessage(err error) string {
	if converted, ok := status.FromError(err); ok {
		return converted.Message()
	}
	return err.Error()
}

// grpcDaemonClient opens one connection for each question: commands ask each daemon
// seldom, and a connection that has gone silent must not be used again.
type grpcDaemonClient struct{}

func newGRPCDaemonClient() grpcDaemonClient { return grpcDaemonClient{} }

func (grpcDaemonClient) Status(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	var answer *peerpb.StatusResponse
	err := callDaemon(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Status(ctx, &peerpb.StatusRequest{})
		return err
	})
	return answer, err
}

func (grpcDaemonClient) Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error) {
	var answer *peerpb.DrainResponse
	err := callDaemon(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Drain(ctx, &peerpb.DrainRequest{Incarnation: uint64(incarnation)})
		return err
	})
	return answer, err
}

func callDaemon(ctx context.Context, address string, question func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return question(ctx, peerpb.NewPeerClient(connection))
}
