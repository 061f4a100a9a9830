package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"time"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/measure"
	"briarwell.dev/demo/assess"
	"briarwell.dev/demo/faults"
	"briarwell.dev/demo/harness"
	"briarwell.dev/demo/routing"
)

const (
	// faultTestShards is the smallest number of shards that the example templates
	// allow. Each shard then receives several requests per second, so that gaps in
	// service are measured with good resolution.
	faultTestShards = 32
	// warmUpTime is the time under load before the fault phase starts.
	warmUpTime = 5 * time.Second
	// hotKeyTrafficRate is the default rate of the festival workload, in requests
	// per second.
	hotKeyTrafficRate = 1500
	// hotKeyTrafficDuration covers three sets of hot keys.
	hotKeyTrafficDuration = 3 * time.Minute
	// faultTestRate is the default rate of fault tests, in requests per second.
	faultTestRate = 400
	// outageDuration is the default duration of a table outage.
	outageDuration = 5 * time.Minute
	// benchRate is the rate of one daemon at the target scale, in requests per second.
	benchRate = 3500
	// benchRoundDuration is the default duration of each path in a round.
	benchRoundDuration = 5 * time.Second
	// benchServiceTime makes upstreams respond at once, so that the benchmark
	// compares only the cost of the paths.
	benchServiceTime = 0
	// hotKeyReadTimeout bounds the read of the hot keys from the table after a run.
	hotKeyReadTimeout = 10 * time.Second
	// benchInstances is the number of daemons in a benchmark.
	benchInstances = 3
)

// faultLoadTest returns the load test of the faults and outage subcommands.
func faultLoadTest() loadTest {
	return loadTest{workload: "faults", requestRate: faultTestRate, shardsPerService: faultTestShards}
}

// runMain starts a cluster and checks that every daemon routes each key to its
// owner, within mainTimeout.
func (o *options) runMain(ctx context.Context, programs harness.Programs) error {
	ctx, cancel := context.WithTimeout(ctx, mainTimeout)
	defer cancel()
	instances := []harness.ServiceCount{
		{Service: harness.Bookings(upstreamServiceTime), Count: o.upstreamCount},
		{Service: harness.SignOff(upstreamServiceTime), Count: o.regionCount},
	}
	return o.withCluster(programs, instances, 0, func(cluster *harness.Cluster) error {
		return routing.Run(ctx, cluster, os.Stdout)
	})
}

// withCluster calls run with a new cluster, then stops all processes of the
// cluster.
func (o *options) withCluster(programs harness.Programs, instances []harness.ServiceCount, shards int, run func(*harness.Cluster) error) error {
	cluster, err := harness.NewCluster(harness.Options{
		Programs: programs, Folder: o.folder, Root: o.workspaceRoot, Regions: regionNames()[:o.regionCount], LogLevel: o.logLevel,
		Instances: instances, ShardsPerService: shards, UseRelay: o.useRelay, OmitAcceptanceLogs: o.omitAcceptanceLogs,
		Placement: o.placement, HotKeys: o.hotKeys,
	})
	if err != nil {
		return err
	}
	return errors.Join(run(cluster), cluster.Close())
}

// runFaults injects a seeded sequence of faults under load and audits the run.
func (o *options) runFaults(ctx context.Context, programs harness.Programs) error {
	o.useRelay = true
	return o.runUnderLoad(ctx, programs, faultLoadTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		duration := time.Duration(o.durationMinutes * float64(time.Minute))
		plan := faults.NewPlan(o.seed, cluster.InstanceNames(), regionNames()[:o.regionCount])
		return faults.Run(ctx, cluster, plan, duration, os.Stdout)
	})
}

// runOutage makes the table unavailable for a time under load and audits the run.
func (o *options) runOutage(ctx context.Context, programs harness.Programs) error {
	return o.runUnderLoad(ctx, programs, faultLoadTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		return faults.RunOutage(ctx, cluster, cmp.Or(o.duration, outageDuration), os.Stdout)
	})
}

// runHotKeyTraffic runs the festival workload without faults and audits the run.
func (o *options) runHotKeyTraffic(ctx context.Context, programs harness.Programs) error {
	hotKeyTraffic := loadTest{workload: "festival", requestRate: hotKeyTrafficRate}
	return o.runUnderLoad(ctx, programs, hotKeyTraffic, func(*harness.Cluster) ([]assess.Fault, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cmp.Or(o.duration, hotKeyTrafficDuration)):
			return nil, nil
		}
	})
}

// loadTest is a workload with its default rate and the number of shards for it.
type loadTest struct {
	// workload is the name of a file in load/workloads.
	workload string
	// requestRate is in requests per second.
	requestRate float64
	// shardsPerService is 0 for the number of the example configuration.
	shardsPerService int
}

// runUnderLoad starts a cluster, a load, a status poller and configuration
// editors, calls inject, and audits the run with the faults that inject returns.
func (o *options) runUnderLoad(ctx context.Context, programs harness.Programs, test loadTest, inject func(*harness.Cluster) ([]assess.Fault, error)) error {
	instances := []harness.ServiceCount{
		{Service: harness.Bookings(upstreamServiceTime), Count: o.upstreamCount},
		{Service: harness.SignOff(upstreamServiceTime), Count: o.regionCount},
		{Service: harness.Patterns(upstreamServiceTime), Count: o.regionCount},
	}
	return o.withCluster(programs, instances, test.shardsPerService, func(cluster *harness.Cluster) error {
		if err := routing.StartCluster(ctx, cluster, os.Stdout); err != nil {
			return err
		}
		load, err := cluster.StartLoadGenerator(harness.LoadOptions{Workload: test.workload, Rate: cmp.Or(o.requestRate, test.requestRate), Seed: o.seed})
		if err != nil {
			return err
		}
		poller, editors := cluster.StartStatusPoller(ctx), cluster.StartConfigEditors(ctx)
		time.Sleep(warmUpTime)
		injected, err := inject(cluster)
		var history audit.History
		collectEdits(&history, editors)
		return errors.Join(err, o.auditRun(cluster, &history, load, poller, injected))
	})
}

// collectEdits stops the editors, adds the accepted versions to the history, and
// prints how long the acceptance of the edits took.
func collectEdits(history *audit.History, editors *harness.ConfigEditors) {
	accepted, attempts := editors.Stop()
	millis := make([]float64, 0, len(accepted))
	for _, a := range accepted {
		history.AddAcceptedVersion(a.Version(), a.AcceptedUnixMicros())
		millis = append(millis, float64(a.Duration().Milliseconds()))
	}
	d := measure.NewDistribution(millis)
	fmt.Printf("configuration: %d of %d edits accepted, after p50 %.0f ms, max %.0f ms\n", len(accepted), attempts, d.Quantile(0.5), d.Max())
}

// auditRun stops the load and the poller, audits the records and prints the
// report. It returns an error if the audit has findings or a fault missed its
// recovery target.
func (o *options) auditRun(cluster *harness.Cluster, history *audit.History, load *harness.LoadGenerator, poller *harness.StatusPoller, injected []assess.Fault) error {
	calls, err := load.Stop()
	if err != nil {
		return err
	}
	acceptances, err := cluster.Acceptances()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), hotKeyReadTimeout)
	defer cancel()
	hotKeys, err := cluster.HotKeys(ctx)
	if err != nil {
		return err
	}
	history.MarkDeadlineOnly(harness.SignOff(0).Name)
	for _, h := range hotKeys {
		history.MarkHotKey(h.Service(), h.Key())
	}
	report := assess.Run(history, acceptances, append(calls, poller.Stop()...), injected)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	path := cluster.Processes().FilePath("report.json")
	if err := report.WriteJSON(path); err != nil {
		return err
	}
	fmt.Printf("seed %d, report in %s, load in %s\n", o.seed, path, cluster.Processes().FilePath("load.log"))
	if report.Failed() {
		return errors.New("the audit found violations, or a fault missed its recovery target")
	}
	return nil
}

// runBench compares the cost of the paths to one upstream: direct, through one
// daemon, and through two.
func (o *options) runBench(ctx context.Context, programs harness.Programs) error {
	o.regionCount = 1
	// Writing acceptance logs would add to the cost of the upstream.
	o.omitAcceptanceLogs = true
	instances := []harness.ServiceCount{{Service: harness.Bookings(benchServiceTime), Count: benchInstances}}
	return o.withCluster(programs, instances, 0, func(cluster *harness.Cluster) error {
		if err := routing.StartCluster(ctx, cluster, os.Stdout); err != nil {
			return err
		}
		owner, other := cluster.Instances()[0], cluster.Instances()[1]
		command := exec.CommandContext(ctx, programs.LoadGenerator(), "bench",
			"--upstream", owner.Addresses().Upstream, "--local", owner.Addresses().HTTP, "--remote", other.Addresses().HTTP,
			"--owner", owner.Name(), "--service", owner.Service().Name,
			"--upstream-pid", strconv.Itoa(owner.Upstream().PID()), "--local-pid", strconv.Itoa(owner.Daemon().PID()),
			"--remote-pid", strconv.Itoa(other.Daemon().PID()),
			"--rounds", strconv.Itoa(o.roundCount), "--rate", fmt.Sprint(cmp.Or(o.requestRate, benchRate)), "--round", cmp.Or(o.duration, benchRoundDuration).String())
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		return command.Run()
	})
}
