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
	// targeted tells whether keys must be served again within the target.
	targeted() bool
	inject(c *harness.Cluster) error
	heal(c *harness.Cluster) error
}

// Part says which processes of an instance a fault hits.
type Part string

// Parts of an instance.
const (
	PartDaemon   Part = "daemon"
	PartUpstream Part = "upstream"
	PartBoth     Part = "daemon and upstream"
)

func (p Part) processes(i *harness.Instance) []*harness.Process {
	switch p {
	case PartDaemon:
		return []*harness.Process{i.Daemon()}
	case PartUpstream:
		return []*harness.Process{i.Upstream()}
	default:
		return []*harness.Process{i.Daemon(), i.Upstream()}
	}
}

// target is an instance by its number in the cluster.
type target struct {
	number int
	name   string
}

func (t target) in(c *harness.Cluster) *harness.Instance { return c.Instances()[t.number] }

// Kill ends processes of an instance with SIGKILL; they are started again when
// the fault heals.
type Kill struct {
	instance target
	part     Part
}

// Freeze stops processes of an instance and resumes them when the fault heals.
type Freeze struct {
	instance target
	part     Part
	length   time.Duration
}

// Leave stops the daemon of an instance with SIGTERM and starts it again when
// the fault heals.
type Leave struct {
	instance target
	stopped  *time.Duration
}

// Table sets faults of the table service.
type Table struct {
	name   string
	faults harness.TableFaults
}

// Cut changes the link between two regions, or from a region to the table.
type Cut struct {
	link harness.LinkFault
}

func (Kill) isFault()   {}
func (Freeze) isFault() {}
func (Leave) isFault()  {}
func (Table) isFault()  {}
func (Cut) isFault()    {}

func (f Kill) String() string { return fmt.Sprintf("kill %s of %s", f.part, f.instance.name) }

func (f Freeze) String() string {
	return fmt.Sprintf("freeze %s of %s for %v", f.part, f.instance.name, f.length)
}
func (f Leave) String() string { return fmt.Sprintf("graceful leave of %s", f.instance.name) }
func (f Table) String() string { return f.name }
func (f Cut) String() string   { return f.link.String() }

func (Kill) targeted() bool   { return true }
func (Freeze) targeted() bool { return true }
func (Leave) targeted() bool  { return true }
func (Table) targeted() bool  { return true }

// targeted excludes cuts: callers on one side can't reach the keys owned on the
// other, see case 4 of section 2.5 of the design page. New connections work
// during silence.
func (f Cut) targeted() bool { return f.link.Kind() == harness.LinkSilent }

// Part returns the processes that are killed.
func (f Kill) Part() Part { return f.part }

// Part returns the processes that are frozen.
func (f Freeze) Part() Part { return f.part }

// Kind returns the kind of link fault.
func (f Cut) Kind() harness.LinkKind { return f.link.Kind() }

func (f Kill) inject(c *harness.Cluster) error {
	var err error
	for _, p := range f.part.processes(f.instance.in(c)) {
		err = errors.Join(err, p.Signal(syscall.SIGKILL))
	}
	return err
}

func (f Kill) heal(c *harness.Cluster) error { return startEnded(f.instance.in(c)) }

func (f Freeze) inject(c *harness.Cluster) error { return f.signal(c, syscall.SIGSTOP) }
func (f Freeze) heal(c *harness.Cluster) error   { return f.signal(c, syscall.SIGCONT) }

func (f Freeze) signal(c *harness.Cluster, signal syscall.Signal) error {
	var err error
	for _, p := range f.part.processes(f.instance.in(c)) {
		err = errors.Join(err, p.Signal(signal))
	}
	return err
}

func (f Leave) inject(c *harness.Cluster) error {
	length, err := f.instance.in(c).Daemon().Stop(stopTimeout)
	*f.stopped = length
	return err
}

func (f Leave) heal(c *harness.Cluster) error { return startEnded(f.instance.in(c)) }

func (f Table) inject(c *harness.Cluster) error { return c.SetTableFaults(f.faults) }
func (f Table) heal(c *harness.Cluster) error   { return c.SetTableFaults(harness.TableFaults{}) }

func (f Cut) inject(c *harness.Cluster) error { return c.Links().Set(f.link) }
func (f Cut) heal(c *harness.Cluster) error   { return c.Links().Clear() }

// startEnded starts the processes of an instance that have ended.
func startEnded(i *harness.Instance) error {
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
