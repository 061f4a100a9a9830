// Command standin-2 plays the cases of the second review that are scripts: it starts sidecars as
// processes, beside stand-ins for the store, the backends and the requesters.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"lost-owners":     lostOwners,
	"lost-machines":   lostMachines,
	"lost-one-by-one": lostOneByOne,
	"scaled-in":       scaledIn,
	"last-machine":    lastMachine,
	"stale-manifest":  staleManifest,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &record{began: time.Now()}
	f, err := newFleet(dir, r, map[string]bool{"wardrobe": true})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		f.killAll()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	done := make(chan int, 1)
	go func() {
		v, err := cases[os.Args[1]](f, trouble)
		code := exitHeld
		switch {
		case err != nil:
			r.add("not run: %v", err)
			fmt.Println("not run:", err)
			code = exitNotRun
		case v.broken:
			code = exitBroken
		}
		if err == nil {
			r.add("trouble=%t broken=%t: %s", trouble, v.broken, v.text)
			fmt.Printf("trouble=%t broken=%t: %s\n", trouble, v.broken, v.text)
		}
		done <- code
	}()
	code := exitNotRun
	select {
	case code = <-done:
	case <-ctx.Done():
	case <-time.After(115 * time.Second):
		r.add("not run: no result after 115 s")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
