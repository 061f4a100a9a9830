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

// UsageError lists all problems of the command-line flags.
type UsageError struct {
	problems []string
}

// Problems returns a text for each problem. Callers must not modify the slice.
func (e *UsageError) Problems() []string { return e.problems }

func (e *UsageError) Error() string { return strings.Join(e.problems, "; ") }

// program is the subcommand that runs one stand-in.
type program interface {
	// subcommand returns the subcommand with its flags registered.
	subcommand() *flaggy.Subcommand
	// validate checks the parsed flags and returns a text for each problem.
	validate() []string
	// run serves until ctx ends. It is called only if validate returned no problems.
	run(ctx context.Context, logger *log.Logger) error
}

// Run parses arguments and runs the stand-in that their subcommand names until SIGTERM or
// SIGINT. It returns the exit code of the process.
func Run(arguments []string, stderr io.Writer) int {
	programs := []program{newTableProgram(), newObjectsProgram(), newUpstreamProgram(), newLinkProgram()}
	parser := flaggy.NewParser("standin")
	parser.Description = "Runs stand-ins for the platform services and the network that briarwell uses."
	subcommands := make([]*flaggy.Subcommand, 0, len(programs))
	for _, p := range programs {
		subcommand := p.subcommand()
		parser.AttachSubcommand(subcommand, 1)
		subcommands = append(subcommands, subcommand)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "standin:", err)
		return exitUsage
	}
	for i, subcommand := range subcommands {
		if subcommand.Used {
			return runProgram(subcommand.Name, programs[i], stderr)
		}
	}
	_, _ = fmt.Fprintln(stderr, "standin: subcommand is missing; see standin --help")
	return exitUsage
}

// runProgram runs the stand-in called name and returns the exit code of the process.
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
