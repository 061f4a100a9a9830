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
	// maxFileArguments bounds the files of one command: flaggy needs each declared.
	maxFileArguments = 32
	// defaultApplyTimeout is 5 times the 6 s in which a change must be in force.
	defaultApplyTimeout = 30 * time.Second
	// defaultHistoryCount is the number of edits that history shows.
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

// invocation is one run of a command.
type invocation struct {
	Environment
	arguments
	table table.Table
	store object.Store
}

// subcommand is a command as the parser knows it.
type subcommand struct {
	parser *flaggy.Subcommand
	run    func(context.Context, *invocation) error
	// needsPlatform tells whether the command needs the table.
	needsPlatform bool
}

// Run parses arguments and runs the command that they name. It returns the exit
// code. Help and unknown flags end the process, since flaggy does.
func Run(ctx context.Context, environment Environment, words []string) int {
	c := &invocation{Environment: environment}
	c.author, c.applyTimeout, c.historyCount = environment.defaultAuthor, defaultApplyTimeout, defaultHistoryCount
	parser, entries := newParser(&c.arguments)
	if err := parser.ParseArgs(words); err != nil {
		return c.reportError(newInputError("%v", err))
	}
	if c.key == "" && len(parser.TrailingArguments) > 0 {
		c.key = parser.TrailingArguments[0]
	}
	c.files = slices.DeleteFunc(c.files, func(name string) bool { return name == "" })
	for _, item := range entries {
		if item.parser.Used {
			return c.reportError(c.runSubcommand(ctx, item))
		}
	}
	parser.ShowHelpAndExit("A command is required.")
	return ExitInvalidInput
}

func (c *invocation) runSubcommand(ctx context.Context, item subcommand) error {
	if item.needsPlatform {
		if err := c.connectPlatform(); err != nil {
			return err
		}
	}
	return item.run(ctx, c)
}

// connectPlatform checks the URLs and opens the platform.
func (c *invocation) connectPlatform() error {
	collector := &settings.ErrorCollector{}
	checkURL(collector, "--table", c.tableURL, true)
	checkURL(collector, "--objects", c.objectURL, false)
	if err := collector.Err(); err != nil {
		return err
	}
	var err error
	c.table, c.store, err = c.connect(c.tableURL, c.objectURL)
	return err
}

func checkURL(collector *settings.ErrorCollector, flag, text string, required bool) {
	switch {
	case text == "" && required:
		collector.Add(flag, "nothing", settings.URL().Allowed())
	case text != "" && !settings.URL().Accepts(text):
		collector.Add(flag, strconv.Quote(text), settings.URL().Allowed())
	}
}

// reportError reports the error and returns its exit code.
func (c *invocation) reportError(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "error: "+strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return exitCode(err)
}

func newParser(a *arguments) (*flaggy.Parser, []subcommand) {
	parser := flaggy.NewParser("briarwell")
	parser.Description = "Checks, stores and follows the configuration of briarwell, and shows its members."
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = "\n  Exit codes: 0 done, 1 failure, 2 bad input, 3 conflict with another edit, 4 stored but pending, 5 platform or daemon gave no answer."
	parser.Bool(&a.jsonOutput, "", "json", "Print JSON.")
	parser.String(&a.tableURL, "", "table", "URL of the table service.")
	parser.String(&a.objectURL, "", "objects", "URL of the object store; needed for documents over 2048 bytes.")
	entries := []subcommand{
		{parser: newValidateSubcommand(a), run: runValidate},
		{parser: newDiffSubcommand(a), run: runDiff, needsPlatform: true},
		{parser: newApplySubcommand(a), run: runApply, needsPlatform: true},
		{parser: newSubcommand("status", "Shows versions and members."), run: runStatus, needsPlatform: true},
		{parser: newHistorySubcommand(a), run: runHistory, needsPlatform: true},
		{parser: newExplainSubcommand(a), run: runExplain, needsPlatform: true},
		{parser: newDrainSubcommand(a), run: runDrain, needsPlatform: true},
		{parser: newRetireSubcommand(a), run: runRetire, needsPlatform: true},
	}
	for _, item := range entries {
		parser.AttachSubcommand(item.parser, 1)
	}
	return parser, entries
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func addFileArguments(sub *flaggy.Subcommand, a *arguments) {
	if a.files == nil {
		a.files = make([]string, maxFileArguments)
	}
	sub.AddPositionalValue(&a.files[0], "FILES", 1, true, fmt.Sprintf("Templates and organisations, up to %d JSON files.", maxFileArguments))
	for i := 1; i < maxFileArguments; i++ {
		sub.AddPositionalValue(&a.files[i], fmt.Sprint("FILE", i+1), i+1, false, "")
		sub.PositionalFlags[i].Hidden = true
	}
}

func newValidateSubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("validate", "Checks files without the platform. Organisations need the file of their template.")
	addFileArguments(sub, a)
	return sub
}

func newDiffSubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("diff", "Shows what files would change in the stored configuration.")
	addFileArguments(sub, a)
	return sub
}

func newApplySubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("apply", "Stores files as one version and waits until every region has it in force.")
	addFileArguments(sub, a)
	sub.String(&a.expectedVersion, "", "expect", "Version on which the edit is based, as status shows it; 0 for the first edit.")
	sub.Duration(&a.applyTimeout, "", "timeout", "Longest wait for acceptance.")
	sub.String(&a.author, "", "author", "Name under which the edit is stored.")
	return sub
}

func newHistorySubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("history", "Shows the newest edits with their changed fields.")
	sub.Int(&a.historyCount, "", "count", "Number of edits.")
	return sub
}

func newExplainSubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("explain", "Shows who owns a key and which rules apply to its requests, and why.")
	sub.AddPositionalValue(&a.service, "ORGANISATION/SERVICE", 1, true, "Service.")
	sub.AddPositionalValue(&a.key, "KEY", 2, false, "Key; not for a service without keys.")
	sub.String(&a.method, "", "method", "Method of a request.")
	sub.String(&a.path, "", "path", "Path of a request below the service.")
	return sub
}

func newDrainSubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("drain", "Asks a daemon to hand over its shards, finish its requests and leave.")
	sub.AddPositionalValue(&a.instance, "INSTANCE", 1, true, "Name of the instance, or the incarnation of its daemon.")
	return sub
}

func newRetireSubcommand(a *arguments) *flaggy.Subcommand {
	sub := newSubcommand("retire", "Marks a member as dead whose processes you know to be stopped, so that its shards get new owners.")
	sub.AddPositionalValue(&a.instance, "INSTANCE", 1, true, "Name of the instance, or the incarnation of its daemon.")
	sub.Bool(&a.confirmStopped, "", "confirm-stopped", "Confirms that the daemon and the upstream of the instance are stopped. If they are not, a key may have two owners.")
	return sub
}
