package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc/pool"

	"briarwell.dev/demo/assess"
	"briarwell.dev/demo/harness"
)

const (
	// settleTime follows each fault, so that the next one meets a whole cluster.
	settleTime = 5 * time.Second
	// readyTimeout bounds the wait for all daemons after a fault.
	readyTimeout = 30 * time.Second
)

// Run takes steps of the plan until length has passed, and returns what it
// injected. A cluster that isn't ready again in time ends the run with an error,
// beside the events so far.
func Run(ctx context.Context, cluster *harness.Cluster, plan *Plan, length time.Duration, out io.Writer) ([]assess.Fault, error) {
	var events []assess.Fault
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		event, err := runStep(ctx, cluster, plan.Next(), out)
		if err != nil {
			return append(events, event), err
		}
		events = append(events, event)
	}
	return events, nil
}

// RunOutage makes the table fail for a time.
func RunOutage(ctx context.Context, cluster *harness.Cluster, length time.Duration, out io.Writer) ([]assess.Fault, error) {
	fault := TableFault{name: fmt.Sprintf("table outage of %v", length), faults: harness.TableFaults{Outage: true}}
	event, err := runStep(ctx, cluster, newStep(TimedFault{fault: fault, duration: length}), out)
	return []assess.Fault{event}, err
}

func runStep(ctx context.Context, cluster *harness.Cluster, step Step, out io.Writer) (assess.Fault, error) {
	event := assess.Fault{Name: step.String(), HasTarget: step.hasTarget(), StartUnixMicros: time.Now().UnixMicro()}
	_, _ = fmt.Fprintf(out, "%s %s\n", time.Now().Format(time.TimeOnly), event.Name)
	var err error
	for _, f := range step.faults {
		err = errors.Join(err, f.fault.inject(cluster))
		event.StopMillis = max(event.StopMillis, stopDuration(f.fault).Milliseconds())
	}
	var held time.Duration
	for _, f := range step.faults {
		err = errors.Join(err, sleep(ctx, f.duration-held), f.fault.revert(cluster))
		held = f.duration
	}
	event.EndUnixMicros = time.Now().UnixMicro()
	if err == nil {
		err = waitReady(ctx, cluster)
	}
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	event.SettledUnixMicros = time.Now().UnixMicro()
	return event, err
}

// stopDuration returns how long a graceful leave took, 0 for other faults.
func stopDuration(fault Fault) time.Duration {
	leave, ok := fault.(Leave)
	if !ok {
		return 0
	}
	return *leave.stopDuration
}

func waitReady(ctx context.Context, cluster *harness.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	group := pool.New().WithErrors()
	for _, i := range cluster.Instances() {
		group.Go(func() error { return i.WaitReady(ctx) })
	}
	return group.Wait()
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
