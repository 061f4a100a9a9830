// Package settings parses the settings of a sidecar.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/settings"
)

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	instance        string
	location        identity.Location
	ip              string
	service         string
	upstreamAddress string
	callerAddress   string
	requestAddress  string
	readyAddress    string
	reportAddress   string
	peerPort        int64
	peerListen      string
	metricsPort     int64
	storeAddress    string
	holdMax         clock.Millis
	drain           clock.Millis
	grace           clock.Millis
	retryShare      float64
	retrySlack      float64
	retryWindow     clock.Millis
	outOfUseWithin  clock.Millis
	manifestWithin  clock.Millis
	coldOvershoot   float64
	coldSlack       float64
	coldProbes      bool
	linkMbps        float64
	memoryMB        float64
	maxDescriptors  float64
	cpuShare        float64
	logLevel        string
}

// maxMbps is the largest accepted bandwidth of a link in Mbit/s.
const maxMbps = 1e6

const maxPort = 65535

// maxRetrySlack is the largest accepted number of retries in a window.
const maxRetrySlack = 1e6

// maxMemoryMB is the largest accepted memory of an instance.
const maxMemoryMB = 1 << 20

// maxDescriptors is the largest accepted number of descriptors of a process.
const maxDescriptors = 1 << 20

// Parse decodes settings from JSON. If any field is invalid, missing or unknown, the error
// is a *settings.ValidationError that lists all of these fields.
func Parse(data []byte) (Sidecar, error) {
	collector := &settings.ErrorCollector{}
	object := settings.ParseDocument(data, collector).Object()
	s := Sidecar{
		instance:        object.Required("instance").Text(settings.NonEmpty()),
		location:        identity.NewLocation(object.Required("region").Text(settings.NonEmpty()), object.Required("failureDomain").Text(settings.NonEmpty())),
		ip:              object.Required("ip").Text(settings.NonEmpty()),
		service:         object.Required("service").Text(settings.NonEmpty()),
		upstreamAddress: object.Required("upstreamAddress").Text(settings.IPPort()),
		callerAddress:   object.Required("callerAddress").Text(settings.IPPort()),
		requestAddress:  object.Required("requestAddress").Text(settings.IPPort()),
		readyAddress:    object.Required("readyAddress").Text(settings.IPPort()),
		reportAddress:   object.Required("reportAddress").Text(settings.IPPort()),
		peerPort:        object.Required("peerPort").Int(settings.NewIntRange(1, maxPort, "")),
		peerListen:      object.Optional("peerListenAddress").TextOr("", settings.IPPort()),
		metricsPort:     object.Required("metricsPort").Int(settings.NewIntRange(1, maxPort, "")),
		storeAddress:    object.Required("storeAddress").Text(settings.HostPort()),
		holdMax:         requiredDuration(object, "holdMax"),
		drain:           requiredDuration(object, "drain"),
		grace:           requiredDuration(object, "grace"),
		retryShare:      requiredNumber(object, "retryShare", 1),
		retrySlack:      requiredNumber(object, "retrySlack", maxRetrySlack),
		retryWindow:     requiredDuration(object, "retryWindow"),
		outOfUseWithin:  optionalDuration(object, "outOfUseWithin", defaultOutOfUseWithin),
		manifestWithin:  optionalDuration(object, "manifestWithin", defaultManifestWithin),
		coldOvershoot:   optionalNumber(object, "coldOvershoot", maxColdOvershoot),
		coldSlack:       optionalNumber(object, "coldSlack", maxRetrySlack),
		coldProbes:      object.Optional("coldProbes").BoolOr(true),
		linkMbps:        requiredNumber(object, "linkMbps", maxMbps),
		memoryMB:        optionalNumber(object, "memoryMB", maxMemoryMB),
		maxDescriptors:  optionalNumber(object, "maxDescriptors", maxDescriptors),
		cpuShare:        optionalNumber(object, "cpuShare", maxCPUShare),
		logLevel:        object.Optional("logLevel").TextOr(settings.DefaultLogLevel, settings.OneOf("debug", "info", "warn", "error")),
	}
	object.RejectUnknownFields()
	if err := collector.Err(); err != nil {
		return Sidecar{}, err
	}
	return s, nil
}

// requiredDuration reads a positive duration such as "2500ms" or "10s".
func requiredDuration(object *settings.Object, name string) clock.Millis {
	value := object.Required(name)
	text := value.Text(settings.NonEmpty())
	d, err := time.ParseDuration(text)
	if text != "" && (err != nil || d <= 0) {
		value.Reject(`a positive time such as "2500ms"`)
	}
	return clock.FromDuration(d)
}

// optionalDuration reads a positive duration, or returns the default if the field is missing.
func optionalDuration(object *settings.Object, name string, defaultValue clock.Millis) clock.Millis {
	if !object.Optional(name).IsPresent() {
		return defaultValue
	}
	return requiredDuration(object, name)
}

// Defaults for settings that lack the field.
const (
	defaultOutOfUseWithin clock.Millis = 5000
	defaultManifestWithin clock.Millis = 2500
)

// maxColdOvershoot is the largest accepted factor between the rates that a cold upstream
// tolerates for a second and for longer.
const maxColdOvershoot = 100

// requiredNumber reads a number from 0 to limit.
func requiredNumber(object *settings.Object, name string, limit float64) float64 {
	value := object.Required(name)
	raw, ok := value.Raw().(json.Number)
	n, err := raw.Float64()
	if value.IsPresent() && (!ok || err != nil || n < 0 || n > limit) {
		value.Reject(fmt.Sprintf("a number from 0 to %g", limit))
	}
	if !value.IsPresent() {
		value.Int(settings.NewIntRange(0, int64(limit), "")) // Reports the missing field.
	}
	return n
}

// maxCPUShare is the largest accepted number of cores of an instance.
const maxCPUShare = 1024

// optionalNumber reads a number from 0 to limit, 0 if the field is missing.
func optionalNumber(object *settings.Object, name string, limit float64) float64 {
	if !object.Optional(name).IsPresent() {
		return 0
	}
	return requiredNumber(object, name, limit)
}

// Instance returns the name of the instance.
func (s Sidecar) Instance() string { return s.instance }

// Location returns the region and the failure domain of the instance.
func (s Sidecar) Location() identity.Location { return s.location }

// IP returns the instance's IP address, to which outgoing connections are bound.
func (s Sidecar) IP() string { return s.ip }

// Service returns the service that the upstream on this instance serves.
func (s Sidecar) Service() string { return s.service }

// UpstreamAddress returns the address at which the upstream serves requests.
func (s Sidecar) UpstreamAddress() string { return s.upstreamAddress }

// CallerAddress returns the listen address for requests made on this instance.
func (s Sidecar) CallerAddress() string { return s.callerAddress }

// RequestAddress returns the listen address for requests that other sidecars forward.
func (s Sidecar) RequestAddress() string { return s.requestAddress }

// ReadyAddress returns the listen address for readiness probes.
func (s Sidecar) ReadyAddress() string { return s.readyAddress }

// ReportAddress returns the listen address for the upstream's reports.
func (s Sidecar) ReportAddress() string { return s.reportAddress }

// PeerAddress returns the address to which other sidecars send control messages.
func (s Sidecar) PeerAddress() string { return fmt.Sprintf("%s:%d", s.ip, s.peerPort) }

// PeerListenAddress returns the listen address for control messages. It differs from PeerAddress
// behind a proxy.
func (s Sidecar) PeerListenAddress() string { return cmp.Or(s.peerListen, s.PeerAddress()) }

// MetricsAddress returns the listen address for requests for metrics.
func (s Sidecar) MetricsAddress() string { return fmt.Sprintf("%s:%d", s.ip, s.metricsPort) }

// StoreAddress returns the address of the platform's metadata store.
func (s Sidecar) StoreAddress() string { return s.storeAddress }

// HoldMax returns the longest time in milliseconds for which an upstream accepts to hold
// keys without a new grant.
func (s Sidecar) HoldMax() clock.Millis { return s.holdMax }

// Drain returns the time in milliseconds for which a leaving upstream may still get
// requests after its leave was acknowledged.
func (s Sidecar) Drain() clock.Millis { return s.drain }

// Grace returns the time in milliseconds from the stop signal to the kill.
func (s Sidecar) Grace() clock.Millis { return s.grace }

// RetryShare returns the fraction of requests that all sidecars together may retry.
func (s Sidecar) RetryShare() float64 { return s.retryShare }

// RetrySlack returns the number of retries that all sidecars together may send beyond
// RetryShare in any window of length RetryWindow.
func (s Sidecar) RetrySlack() float64 { return s.retrySlack }

// RetryWindow returns the length in milliseconds of the window in which retries are
// counted.
func (s Sidecar) RetryWindow() clock.Millis { return s.retryWindow }

// OutOfUseWithin returns the time in milliseconds after which no request may reach the upstreams
// of a failure domain that was taken out of use.
func (s Sidecar) OutOfUseWithin() clock.Millis { return s.outOfUseWithin }

// ManifestWithin returns the time in milliseconds after the acknowledgement of a manifest from which
// all requests are handled as it says.
func (s Sidecar) ManifestWithin() clock.Millis { return s.manifestWithin }

// ColdOvershoot returns the factor of the rate that a cold upstream tolerates by which the
// requests of one second may exceed it, at least 1.
func (s Sidecar) ColdOvershoot() float64 { return max(s.coldOvershoot, 1) }

// ColdSlack returns the number of requests that a cold upstream may get in a second in addition.
func (s Sidecar) ColdSlack() float64 { return s.coldSlack }

// ColdProbes reports whether warm upstreams are asked at their health path whether they have
// become cold. Probes are billed.
func (s Sidecar) ColdProbes() bool { return s.coldProbes }

// LinkMbps returns the bandwidth of the instance's network link in Mbit/s, 0 for no limit.
func (s Sidecar) LinkMbps() float64 { return s.linkMbps }

// MemoryMB returns the memory of the instance in megabytes, 0 for no limit.
func (s Sidecar) MemoryMB() float64 { return s.memoryMB }

// MaxDescriptors returns the number of descriptors that the process may open, 0 if only the operating
// system limits it.
func (s Sidecar) MaxDescriptors() int { return int(s.maxDescriptors) }

// CPUShare returns the number of cores that the instance may use, 0 if unknown.
func (s Sidecar) CPUShare() float64 { return s.cpuShare }

// BodyMemoryBytes returns the memory for the bodies of messages in bytes, 0 for no limit: a
// quarter of the instance's memory, since the garbage collector lets the heap grow to twice
// the memory in use.
func (s Sidecar) BodyMemoryBytes() int64 { return int64(s.memoryMB * bytesPerMB / bodyMemoryDivisor) }

const (
	bodyMemoryDivisor = 4
	bytesPerMB        = 1 << 20
)

// LogLevel returns the lowest level that is logged: "debug", "info", "warn" or "error".
func (s Sidecar) LogLevel() string { return s.logLevel }
