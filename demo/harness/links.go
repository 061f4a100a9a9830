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
	// interRegionDelayMillis and domainDelayMillis are the one-way delays of section
	// 1.3 of the design page between regions and between failure domains. The
	// relay knows regions only, so that all failure domains of a region have the
	// delay of two.
	interRegionDelayMillis = 20
	intraRegionDelayMillis = 1.4
	// TableRegion names the table in link faults.
	TableRegion = "table"
)

// LinkFaultKind is a kind of fault on the link between two regions.
type LinkFaultKind string

// Kinds of link faults.
const (
	// LinkCut holds back what is sent in both directions.
	LinkCut LinkFaultKind = "cut"
	// LinkCutOneWay holds back what one region sends to the other.
	LinkCutOneWay LinkFaultKind = "cut one way"
	// LinkSilent makes the open connections silent for ever; new ones work.
	LinkSilent LinkFaultKind = "silence"
)

// LinkFault is a fault on the link between two regions.
type LinkFault struct {
	kind     LinkFaultKind
	from, to string
}

// NewLinkFault returns a fault between two regions, or a region and TableRegion.
func NewLinkFault(kind LinkFaultKind, from, to string) LinkFault {
	return LinkFault{kind: kind, from: from, to: to}
}

// Kind returns the kind of the fault.
func (f LinkFault) Kind() LinkFaultKind { return f.kind }

func (f LinkFault) String() string { return fmt.Sprintf("%s %s to %s", f.kind, f.from, f.to) }

// Relay is the relay between regions, and between regions and the table.
type Relay struct {
	cluster      *Cluster
	adminAddress string
	tableAddress string
	process      *Process
}

// relaySettings is the settings file of standin link.
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

// newRelay reserves the addresses of the relay and sets what the instances
// advertise.
func newRelay(c *Cluster) (*Relay, error) {
	l := &Relay{cluster: c}
	for _, address := range []*string{&l.adminAddress, &l.tableAddress} {
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
	return l, nil
}

func (l *Relay) start(ctx context.Context) error {
	settings := relaySettings{
		AdminAddress: l.adminAddress,
		PortForwards: []portForward{{Address: l.tableAddress, Target: l.cluster.tableAddress}},
		Rules:        l.relayRules(),
	}
	for _, i := range l.cluster.instances {
		settings.PortForwards = append(settings.PortForwards, portForward{Address: i.addresses.AdvertisedPeer, Target: i.addresses.Peer})
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := l.cluster.processes.FilePath("link.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	l.process, err = l.cluster.processes.Start("link", l.cluster.options.Programs.StandIn(), "link", "--settings", path)
	if err != nil {
		return err
	}
	return WaitListening(ctx, l.process, l.adminAddress)
}

// relayRules returns the usual delays. The table is in the first region.
func (l *Relay) relayRules(cuts ...regionPair) linkRules {
	rules := linkRules{ConnectionCostMillis: 1, Cuts: cuts}
	for from := range len(l.cluster.options.Regions) + 1 {
		for to := range len(l.cluster.options.Regions) + 1 {
			millis := float64(interRegionDelayMillis)
			if max(from, 1) == max(to, 1) {
				millis = intraRegionDelayMillis
			}
			rules.Delays = append(rules.Delays, regionPairDelay{From: from, To: to, Millis: millis})
		}
	}
	return rules
}

// regionNumber returns the region number in loopback addresses, 0 for the table.
func (l *Relay) regionNumber(region string) int {
	if region == TableRegion {
		return 0
	}
	return slices.Index(l.cluster.options.Regions, region) + 1
}

// InjectFault puts a fault in force.
func (l *Relay) InjectFault(f LinkFault) error {
	out := regionPair{From: l.regionNumber(f.from), To: l.regionNumber(f.to)}
	back := regionPair{From: out.To, To: out.From}
	switch f.kind {
	case LinkSilent:
		url := "http://" + l.adminAddress + "/admin/silence"
		return errors.Join(postJSON(url, out), postJSON(url, back))
	case LinkCutOneWay:
		return l.postRules(l.relayRules(out))
	default:
		return l.postRules(l.relayRules(out, back))
	}
}

// ClearCuts ends all cuts. Silent connections stay silent.
func (l *Relay) ClearCuts() error { return l.postRules(l.relayRules()) }

func (l *Relay) postRules(rules linkRules) error {
	return postJSON("http://"+l.adminAddress+"/admin/rules", rules)
}
