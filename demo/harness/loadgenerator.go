package harness

import (
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"briarwell.dev/core/audit/record"
)

const (
	// maxLoadDuration ends the load if Stop is never called.
	maxLoadDuration = time.Hour
	// loadStopTimeout allows for the requests in flight and the report of bwload.
	loadStopTimeout = 30 * time.Second
)

// LoadGenerator is a running bwload process.
type LoadGenerator struct {
	process     *Process
	recordsFile string
}

// LoadOptions configures a load. A zero rate or seed means the value of the workload
// file.
type LoadOptions struct {
	// Workload is the name of a file in load/workloads.
	Workload string
	// Rate is in requests per second.
	Rate float64
	Seed uint64
}

// StartLoadGenerator starts bwload with all daemons as targets; callers use the
// daemons of their own region. The load runs until Stop is called.
func (c *Cluster) StartLoadGenerator(options LoadOptions) (*LoadGenerator, error) {
	g := &LoadGenerator{recordsFile: c.processes.FilePath("calls.records")}
	arguments := make([]string, 0, 2*len(c.instances)+10)
	for _, i := range c.instances {
		arguments = append(arguments, "--targets", i.region+"="+i.addresses.HTTP)
	}
	arguments = append(arguments,
		"--workload", filepath.Join(c.options.Root, "load", "workloads", options.Workload+".json"),
		"--records", g.recordsFile, "--json", c.processes.FilePath("load.json"),
		"--seconds", strconv.Itoa(int(maxLoadDuration.Seconds())),
		"--rate", fmt.Sprint(options.Rate), "--seed", fmt.Sprint(options.Seed))
	p, err := c.processes.Start("load", c.options.Programs.LoadGenerator(), arguments...)
	if err != nil {
		return nil, err
	}
	g.process = p
	return g, nil
}

// Stop ends the load and returns the recorded calls. The report of bwload is in
// load.log. Stop returns an error if bwload has already ended.
func (g *LoadGenerator) Stop() ([]record.Call, error) {
	if !g.process.Running() {
		return nil, fmt.Errorf("load generator ended before it was stopped: %w", g.process.ExitError())
	}
	if _, err := g.process.Stop(loadStopTimeout); err != nil {
		return nil, err
	}
	return record.ReadFile[record.Call](g.recordsFile)
}
