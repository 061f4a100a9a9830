// Package command implements the command line of the sidecar.
package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	coresettings "briarwell.dev/core/settings"
	"briarwell.dev/platform"
	"briarwell.dev/sidecar/app"
	"briarwell.dev/sidecar/explain"
	"briarwell.dev/sidecar/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

const version = "0.1"

// Run runs the sidecar with the given arguments and returns the exit code: 2 for invalid
// arguments or settings, 1 if an address can't be bound, a request can't be explained, a manifest has errors
// or a background task has failed.
func Run(arguments []string, out io.Writer) int {
	parser := flaggy.NewParser("sidecar")
	parser.Description = "Routes requests to the upstreams that own their keys; runs beside one of them."
	parser.Version = version
	// A sidecar starts in spite of unknown arguments; the check of a manifest does not ignore any.
	parser.ShowHelpOnUnexpected = len(arguments) > 0 && arguments[0] == checkManifestName
	path := platform.SettingsPath()
	var checkOnly bool
	parser.String(&path, "s", "settings", "path of the JSON settings file")
	parser.Bool(&checkOnly, "c", "check", "check the settings and exit")
	explainCommand := flaggy.NewSubcommand("explain")
	explainCommand.Description = "Explains the outcome of one request from collected logs."
	var request string
	var files []string
	explainCommand.String(&request, "r", "request", "ID of the request")
	explainCommand.StringSlice(&files, "l", "log", "file with collected log lines; may be given several times")
	parser.AttachSubcommand(explainCommand, 1)
	checker := newManifestChecker()
	parser.AttachSubcommand(checker.subcommand, 1)
	if err := validateManifestArguments(arguments); err != nil {
		return fail(out, exitBadInput, err)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return fail(out, exitBadInput, err)
	}
	if explainCommand.Used {
		return explainRequest(out, request, files)
	}
	if checker.subcommand.Used {
		return checker.run(arguments, parser.TrailingArguments, out)
	}
	if checkOnly {
		if _, err := readSettings(path); err != nil {
			return fail(out, exitBadInput, err)
		}
		return exitOK
	}
	return serve(path, out)
}

func explainRequest(out io.Writer, request string, files []string) int {
	switch {
	case request == "":
		return fail(out, exitBadInput, coresettings.NewMissingFlagError("request"))
	case len(files) == 0:
		return fail(out, exitBadInput, coresettings.NewMissingFlagError("log"))
	}
	var logs []io.Reader
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return fail(out, exitBadInput, err)
		}
		logs = append(logs, bytes.NewReader(data))
	}
	explanation, err := explain.Read(request, logs...)
	if err != nil {
		return fail(out, exitFailed, err)
	}
	explanation.Write(out)
	return exitOK
}

func readSettings(path string) (settings.Sidecar, error) {
	if path == "" {
		return settings.Sidecar{}, coresettings.NewMissingFlagError("settings")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Sidecar{}, err
	}
	return settings.Parse(data)
}

// serve runs the sidecar until a stop signal. The signals are caught from before the settings
// are read until the process exits: the default action of each of them ends the process, with
// the requests in flight.
func serve(path string, out io.Writer) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	s, err := readSettings(path)
	if err != nil {
		return fail(out, exitBadInput, err)
	}
	a, err := app.New(s, out)
	if err != nil {
		return fail(out, exitFailed, err)
	}
	go reload(hangup, a, path)
	if err := a.Run(ctx); err != nil {
		return fail(out, exitFailed, err)
	}
	return exitOK
}

// reload reads the settings file again at each SIGHUP, also during the graceful stop.
func reload(hangup <-chan os.Signal, a *app.App, path string) {
	for range hangup {
		s, err := readSettings(path)
		a.Reload(s, err)
	}
}

func fail(out io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(out, "sidecar:", err)
	return code
}
