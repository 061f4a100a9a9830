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
	// settleTime is the pause after each step, so that the cluster has recovered when
	// the next step starts.
	settleTime = 5 * time.Second
	// readyTimeout bounds the wait until all daemons are ready after a step.
	readyTimeout = 30 * time.Second
)

// Run runs steps of the plan until duration has passed, and returns the injected
// faults. If the cluster does not become ready within readyTimeout after a step, Run
// returns an error together with the faults so far.
func Run(ctx context.Context, cluster *harness.Cluster, plan *Plan, duration time.Duration, out io.Writer) ([]assess.Fault, error) {
	var injected []assess.Fault
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		fault, err := runStep(ctx, cluster, plan.Next(), out)
		if err != nil {
			return append(injected, fault), err
		}
		injected = append(injected, fault)
	}
	return injected, nil
}

// RunOutage makes the table unavailable for duration.
func RunOutage(ctx context.Context, cluster *harness.Cluster, duration time.Duration, out io.Writer) ([]assess.Fault, error) {
	fault := TableFault{name: fmt.Sprintf("table outage of %v", duration), faults: harness.TableFaults{Outage: true}}
	result, err := runStep(ctx, cluster, newStep(TimedFault{fault: fault, duration: duration}), out)
	return []assess.Fault{result}, err
}

// runStep injects the faults of a step, reverts each at the end of its duration, and
// waits until the cluster has settled. It returns an error if a fault can't be
// injected or reverted, or if the cluster does not become ready.
func runStep(ctx context.Context, cluster *harness.Cluster, step Step, out io.Writer) (assess.Fault, error) {
	result := assess.Fault{Name: step.String(), HasTarget: step.hasTarget(), StartUnixMicros: time.Now().UnixMicro()}
	_, _ = fmt.Fprintf(out, "%s %s\n", time.Now().Format(time.TimeOnly), result.Name)
	var err error
	for _, f := range step.faults {
		err = errors.Join(err, f.fault.inject(cluster))
		result.StopMillis = max(result.StopMillis, stopDuration(f.fault).Milliseconds())
	}
	var elapsed time.Duration
	for _, f := range step.faults {
		err = errors.Join(err, sleep(ctx, f.duration-elapsed), f.fault.revert(cluster))
		elapsed = f.duration
	}
	result.EndUnixMicros = time.Now().UnixMicro()
	if err == nil {
		err = waitReady(ctx, cluster)
	}
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	result.SettledUnixMicros = time.Now().UnixMicro()
	return result, err
}

// stopDuration returns how long the daemon took for a graceful leave, 0 for other
// faults.
func stopDuration(fault Fault) time.Duration {
	leave, ok := fault.(Leave)
	if !ok {
		return 0
	}
	return *leave.stopDuration
}

// waitReady waits until all daemons are ready, for at most readyTimeout.
func waitReady(ctx context.Context, cluster *harness.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	waits := pool.New().WithErrors()
	for _, i := range cluster.Instances() {
		waits.Go(func() error { return i.WaitReady(ctx) })
	}
	return waits.Wait()
}

// sleep waits for duration. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
