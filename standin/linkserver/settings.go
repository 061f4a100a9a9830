// Package linkserver is the stand-in for the network between regions: a TCP
// relay with delays, cuts, silent connections and bandwidth bounds for each
// pair of regions. The region of an IP address 127.0.R.N is R; other addresses
// are in region 0.
package linkserver

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"

	"briarwell.dev/standin/server"
)

// Settings is the JSON settings file.
type Settings struct {
	// AdminAddress takes the admin requests.
	AdminAddress string        `json:"adminAddress"`
	PortForwards []PortForward `json:"listens"`
	Rules        Rules         `json:"rules"`
}

// PortForward is an address of the relay and the address to which it forwards.
type PortForward struct {
	Address string `json:"address"`
	Target  string `json:"target"`
}

// Rules can be replaced while the relay runs.
type Rules struct {
	// ConnectionCostMillis is added to the set-up of each connection.
	ConnectionCostMillis float64 `json:"connectionCostMillis"`
	// Delays are one-way; pairs that are not listed have none.
	Delays []Delay `json:"delays"`
	// Cuts are one-way: what is sent from a region to another is kept, in
	// order, until the cut ends. No connection between the two can be set up
	// while either way is cut.
	Cuts []RegionPair `json:"cuts"`
	// Bandwidths are one-way and shared by all connections; pairs that are not
	// listed have no bound.
	Bandwidths []Bandwidth `json:"bandwidths"`
}

// RegionPair is an ordered pair of regions.
type RegionPair struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// reverse returns the pair of the other way.
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

// SettingsError lists everything that is wrong with settings.
type SettingsError struct {
	problems []string
}

// Problems returns one text for each problem; callers must not change them.
func (e *SettingsError) Problems() []string { return e.problems }

func (e *SettingsError) Error() string { return strings.Join(e.problems, "; ") }

// LoadSettings reads a settings file. It returns a *SettingsError for a file that can't
// be used.
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
	for i, listen := range settings.PortForwards {
		problems = append(problems, listen.validate(fmt.Sprintf("listens[%d].", i))...)
	}
	problems = append(problems, settings.Rules.validate("rules.")...)
	if len(problems) > 0 {
		return Settings{}, &SettingsError{problems: problems}
	}
	return settings, nil
}

func (l PortForward) validate(path string) []string {
	return append(validateAddress(path+"address", l.Address), validateAddress(path+"target", l.Target)...)
}

func validateAddress(path, address string) []string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return []string{fmt.Sprintf("%s: found %q, allowed IP:PORT", path, address)}
	}
	return nil
}

func (r Rules) validate(path string) []string {
	var found []string
	if r.ConnectionCostMillis < 0 {
		found = append(found, fmt.Sprintf("%sconnectionCostMillis: found %v, allowed 0 or more", path, r.ConnectionCostMillis))
	}
	for i, delay := range r.Delays {
		found = append(found, validatePair(fmt.Sprintf("%sdelays[%d]", path, i), RegionPair{From: delay.From, To: delay.To})...)
		if delay.Millis < 0 {
			found = append(found, fmt.Sprintf("%sdelays[%d].millis: found %v, allowed 0 or more", path, i, delay.Millis))
		}
	}
	for i, cut := range r.Cuts {
		found = append(found, validatePair(fmt.Sprintf("%scuts[%d]", path, i), cut)...)
	}
	for i, bound := range r.Bandwidths {
		found = append(found, validatePair(fmt.Sprintf("%sbandwidths[%d]", path, i), RegionPair{From: bound.From, To: bound.To})...)
		if bound.MegabitsPerSecond <= 0 {
			found = append(found,
				fmt.Sprintf("%sbandwidths[%d].megabitsPerSecond: found %v, allowed more than 0", path, i, bound.MegabitsPerSecond))
		}
	}
	return found
}

// maxRegion is the largest R of 127.0.R.N.
const maxRegion = 255

func validatePair(path string, pair RegionPair) []string {
	var found []string
	for name, region := range map[string]int{"from": pair.From, "to": pair.To} {
		if region < 0 || region > maxRegion {
			found = append(found, fmt.Sprintf("%s.%s: found %d, allowed 0 to %d", path, name, region, maxRegion))
		}
	}
	return found
}

// regionOf returns the region of an address.
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
