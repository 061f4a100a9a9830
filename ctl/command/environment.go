// Package command implements the subcommands of briarwell, the operator's
// command-line tool.
package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"os/user"
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/object"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/table"
)

// DaemonClient sends requests to daemons over the peer protocol.
type DaemonClient interface {
	// Status returns the status of the daemon at a peer address.
	Status(ctx context.Context, address string) (*peerpb.StatusResponse, error)
	// Drain asks the daemon at a peer address to leave the cluster. The daemon
	// refuses if it is another incarnation.
	Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error)
}

// ConnectFunc returns clients of the table service and the object store. The
// object store is nil if its URL is "".
type ConnectFunc func(tableURL, objectURL string) (table.Table, object.Store, error)

// Environment holds the dependencies of the commands on the process and the
// network.
type Environment struct {
	stdout        io.Writer
	stderr        io.Writer
	connect       ConnectFunc
	daemonClient  DaemonClient
	now           func() time.Time
	newEditID     func() string
	defaultAuthor string
	// pollInterval is the time between two polls of the members that have not
	// confirmed a version.
	pollInterval time.Duration
}

// Option is an optional setting of NewEnvironment.
type Option func(*Environment)

// WithOutput sets the writers for results and for error messages.
func WithOutput(out, errOut io.Writer) Option {
	return func(e *Environment) { e.stdout, e.stderr = out, errOut }
}

// WithPlatform sets the function that connects to the table service and the
// object store.
func WithPlatform(connect ConnectFunc) Option {
	return func(e *Environment) { e.connect = connect }
}

// WithDaemonClient sets the client for requests to daemons.
func WithDaemonClient(client DaemonClient) Option {
	return func(e *Environment) { e.daemonClient = client }
}

// WithClock sets the wall clock.
func WithClock(now func() time.Time) Option {
	return func(e *Environment) { e.now = now }
}

// WithEditIDs sets the generator of edit IDs, which must be unique.
func WithEditIDs(newID func() string) Option {
	return func(e *Environment) { e.newEditID = newID }
}

// WithDefaultAuthor sets the author of edits for which --author is not given.
func WithDefaultAuthor(name string) Option {
	return func(e *Environment) { e.defaultAuthor = name }
}

const (
	// editIDBytes is the length of a random edit ID. 128 bits make a collision among
	// all edits ever made negligible.
	editIDBytes = 16
	// defaultPollInterval is short relative to the 1.2 s in which a version reaches
	// the daemons, so that its acceptance is detected soon after.
	defaultPollInterval = 500 * time.Millisecond
)

// NewEnvironment returns the environment of the process, with options applied.
func NewEnvironment(options ...Option) Environment {
	environment := Environment{
		stdout:        os.Stdout,
		stderr:        os.Stderr,
		connect:       connectHTTP,
		daemonClient:  newGRPCDaemonClient(),
		now:           time.Now,
		newEditID:     randomEditID,
		defaultAuthor: userName(),
		pollInterval:  defaultPollInterval,
	}
	for _, option := range options {
		option(&environment)
	}
	return environment
}

// userName returns the name of the operating system user, or "" if it is unknown.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}

func randomEditID() string {
	id := make([]byte, editIDBytes)
	_, _ = rand.Read(id) // It never returns an error: crypto/rand aborts the process on failure.
	return hex.EncodeToString(id)
}
