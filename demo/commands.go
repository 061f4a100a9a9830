package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/measure"
	"briarwell.dev/demo/assess"
	"briarwell.dev/demo/capacity"
	"briarwell.dev/demo/faults"
	"briarwell.dev/demo/harness"
	"briarwell.dev/demo/routing"
)

const (
	// faultTestShards is the smallest number that the example templates allow, so
	// that each shard gets several requests a second and gaps are measured well.
	faultTestShards = 32
	// warmUpTime is the time under load before the first fault.
	warmUpTime = 5 * time.Second
	// hotKeyTrafficRate and festivalLength cover three sets of hot keys.
	hotKeyTrafficRate     = 1500
	hotKeyTrafficDuration = 3 * time.Minute
	// faultTestRate is the usual rate in fault tests.
	faultTestRate = 400
	// outageDuration is the usual length of a table outage.
	outageDuration = 5 * time.Minute
	// benchRate is the rate of one daemon at the target scale.
	benchRate = 3500
	// benchRoundDuration is the usual measured time of each path in a round.
	benchRoundDuration = 5 * time.Second
	// benchServiceTime makes upstreams answer at once, so that only the cost of the
	// paths is compared.
	benchServiceTime = 0
	// hotKeyReadTimeout bounds the read of the table after a run.
	hotKeyReadTimeout = 10 * time.Second
	// benchInstances is the number of daemons in a benchmark.
	benchInstances = 3
)

// faultLoadTest returns the load of the fault and outage tests.
func faultLoadTest() loadTest {
	return loadTest{workload: "faults", requestRate: faultTestRate, shardsPerService: faultTestShards}
}

// runMain runs the main job within the time that the README promises.
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

// withCluster runs a function on a prepared cluster and stops all its processes.
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

// runFaults runs faults under load and audits the run.
func (o *options) runFaults(ctx context.Context, programs harness.Programs) error {
	o.useRelay = true
	return o.runUnderLoad(ctx, programs, faultLoadTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		length := time.Duration(o.durationMinutes * float64(time.Minute))
		plan := faults.NewPlan(o.seed, cluster.InstanceNames(), regionNames()[:o.regionCount])
		return faults.Run(ctx, cluster, plan, length, os.Stdout)
	})
}

// runOutage makes the table fail for a time under load and audits the run.
func (o *options) runOutage(ctx context.Context, programs harness.Programs) error {
	return o.runUnderLoad(ctx, programs, faultLoadTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		return faults.RunOutage(ctx, cluster, cmp.Or(o.duration, outageDuration), os.Stdout)
	})
}

// runHotKeyTraffic runs the festival workload without faults and audits the run.
func (o *options) runHotKeyTraffic(ctx context.Context, programs harness.Programs) error {
	festival := loadTest{workload: "festival", requestRate: hotKeyTrafficRate}
	return o.runUnderLoad(ctx, programs, festival, func(*harness.Cluster) ([]assess.Fault, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cmp.Or(o.duration, hotKeyTrafficDuration)):
			return nil, nil
		}
	})
}

// loadTest is a load and the configuration that it needs.
type loadTest struct {
	workload         string
	requestRate      float64
	shardsPerService int
}

func (o *options) runUnderLoad(ctx context.Context, programs harness.Programs, t loadTest, run func(*harness.Cluster) ([]assess.Fault, error)) error {
	instances := []harness.ServiceCount{
		{Service: harness.Bookings(upstreamServiceTime), Count: o.upstreamCount},
		{Service: harness.SignOff(upstreamServiceTime), Count: o.regionCount},
		{Service: harness.Patterns(upstreamServiceTime), Count: o.regionCount},
	}
	return o.withCluster(programs, instances, t.shardsPerService, func(cluster *harness.Cluster) error {
		if err := routing.StartCluster(ctx, cluster, os.Stdout); err != nil {
			return err
		}
		load, err := cluster.StartLoadGenerator(harness.LoadOptions{Workload: t.workload, Rate: cmp.Or(o.requestRate, t.requestRate), Seed: o.seed})
		if err != nil {
			return err
		}
		watch, operators := cluster.StartStatusPoller(ctx), cluster.StartConfigEditors(ctx)
		time.Sleep(warmUpTime)
		events, err := run(cluster)
		var history audit.History
		collectEdits(&history, operators)
		return errors.Join(err, o.auditRun(cluster, &history, load, watch, events))
	})
}

// collectEdits stops the operators and prints how long their edits took.
func collectEdits(history *audit.History, operators *harness.ConfigEditors) {
	accepted, tried := operators.Stop()
	millis := make([]float64, 0, len(accepted))
	for _, a := range accepted {
		history.AddAcceptedVersion(a.Version(), a.AcceptedUnixMicros())
		millis = append(millis, float64(a.Duration().Milliseconds()))
	}
	d := measure.NewDistribution(millis)
	fmt.Printf("configuration: %d of %d edits accepted, after p50 %.0f ms, max %.0f ms\n", len(accepted), tried, d.Quantile(0.5), d.Max())
}

// auditRun stops the load, audits the records and prints the report. A finding
// or a missed target is an error.
func (o *options) auditRun(cluster *harness.Cluster, history *audit.History, load *harness.LoadGenerator, watch *harness.StatusPoller, events []assess.Fault) error {
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
	report := assess.Run(history, acceptances, append(calls, watch.Stop()...), events)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	path := cluster.Processes().FilePath("report.json")
	if err := report.WriteJSON(path); err != nil {
		return err
	}
	fmt.Printf("seed %d, report in %s, load in %s\n", o.seed, path, cluster.Processes().FilePath("load.log"))
	if report.Failed() {
		return errors.New("the audit found violations, or a fault missed its target")
	}
	return nil
}

// runBench compares the paths to one upstream.
func (o *options) runBench(ctx context.Context, programs harness.Programs) error {
	o.regionCount = 1
	// The records of a test would add to the cost of the upstream.
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

// runCapacity measures the control plane at several sizes.
func (o *options) runCapacity(ctx context.Context, _ harness.Programs) error {
	var sizes []int
	for _, field := range strings.Split(o.daemonCounts, ",") {
		size, err := strconv.Atoi(field)
		if err != nil {
			return fmt.Errorf("--sizes: found %q, allowed numbers separated by commas", o.daemonCounts)
		}
		sizes = append(sizes, size)
	}
	results, err := capacity.Run(ctx, capacity.Options{DaemonCounts: sizes, ShardsPerService: o.shardsPerService, Seed: o.seed, MeasureRestart: o.measureRestart}, os.Stdout)
	if err != nil {
		return err
	}
	if o.resultFile == "" {
		return capacity.WriteJSON(os.Stdout, results)
	}
	file, err := os.Create(o.resultFile)
	if err != nil {
		return err
	}
	return errors.Join(capacity.WriteJSON(file, results), file.Close())
}
