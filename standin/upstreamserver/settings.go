// Package upstreamserver is the stand-in for an upstream server. It announces
// itself to its daemon, checks what its fencing mode says, and keeps a small
// state by key so that tests see which orders took effect.
package upstreamserver

import (
	"time"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// LoadReportMode says how truthful the load endpoint is.
type LoadReportMode string

// Values of LoadReport.
const (
	// LoadReportHonest reports the present load.
	LoadReportHonest LoadReportMode = "honest"
	// LoadReportLag reports the load of LoadLag ago.
	LoadReportLag LoadReportMode = "lag"
	// LoadReportMislead always reports an idle upstream.
	LoadReportMislead LoadReportMode = "mislead"
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
	// DaemonURL is the URL of the daemon's local address; empty means none.
	DaemonURL string
	// Name identifies the upstream in the acceptance log.
	Name           string
	Service        identity.Service
	Slots          int
	MaxConnections int
	Fencing        upstream.Fencing
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
	LoadReport    LoadReportMode
	// LoadLag is the age of the reports of LoadReport lag.
	LoadLag time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
}
