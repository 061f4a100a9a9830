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
	// faultShards is the smallest number that the example templates allow, so
	// that each shard gets several requests a second and gaps are measured well.
	faultShards = 32
	// warmUp is the time under load before the first fault.
	warmUp = 5 * time.Second
	// festivalRate and festivalLength cover three sets of hot keys.
	festivalRate   = 1500
	festivalLength = 3 * time.Minute
	// faultRate is the usual rate in fault tests.
	faultRate = 400
	// outageLength is the usual length of a table outage.
	outageLength = 5 * time.Minute
	// benchRate is the rate of one daemon at the target scale.
	benchRate = 3500
	// benchRound is the usual measured time of each path in a round.
	benchRound = 5 * time.Second
	// benchOrderTime makes upstreams answer at once, so that only the cost of the
	// paths is compared.
	benchOrderTime = 0
	// assessTime bounds the read of the table after a run.
	assessTime = 10 * time.Second
	// benchInstances is the number of daemons in a benchmark.
	benchInstances = 3
)

// faultTest returns the load of the fault and outage tests.
func faultTest() test { return test{workload: "faults", rate: faultRate, shards: faultShards} }

// mainJob runs the main job within the time that the README promises.
func (o *options) mainJob(ctx context.Context, programs harness.Programs) error {
	ctx, cancel := context.WithTimeout(ctx, mainTime)
	defer cancel()
	instances := []harness.ServiceCount{
		{Service: harness.Bookings(orderTime), Count: o.upstreams},
		{Service: harness.SignOff(orderTime), Count: o.regions},
	}
	return o.with(programs, instances, 0, func(cluster *harness.Cluster) error {
		return routing.Run(ctx, cluster, os.Stdout)
	})
}

// with runs a function on a prepared cluster and stops all its processes.
func (o *options) with(programs harness.Programs, instances []harness.ServiceCount, shards int, run func(*harness.Cluster) error) error {
	cluster, err := harness.NewCluster(harness.Options{
		Programs: programs, Folder: o.folder, Root: o.root, Regions: regionNames()[:o.regions], LogLevel: o.logLevel,
		Instances: instances, Shards: shards, Linked: o.linked, Unrecorded: o.unrecorded,
		Placement: o.placement, HotKeys: o.hotKeys,
	})
	if err != nil {
		return err
	}
	return errors.Join(run(cluster), cluster.Close())
}

// faultJob runs faults under load and audits the run.
func (o *options) faultJob(ctx context.Context, programs harness.Programs) error {
	o.linked = true
	return o.underLoad(ctx, programs, faultTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		length := time.Duration(o.minutes * float64(time.Minute))
		plan := faults.NewPlan(o.seed, cluster.Names(), regionNames()[:o.regions])
		return faults.Run(ctx, cluster, plan, length, os.Stdout)
	})
}

// outageJob makes the table fail for a time under load and audits the run.
func (o *options) outageJob(ctx context.Context, programs harness.Programs) error {
	return o.underLoad(ctx, programs, faultTest(), func(cluster *harness.Cluster) ([]assess.Fault, error) {
		return faults.RunOutage(ctx, cluster, cmp.Or(o.length, outageLength), os.Stdout)
	})
}

// festivalJob runs the festival workload without faults and audits the run.
func (o *options) festivalJob(ctx context.Context, programs harness.Programs) error {
	festival := test{workload: "festival", rate: festivalRate}
	return o.underLoad(ctx, programs, festival, func(*harness.Cluster) ([]assess.Fault, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cmp.Or(o.length, festivalLength)):
			return nil, nil
		}
	})
}

// test is a load and the configuration that it needs.
type test struct {
	workload string
	rate     float64
	shards   int
}

func (o *options) underLoad(ctx context.Context, programs harness.Programs, t test, run func(*harness.Cluster) ([]assess.Fault, error)) error {
	instances := []harness.ServiceCount{
		{Service: harness.Bookings(orderTime), Count: o.upstreams},
		{Service: harness.SignOff(orderTime), Count: o.regions},
		{Service: harness.Patterns(orderTime), Count: o.regions},
	}
	return o.with(programs, instances, t.shards, func(cluster *harness.Cluster) error {
		if err := routing.StartCluster(ctx, cluster, os.Stdout); err != nil {
			return err
		}
		load, err := cluster.StartLoad(harness.LoadOptions{Workload: t.workload, Rate: cmp.Or(o.rate, t.rate), Seed: o.seed})
		if err != nil {
			return err
		}
		watch, operators := cluster.StartWatch(ctx), cluster.StartOperators(ctx)
		time.Sleep(warmUp)
		events, err := run(cluster)
		var history audit.History
		reportOperators(&history, operators)
		return errors.Join(err, o.assess(cluster, &history, load, watch, events))
	})
}

// reportOperators stops the operators and prints how long their edits took.
func reportOperators(history *audit.History, operators *harness.Operators) {
	accepted, tried := operators.Stop()
	millis := make([]float64, 0, len(accepted))
	for _, a := range accepted {
		history.AddAcceptedVersion(a.Version(), a.UnixMicros())
		millis = append(millis, float64(a.Took().Milliseconds()))
	}
	d := measure.NewDistribution(millis)
	fmt.Printf("configuration: %d of %d edits accepted, after p50 %.0f ms, max %.0f ms\n", len(accepted), tried, d.Quantile(0.5), d.Max())
}

// assess stops the load, audits the records and prints the report. A finding
// or a missed target is an error.
func (o *options) assess(cluster *harness.Cluster, history *audit.History, load *harness.Load, watch *harness.Watch, events []assess.Fault) error {
	calls, err := load.Stop()
	if err != nil {
		return err
	}
	acceptances, err := cluster.Acceptances()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), assessTime)
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
	path := cluster.Group().File("report.json")
	if err := report.WriteJSON(path); err != nil {
		return err
	}
	fmt.Printf("seed %d, report in %s, load in %s\n", o.seed, path, cluster.Group().File("load.log"))
	if report.Failed() {
		return errors.New("the audit found violations, or a fault missed its target")
	}
	return nil
}

// benchJob compares the paths to one upstream.
func (o *options) benchJob(ctx context.Context, programs harness.Programs) error {
	o.regions = 1
	// The records of a test would add to the cost of the upstream.
	o.unrecorded = true
	instances := []harness.ServiceCount{{Service: harness.Bookings(benchOrderTime), Count: benchInstances}}
	return o.with(programs, instances, 0, func(cluster *harness.Cluster) error {
		if err := routing.StartCluster(ctx, cluster, os.Stdout); err != nil {
			return err
		}
		owner, other := cluster.Instances()[0], cluster.Instances()[1]
		command := exec.CommandContext(ctx, programs.Load(), "bench",
			"--upstream", owner.Addresses().Upstream, "--local", owner.Addresses().HTTP, "--remote", other.Addresses().HTTP,
			"--owner", owner.Name(), "--service", owner.Service().Name,
			"--upstream-pid", strconv.Itoa(owner.Upstream().PID()), "--local-pid", strconv.Itoa(owner.Daemon().PID()),
			"--remote-pid", strconv.Itoa(other.Daemon().PID()),
			"--rounds", strconv.Itoa(o.rounds), "--rate", fmt.Sprint(cmp.Or(o.rate, benchRate)), "--round", cmp.Or(o.length, benchRound).String())
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		return command.Run()
	})
}

// capacityJob measures the control plane at several sizes.
func (o *options) capacityJob(ctx context.Context, _ harness.Programs) error {
	var sizes []int
	for _, field := range strings.Split(o.sizes, ",") {
		size, err := strconv.Atoi(field)
		if err != nil {
			return fmt.Errorf("--sizes: found %q, allowed numbers separated by commas", o.sizes)
		}
		sizes = append(sizes, size)
	}
	results, err := capacity.Run(ctx, capacity.Options{DaemonCounts: sizes, ShardsPerService: o.shards, Seed: o.seed, MeasureRestart: o.restart}, os.Stdout)
	if err != nil {
		return err
	}
	if o.json == "" {
		return capacity.WriteJSON(os.Stdout, results)
	}
	file, err := os.Create(o.json)
	if err != nil {
		return err
	}
	return errors.Join(capacity.WriteJSON(file, results), file.Close())
}
