// Command bwload sends requests to daemons at scheduled times, regardless of the
// responses (open loop), and reports the outcomes and latencies that callers see.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/load/bench"
	"briarwell.dev/load/report"
	"briarwell.dev/load/runner"
	"briarwell.dev/load/workload"
)

// runOptions holds the command-line options of a load run. A zero rate, duration or
// seed selects the value of the workload file.
type runOptions struct {
	workloadFile    string
	targets         []string
	recordsFile     string
	acceptanceFiles []string
	reportFile      string
	idPrefix        string
	rate            float64
	durationSeconds float64
	seed            uint64
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bwload:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	options := runOptions{idPrefix: fmt.Sprintf("%x", time.Now().UnixNano())}
	settings := bench.Settings{Rate: 3500, Rounds: 5, RoundDuration: 5 * time.Second}
	flaggy.SetName("bwload")
	flaggy.SetDescription("Sends an open-loop load to daemons and reports what callers see.")
	flaggy.DisableCompletion()
	flaggy.String(&options.workloadFile, "w", "workload", "workload file")
	flaggy.StringSlice(&options.targets, "t", "targets", "REGION=ADDRESS of a daemon; may be given several times")
	flaggy.String(&options.recordsFile, "r", "records", "file that receives one JSON line for each attempt")
	flaggy.StringSlice(&options.acceptanceFiles, "a", "acceptances", "acceptance log of an upstream, read after the run; may be given several times")
	flaggy.String(&options.reportFile, "j", "json", "file that receives the report as JSON")
	flaggy.String(&options.idPrefix, "", "id-prefix", "prefix of the request IDs, unique for each run")
	flaggy.Float64(&options.rate, "", "rate", "requests a second; overrides the workload file")
	flaggy.Float64(&options.durationSeconds, "", "seconds", "duration in seconds; overrides the workload file")
	flaggy.UInt64(&options.seed, "", "seed", "seed of the request sequence; overrides the workload file")
	benchCommand := newBenchCommand(&settings)
	flaggy.AttachSubcommand(benchCommand, 1)
	flaggy.Parse()
	if benchCommand.Used {
		results, err := bench.Run(ctx, settings)
		if err != nil {
			return err
		}
		return bench.Print(os.Stdout, results)
	}
	return options.run(ctx)
}

func newBenchCommand(s *bench.Settings) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("bench")
	c.Description = "Compares direct calls with calls through one and two daemons."
	c.String(&s.Upstream, "", "upstream", "address of the upstream")
	c.String(&s.Local, "", "local", "address of the upstream's daemon")
	c.String(&s.Remote, "", "remote", "address of another daemon")
	c.String(&s.Owner, "", "owner", "name of the upstream's instance")
	c.Int(&s.UpstreamPID, "", "upstream-pid", "process ID of the upstream")
	c.Int(&s.LocalPID, "", "local-pid", "process ID of the upstream's daemon")
	c.Int(&s.RemotePID, "", "remote-pid", "process ID of the other daemon")
	c.String(&s.Service, "", "service", "service as organisation/service")
	c.String(&s.Path, "", "path", "request path after the key")
	c.Float64(&s.Rate, "", "rate", "requests a second")
	c.Int(&s.Rounds, "", "rounds", "number of rounds")
	c.Duration(&s.RoundDuration, "", "round", "measured time of each path in one round")
	return c
}

func (o runOptions) run(ctx context.Context) error {
	file, err := workload.ReadFile(o.workloadFile)
	if err != nil {
		return eris.Wrap(err, "read workload file")
	}
	file.Rate = cmp.Or(o.rate, file.Rate)
	file.DurationSeconds = cmp.Or(o.durationSeconds, file.DurationSeconds)
	file.Seed = cmp.Or(o.seed, file.Seed)
	results, err := o.sendLoad(ctx, file)
	if err != nil {
		return err
	}
	calls, acceptances, err := o.readRecords()
	if err != nil {
		return err
	}
	runReport := report.New(results, calls, acceptances)
	if err := writeJSON(o.reportFile, runReport); err != nil {
		return eris.Wrap(err, "write report file")
	}
	return runReport.Print(os.Stdout)
}

func (o runOptions) sendLoad(ctx context.Context, file workload.File) (*runner.Results, error) {
	targets, err := parseTargets(o.targets)
	if err != nil {
		return nil, err
	}
	if o.recordsFile == "" {
		loadRunner, err := runner.New(file, targets, o.idPrefix, nil)
		if err != nil {
			return nil, err
		}
		return loadRunner.Run(ctx), nil
	}
	recordsFile, err := os.Create(o.recordsFile)
	if err != nil {
		return nil, eris.Wrap(err, "create record file")
	}
	loadRunner, err := runner.New(file, targets, o.idPrefix, recordsFile)
	if err != nil {
		return nil, err
	}
	results := loadRunner.Run(ctx)
	if err := recordsFile.Close(); err != nil {
		return nil, eris.Wrap(err, "close record file")
	}
	return results, results.Err()
}

func (o runOptions) readRecords() ([]record.Call, []record.Acceptance, error) {
	if o.recordsFile == "" {
		return nil, nil, nil
	}
	calls, err := record.ReadFile[record.Call](o.recordsFile)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read record file")
	}
	var acceptances []record.Acceptance
	for _, path := range o.acceptanceFiles {
		fileAcceptances, err := record.ReadFile[record.Acceptance](path)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "read acceptance log %s", path)
		}
		acceptances = append(acceptances, fileAcceptances...)
	}
	return calls, acceptances, nil
}

func parseTargets(texts []string) (runner.Targets, error) {
	targets := make(runner.Targets)
	for _, text := range texts {
		region, address, found := strings.Cut(text, "=")
		if !found || region == "" || address == "" {
			return nil, fmt.Errorf("target %q does not have the form REGION=ADDRESS", text)
		}
		targets[region] = append(targets[region], address)
	}
	return targets, nil
}

func writeJSON(path string, value any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
