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

// Peers asks daemons over gRPC.
type Peers interface {
	// Status reads the state of the daemon at a peer address.
	Status(ctx context.Context, address string) (*peerpb.StatusResponse, error)
	// Drain asks an incarnation to leave.
	Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error)
}

// Connect opens the platform at the URLs. The object URL may be "".
type Connect func(tableURL, objectURL string) (table.Table, object.Store, error)

// Environment is what the commands need of the system.
type Environment struct {
	stdout  io.Writer
	stderr  io.Writer
	connect Connect
	peers   Peers
	now     func() time.Time
	editID  func() string
	user    string
	// interval is the time between two looks at members that have not confirmed.
	interval time.Duration
}

// Option changes an Environment.
type Option func(*Environment)

// Output sends the output to out and messages to errors.
func Output(out, messages io.Writer) Option {
	return func(e *Environment) { e.stdout, e.stderr = out, messages }
}

// Platform opens the platform with connect.
func Platform(connect Connect) Option {
	return func(e *Environment) { e.connect = connect }
}

// AskPeers asks daemons through peers.
func AskPeers(peers Peers) Option {
	return func(e *Environment) { e.peers = peers }
}

// Clock reads the wall clock with now.
func Clock(now func() time.Time) Option {
	return func(e *Environment) { e.now = now }
}

// EditIDs makes the IDs of edits, which must be unique.
func EditIDs(next func() string) Option {
	return func(e *Environment) { e.editID = next }
}

// Author is the name under which edits are stored unless --author is given.
func Author(name string) Option {
	return func(e *Environment) { e.user = name }
}

const (
	// editIDBytes makes two equal IDs unlikely among all edits ever made.
	editIDBytes = 16
	// defaultInterval lets a version show as accepted soon after the 1.2 s in
	// which it spreads.
	defaultInterval = 500 * time.Millisecond
)

// System returns the environment of the process, changed by options.
func System(options ...Option) Environment {
	environment := Environment{
		stdout:   os.Stdout,
		stderr:   os.Stderr,
		connect:  connectHTTP,
		peers:    newGRPCPeers(),
		now:      time.Now,
		editID:   randomID,
		user:     userName(),
		interval: defaultInterval,
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

func randomID() string {
	id := make([]byte, editIDBytes)
	_, _ = rand.Read(id) // It never fails: crypto/rand ends the process instead.
	return hex.EncodeToString(id)
}
