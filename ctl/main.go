// Command briarwell is the operator's command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"briarwell.dev/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.NewEnvironment(), os.Args[1:])
	stop()
	os.Exit(code)
}
