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
	// regionDelayMillis and domainDelayMillis are the one-way delays of section
	// 1.3 of the design page between regions and between failure domains. The
	// relay knows regions only, so that all failure domains of a region have the
	// delay of two.
	regionDelayMillis = 20
	domainDelayMillis = 1.4
	// TableRegion names the table in link faults.
	TableRegion = "table"
)

// LinkKind is a kind of fault on the link between two regions.
type LinkKind string

// Kinds of link faults.
const (
	// LinkCut holds back what is sent in both directions.
	LinkCut LinkKind = "cut"
	// LinkCutOneWay holds back what one region sends to the other.
	LinkCutOneWay LinkKind = "cut one way"
	// LinkSilent makes the open connections silent for ever; new ones work.
	LinkSilent LinkKind = "silence"
)

// LinkFault is a fault on the link between two regions.
type LinkFault struct {
	kind     LinkKind
	from, to string
}

// NewLinkFault returns a fault between two regions, or a region and TableRegion.
func NewLinkFault(kind LinkKind, from, to string) LinkFault {
	return LinkFault{kind: kind, from: from, to: to}
}

// Kind returns the kind of the fault.
func (f LinkFault) Kind() LinkKind { return f.kind }

func (f LinkFault) String() string { return fmt.Sprintf("%s %s to %s", f.kind, f.from, f.to) }

// Links is the relay between regions, and between regions and the table.
type Links struct {
	cluster *Cluster
	admin   string
	table   string
	process *Process
}

// linkSettings is the settings file of standin link.
type linkSettings struct {
	AdminAddress string       `json:"adminAddress"`
	Listens      []linkListen `json:"listens"`
	Rules        linkRules    `json:"rules"`
}

type linkListen struct {
	Address string `json:"address"`
	Target  string `json:"target"`
}

type linkRules struct {
	ConnectionCostMillis float64     `json:"connectionCostMillis"`
	Delays               []linkDelay `json:"delays"`
	Cuts                 []linkPair  `json:"cuts"`
}

type linkPair struct {
	From int `json:"from"`
	To   int `json:"to"`
}

type linkDelay struct {
	From   int     `json:"from"`
	To     int     `json:"to"`
	Millis float64 `json:"millis"`
}

// newLinks reserves the addresses of the relay and sets what the instances
// advertise.
func newLinks(c *Cluster) (*Links, error) {
	l := &Links{cluster: c}
	for _, address := range []*string{&l.admin, &l.table} {
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

func (l *Links) start(ctx context.Context) error {
	settings := linkSettings{
		AdminAddress: l.admin,
		Listens:      []linkListen{{Address: l.table, Target: l.cluster.tableAddress}},
		Rules:        l.rules(),
	}
	for _, i := range l.cluster.instances {
		settings.Listens = append(settings.Listens, linkListen{Address: i.addresses.AdvertisedPeer, Target: i.addresses.Peer})
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := l.cluster.group.File("link.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	l.process, err = l.cluster.group.Start("link", l.cluster.options.Programs.StandIn(), "link", "--settings", path)
	if err != nil {
		return err
	}
	return WaitListening(ctx, l.process, l.admin)
}

// rules returns the usual delays. The table is in the first region.
func (l *Links) rules(cuts ...linkPair) linkRules {
	rules := linkRules{ConnectionCostMillis: 1, Cuts: cuts}
	for from := range len(l.cluster.options.Regions) + 1 {
		for to := range len(l.cluster.options.Regions) + 1 {
			millis := float64(regionDelayMillis)
			if max(from, 1) == max(to, 1) {
				millis = domainDelayMillis
			}
			rules.Delays = append(rules.Delays, linkDelay{From: from, To: to, Millis: millis})
		}
	}
	return rules
}

// number returns the region number in loopback addresses, 0 for the table.
func (l *Links) number(region string) int {
	if region == TableRegion {
		return 0
	}
	return slices.Index(l.cluster.options.Regions, region) + 1
}

// Set puts a fault in force.
func (l *Links) Set(f LinkFault) error {
	out := linkPair{From: l.number(f.from), To: l.number(f.to)}
	back := linkPair{From: out.To, To: out.From}
	switch f.kind {
	case LinkSilent:
		url := "http://" + l.admin + "/admin/silence"
		return errors.Join(post(url, out), post(url, back))
	case LinkCutOneWay:
		return l.replace(l.rules(out))
	default:
		return l.replace(l.rules(out, back))
	}
}

// Clear ends all cuts. Silent connections stay silent.
func (l *Links) Clear() error { return l.replace(l.rules()) }

func (l *Links) replace(rules linkRules) error {
	return post("http://"+l.admin+"/admin/rules", rules)
}
