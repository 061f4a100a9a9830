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

// daemonCallTimeout bounds one call to a daemon. It is far above the round-trip
// time of 40 ms between regions.
const daemonCallTimeout = 2 * time.Second

// NoResponseError reports a call to a daemon that failed or timed out.
type NoResponseError struct {
	instance string
	address  string
	cause    error
}

// Instance returns the name of the daemon's instance.
func (e *NoResponseError) Instance() string { return e.instance }

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("daemon of %s at %s did not respond: %s", e.instance, e.address, statusMessage(e.cause))
}

func (e *NoResponseError) Unwrap() error { return e.cause }

// statusMessage returns the message of a gRPC status error without the prefix of its
// text, or the text of any other error.
func statusMessage(err error) string {
	if grpcStatus, ok := status.FromError(err); ok {
		return grpcStatus.Message()
	}
	return err.Error()
}

// grpcDaemonClient opens a new connection for each call: commands call each daemon
// rarely, and a connection that stopped responding must not be reused.
type grpcDaemonClient struct{}

func newGRPCDaemonClient() grpcDaemonClient { return grpcDaemonClient{} }

func (grpcDaemonClient) Status(ctx context.Context, address string) (*peerpb.StatusResponse, error) {
	var response *peerpb.StatusResponse
	err := callDaemon(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		response, err = client.Status(ctx, &peerpb.StatusRequest{})
		return err
	})
	return response, err
}

func (grpcDaemonClient) Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error) {
	var response *peerpb.DrainResponse
	err := callDaemon(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		response, err = client.Drain(ctx, &peerpb.DrainRequest{Incarnation: uint64(incarnation)})
		return err
	})
	return response, err
}

func callDaemon(ctx context.Context, address string, call func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return call(ctx, peerpb.NewPeerClient(connection))
}
