// Command bwdemo runs briarwell and its stand-ins as processes on loopback
// addresses, for the routing check (bwdemo main), fault tests and benchmarks.
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
	// mainTimeout bounds the routing check of the main subcommand.
	mainTimeout = 60 * time.Second
	// upstreamServiceTime is how long an upstream stand-in processes a request.
	upstreamServiceTime = 2 * time.Millisecond
)

// options holds the command-line options of all subcommands.
type options struct {
	workspaceRoot string
	programFolder string
	build         bool
	folder        string
	regionCount   int
	upstreamCount int
	logLevel      string
	// useRelay and omitAcceptanceLogs have no flags; subcommands set them.
	useRelay           bool
	omitAcceptanceLogs bool
	seed               uint64
	durationMinutes    float64
	requestRate        float64
	roundCount         int
	duration           time.Duration
	// placement and hotKeys are passed to the settings of the daemons.
	placement string
	hotKeys   bool
	// seedCount, concurrentSeeds and instanceCount belong to the soak subcommand.
	seedCount       int
	concurrentSeeds int
	instanceCount   int
	// withoutHoldFaults plays the plan of a seed as it was before the faults of holds.
	withoutHoldFaults bool
	holdsOnly         bool
}

// subcommand binds the parser of a subcommand to the function that runs it.
type subcommand struct {
	parser *flaggy.Subcommand
	run    func(context.Context, harness.Programs) error
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
		workspaceRoot: ".", build: true, regionCount: 3, upstreamCount: 6, logLevel: "info", seed: 1, durationMinutes: 5, roundCount: 5,
		seedCount: 1, concurrentSeeds: 1, instanceCount: 6,
	}
	flaggy.SetName("bwdemo")
	flaggy.SetDescription("Runs briarwell and its stand-ins as processes on loopback addresses.")
	flaggy.DisableCompletion()
	flaggy.String(&o.workspaceRoot, "", "root", "root folder of the Go workspace")
	flaggy.String(&o.programFolder, "", "programs", "folder of the built programs; ROOT/bin if empty")
	flaggy.Bool(&o.build, "", "build", "build the programs before they are started")
	flaggy.String(&o.folder, "", "folder", "folder for logs and records; a new folder in the temporary directory if empty")
	flaggy.Int(&o.regionCount, "", "regions", "number of regions, 1 to 3")
	flaggy.Int(&o.upstreamCount, "", "upstreams", "number of upstreams of the bookings service")
	flaggy.String(&o.logLevel, "", "log-level", "log level of the daemons")
	flaggy.String(&o.placement, "", "placement", "placement setting of the daemons, static or balanced; the default of the daemon if empty")
	flaggy.Bool(&o.hotKeys, "", "hot-keys", "allow hot keys to be placed separately from their shards")
	subcommands := o.subcommands()
	for _, s := range subcommands {
		flaggy.AttachSubcommand(s.parser, 1)
	}
	flaggy.Parse()
	for _, s := range subcommands {
		if !s.parser.Used {
			continue
		}
		programs, err := o.preparePrograms(ctx)
		if err != nil {
			return err
		}
		return s.run(ctx, programs)
	}
	flaggy.ShowHelp("")
	return errors.New("no subcommand given")
}

func (o *options) subcommands() []subcommand {
	main := flaggy.NewSubcommand("main")
	main.Description = "Starts a cluster and checks that every daemon routes each key to its owner."

	faults := flaggy.NewSubcommand("faults")
	faults.Description = "Injects a seeded sequence of faults under load and audits the run."
	faults.Float64(&o.durationMinutes, "", "minutes", "duration of the fault sequence in minutes")

	outage := flaggy.NewSubcommand("outage")
	outage.Description = "Makes the table unavailable for a time under load and audits the run."
	outage.Duration(&o.duration, "", "length", "duration of the outage; 5m if 0")

	festival := flaggy.NewSubcommand("festival")
	festival.Description = "Runs a load whose 61 hottest keys change every minute and audits the run."
	festival.Duration(&o.duration, "", "length", "duration of the load; 3m if 0")

	bench := flaggy.NewSubcommand("bench")
	bench.Description = "Compares direct calls to an upstream with calls through one and two daemons."
	bench.Duration(&o.duration, "", "round", "duration of each path in a round; 5s if 0")
	bench.Int(&o.roundCount, "", "rounds", "number of measured rounds")

	soak := flaggy.NewSubcommand("soak")
	soak.Description = "Injects overlapping faults into sidecars, upstreams, the store and their connections, and checks the responses and executions of requests."
	soak.UInt64(&o.seed, "", "seed", "first seed")
	soak.Int(&o.seedCount, "", "seeds", "number of consecutive seeds to run")
	soak.Int(&o.concurrentSeeds, "", "beside", "number of seeds that run concurrently")
	soak.Int(&o.instanceCount, "", "instances", "number of sidecars in the run of a seed")
	soak.Bool(&o.withoutHoldFaults, "", "without-hold-faults", "leave out the faults that press on exclusive holds")
	soak.Bool(&o.holdsOnly, "", "holds-only", "leave out the faults that don't concern holds, and the checks after the faults")
	soak.Duration(&o.duration, "", "length", "duration of the fault phase in the run of a seed; 20s if 0")

	for _, c := range []*flaggy.Subcommand{faults, outage, festival, bench} {
		c.Float64(&o.requestRate, "", "rate", "requests per second; if 0, 400 for faults and outage, 1500 for festival and 3500 for bench")
		c.UInt64(&o.seed, "", "seed", "seed of the faults and requests")
	}
	return []subcommand{
		{parser: main, run: o.runMain},
		{parser: faults, run: o.runFaults},
		{parser: outage, run: o.runOutage},
		{parser: festival, run: o.runHotKeyTraffic},
		{parser: bench, run: o.runBench},
		{parser: soak, run: o.runSoak},
	}
}

// preparePrograms builds the programs, if requested, and sets the default folders.
func (o *options) preparePrograms(ctx context.Context) (harness.Programs, error) {
	if o.regionCount < 1 || o.regionCount > len(regionNames()) {
		return harness.Programs{}, fmt.Errorf("--regions is %d, must be 1 to %d", o.regionCount, len(regionNames()))
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
