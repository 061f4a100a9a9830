// Program sidecar runs briarwell on the users' platform, beside one upstream.
package main

import (
	// The platform runs programs that are linked to the C library.
	"os"
	_ "runtime/cgo"

	"briarwell.dev/sidecar/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout))
}
