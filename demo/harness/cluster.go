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
	// daemonStopTimeoutMillis is the stopTimeoutMillis setting of the daemons.
	daemonStopTimeoutMillis = 10000
	// platformIP is the IP address of the table, the object store, and the relay's
	// listeners for administration and the table. The networks of the regions are
	// 127.0.1.0/24 and following.
	platformIP = "127.0.0.1"
	// firstHostNumber is the host number of the first instance in the network of a
	// region.
	firstHostNumber = 11
)

// Options configures a cluster.
type Options struct {
	Programs Programs
	// Folder is the folder for logs, settings and records. It must be empty or
	// absent.
	Folder string
	// Root is the root folder of the Go workspace.
	Root string
	// Regions has the names of the regions. The instances of each service are
	// assigned to them round-robin.
	Regions []string
	// Instances has the services and the number of instances of each.
	Instances []ServiceCount
	// OmitAcceptanceLogs disables the acceptance logs of the upstreams.
	OmitAcceptanceLogs bool
	// UseRelay routes the connections between daemons, and from daemons to the
	// table, through a relay that can inject link faults.
	UseRelay bool
	// LogLevel is the log level of the daemons.
	LogLevel string
	// Placement and HotKeys are settings of the daemons; a zero value means the
	// default of the daemon.
	Placement string
	HotKeys   bool
	// ShardsPerService is the number of shards of each keyed service; 0 means the
	// number of the example configuration.
	ShardsPerService int
}

// ServiceCount is a service and the number of its instances.
type ServiceCount struct {
	Service Service
	Count   int
}

// Cluster consists of the daemons, the upstreams and the stand-ins of the platform
// in one run. Use NewCluster.
type Cluster struct {
	options       Options
	processes     *ProcessSet
	tableAddress  string
	objectAddress string
	instances     []*Instance
	relay         *Relay
}

// NewCluster chooses the addresses of all processes and starts none of them. It
// returns a *FolderNotEmptyError if the folder has files.
func NewCluster(options Options) (*Cluster, error) {
	processes, err := NewProcessSet(options.Folder)
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, processes: processes}
	if c.tableAddress, err = FreeAddress(platformIP); err != nil {
		return nil, err
	}
	if c.objectAddress, err = FreeAddress(platformIP); err != nil {
		return nil, err
	}
	hostCounts := make([]int, len(options.Regions))
	for _, s := range options.Instances {
		for n := range s.Count {
			region := n % len(options.Regions)
			if err := c.addInstance(s.Service, region, hostCounts[region]); err != nil {
				return nil, err
			}
			hostCounts[region]++
		}
	}
	if options.UseRelay {
		c.relay, err = newRelay(c)
	}
	return c, err
}

// addInstance adds an instance of a service. Instances with an even host index are
// in the first failure domain of their region, the others in the second.
func (c *Cluster) addInstance(service Service, regionIndex, hostIndex int) error {
	region := c.options.Regions[regionIndex]
	failureDomain := fmt.Sprintf("%s-%c", region, 'a'+rune(hostIndex%2))
	i := &Instance{
		cluster: c, region: region, failureDomain: failureDomain, service: service,
		name: fmt.Sprintf("%s-%d", failureDomain, hostIndex+1),
		ip:   fmt.Sprintf("127.0.%d.%d", regionIndex+1, firstHostNumber+hostIndex),
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

// Processes returns the processes of the cluster and the folder of their files.
func (c *Cluster) Processes() *ProcessSet { return c.processes }

// Instances returns all instances, in the order in which they are started; callers
// must not change them.
func (c *Cluster) Instances() []*Instance { return c.instances }

// TableURL returns the URL of the table, which bypasses the relay.
func (c *Cluster) TableURL() string { return "http://" + c.tableAddress }

func (c *Cluster) objectURL() string { return "http://" + c.objectAddress }

// daemonTableURL returns the URL that daemons use for the table, which is that of
// the relay if there is one.
func (c *Cluster) daemonTableURL() string {
	if c.relay != nil {
		return "http://" + c.relay.tableAddress
	}
	return c.TableURL()
}

// StartPlatform starts the stand-ins of the table and the object store, and the
// relay if there is one, and waits until they listen.
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

// TableFaults is the body of POST /admin/faults of the table stand-in. The zero
// value has no faults.
type TableFaults struct {
	Outage          bool    `json:"outage"`
	DelayMillis     int     `json:"delayMillis"`
	LoseCommitShare float64 `json:"loseCommitShare"`
	Seed            uint64  `json:"seed"`
}

// InstanceNames returns the names of all instances, in the order of Instances.
func (c *Cluster) InstanceNames() []string {
	names := make([]string, 0, len(c.instances))
	for _, i := range c.instances {
		names = append(names, i.name)
	}
	return names
}

// Relay returns the relay, nil if there is none.
func (c *Cluster) Relay() *Relay { return c.relay }

// SetTableFaults replaces the faults of the table stand-in.
func (c *Cluster) SetTableFaults(faults TableFaults) error {
	return postJSON(c.TableURL()+"/admin/faults", faults)
}

// ApplyExamples applies the example configuration as the first version, with the
// number of shards of the options.
func (c *Cluster) ApplyExamples(ctx context.Context) error {
	arguments := []string{"apply", c.examplePath("lending-service"), c.examplePath("onboarding")}
	for organisation, shardParameter := range organisationShardParameters() {
		path, err := c.writeOrganisationFile(organisation, shardParameter, nil)
		if err != nil {
			return err
		}
		arguments = append(arguments, path)
	}
	_, err := c.runCLI(ctx, append(arguments, "--expect", "0", "--author", "bwdemo")...)
	return err
}

// examplePath returns the path of an example file.
func (c *Cluster) examplePath(name string) string {
	return filepath.Join(c.options.Root, "examples", name+".json")
}

// StartInstances starts all instances and waits until their daemons are ready.
func (c *Cluster) StartInstances(ctx context.Context) error {
	for _, i := range c.instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	waits := pool.New().WithErrors()
	for _, i := range c.instances {
		waits.Go(func() error { return i.WaitReady(ctx) })
	}
	return waits.Wait()
}

// Acceptances reads the acceptance logs of all upstreams.
func (c *Cluster) Acceptances() ([]record.Acceptance, error) {
	paths, err := filepath.Glob(c.processes.FilePath("*.acceptances"))
	if err != nil {
		return nil, err
	}
	var all []record.Acceptance
	for _, path := range paths {
		records, err := record.ReadFile[record.Acceptance](path)
		if err != nil {
			return nil, fmt.Errorf("read acceptance log %s: %w", path, err)
		}
		all = append(all, records...)
	}
	return all, nil
}

// Close kills all processes and waits until they have ended.
func (c *Cluster) Close() error {
	if err := c.processes.Close(); err != nil {
		return errors.Join(fmt.Errorf("kill processes of the run in %s", strings.TrimSpace(c.options.Folder)), err)
	}
	return nil
}
