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
	"briarwell.dev/demo/mainjob"
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
	o := options{root: ".", build: true, regions: 3, upstreams: 6, logLevel: "info"}
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
	mainCommand := flaggy.NewSubcommand("main")
	mainCommand.Description = "Shows that every daemon sends each key to its owner."
	flaggy.AttachSubcommand(mainCommand, 1)
	flaggy.Parse()
	programs, err := o.prepare(ctx)
	if err != nil {
		return err
	}
	switch {
	case mainCommand.Used:
		return o.mainJob(ctx, programs)
	default:
		flaggy.ShowHelp("")
		return errors.New("a subcommand is missing")
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

func (o *options) mainJob(ctx context.Context, programs harness.Programs) (err error) {
	ctx, cancel := context.WithTimeout(ctx, mainTime)
	defer cancel()
	cluster, err := harness.NewCluster(harness.Options{
		Programs: programs, Folder: o.folder, Root: o.root, Regions: regionNames()[:o.regions], LogLevel: o.logLevel,
		Instances: []harness.ServiceCount{
			{Service: harness.Bookings(orderTime), Count: o.upstreams},
			{Service: harness.SignOff(orderTime), Count: o.regions},
		},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.Close()) }()
	return mainjob.Run(ctx, cluster, os.Stdout)
}
