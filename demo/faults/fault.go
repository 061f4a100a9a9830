// Package faults injects a seeded sequence of faults into a cluster under load.
package faults

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
)

// stopTimeout bounds a graceful leave; the daemon is killed afterwards.
const stopTimeout = 15 * time.Second

// Fault is one of Kill, Freeze, Leave, TableFault and LinkFault.
type Fault interface {
	isFault()
	fmt.Stringer
	// hasTarget reports whether all keys must be served again within the recovery
	// target.
	hasTarget() bool
	inject(c *harness.Cluster) error
	// revert ends the fault and restarts the processes that it has ended.
	revert(c *harness.Cluster) error
}

// ProcessSelection selects the processes of an instance that a fault affects.
type ProcessSelection string

// The selections of processes.
const (
	DaemonProcess   ProcessSelection = "daemon"
	UpstreamProcess ProcessSelection = "upstream"
	BothProcesses   ProcessSelection = "daemon and upstream"
)

// processesOf returns the selected processes of an instance.
func (s ProcessSelection) processesOf(i *harness.Instance) []*harness.Process {
	switch s {
	case DaemonProcess:
		return []*harness.Process{i.Daemon()}
	case UpstreamProcess:
		return []*harness.Process{i.Upstream()}
	default:
		return []*harness.Process{i.Daemon(), i.Upstream()}
	}
}

// targetInstance identifies an instance by its index in the cluster.
type targetInstance struct {
	index int
	name  string
}

func (t targetInstance) lookup(c *harness.Cluster) *harness.Instance { return c.Instances()[t.index] }

// Kill kills processes of an instance with SIGKILL and restarts them when it is
// reverted.
type Kill struct {
	instance  targetInstance
	selection ProcessSelection
}

// Freeze suspends processes of an instance with SIGSTOP and resumes them with
// SIGCONT when it is reverted.
type Freeze struct {
	instance  targetInstance
	selection ProcessSelection
	duration  time.Duration
}

// Leave stops the daemon of an instance gracefully, with SIGTERM, and restarts it
// when it is reverted.
type Leave struct {
	instance targetInstance
	// stopDuration is how long the daemon took to stop; inject sets it.
	stopDuration *time.Duration
}

// TableFault sets faults of the table stand-in.
type TableFault struct {
	name   string
	faults harness.TableFaults
}

// LinkFault is a fault on the link between two regions, or between a region and the
// table.
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

// hasTarget returns false for cuts: callers on one side can't reach the keys that
// are owned on the other side, see case 4 of section 2.5 of the design page. Silenced
// links have the target, because new connections work.
func (f LinkFault) hasTarget() bool { return f.fault.Kind() == harness.LinkSilent }

// Selection returns which processes are killed.
func (f Kill) Selection() ProcessSelection { return f.selection }

// Selection returns which processes are suspended.
func (f Freeze) Selection() ProcessSelection { return f.selection }

// Kind returns the kind of the link fault.
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
	duration, err := f.instance.lookup(c).Daemon().Stop(stopTimeout)
	*f.stopDuration = duration
	return err
}

func (f Leave) revert(c *harness.Cluster) error { return startEndedProcesses(f.instance.lookup(c)) }

func (f TableFault) inject(c *harness.Cluster) error { return c.SetTableFaults(f.faults) }
func (f TableFault) revert(c *harness.Cluster) error { return c.SetTableFaults(harness.TableFaults{}) }

func (f LinkFault) inject(c *harness.Cluster) error { return c.Relay().InjectFault(f.fault) }
func (f LinkFault) revert(c *harness.Cluster) error { return c.Relay().ClearCuts() }

// startEndedProcesses restarts the processes of an instance that have ended.
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
