// Program standin runs stand-ins for the platform services and the network that
// briarwell uses. A stand-in is a local server that speaks the published protocol
// of the service that it replaces, and injects faults for tests.
package main

import (
	"os"

	"briarwell.dev/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stderr))
}
