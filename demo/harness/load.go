package harness

import (
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"briarwell.dev/core/audit/record"
)

const (
	// maxLoadDuration is how much longer the load may run than it is needed.
	maxLoadDuration = time.Hour
	// loadStopTimeout leaves time for the requests in flight and the report.
	loadStopTimeout = 30 * time.Second
)

// LoadGenerator is a running bwload.
type LoadGenerator struct {
	process     *Process
	recordsFile string
}

// LoadOptions describes a load. Zero values leave the workload file in force.
type LoadOptions struct {
	// Workload is the name of a file in load/workloads.
	Workload string
	Rate     float64
	Seed     uint64
}

// StartLoadGenerator starts bwload with all daemons as targets, each for callers of its
// region. The load runs until Stop.
func (c *Cluster) StartLoadGenerator(options LoadOptions) (*LoadGenerator, error) {
	l := &LoadGenerator{recordsFile: c.processes.FilePath("calls.records")}
	arguments := make([]string, 0, 2*len(c.instances)+10)
	for _, i := range c.instances {
		arguments = append(arguments, "--targets", i.region+"="+i.addresses.HTTP)
	}
	arguments = append(arguments,
		"--workload", filepath.Join(c.options.Root, "load", "workloads", options.Workload+".json"),
		"--records", l.recordsFile, "--json", c.processes.FilePath("load.json"),
		"--seconds", strconv.Itoa(int(maxLoadDuration.Seconds())),
		"--rate", fmt.Sprint(options.Rate), "--seed", fmt.Sprint(options.Seed))
	p, err := c.processes.Start("load", c.options.Programs.LoadGenerator(), arguments...)
	if err != nil {
		return nil, err
	}
	l.process = p
	return l, nil
}

// Stop ends the load and returns the calls. The report of bwload is in
// load.log.
func (l *LoadGenerator) Stop() ([]record.Call, error) {
	if !l.process.Running() {
		return nil, fmt.Errorf("the load ended early: %w", l.process.ExitError())
	}
	if _, err := l.process.Stop(loadStopTimeout); err != nil {
		return nil, err
	}
	return record.ReadFile[record.Call](l.recordsFile)
}
