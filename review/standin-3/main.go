// Command standin-3 plays one case of the third review: it starts sidecars as processes on loopback
// addresses, and is the store, the operator, the upstreams and the callers around them. It exits with 1
// if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is below the 120 seconds that a case may take.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns whether its rule was broken, or an error if it could not run.
var cases = map[string]func(w *world) (bool, error){ //nolint:gochecknoglobals // Constant.
	"rewind-owner":  rewindOwner,
	"rewind-config": rewindConfig,
	"foreign-owner": foreignOwner,
	"foreign-drain": foreignDrain,
	"row-bound":     rowBound,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin-3: unknown case", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(caseTimeout, func() {
		w.close()
		fmt.Fprintln(os.Stderr, "standin-3: the case took too long")
		os.Exit(exitNotRun)
	})
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return exitNotRun
	case broken:
		w.note("verdict: the rule was broken")
		return exitBroken
	default:
		w.note("verdict: the rule held")
		return exitHeld
	}
}
