// Program sidecar runs briarwell on the users' platform, next to one upstream.
package main

import (
	"os"
	// The platform runs only programs that are linked to the C library.
	_ "runtime/cgo"

	"briarwell.dev/sidecar/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout))
}
