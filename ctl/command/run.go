package command

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"briarwell.dev/core/object"
	"briarwell.dev/core/settings"
	"briarwell.dev/core/table"
)

const (
	// maxFileArguments is the maximum number of files of one command. flaggy has no
	// variadic positional arguments, so each one is declared.
	maxFileArguments = 32
	// defaultApplyTimeout is 5 times the 6 s within which a change must be in force.
	defaultApplyTimeout = 30 * time.Second
	// defaultHistoryCount is the default number of edits shown by history.
	defaultHistoryCount = 20
)

// arguments holds the parsed command line.
type arguments struct {
	files           []string
	expectedVersion string
	author          string
	tableURL        string
	objectURL       string
	applyTimeout    time.Duration
	historyCount    int
	jsonOutput      bool
	service         string
	key             string
	method          string
	path            string
	instance        string
	confirmStopped  bool
}

// invocation is the state of one run of a subcommand. The table and the store are
// set only for a subcommand that needs the platform; the store is nil without
// --objects.
type invocation struct {
	Environment
	arguments
	table table.Table
	store object.Store
}

// subcommand pairs the parser of a subcommand with its implementation.
type subcommand struct {
	parser *flaggy.Subcommand
	run    func(context.Context, *invocation) error
	// needsPlatform reports whether run uses the table service or the object store.
	needsPlatform bool
}

// Run parses the arguments, runs the subcommand they name and returns the exit
// code. flaggy exits the process itself on a help request or an unknown flag.
func Run(ctx context.Context, environment Environment, args []string) int {
	inv := &invocation{Environment: environment}
	inv.author, inv.applyTimeout, inv.historyCount = environment.defaultAuthor, defaultApplyTimeout, defaultHistoryCount
	parser, subcommands := newParser(&inv.arguments)
	if err := parser.ParseArgs(args); err != nil {
		return inv.reportError(newInputError("%v", err))
	}
	if inv.key == "" && len(parser.TrailingArguments) > 0 {
		inv.key = parser.TrailingArguments[0]
	}
	inv.files = slices.DeleteFunc(inv.files, func(name string) bool { return name == "" })
	for _, sub := range subcommands {
		if sub.parser.Used {
			return inv.reportError(inv.runSubcommand(ctx, sub))
		}
	}
	parser.ShowHelpAndExit("A command is required.")
	return ExitInvalidInput
}

func (inv *invocation) runSubcommand(ctx context.Context, sub subcommand) error {
	if sub.needsPlatform {
		if err := inv.connectPlatform(); err != nil {
			return err
		}
	}
	return sub.run(ctx, inv)
}

// connectPlatform validates the platform URLs and sets the table and the store.
func (inv *invocation) connectPlatform() error {
	collector := &settings.ErrorCollector{}
	checkURL(collector, "--table", inv.tableURL, true)
	checkURL(collector, "--objects", inv.objectURL, false)
	if err := collector.Err(); err != nil {
		return err
	}
	var err error
	inv.table, inv.store, err = inv.connect(inv.tableURL, inv.objectURL)
	return err
}

func checkURL(collector *settings.ErrorCollector, flag, value string, required bool) {
	switch {
	case value == "" && required:
		collector.Add(flag, "nothing", settings.URL().Allowed())
	case value != "" && !settings.URL().Accepts(value):
		collector.Add(flag, strconv.Quote(value), settings.URL().Allowed())
	}
}

// reportError prints an error that is not nil to stderr and returns its exit code.
func (inv *invocation) reportError(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(inv.stderr, "error: "+strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return exitCode(err)
}

func newParser(args *arguments) (*flaggy.Parser, []subcommand) {
	parser := flaggy.NewParser("briarwell")
	parser.Description = "Validates, applies and inspects briarwell configuration, and manages cluster members."
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = "\n  Exit codes: 0 done, 1 failure, 2 invalid input, 3 conflict with another edit, 4 stored but pending, 5 platform or daemon did not respond."
	parser.Bool(&args.jsonOutput, "", "json", "Print JSON.")
	parser.String(&args.tableURL, "", "table", "URL of the table service.")
	parser.String(&args.objectURL, "", "objects", "URL of the object store; required for documents over 2048 bytes.")
	subcommands := []subcommand{
		{parser: newValidateSubcommand(args), run: runValidate},
		{parser: newDiffSubcommand(args), run: runDiff, needsPlatform: true},
		{parser: newApplySubcommand(args), run: runApply, needsPlatform: true},
		{parser: newSubcommand("status", "Shows the stored and the accepted version, and the state of each member."), run: runStatus, needsPlatform: true},
		{parser: newHistorySubcommand(args), run: runHistory, needsPlatform: true},
		{parser: newExplainSubcommand(args), run: runExplain, needsPlatform: true},
		{parser: newDrainSubcommand(args), run: runDrain, needsPlatform: true},
		{parser: newRetireSubcommand(args), run: runRetire, needsPlatform: true},
	}
	for _, sub := range subcommands {
		parser.AttachSubcommand(sub.parser, 1)
	}
	return parser, subcommands
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func addFileArguments(sub *flaggy.Subcommand, args *arguments) {
	if args.files == nil {
		args.files = make([]string, maxFileArguments)
	}
	sub.AddPositionalValue(&args.files[0], "FILES", 1, true, fmt.Sprintf("Template and organisation files in JSON, at most %d.", maxFileArguments))
	for i := 1; i < maxFileArguments; i++ {
		sub.AddPositionalValue(&args.files[i], fmt.Sprint("FILE", i+1), i+1, false, "")
		sub.PositionalFlags[i].Hidden = true
	}
}

func newValidateSubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("validate", "Validates files without connecting to the platform. Include the template of each organisation.")
	addFileArguments(sub, args)
	return sub
}

func newDiffSubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("diff", "Shows how the files would change the stored configuration.")
	addFileArguments(sub, args)
	return sub
}

func newApplySubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("apply", "Stores the files as one version and waits until it is in force in every region.")
	addFileArguments(sub, args)
	sub.String(&args.expectedVersion, "", "expect", "Stored version on which the edit is based, as shown by status; 0 for the first edit.")
	sub.Duration(&args.applyTimeout, "", "timeout", "Maximum wait for acceptance.")
	sub.String(&args.author, "", "author", "Author recorded with the edit.")
	return sub
}

func newHistorySubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("history", "Shows the most recent edits and their changed fields.")
	sub.Int(&args.historyCount, "", "count", "Maximum number of edits.")
	return sub
}

func newExplainSubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("explain", "Shows the owner of a key and the rules that apply to its requests, with reasons.")
	sub.AddPositionalValue(&args.service, "ORGANISATION/SERVICE", 1, true, "Service that handles the requests.")
	sub.AddPositionalValue(&args.key, "KEY", 2, false, "Key; required for a keyed service, not allowed for others.")
	sub.String(&args.method, "", "method", "HTTP method of the request.")
	sub.String(&args.path, "", "path", "Path of the request, relative to the service.")
	return sub
}

func newDrainSubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("drain", "Asks a daemon to hand over its shards, finish its requests and leave the cluster.")
	sub.AddPositionalValue(&args.instance, "INSTANCE", 1, true, "Instance name, or incarnation of its daemon.")
	return sub
}

func newRetireSubcommand(args *arguments) *flaggy.Subcommand {
	sub := newSubcommand("retire", "Marks a member as dead after its processes were stopped, so that its shards are reassigned.")
	sub.AddPositionalValue(&args.instance, "INSTANCE", 1, true, "Instance name, or incarnation of its daemon.")
	sub.Bool(&args.confirmStopped, "", "confirm-stopped", "Confirms that the daemon and the upstream of the instance are stopped. If either is running, a key may have two owners.")
	return sub
}
