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
	// mainTime bounds the main job, as the README promises.
	mainTime = 60 * time.Second
	// orderTime is the time of an order at an upstream stand-in.
	orderTime = 2 * time.Millisecond
)

// options are the options that all commands share.
type options struct {
	root      string
	programs  string
	build     bool
	folder    string
	regions   int
	upstreams int
	logLevel  string
	linked    bool
	// unrecorded keeps upstreams from writing acceptance files.
	unrecorded bool
	seed       uint64
	minutes    float64
	rate       float64
	rounds     int
	length     time.Duration
	// placement and hotKeys are settings of the daemons.
	placement string
	hotKeys   bool
	// sizes, shards, restart and json are those of the capacity measurement.
	sizes   string
	shards  int
	restart bool
	json    string
	// seeds, beside and instances are those of the soak.
	seeds     int
	beside    int
	instances int
}

// job is a subcommand.
type job struct {
	command *flaggy.Subcommand
	run     func(context.Context, harness.Programs) error
	// alone says that the job needs no programs.
	alone bool
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
		root: ".", build: true, regions: 3, upstreams: 6, logLevel: "info", seed: 1, minutes: 5, rounds: 5, sizes: "42,168,335,670", shards: 4096, restart: true,
		seeds: 1, beside: 1, instances: 6,
	}
	flaggy.SetName("bwdemo")
	flaggy.SetDescription("Starts briarwell and its stand-ins as processes on loopback addresses.")
	flaggy.DisableCompletion()
	flaggy.String(&o.root, "", "root", "folder of the workspace")
	flaggy.String(&o.programs, "", "programs", "folder of the programs; ROOT/bin if empty")
	flaggy.Bool(&o.build, "", "build", "build the programs first")
	flaggy.String(&o.folder, "", "folder", "folder of logs and records; a new one in the temporary folder if empty")
	flaggy.Int(&o.regions, "", "regions", "number of regions, 1 to 3")
	flaggy.Int(&o.upstreams, "", "upstreams", "number of upstreams of the bookings service")
	flaggy.String(&o.logLevel, "", "log-level", "log level of the daemons")
	flaggy.String(&o.placement, "", "placement", "placement of the daemons, static or balanced; their default if empty")
	flaggy.Bool(&o.hotKeys, "", "hot-keys", "let hot keys move apart from their shards")
	jobs := o.jobs()
	for _, j := range jobs {
		flaggy.AttachSubcommand(j.command, 1)
	}
	flaggy.Parse()
	for _, j := range jobs {
		if !j.command.Used {
			continue
		}
		if j.alone {
			return j.run(ctx, harness.Programs{})
		}
		programs, err := o.prepare(ctx)
		if err != nil {
			return err
		}
		return j.run(ctx, programs)
	}
	flaggy.ShowHelp("")
	return errors.New("a subcommand is missing")
}

func (o *options) jobs() []job {
	main := flaggy.NewSubcommand("main")
	main.Description = "Shows that every daemon sends each key to its owner."

	faults := flaggy.NewSubcommand("faults")
	faults.Description = "Injects a seeded sequence of faults under load and audits the run."
	faults.Float64(&o.minutes, "", "minutes", "length of the sequence")

	outage := flaggy.NewSubcommand("outage")
	outage.Description = "Makes the table fail for a time under load and audits the run."
	outage.Duration(&o.length, "", "length", "length of the outage; 5m if 0")

	festival := flaggy.NewSubcommand("festival")
	festival.Description = "Runs a load whose 61 hottest keys change each minute and audits the run."
	festival.Duration(&o.length, "", "length", "length of the load; 3m if 0")

	bench := flaggy.NewSubcommand("bench")
	bench.Description = "Compares direct calls with calls through one and two daemons."
	bench.Duration(&o.length, "", "round", "measured time of each path in a round; 5s if 0")
	bench.Int(&o.rounds, "", "rounds", "number of rounds")

	sizes := flaggy.NewSubcommand("capacity")
	sizes.Description = "Measures the cost of the control plane for each daemon at a virtual time."
	sizes.String(&o.sizes, "", "sizes", "numbers of daemons, separated by commas")
	sizes.Int(&o.shards, "", "shards", "shards of each of the two services with keys")
	sizes.Bool(&o.restart, "", "restart", "measure a restart of all daemons too")
	sizes.String(&o.json, "", "json", "file for the results; standard output if empty")
	sizes.UInt64(&o.seed, "", "seed", "seed of incarnations and starts")

	soak := flaggy.NewSubcommand("soak")
	soak.Description = "Injects overlapping faults into sidecars from outside and checks what callers and upstreams see."
	soak.UInt64(&o.seed, "", "seed", "first seed")
	soak.Int(&o.seeds, "", "seeds", "number of seeds")
	soak.Int(&o.beside, "", "beside", "seeds that run at the same time")
	soak.Int(&o.instances, "", "instances", "sidecars of a seed")
	soak.Duration(&o.length, "", "length", "time with faults of a seed; 20s if 0")

	for _, c := range []*flaggy.Subcommand{faults, outage, festival, bench} {
		c.Float64(&o.rate, "", "rate", "requests a second; 400 for faults and outage, 1500 for festival and 3500 for bench if 0")
		c.UInt64(&o.seed, "", "seed", "seed of faults and requests")
	}
	return []job{
		{command: main, run: o.mainJob},
		{command: faults, run: o.faultJob},
		{command: outage, run: o.outageJob},
		{command: festival, run: o.festivalJob},
		{command: bench, run: o.benchJob},
		{command: sizes, run: o.capacityJob, alone: true},
		{command: soak, run: o.soakJob},
	}
}

// prepare builds the programs and fills in the folders.
func (o *options) prepare(ctx context.Context) (harness.Programs, error) {
	if o.regions < 1 || o.regions > len(regionNames()) {
		return harness.Programs{}, fmt.Errorf("--regions: found %d, allowed 1 to %d", o.regions, len(regionNames()))
	}
	if o.programs == "" {
		o.programs = filepath.Join(o.root, "bin")
	}
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "bwdemo-")
		if err != nil {
			return harness.Programs{}, err
		}
		o.folder = folder
	}
	programs := harness.NewPrograms(o.programs)
	if !o.build {
		return programs, nil
	}
	return programs, programs.Build(ctx, o.root)
}

func regionNames() []string { return []string{"lagos", "kano", "enugu"} }
