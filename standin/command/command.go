// Package command parses the command line of the stand-ins and runs them.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// UsageError lists what is wrong with the flags.
type UsageError struct {
	problems []string
}

// Problems returns one text for each problem.
func (e *UsageError) Problems() []string { return e.problems }

func (e *UsageError) Error() string { return strings.Join(e.problems, "; ") }

// program is one stand-in: its flags, and what it runs.
type program interface {
	// subcommand registers the flags.
	subcommand() *flaggy.Subcommand
	// validate checks the flags.
	validate() []string
	// run serves until ctx ends.
	run(ctx context.Context, logger *log.Logger) error
}

// Run parses arguments and runs the stand-in that they name, until SIGTERM or
// SIGINT. It returns the exit code of the process.
func Run(arguments []string, stderr io.Writer) int {
	programs := []program{newTableProgram(), newObjectsProgram(), newUpstreamProgram(), newLinkProgram()}
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the platform that briarwell meets."
	commands := make([]*flaggy.Subcommand, 0, len(programs))
	for _, p := range programs {
		command := p.subcommand()
		parser.AttachSubcommand(command, 1)
		commands = append(commands, command)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return exitUsage
	}
	for i, command := range commands {
		if command.Used {
			return runProgram(command.Name, programs[i], stderr)
		}
	}
	_, _ = fmt.Fprintln(stderr, "standin: a subcommand is missing, see standin --help")
	return exitUsage
}

func runProgram(name string, p program, stderr io.Writer) int {
	if problems := p.validate(); len(problems) > 0 {
		for _, problem := range problems {
			_, _ = fmt.Fprintf(stderr, "standin %s: %s\n", name, problem)
		}
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{
		Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter,
		Writer:    stderr,
	}}
	err := p.run(ctx, logger)
	var usage *UsageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "standin %s: %v\n", name, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintf(stderr, "standin %s: %v\n", name, err)
		return exitFailure
	}
}
