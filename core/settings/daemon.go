package settings

import (
	"net/netip"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

const (
	// DefaultMaxHeaderBytes bounds the head of a caller's request.
	DefaultMaxHeaderBytes = 16 * 1024
	// DefaultStopTimeoutMillis is longer than the default route timeout of
	// 10,000 ms, so that a graceful stop waits for requests in flight.
	DefaultStopTimeoutMillis = 30_000
	// DefaultLogLevel is the log level if none is set.
	DefaultLogLevel = "info"
	// PlacementStatic places shards by hashing, without regard to load.
	PlacementStatic = "static"
	// PlacementBalanced moves shards from loaded to idle members.
	PlacementBalanced = "balanced"
	// DefaultPlacement is the placement if none is set. Balanced was nearer to the
	// mean without faults (1.02 and 1.37 peak-to-mean), but not in a run with them
	// (1.78 and 1.23).
	DefaultPlacement = PlacementStatic
)

// Daemon holds the settings of one daemon, see section 10 of the design page.
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

// ParseDaemon reads the settings of a daemon. It returns a *ListError with all
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

// readAdvertised requires the field if others can't reach the daemon at the
// address on which it listens.
func readAdvertised(object *Object, name, listen string) string {
	parsed, err := netip.ParseAddrPort(listen)
	if err == nil && parsed.Addr().IsUnspecified() {
		return object.Required(name).Text(HostPort())
	}
	return object.Optional(name).TextOr(listen, HostPort())
}

// Instance returns the name of the instance.
func (d Daemon) Instance() string { return d.instance }

// Location returns the region and the failure domain.
func (d Daemon) Location() identity.Location { return d.location }

// Region returns the region's name.
func (d Daemon) Region() string { return d.location.Region() }

// FailureDomain returns the failure domain's name.
func (d Daemon) FailureDomain() string { return d.location.FailureDomain() }

// HTTPAddress returns the address on which callers are served.
func (d Daemon) HTTPAddress() string { return d.httpAddress }

// PeerAddress returns the address on which daemons and operators are served.
// Outgoing connections bind to its IP.
func (d Daemon) PeerAddress() string { return d.peerAddress }

// LocalAddress returns the address for the upstream, health and metrics.
func (d Daemon) LocalAddress() string { return d.localAddress }

// AdvertiseHTTPAddress returns the address at which callers reach the daemon.
func (d Daemon) AdvertiseHTTPAddress() string { return d.advertiseHTTPAddress }

// AdvertisePeerAddress returns the address at which daemons reach the daemon.
func (d Daemon) AdvertisePeerAddress() string { return d.advertisePeerAddress }

// TableURL returns the base URL of the table service.
func (d Daemon) TableURL() string { return d.tableURL }

// ObjectURL returns the base URL of the object store.
func (d Daemon) ObjectURL() string { return d.objectURL }

// LogLevel returns "debug", "info", "warn" or "error".
func (d Daemon) LogLevel() string { return d.logLevel }

// MaxHeaderBytes bounds the head of a caller's request, in bytes.
func (d Daemon) MaxHeaderBytes() int { return d.maxHeaderBytes }

// StopTimeout bounds a graceful stop, in milliseconds.
func (d Daemon) StopTimeout() clock.Millis { return d.stopTimeout }

// Placement returns PlacementStatic or PlacementBalanced.
func (d Daemon) Placement() string { return d.placement }

// HotKeys tells whether hot keys are reported to the planner, so that they may
// move apart from their shards. Only the balanced placement uses it.
func (d Daemon) HotKeys() bool { return d.hotKeys }
