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
	// maxFiles bounds the files of one command: flaggy needs each declared.
	maxFiles = 32
	// defaultTimeout is 5 times the 6 s in which a change must be in force.
	defaultTimeout = 30 * time.Second
	// defaultCount is the number of edits that history shows.
	defaultCount = 20
)

// arguments holds the parsed command line.
type arguments struct {
	files       []string
	expect      string
	author      string
	tableURL    string
	objectURL   string
	timeout     time.Duration
	count       int
	json        bool
	service     string
	key         string
	method      string
	path        string
	instance    string
	confirmStop bool
}

// call is one run of a command.
type call struct {
	Environment
	arguments
	table table.Table
	store object.Store
}

// entry is a command as the parser knows it.
type entry struct {
	sub *flaggy.Subcommand
	run func(context.Context, *call) error
	// online tells whether the command needs the table.
	online bool
}

// Run parses arguments and runs the command that they name. It returns the exit
// code. Help and unknown flags end the process, since flaggy does.
func Run(ctx context.Context, environment Environment, words []string) int {
	c := &call{Environment: environment}
	c.author, c.timeout, c.count = environment.user, defaultTimeout, defaultCount
	parser, entries := newParser(&c.arguments)
	if err := parser.ParseArgs(words); err != nil {
		return c.fail(newInputError("%v", err))
	}
	if c.key == "" && len(parser.TrailingArguments) > 0 {
		c.key = parser.TrailingArguments[0]
	}
	c.files = slices.DeleteFunc(c.files, func(name string) bool { return name == "" })
	for _, item := range entries {
		if item.sub.Used {
			return c.fail(c.start(ctx, item))
		}
	}
	parser.ShowHelpAndExit("A command is required.")
	return ExitInput
}

func (c *call) start(ctx context.Context, item entry) error {
	if item.online {
		if err := c.open(); err != nil {
			return err
		}
	}
	return item.run(ctx, c)
}

// open checks the URLs and opens the platform.
func (c *call) open() error {
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

// fail reports the error and returns its exit code.
func (c *call) fail(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "error: "+strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return exitCode(err)
}

func newParser(a *arguments) (*flaggy.Parser, []entry) {
	parser := flaggy.NewParser("briarwell")
	parser.Description = "Checks, stores and follows the configuration of briarwell, and shows its members."
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	parser.AdditionalHelpAppend = "\n  Exit codes: 0 done, 1 failure, 2 bad input, 3 conflict with another edit, 4 stored but pending, 5 platform or daemon gave no answer."
	parser.Bool(&a.json, "", "json", "Print JSON.")
	parser.String(&a.tableURL, "", "table", "URL of the table service.")
	parser.String(&a.objectURL, "", "objects", "URL of the object store; needed for documents over 2048 bytes.")
	entries := []entry{
		{sub: validateFlags(a), run: runValidate},
		{sub: diffFlags(a), run: runDiff, online: true},
		{sub: applyFlags(a), run: runApply, online: true},
		{sub: newSub("status", "Shows versions and members."), run: runStatus, online: true},
		{sub: historyFlags(a), run: runHistory, online: true},
		{sub: explainFlags(a), run: runExplain, online: true},
		{sub: drainFlags(a), run: runDrain, online: true},
		{sub: retireFlags(a), run: runRetire, online: true},
	}
	for _, item := range entries {
		parser.AttachSubcommand(item.sub, 1)
	}
	return parser, entries
}

func newSub(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func addFiles(sub *flaggy.Subcommand, a *arguments) {
	if a.files == nil {
		a.files = make([]string, maxFiles)
	}
	sub.AddPositionalValue(&a.files[0], "FILES", 1, true, fmt.Sprintf("Templates and organisations, up to %d JSON files.", maxFiles))
	for i := 1; i < maxFiles; i++ {
		sub.AddPositionalValue(&a.files[i], fmt.Sprint("FILE", i+1), i+1, false, "")
		sub.PositionalFlags[i].Hidden = true
	}
}

func validateFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("validate", "Checks files without the platform. Organisations need the file of their template.")
	addFiles(sub, a)
	return sub
}

func diffFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("diff", "Shows what files would change in the stored configuration.")
	addFiles(sub, a)
	return sub
}

func applyFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("apply", "Stores files as one version and waits until every region has it in force.")
	addFiles(sub, a)
	sub.String(&a.expect, "", "expect", "Version on which the edit is based, as status shows it; 0 for the first edit.")
	sub.Duration(&a.timeout, "", "timeout", "Longest wait for acceptance.")
	sub.String(&a.author, "", "author", "Name under which the edit is stored.")
	return sub
}

func historyFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("history", "Shows the newest edits with their changed fields.")
	sub.Int(&a.count, "", "count", "Number of edits.")
	return sub
}

func explainFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("explain", "Shows who owns a key and which rules apply to its requests, and why.")
	sub.AddPositionalValue(&a.service, "ORGANISATION/SERVICE", 1, true, "Service.")
	sub.AddPositionalValue(&a.key, "KEY", 2, false, "Key; not for a service without keys.")
	sub.String(&a.method, "", "method", "Method of a request.")
	sub.String(&a.path, "", "path", "Path of a request below the service.")
	return sub
}

func drainFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("drain", "Asks a daemon to hand over its shards, finish its requests and leave.")
	sub.AddPositionalValue(&a.instance, "INSTANCE", 1, true, "Name of the instance, or the incarnation of its daemon.")
	return sub
}

func retireFlags(a *arguments) *flaggy.Subcommand {
	sub := newSub("retire", "Marks a member as dead whose processes you know to be stopped, so that its shards get new owners.")
	sub.AddPositionalValue(&a.instance, "INSTANCE", 1, true, "Name of the instance, or the incarnation of its daemon.")
	sub.Bool(&a.confirmStop, "", "confirm-stopped", "Confirms that the daemon and the upstream of the instance are stopped. If they are not, a key may have two owners.")
	return sub
}
