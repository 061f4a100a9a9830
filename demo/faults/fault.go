// Package faults injects a seeded sequence of faults into a cluster under load.
package faults

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
)

// stopTimeout bounds a graceful leave.
const stopTimeout = 15 * time.Second

// Fault is one of Kill, Freeze, Leave, Table and Cut.
type Fault interface {
	isFault()
	fmt.Stringer
	// hasTarget tells whether keys must be served again within the target.
	hasTarget() bool
	inject(c *harness.Cluster) error
	revert(c *harness.Cluster) error
}

// ProcessSelection says which processes of an instance a fault hits.
type ProcessSelection string

// Parts of an instance.
const (
	DaemonProcess   ProcessSelection = "daemon"
	UpstreamProcess ProcessSelection = "upstream"
	BothProcesses   ProcessSelection = "daemon and upstream"
)

func (p ProcessSelection) processesOf(i *harness.Instance) []*harness.Process {
	switch p {
	case DaemonProcess:
		return []*harness.Process{i.Daemon()}
	case UpstreamProcess:
		return []*harness.Process{i.Upstream()}
	default:
		return []*harness.Process{i.Daemon(), i.Upstream()}
	}
}

// targetInstance is an instance by its number in the cluster.
type targetInstance struct {
	index int
	name  string
}

func (t targetInstance) lookup(c *harness.Cluster) *harness.Instance { return c.Instances()[t.index] }

// Kill ends processes of an instance with SIGKILL; they are started again when
// the fault heals.
type Kill struct {
	instance  targetInstance
	selection ProcessSelection
}

// Freeze stops processes of an instance and resumes them when the fault heals.
type Freeze struct {
	instance  targetInstance
	selection ProcessSelection
	duration  time.Duration
}

// Leave stops the daemon of an instance with SIGTERM and starts it again when
// the fault heals.
type Leave struct {
	instance     targetInstance
	stopDuration *time.Duration
}

// TableFault sets faults of the table service.
type TableFault struct {
	name   string
	faults harness.TableFaults
}

// LinkFault changes the link between two regions, or from a region to the table.
type LinkFault struct {
	fault harness.LinkFault
}

func (Kill) isFault()       {}
func (Freeze) isFault()     {}
func (Leave) isFault()      {}
func (TableFault) isFault() {}
func (LinkFault) isFault()  {}

func (f Kill) String() string { return fmt.Sprintf("kill %s of %s", f.selection, f.instance.name) }

func (f Freeze) String() string {
	return fmt.Sprintf("freeze %s of %s for %v", f.selection, f.instance.name, f.duration)
}
func (f Leave) String() string      { return fmt.Sprintf("graceful leave of %s", f.instance.name) }
func (f TableFault) String() string { return f.name }
func (f LinkFault) String() string  { return f.fault.String() }

func (Kill) hasTarget() bool       { return true }
func (Freeze) hasTarget() bool     { return true }
func (Leave) hasTarget() bool      { return true }
func (TableFault) hasTarget() bool { return true }

// hasTarget excludes cuts: callers on one side can't reach the keys owned on the
// other, see case 4 of section 2.5 of the design page. New connections work
// during silence.
func (f LinkFault) hasTarget() bool { return f.fault.Kind() == harness.LinkSilent }

// Selection returns the processes that are killed.
func (f Kill) Selection() ProcessSelection { return f.selection }

// Selection returns the processes that are frozen.
func (f Freeze) Selection() ProcessSelection { return f.selection }

// Kind returns the kind of link fault.
func (f LinkFault) Kind() harness.LinkFaultKind { return f.fault.Kind() }

func (f Kill) inject(c *harness.Cluster) error {
	var err error
	for _, p := range f.selection.processesOf(f.instance.lookup(c)) {
		err = errors.Join(err, p.Signal(syscall.SIGKILL))
	}
	return err
}

func (f Kill) revert(c *harness.Cluster) error { return startEndedProcesses(f.instance.lookup(c)) }

func (f Freeze) inject(c *harness.Cluster) error { return f.signalProcesses(c, syscall.SIGSTOP) }
func (f Freeze) revert(c *harness.Cluster) error { return f.signalProcesses(c, syscall.SIGCONT) }

func (f Freeze) signalProcesses(c *harness.Cluster, signal syscall.Signal) error {
	var err error
	for _, p := range f.selection.processesOf(f.instance.lookup(c)) {
		err = errors.Join(err, p.Signal(signal))
	}
	return err
}

func (f Leave) inject(c *harness.Cluster) error {
	length, err := f.instance.lookup(c).Daemon().Stop(stopTimeout)
	*f.stopDuration = length
	return err
}

func (f Leave) revert(c *harness.Cluster) error { return startEndedProcesses(f.instance.lookup(c)) }

func (f TableFault) inject(c *harness.Cluster) error { return c.SetTableFaults(f.faults) }
func (f TableFault) revert(c *harness.Cluster) error { return c.SetTableFaults(harness.TableFaults{}) }

func (f LinkFault) inject(c *harness.Cluster) error { return c.Relay().InjectFault(f.fault) }
func (f LinkFault) revert(c *harness.Cluster) error { return c.Relay().ClearCuts() }

// startEndedProcesses starts the processes of an instance that have ended.
func startEndedProcesses(i *harness.Instance) error {
	if !i.Daemon().Running() {
		if err := i.StartDaemon(); err != nil {
			return err
		}
	}
	if !i.Upstream().Running() {
		return i.StartUpstream()
	}
	return nil
}
