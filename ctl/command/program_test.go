package command_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/grpc"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/object"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/ctl/command"
)

// Guards against a subcommand without help, and against unknown subcommands,
// arguments or flags that exit with another code than 2.
func TestHelp(t *testing.T) {
	var transcript bytes.Buffer
	lines := []string{
		"--help", "", "unknown", "status --unknown", "apply", "status extra", "apply f --timeout soon",
		"validate --help", "diff --help", "apply --help", "status --help", "history --help", "explain --help", "drain --help", "retire --help",
	}
	for _, line := range lines {
		program := exec.Command(os.Args[0], strings.Fields(line)...)
		program.Env = append(os.Environ(), "BRIARWELL_TEST_PROGRAM=1", "USER=ada")
		output, err := program.CombinedOutput()
		var exit *exec.ExitError
		is.New(t).True(err == nil || errors.As(err, &exit))
		fmt.Fprintf(&transcript, "$ briarwell %s\n%s[exit %d]\n\n", line, output, program.ProcessState.ExitCode())
	}
	goldie.New(t).Assert(t, "help", transcript.Bytes())
}

// fakeDaemon is a peer server that accepts each drain request and records its
// incarnation.
type fakeDaemon struct {
	peerpb.UnimplementedPeerServer
	drainRequests chan uint64
}

func (d *fakeDaemon) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Incarnation: 7, State: "active", ConfigVersion: 3, LeaseMillis: 900}, nil
}

func (d *fakeDaemon) Drain(_ context.Context, request *peerpb.DrainRequest) (*peerpb.DrainResponse, error) {
	d.drainRequests <- request.GetIncarnation()
	return &peerpb.DrainResponse{Incarnation: 7, Accepted: true, State: "draining"}, nil
}

// Guards against requests that don't reach a daemon over gRPC.
func TestDaemonOverGRPC(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server, handler := grpc.NewServer(), &fakeDaemon{drainRequests: make(chan uint64, 1)}
	peerpb.RegisterPeerServer(server, handler)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	memoryTable := memory.New()
	instance := membership.NewInstance("lagos-7", "127.0.0.1:8080", listener.Addr().String(), identity.NewLocation("lagos", "lagos-a"))
	_, err = memoryTable.Commit(t.Context(), table.NewTransaction(nil, []table.Mutation{table.NewPut(membership.Key(7), membership.Encode(membership.NewMember(7, instance)))}))
	is.NoErr(err)
	run := func(args ...string) string {
		var output bytes.Buffer
		code := command.Run(t.Context(), command.NewEnvironment(command.WithOutput(&output, &output), command.WithPlatform(func(string, string) (table.Table, object.Store, error) {
			return memoryTable, nil, nil
		})), append(args, "--table", "http://t:1", "--json"))
		return fmt.Sprintf("%d %s", code, output.String())
	}
	is.True(strings.Contains(run("status"), `"state":"active","configVersion":3,"leaseMillis":900`))
	is.True(strings.HasPrefix(run("drain", "lagos-7"), "0 "))
	is.Equal(<-handler.drainRequests, uint64(7))
	is.True(strings.HasPrefix(run("retire", "lagos-7", "--confirm-stopped"), "2 "))
	server.Stop()
	is.True(strings.HasPrefix(run("drain", "lagos-7"), "5 "))
	is.True(strings.HasPrefix(run("retire", "lagos-7", "--confirm-stopped"), "0 "))
}
