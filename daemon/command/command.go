// Package command implements the command line of briarwelld.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"briarwell.dev/core/settings"
	"briarwell.dev/daemon/app"
)

// Exit codes.
const (
	exitOK           = 0
	exitFailed       = 1
	exitInvalidInput = 2
)

const version = "0.1"

const (
	// gcPercent lets the heap grow to nine times its live size, which is a few MB.
	// With the default of the runtime, the collector runs many times per second at
	// 3,500 requests/s and raises the p99 latency several times.
	gcPercent = 800
	// memoryLimitBytes is the total memory of the runtime above which the collector
	// runs more often than gcPercent demands.
	memoryLimitBytes = 256 << 20
)

// Run runs the daemon with the given arguments and returns the exit code: 0 after a
// graceful shutdown or a successful check of the settings, 1 if the daemon can't start,
// for example because an address can't be bound, and 2 for invalid arguments or
// settings.
func Run(arguments []string, out io.Writer) int {
	parser := flaggy.NewParser("briarwelld")
	parser.Description = "Routes requests to the upstream that owns the key of each request."
	parser.Version = version
	parser.ShowHelpOnUnexpected = false
	var path string
	var checkOnly bool
	parser.String(&path, "s", "settings", "path of the JSON settings file")
	parser.Bool(&checkOnly, "c", "check", "check the settings and exit")
	if err := parser.ParseArgs(arguments); err != nil {
		return printError(out, exitInvalidInput, err)
	}
	daemon, err := readSettings(path)
	if err != nil {
		return printError(out, exitInvalidInput, err)
	}
	if checkOnly {
		return exitOK
	}
	return serve(daemon, out)
}

func readSettings(path string) (settings.Daemon, error) {
	if path == "" {
		return settings.Daemon{}, settings.NewMissingFlagError("settings")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Daemon{}, err
	}
	return settings.ParseDaemon(data)
}

// configureGC sets the garbage collector parameters that the environment does not
// set.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func serve(daemon settings.Daemon, out io.Writer) int {
	configureGC()
	// The default action of SIGHUP ends the process with the requests in flight. Settings
	// change at a restart only.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a, err := app.New(daemon, out)
	if err != nil {
		return printError(out, exitFailed, err)
	}
	if err := a.Run(ctx); err != nil {
		return printError(out, exitFailed, err)
	}
	return exitOK
}

func printError(out io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(out, "briarwelld:", err)
	return code
}
