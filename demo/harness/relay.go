package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

const (
	// interRegionDelayMillis and intraRegionDelayMillis are the one-way delays
	// between regions and between failure domains, from section 1.3 of the design
	// page. The relay distinguishes regions only, so that the delay between two
	// failure domains also applies within a failure domain.
	interRegionDelayMillis = 20
	intraRegionDelayMillis = 1.4
	// TableRegion stands for the table in link faults.
	TableRegion = "table"
)

// LinkFaultKind is the kind of a link fault.
type LinkFaultKind string

// The kinds of link faults.
const (
	// LinkCut holds back all data in both directions until the cut ends.
	LinkCut LinkFaultKind = "cut"
	// LinkCutOneWay holds back all data from one region to the other until the cut
	// ends.
	LinkCutOneWay LinkFaultKind = "cut one way"
	// LinkSilent discards all further data of the open connections and leaves them
	// open; new connections work.
	LinkSilent LinkFaultKind = "silence"
)

// LinkFault is a fault on the link between two regions, or between a region and the
// table.
type LinkFault struct {
	kind     LinkFaultKind
	from, to string
}

// NewLinkFault returns a fault on the link between two regions, one of which may be
// TableRegion. LinkCutOneWay cuts the direction from the first to the second.
func NewLinkFault(kind LinkFaultKind, from, to string) LinkFault {
	return LinkFault{kind: kind, from: from, to: to}
}

// Kind returns the kind of the fault.
func (f LinkFault) Kind() LinkFaultKind { return f.kind }

func (f LinkFault) String() string { return fmt.Sprintf("%s %s to %s", f.kind, f.from, f.to) }

// Relay forwards connections between regions, and between regions and the table,
// with the delays of the network. It can inject link faults.
type Relay struct {
	cluster      *Cluster
	adminAddress string
	tableAddress string
	process      *Process
}

// relaySettings is the settings file of the stand-in's link command.
type relaySettings struct {
	AdminAddress string        `json:"adminAddress"`
	PortForwards []portForward `json:"listens"`
	Rules        linkRules     `json:"rules"`
}

type portForward struct {
	Address string `json:"address"`
	Target  string `json:"target"`
}

type linkRules struct {
	ConnectionCostMillis float64           `json:"connectionCostMillis"`
	Delays               []regionPairDelay `json:"delays"`
	Cuts                 []regionPair      `json:"cuts"`
}

type regionPair struct {
	From int `json:"from"`
	To   int `json:"to"`
}

type regionPairDelay struct {
	From   int     `json:"from"`
	To     int     `json:"to"`
	Millis float64 `json:"millis"`
}

// newRelay chooses the addresses of the relay and sets the peer addresses that the
// daemons advertise.
func newRelay(c *Cluster) (*Relay, error) {
	r := &Relay{cluster: c}
	for _, address := range []*string{&r.adminAddress, &r.tableAddress} {
		free, err := FreeAddress(platformIP)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	for _, i := range c.instances {
		free, err := FreeAddress(i.ip)
		if err != nil {
			return nil, err
		}
		i.addresses.AdvertisedPeer = free
	}
	return r, nil
}

// start starts the relay and waits until it listens.
func (r *Relay) start(ctx context.Context) error {
	settings := relaySettings{
		AdminAddress: r.adminAddress,
		PortForwards: []portForward{{Address: r.tableAddress, Target: r.cluster.tableAddress}},
		Rules:        r.relayRules(),
	}
	for _, i := range r.cluster.instances {
		settings.PortForwards = append(settings.PortForwards, portForward{Address: i.addresses.AdvertisedPeer, Target: i.addresses.Peer})
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := r.cluster.processes.FilePath("link.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	r.process, err = r.cluster.processes.Start("link", r.cluster.options.Programs.StandIn(), "link", "--settings", path)
	if err != nil {
		return err
	}
	return WaitListening(ctx, r.process, r.adminAddress)
}

// relayRules returns the rules with the delays of the network and the given cuts.
// The table is in the first region.
func (r *Relay) relayRules(cuts ...regionPair) linkRules {
	rules := linkRules{ConnectionCostMillis: 1, Cuts: cuts}
	for from := range len(r.cluster.options.Regions) + 1 {
		for to := range len(r.cluster.options.Regions) + 1 {
			millis := float64(interRegionDelayMillis)
			if max(from, 1) == max(to, 1) {
				millis = intraRegionDelayMillis
			}
			rules.Delays = append(rules.Delays, regionPairDelay{From: from, To: to, Millis: millis})
		}
	}
	return rules
}

// regionNumber returns the third byte of the region's loopback addresses, which is
// 0 for the table.
func (r *Relay) regionNumber(region string) int {
	if region == TableRegion {
		return 0
	}
	return slices.Index(r.cluster.options.Regions, region) + 1
}

// InjectFault injects a fault. A cut replaces the cuts of earlier faults.
func (r *Relay) InjectFault(f LinkFault) error {
	forward := regionPair{From: r.regionNumber(f.from), To: r.regionNumber(f.to)}
	backward := regionPair{From: forward.To, To: forward.From}
	switch f.kind {
	case LinkSilent:
		url := "http://" + r.adminAddress + "/admin/silence"
		return errors.Join(postJSON(url, forward), postJSON(url, backward))
	case LinkCutOneWay:
		return r.postRules(r.relayRules(forward))
	default:
		return r.postRules(r.relayRules(forward, backward))
	}
}

// ClearCuts ends all cuts. Connections that LinkSilent has silenced remain so.
func (r *Relay) ClearCuts() error { return r.postRules(r.relayRules()) }

func (r *Relay) postRules(rules linkRules) error {
	return postJSON("http://"+r.adminAddress+"/admin/rules", rules)
}
