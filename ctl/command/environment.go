// Package command holds the commands of briarwell, the operator's command
// line.
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

// DaemonClient asks daemons over gRPC.
type DaemonClient interface {
	// Status reads the state of the daemon at a peer address.
	Status(ctx context.Context, address string) (*peerpb.StatusResponse, error)
	// Drain asks an incarnation to leave.
	Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error)
}

// ConnectFunc opens the platform at the URLs. The object URL may be "".
type ConnectFunc func(tableURL, objectURL string) (table.Table, object.Store, error)

// Environment is what the commands need of the system.
type Environment struct {
	stdout        io.Writer
	stderr        io.Writer
	connect       ConnectFunc
	daemons       DaemonClient
	now           func() time.Time
	newEditID     func() string
	defaultAuthor string
	// pollInterval is the time between two looks at members that have not confirmed.
	pollInterval time.Duration
}

// Option changes an Environment.
type Option func(*Environment)

// WithOutput sends the output to out and messages to errors.
func WithOutput(out, messages io.Writer) Option {
	return func(e *Environment) { e.stdout, e.stderr = out, messages }
}

// WithPlatform opens the platform with connect.
func WithPlatform(connect ConnectFunc) Option {
	return func(e *Environment) { e.connect = connect }
}

// WithDaemonClient asks daemons through peers.
func WithDaemonClient(peers DaemonClient) Option {
	return func(e *Environment) { e.daemons = peers }
}

// WithClock reads the wall clock with now.
func WithClock(now func() time.Time) Option {
	return func(e *Environment) { e.now = now }
}

// WithEditIDs makes the IDs of edits, which must be unique.
func WithEditIDs(next func() string) Option {
	return func(e *Environment) { e.newEditID = next }
}

// WithDefaultAuthor is the name under which edits are stored unless --author is given.
func WithDefaultAuthor(name string) Option {
	return func(e *Environment) { e.defaultAuthor = name }
}

const (
	// editIDBytes makes two equal IDs unlikely among all edits ever made.
	editIDBytes = 16
	// defaultPollInterval lets a version show as accepted soon after the 1.2 s in
	// which it spreads.
	defaultPollInterval = 500 * time.Millisecond
)

// NewEnvironment returns the environment of the process, changed by options.
func NewEnvironment(options ...Option) Environment {
	environment := Environment{
		stdout:        os.Stdout,
		stderr:        os.Stderr,
		connect:       connectHTTP,
		daemons:       newGRPCDaemonClient(),
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

// userName returns the name of the operating system's user, "" if unknown.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func randomEditID() string {
	id := make([]byte, editIDBytes)
	_, _ = rand.Read(id) // It never fails: crypto/rand ends the process instead.
	return hex.EncodeToString(id)
}
