// Program standin runs small stand-ins for the platform that briarwell meets
// through published protocols.
package main

import (
	"os"

	"briarwell.dev/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stderr))
}
