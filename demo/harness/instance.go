package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// Instance is a machine that runs a daemon and an upstream.
type Instance struct {
	cluster        *Cluster
	name           string
	region         string
	failureDomain  string
	service        Service
	ip             string
	addresses      Addresses
	daemon         atomic.Pointer[Process]
	upstream       atomic.Pointer[Process]
	upstreamStarts atomic.Int32
}

// Addresses has the addresses at which the processes of an instance listen, as
// IP:PORT.
type Addresses struct {
	// HTTP, Peer and Local are the listeners of the daemon for callers, for other
	// daemons, and for its upstream.
	HTTP  string
	Peer  string
	Local string
	// Upstream is the listener of the upstream.
	Upstream string
	// AdvertisedPeer is the address of the relay that forwards to Peer, "" without
	// a relay.
	AdvertisedPeer string
}

// Service configures the upstreams of a service.
type Service struct {
	// Name is "organisation/service".
	Name string
	// Fencing is the value of the --fencing option of the upstream stand-in.
	Fencing        string
	Slots          int
	MaxConnections int
	Unkeyed        bool
	// ServiceTime is how long an upstream processes a request.
	ServiceTime time.Duration
}

// daemonSettings is the settings file of briarwelld.
type daemonSettings struct {
	Instance             string `json:"instance"`
	Region               string `json:"region"`
	FailureDomain        string `json:"failureDomain"`
	HTTPAddress          string `json:"httpAddress"`
	PeerAddress          string `json:"peerAddress"`
	LocalAddress         string `json:"localAddress"`
	AdvertisePeerAddress string `json:"advertisePeerAddress,omitempty"`
	TableURL             string `json:"tableUrl"`
	ObjectURL            string `json:"objectUrl"`
	LogLevel             string `json:"logLevel"`
	StopTimeoutMillis    int    `json:"stopTimeoutMillis"`
	Placement            string `json:"placement,omitempty"`
	HotKeys              bool   `json:"hotKeys,omitempty"`
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Region returns the name of the region.
func (i *Instance) Region() string { return i.region }

// Service returns the service of the upstream.
func (i *Instance) Service() Service { return i.service }

// Addresses returns the listener addresses.
func (i *Instance) Addresses() Addresses { return i.addresses }

// Daemon returns the latest process of the daemon, nil before the first start.
func (i *Instance) Daemon() *Process { return i.daemon.Load() }

// Upstream returns the latest process of the upstream, nil before the first start.
func (i *Instance) Upstream() *Process { return i.upstream.Load() }

// StartDaemon writes the settings file of the daemon and starts the daemon. It does
// not wait until the daemon is ready.
func (i *Instance) StartDaemon() error {
	c := i.cluster
	text, err := json.MarshalIndent(daemonSettings{
		Instance: i.name, Region: i.region, FailureDomain: i.failureDomain,
		HTTPAddress: i.addresses.HTTP, PeerAddress: i.addresses.Peer, LocalAddress: i.addresses.Local,
		AdvertisePeerAddress: i.addresses.AdvertisedPeer,
		TableURL:             c.daemonTableURL(), ObjectURL: c.objectURL(),
		LogLevel: c.options.LogLevel, StopTimeoutMillis: daemonStopTimeoutMillis,
		Placement: c.options.Placement, HotKeys: c.options.HotKeys,
	}, "", "  ")
	if err != nil {
		return err
	}
	path := c.processes.FilePath(i.name + ".json")
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return err
	}
	p, err := c.processes.Start(i.name+"-daemon", c.options.Programs.Daemon(), "--settings", path)
	if err != nil {
		return err
	}
	i.daemon.Store(p)
	return nil
}

// StartUpstream starts the upstream stand-in. Each start writes its own acceptance
// log.
func (i *Instance) StartUpstream() error {
	c := i.cluster
	arguments := []string{
		"upstream",
		"--address", i.addresses.Upstream, "--daemon", "http://" + i.addresses.Local, "--service", i.service.Name,
		"--slots", strconv.Itoa(i.service.Slots), "--connections", strconv.Itoa(i.service.MaxConnections),
		"--fencing", i.service.Fencing, "--name", i.name,
		"--service-time", i.service.ServiceTime.String(),
	}
	if !c.options.OmitAcceptanceLogs {
		path := c.processes.FilePath(fmt.Sprintf("%s-%d.acceptances", i.name, i.upstreamStarts.Add(1)))
		arguments = append(arguments, "--acceptance-log", path)
	}
	if i.service.Unkeyed {
		arguments = append(arguments, "--unkeyed")
	}
	p, err := c.processes.Start(i.name+"-upstream", c.options.Programs.StandIn(), arguments...)
	if err != nil {
		return err
	}
	i.upstream.Store(p)
	return nil
}

// Start starts the daemon and the upstream.
func (i *Instance) Start() error {
	if err := i.StartDaemon(); err != nil {
		return err
	}
	return i.StartUpstream()
}

// WaitReady waits until the readiness check of the daemon succeeds, or until the
// daemon or ctx ends.
func (i *Instance) WaitReady(ctx context.Context) error {
	return WaitReady(ctx, i.Daemon(), "http://"+i.addresses.Local+"/readyz")
}
