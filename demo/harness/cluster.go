package harness

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"briarwell.dev/core/audit/record"
)

const (
	// daemonStopTimeoutMillis bounds a graceful stop of a daemon.
	daemonStopTimeoutMillis = 10000
	// platformIP holds table, objects and relays; regions start at 127.0.1.0.
	platformIP = "127.0.0.1"
	// firstHostNumber is the first host number of a region's network.
	firstHostNumber = 11
)

// Options describes a cluster.
type Options struct {
	Programs Programs
	// Folder receives logs, settings and records.
	Folder string
	// Root is the folder of the workspace.
	Root string
	// Regions names the regions; instances are spread over them in turn.
	Regions []string
	// Instances gives the number of instances of each service.
	Instances []ServiceCount
	// OmitAcceptanceLogs keeps upstreams from writing acceptance files.
	OmitAcceptanceLogs bool
	// UseRelay puts a relay before the peer address of each daemon.
	UseRelay bool
	LogLevel string
	// Placement and HotKeys are settings of the daemons; "" means their default.
	Placement string
	HotKeys   bool
	// ShardsPerService is the number of shards of each keyed service; 0 means that of the
	// example configuration.
	ShardsPerService int
}

// ServiceCount is a service and the number of its instances.
type ServiceCount struct {
	Service Service
	Count   int
}

// Cluster is the set of processes of one run.
type Cluster struct {
	options       Options
	processes     *ProcessSet
	tableAddress  string
	objectAddress string
	instances     []*Instance
	relay         *Relay
}

// NewCluster prepares a cluster and starts nothing yet.
func NewCluster(options Options) (*Cluster, error) {
	group, err := NewProcessSet(options.Folder)
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, processes: group}
	if c.tableAddress, err = FreeAddress(platformIP); err != nil {
		return nil, err
	}
	if c.objectAddress, err = FreeAddress(platformIP); err != nil {
		return nil, err
	}
	hosts := make([]int, len(options.Regions))
	for _, s := range options.Instances {
		for n := range s.Count {
			region := n % len(options.Regions)
			if err := c.addInstance(s.Service, region, hosts[region]); err != nil {
				return nil, err
			}
			hosts[region]++
		}
	}
	if options.UseRelay {
		c.relay, err = newRelay(c)
	}
	return c, err
}

func (c *Cluster) addInstance(service Service, region, host int) error {
	name := c.options.Regions[region]
	domain := fmt.Sprintf("%s-%c", name, 'a'+rune(host%2))
	i := &Instance{
		cluster: c, region: name, failureDomain: domain, service: service,
		name: fmt.Sprintf("%s-%d", domain, host+1),
		ip:   fmt.Sprintf("127.0.%d.%d", region+1, firstHostNumber+host),
	}
	for _, address := range []*string{&i.addresses.HTTP, &i.addresses.Peer, &i.addresses.Local, &i.addresses.Upstream} {
		free, err := FreeAddress(i.ip)
		if err != nil {
			return err
		}
		*address = free
	}
	c.instances = append(c.instances, i)
	return nil
}

// Processes returns the process group with the folder of the run.
func (c *Cluster) Processes() *ProcessSet { return c.processes }

// Instances returns all instances.
func (c *Cluster) Instances() []*Instance { return c.instances }

// TableURL returns the address of the table itself.
func (c *Cluster) TableURL() string { return "http://" + c.tableAddress }

func (c *Cluster) objectURL() string { return "http://" + c.objectAddress }

// daemonTableURL returns the address at which daemons reach the table.
func (c *Cluster) daemonTableURL() string {
	if c.relay != nil {
		return "http://" + c.relay.tableAddress
	}
	return c.TableURL()
}

// StartPlatform starts the table, the object store and the relay.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	standIn := c.options.Programs.StandIn()
	table, err := c.processes.Start("table", standIn, "table", "--address", c.tableAddress)
	if err != nil {
		return err
	}
	objects, err := c.processes.Start("objects", standIn, "objects", "--address", c.objectAddress)
	if err != nil {
		return err
	}
	if err := WaitListening(ctx, table, c.tableAddress); err != nil {
		return err
	}
	if err := WaitListening(ctx, objects, c.objectAddress); err != nil {
		return err
	}
	if c.relay == nil {
		return nil
	}
	return c.relay.start(ctx)
}

// TableFaults are the settings of POST /admin/faults of the table stand-in.
type TableFaults struct {
	Outage          bool    `json:"outage"`
	DelayMillis     int     `json:"delayMillis"`
	LoseCommitShare float64 `json:"loseCommitShare"`
	Seed            uint64  `json:"seed"`
}

// InstanceNames returns the names of all instances.
func (c *Cluster) InstanceNames() []string {
	names := make([]string, 0, len(c.instances))
	for _, i := range c.instances {
		names = append(names, i.name)
	}
	return names
}

// Relay returns the relays, nil if there are none.
func (c *Cluster) Relay() *Relay { return c.relay }

// SetTableFaults replaces the faults of the table.
func (c *Cluster) SetTableFaults(faults TableFaults) error {
	return postJSON(c.TableURL()+"/admin/faults", faults)
}

// ApplyExamples stores the example configuration as its first version, with the number
// of shards of the options.
func (c *Cluster) ApplyExamples(ctx context.Context) error {
	files := []string{"apply", c.examplePath("lending-service"), c.examplePath("onboarding")}
	for name, parameter := range organisationShardParameters() {
		path, err := c.writeOrganisationFile(name, parameter, nil)
		if err != nil {
			return err
		}
		files = append(files, path)
	}
	_, err := c.runCLI(ctx, append(files, "--expect", "0", "--author", "bwdemo")...)
	return err
}

func (c *Cluster) examplePath(name string) string {
	return filepath.Join(c.options.Root, "examples", name+".json")
}

// StartInstances starts all instances and waits until they are ready.
func (c *Cluster) StartInstances(ctx context.Context) error {
	for _, i := range c.instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	group := pool.New().WithErrors()
	for _, i := range c.instances {
		group.Go(func() error { return i.WaitReady(ctx) })
	}
	return group.Wait()
}

// Acceptances reads the acceptance files of all upstreams.
func (c *Cluster) Acceptances() ([]record.Acceptance, error) {
	paths, err := filepath.Glob(c.processes.FilePath("*.acceptances"))
	if err != nil {
		return nil, err
	}
	var all []record.Acceptance
	for _, path := range paths {
		records, err := record.ReadFile[record.Acceptance](path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, records...)
	}
	return all, nil
}

// Close stops all processes.
func (c *Cluster) Close() error {
	if err := c.processes.Close(); err != nil {
		return errors.Join(fmt.Errorf("stop processes of %s", strings.TrimSpace(c.options.Folder)), err)
	}
	return nil
}
