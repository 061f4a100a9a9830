// Package linkserver is a stand-in for the network between regions: a TCP relay that
// injects delays, one-way cuts, silenced connections and bandwidth limits for each pair
// of regions. The region of an IP address 127.0.R.N is R; other addresses are in region
// 0.
package linkserver

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"

	"briarwell.dev/standin/server"
)

// Settings is the content of the JSON settings file.
type Settings struct {
	// AdminAddress is the IP:PORT that serves the /admin/ paths.
	AdminAddress string        `json:"adminAddress"`
	PortForwards []PortForward `json:"listens"`
	Rules        Rules         `json:"rules"`
}

// PortForward is an address on which the relay listens and the target address to which it
// forwards the connections. Both are IP:PORT.
type PortForward struct {
	Address string `json:"address"`
	Target  string `json:"target"`
}

// Rules holds the faults of the network. They can be replaced while the relay runs.
type Rules struct {
	// ConnectionCostMillis is added to the set-up time of each connection.
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	// Delays are one-way; pairs that are not listed have no delay.
	Delays []Delay `json:"delays"`
	// Cuts are one-way partitions: data sent from a region to another is held back, in
	// order, until the cut ends. No connection between the two regions can be set up while
	// either direction is cut.
	Cuts []RegionPair `json:"cuts"`
	// Bandwidths are one-way and shared by all connections; pairs that are not
	// listed have no limit.
	Bandwidths []Bandwidth `json:"bandwidths"`
}

// RegionPair is an ordered pair of regions.
type RegionPair struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// reverse returns the pair for the opposite direction.
func (p RegionPair) reverse() RegionPair { return RegionPair{From: p.To, To: p.From} }

// Delay is the one-way delay of a pair of regions.
type Delay struct {
	From   int     `json:"from"`
	To     int     `json:"to"`
	Millis float64 `json:"millis"`
}

// Bandwidth is the one-way bandwidth of a pair of regions.
type Bandwidth struct {
	From              int     `json:"from"`
	To                int     `json:"to"`
	MegabitsPerSecond float64 `json:"megabitsPerSecond"`
}

// SettingsError lists all problems of invalid settings or rules.
type SettingsError struct {
	problems []string
}

// Problems returns a text for each problem. Callers must not modify the slice.
func (e *SettingsError) Problems() []string { return e.problems }

func (e *SettingsError) Error() string { return strings.Join(e.problems, "; ") }

// LoadSettings reads and checks a settings file. It returns a *SettingsError if the file
// can't be read or is invalid.
func LoadSettings(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &SettingsError{problems: []string{err.Error()}}
	}
	var settings Settings
	if err := server.DecodeStrict(body, &settings); err != nil {
		return Settings{}, &SettingsError{problems: []string{path + ": " + err.Error()}}
	}
	problems := validateAddress("adminAddress", settings.AdminAddress)
	for i, portForward := range settings.PortForwards {
		problems = append(problems, portForward.validate(fmt.Sprintf("listens[%d].", i))...)
	}
	problems = append(problems, settings.Rules.validate("rules.")...)
	if len(problems) > 0 {
		return Settings{}, &SettingsError{problems: problems}
	}
	return settings, nil
}

// validate returns a text for each problem. The prefix precedes the names of the fields.
func (f PortForward) validate(prefix string) []string {
	return append(validateAddress(prefix+"address", f.Address), validateAddress(prefix+"target", f.Target)...)
}

// validateAddress returns a problem if address, the value of the field at path, is not
// IP:PORT.
func validateAddress(path, address string) []string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return []string{fmt.Sprintf("%s: found %q, allowed IP:PORT", path, address)}
	}
	return nil
}

// validate returns a text for each problem. The prefix precedes the names of the fields.
func (r Rules) validate(prefix string) []string {
	var problems []string
	if r.ConnectionCostMillis < 0 {
		problems = append(problems, fmt.Sprintf("%sconnectionCostMillis: found %v, allowed 0 or more", prefix, r.ConnectionCostMillis))
	}
	for i, delay := range r.Delays {
		problems = append(problems, validatePair(fmt.Sprintf("%sdelays[%d]", prefix, i), RegionPair{From: delay.From, To: delay.To})...)
		if delay.Millis < 0 {
			problems = append(problems, fmt.Sprintf("%sdelays[%d].millis: found %v, allowed 0 or more", prefix, i, delay.Millis))
		}
	}
	for i, cut := range r.Cuts {
		problems = append(problems, validatePair(fmt.Sprintf("%scuts[%d]", prefix, i), cut)...)
	}
	for i, bandwidth := range r.Bandwidths {
		problems = append(problems, validatePair(fmt.Sprintf("%sbandwidths[%d]", prefix, i), RegionPair{From: bandwidth.From, To: bandwidth.To})...)
		if bandwidth.MegabitsPerSecond <= 0 {
			problems = append(problems,
				fmt.Sprintf("%sbandwidths[%d].megabitsPerSecond: found %v, allowed more than 0", prefix, i, bandwidth.MegabitsPerSecond))
		}
	}
	return problems
}

// maxRegion is the largest R of 127.0.R.N.
const maxRegion = 255

// validatePair returns a problem for each region of the pair that is out of range. The
// path is that of the field.
func validatePair(path string, pair RegionPair) []string {
	var problems []string
	for name, region := range map[string]int{"from": pair.From, "to": pair.To} {
		if region < 0 || region > maxRegion {
			problems = append(problems, fmt.Sprintf("%s.%s: found %d, allowed 0 to %d", path, name, region, maxRegion))
		}
	}
	return problems
}

// regionOf returns the region of address, which is 0 for an address other than 127.0.R.N.
func regionOf(address net.Addr) int {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0
	}
	ip := tcp.IP.To4()
	if ip == nil || ip[0] != 127 || ip[1] != 0 {
		return 0
	}
	return int(ip[2])
}
