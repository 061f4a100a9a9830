package settings

import (
	"net/netip"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

const (
	// DefaultMaxHeaderBytes is the default limit of the size of a request header.
	DefaultMaxHeaderBytes = 16 * 1024
	// DefaultStopTimeoutMillis is longer than the default route timeout of
	// 10,000 ms, so that a graceful stop completes the requests in flight.
	DefaultStopTimeoutMillis = 30_000
	// DefaultLogLevel applies if no log level is set.
	DefaultLogLevel = "info"
	// PlacementStatic places shards by hashing, independently of load.
	PlacementStatic = "static"
	// PlacementBalanced moves shards from members with high load to members with low
	// load.
	PlacementBalanced = "balanced"
	// DefaultPlacement applies if no placement is set. Balanced placement has a better
	// peak-to-mean load than static placement without faults (1.02 against 1.37), but
	// a worse one with faults (1.78 against 1.23).
	DefaultPlacement = PlacementStatic
)

// Daemon holds the settings of a daemon, which section 10 of the design page lists.
type Daemon struct {
	instance             string
	location             identity.Location
	httpAddress          string
	peerAddress          string
	localAddress         string
	advertiseHTTPAddress string
	advertisePeerAddress string
	tableURL             string
	objectURL            string
	logLevel             string
	maxHeaderBytes       int
	stopTimeout          clock.Millis
	placement            string
	hotKeys              bool
}

// ParseDaemon decodes the settings of a daemon. It returns a *ValidationError with all
// errors.
func ParseDaemon(data []byte) (Daemon, error) {
	collector := &ErrorCollector{}
	object := ParseDocument(data, collector).Object()
	daemon := Daemon{
		instance:     object.Required("instance").Text(NonEmpty()),
		location:     identity.NewLocation(object.Required("region").Text(NonEmpty()), object.Required("failureDomain").Text(NonEmpty())),
		httpAddress:  object.Required("httpAddress").Text(HostPort()),
		peerAddress:  object.Required("peerAddress").Text(IPPort()),
		localAddress: object.Required("localAddress").Text(HostPort()),
	}
	daemon.advertiseHTTPAddress = readAdvertised(object, "advertiseHttpAddress", daemon.httpAddress)
	daemon.advertisePeerAddress = readAdvertised(object, "advertisePeerAddress", daemon.peerAddress)
	daemon.tableURL = object.Required("tableUrl").Text(URL())
	daemon.objectURL = object.Required("objectUrl").Text(URL())
	daemon.logLevel = object.Optional("logLevel").TextOr(DefaultLogLevel, OneOf("debug", "info", "warn", "error"))
	daemon.maxHeaderBytes = int(object.Optional("maxHeaderBytes").IntOr(DefaultMaxHeaderBytes, NewIntRange(1024, 1024*1024, "bytes")))
	daemon.stopTimeout = clock.Millis(object.Optional("stopTimeoutMillis").IntOr(DefaultStopTimeoutMillis, NewIntRange(0, 600_000, "ms")))
	daemon.placement = object.Optional("placement").TextOr(DefaultPlacement, OneOf(PlacementStatic, PlacementBalanced))
	daemon.hotKeys = object.Optional("hotKeys").BoolOr(false)
	object.RejectUnknownFields()
	if err := collector.Err(); err != nil {
		return Daemon{}, err
	}
	return daemon, nil
}

// readAdvertised reads an advertised address, which defaults to the listen address. It
// is required if the daemon listens on an unspecified IP, which others can't connect
// to.
func readAdvertised(object *Object, name, listenAddress string) string {
	parsed, err := netip.ParseAddrPort(listenAddress)
	if err == nil && parsed.Addr().IsUnspecified() {
		return object.Required(name).Text(HostPort())
	}
	return object.Optional(name).TextOr(listenAddress, HostPort())
}

// Instance returns the name of the instance.
func (d Daemon) Instance() string { return d.instance }

// Location returns the region and the failure domain.
func (d Daemon) Location() identity.Location { return d.location }

// Region returns the region's name.
func (d Daemon) Region() string { return d.location.Region() }

// FailureDomain returns the failure domain's name.
func (d Daemon) FailureDomain() string { return d.location.FailureDomain() }

// HTTPAddress returns the listen address for callers.
func (d Daemon) HTTPAddress() string { return d.httpAddress }

// PeerAddress returns the listen address for daemons and operators. Outgoing
// connections are bound to its IP.
func (d Daemon) PeerAddress() string { return d.peerAddress }

// LocalAddress returns the listen address for the upstream, health checks and metrics.
func (d Daemon) LocalAddress() string { return d.localAddress }

// AdvertiseHTTPAddress returns the address at which callers connect to the daemon.
func (d Daemon) AdvertiseHTTPAddress() string { return d.advertiseHTTPAddress }

// AdvertisePeerAddress returns the address at which other daemons connect to the daemon.
func (d Daemon) AdvertisePeerAddress() string { return d.advertisePeerAddress }

// TableURL returns the base URL of the table service.
func (d Daemon) TableURL() string { return d.tableURL }

// ObjectURL returns the base URL of the object store.
func (d Daemon) ObjectURL() string { return d.objectURL }

// LogLevel returns "debug", "info", "warn" or "error".
func (d Daemon) LogLevel() string { return d.logLevel }

// MaxHeaderBytes returns the limit of the size of a request header.
func (d Daemon) MaxHeaderBytes() int { return d.maxHeaderBytes }

// StopTimeout returns the time limit of a graceful stop, in milliseconds.
func (d Daemon) StopTimeout() clock.Millis { return d.stopTimeout }

// Placement returns PlacementStatic or PlacementBalanced.
func (d Daemon) Placement() string { return d.placement }

// HotKeys reports whether hot keys are sent to the planner, which may then move them
// separately from their shards. Only balanced placement uses them.
func (d Daemon) HotKeys() bool { return d.hotKeys }
