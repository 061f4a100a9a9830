// Command briarwelld is the daemon that runs beside each upstream instance.
package main

import (
	"os"

	"briarwell.dev/daemon/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stderr))
}
