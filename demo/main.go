// Command bwdemo starts briarwell and its stand-ins as processes on loopback
// addresses: the main job of the README, fault tests and benchmarks.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"briarwell.dev/demo/harness"
)

const (
	// mainTimeout bounds the main job, as the README promises.
	mainTimeout = 60 * time.Second
	// upstreamServiceTime is the time of an order at an upstream stand-in.
	upstreamServiceTime = 2 * time.Millisecond
)

// options are the options that all commands share.
type options struct {
	workspaceRoot string
	programFolder string
	build         bool
	folder        string
	regionCount   int
	upstreamCount int
	logLevel      string
	useRelay      bool
	// omitAcceptanceLogs keeps upstreams from writing acceptance files.
	omitAcceptanceLogs bool
	seed               uint64
	durationMinutes    float64
	requestRate        float64
	roundCount         int
	duration           time.Duration
	// placement and hotKeys are settings of the daemons.
	placement string
	hotKeys   bool
	// daemonCounts, shards, restart and json are those of the capacity measurement.
	daemonCounts     string
	shardsPerService int
	measureRestart   bool
	resultFile       string
	// seedCount, beside and instances are those of the soak.
	seedCount       int
	concurrentSeeds int
	instanceCount   int
}

// subcommand is a subcommand.
type subcommand struct {
	parser *flaggy.Subcommand
	run    func(context.Context, harness.Programs) error
	// needsNoPrograms says that the job needs no programs.
	needsNoPrograms bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bwdemo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	o := options{
		workspaceRoot: ".", build: true, regionCount: 3, upstreamCount: 6, logLevel: "info", seed: 1, durationMinutes: 5, roundCount: 5, daemonCounts: "42,168,335,670", shardsPerService: 4096, measureRestart: true,
		seedCount: 1, concurrentSeeds: 1, instanceCount: 6,
	}
	flaggy.SetName("bwdemo")
	flaggy.SetDescription("Starts briarwell and its stand-ins as processes on loopback addresses.")
	flaggy.DisableCompletion()
	flaggy.String(&o.workspaceRoot, "", "root", "folder of the workspace")
	flaggy.String(&o.programFolder, "", "programs", "folder of the programs; ROOT/bin if empty")
	flaggy.Bool(&o.build, "", "build", "build the programs first")
	flaggy.String(&o.folder, "", "folder", "folder of logs and records; a new one in the temporary folder if empty")
	flaggy.Int(&o.regionCount, "", "regions", "number of regions, 1 to 3")
	flaggy.Int(&o.upstreamCount, "", "upstreams", "number of upstreams of the bookings service")
	flaggy.String(&o.logLevel, "", "log-level", "log level of the daemons")
	flaggy.String(&o.placement, "", "placement", "placement of the daemons, static or balanced; their default if empty")
	flaggy.Bool(&o.hotKeys, "", "hot-keys", "let hot keys move apart from their shards")
	jobs := o.subcommands()
	for _, j := range jobs {
		flaggy.AttachSubcommand(j.parser, 1)
	}
	flaggy.Parse()
	for _, j := range jobs {
		if !j.parser.Used {
			continue
		}
		if j.needsNoPrograms {
			return j.run(ctx, harness.Programs{})
		}
		programs, err := o.preparePrograms(ctx)
		if err != nil {
			return err
		}
		return j.run(ctx, programs)
	}
	flaggy.ShowHelp("")
	return errors.New("a subcommand is missing")
}

func (o *options) subcommands() []subcommand {
	main := flaggy.NewSubcommand("main")
	main.Description = "Shows that every daemon sends each key to its owner."

	faults := flaggy.NewSubcommand("faults")
	faults.Description = "Injects a seeded sequence of faults under load and audits the run."
	faults.Float64(&o.durationMinutes, "", "minutes", "length of the sequence")

	outage := flaggy.NewSubcommand("outage")
	outage.Description = "Makes the table fail for a time under load and audits the run."
	outage.Duration(&o.duration, "", "length", "length of the outage; 5m if 0")

	festival := flaggy.NewSubcommand("festival")
	festival.Description = "Runs a load whose 61 hottest keys change each minute and audits the run."
	festival.Duration(&o.duration, "", "length", "length of the load; 3m if 0")

	bench := flaggy.NewSubcommand("bench")
	bench.Description = "Compares direct calls with calls through one and two daemons."
	bench.Duration(&o.duration, "", "round", "measured time of each path in a round; 5s if 0")
	bench.Int(&o.roundCount, "", "rounds", "number of rounds")

	sizes := flaggy.NewSubcommand("capacity")
	sizes.Description = "Measures the cost of the control plane for each daemon at a virtual time."
	sizes.String(&o.daemonCounts, "", "sizes", "numbers of daemons, separated by commas")
	sizes.Int(&o.shardsPerService, "", "shards", "shards of each of the two services with keys")
	sizes.Bool(&o.measureRestart, "", "restart", "measure a restart of all daemons too")
	sizes.String(&o.resultFile, "", "json", "file for the results; standard output if empty")
	sizes.UInt64(&o.seed, "", "seed", "seed of incarnations and starts")

	soak := flaggy.NewSubcommand("soak")
	soak.Description = "Injects overlapping faults into sidecars from outside and checks what callers and upstreams see."
	soak.UInt64(&o.seed, "", "seed", "first seed")
	soak.Int(&o.seedCount, "", "seeds", "number of seeds")
	soak.Int(&o.concurrentSeeds, "", "beside", "seeds that run at the same time")
	soak.Int(&o.instanceCount, "", "instances", "sidecars of a seed")
	soak.Duration(&o.duration, "", "length", "time with faults of a seed; 20s if 0")

	for _, c := range []*flaggy.Subcommand{faults, outage, festival, bench} {
		c.Float64(&o.requestRate, "", "rate", "requests a second; 400 for faults and outage, 1500 for festival and 3500 for bench if 0")
		c.UInt64(&o.seed, "", "seed", "seed of faults and requests")
	}
	return []subcommand{
		{parser: main, run: o.runMain},
		{parser: faults, run: o.runFaults},
		{parser: outage, run: o.runOutage},
		{parser: festival, run: o.runHotKeyTraffic},
		{parser: bench, run: o.runBench},
		{parser: sizes, run: o.runCapacity, needsNoPrograms: true},
		{parser: soak, run: o.runSoak},
	}
}

// preparePrograms builds the programs and fills in the folders.
func (o *options) preparePrograms(ctx context.Context) (harness.Programs, error) {
	if o.regionCount < 1 || o.regionCount > len(regionNames()) {
		return harness.Programs{}, fmt.Errorf("--regions: found %d, allowed 1 to %d", o.regionCount, len(regionNames()))
	}
	if o.programFolder == "" {
		o.programFolder = filepath.Join(o.workspaceRoot, "bin")
	}
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "bwdemo-")
		if err != nil {
			return harness.Programs{}, err
		}
		o.folder = folder
	}
	programs := harness.NewPrograms(o.programFolder)
	if !o.build {
		return programs, nil
	}
	return programs, programs.Build(ctx, o.workspaceRoot)
}

func regionNames() []string { return []string{"lagos", "kano", "enugu"} }
