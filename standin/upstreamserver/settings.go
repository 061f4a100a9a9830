// Package upstreamserver is a stand-in for an upstream server. It announces itself to
// its daemon, checks requests as its fencing mode requires, and records for each key
// which requests took effect, so that tests can read them.
package upstreamserver

import (
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// LoadReportMode selects which load the load endpoint reports.
type LoadReportMode string

// Values of LoadReportMode.
const (
	// LoadReportHonest reports the current load.
	LoadReportHonest LoadReportMode = "honest"
	// LoadReportLag reports the load as it was Settings.LoadLag ago.
	LoadReportLag LoadReportMode = "lag"
	// LoadReportMislead reports an idle upstream whatever the load.
	LoadReportMislead LoadReportMode = "mislead"
)

// Distribution is the distribution of service times.
type Distribution string

// Values of Distribution.
const (
	// DistributionFixed gives each request the mean service time.
	DistributionFixed Distribution = "fixed"
	// DistributionExponential draws service times from an exponential distribution.
	DistributionExponential Distribution = "exponential"
)

// Settings holds the flags of "standin upstream".
type Settings struct {
	// Address is the IP:PORT to listen on.
	Address string
	// DaemonURL is the URL of the daemon's local address, without a trailing slash; empty
	// means that the upstream has no daemon and announces nothing.
	DaemonURL string
	// Name identifies the upstream in the acceptance log.
	Name    string
	Service identity.Service
	// Slots is the maximum number of requests in flight. Further requests are refused.
	Slots int
	// MaxConnections is the maximum number of connections from the daemon.
	MaxConnections int
	Fencing        upstream.Fencing
	// Unkeyed is set for a service without keys. Its requests carry no shard and no
	// epoch, so that only their deadline can be checked.
	Unkeyed bool
	// ServiceTime is the mean time to process a request.
	ServiceTime  time.Duration
	Distribution Distribution
	Seed         uint64
	// ColdStart is the time after the start over which service times fall linearly from
	// three times the normal value to the normal value.
	ColdStart time.Duration
	// AcceptanceLog is the path of the acceptance log; empty means no log.
	AcceptanceLog string
	LoadReport    LoadReportMode
	// LoadLag is the age of the reported load in mode LoadReportLag.
	LoadLag time.Duration
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
}
