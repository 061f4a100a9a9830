// Package upstreamserver is the stand-in for an upstream server. It announces
// itself to its daemon, checks what its fencing mode says, and keeps a small
// state by key so that tests see which orders took effect.
package upstreamserver

import (
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// LoadReport says how truthful the load endpoint is.
type LoadReport string

// Values of LoadReport.
const (
	// LoadHonest reports the present load.
	LoadHonest LoadReport = "honest"
	// LoadLag reports the load of LoadLag ago.
	LoadLag LoadReport = "lag"
	// LoadMislead always reports an idle upstream.
	LoadMislead LoadReport = "mislead"
)

// Distribution is the distribution of service times.
type Distribution string

// Values of Distribution.
const (
	// DistributionFixed gives each order the same service time.
	DistributionFixed Distribution = "fixed"
	// DistributionExponential draws exponential service times.
	DistributionExponential Distribution = "exponential"
)

// Settings are the flags of standin upstream.
type Settings struct {
	// Address is the IP:PORT to listen on.
	Address string
	// Daemon is the URL of the daemon's local address; empty means none.
	Daemon string
	// Name identifies the upstream in the acceptance log.
	Name        string
	Service     identity.Service
	Slots       int
	Connections int
	Fencing     upstream.Fencing
	// Unkeyed says that the service has no keys: orders carry no shard and no
	// epoch, and only their deadline can be checked.
	Unkeyed bool
	// ServiceTime is the mean time that an order takes.
	ServiceTime  time.Duration
	Distribution Distribution
	Seed         uint64
	// ColdStart is the time after the start in which service times fall from
	// three times the usual to the usual.
	ColdStart time.Duration
	// AcceptanceLog is the path of the log file; empty means none.
	AcceptanceLog string
	LoadReport    LoadReport
	// LoadLag is the age of the reports of LoadReport lag.
	LoadLag time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
}
