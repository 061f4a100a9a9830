package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"briarwell.dev/demo/harness"
	"briarwell.dev/demo/soak"
)

// soakDuration is the usual time with faults of a seed.
const soakDuration = 20 * time.Second

// runSoak runs seeds of the soak, some beside one another. Logs of seeds with
// findings stay in the folder.
func (o *options) runSoak(ctx context.Context, programs harness.Programs) error {
	if o.seedCount < 1 || o.concurrentSeeds < 1 || o.instanceCount < 3 || o.instanceCount > 250 {
		return fmt.Errorf("--seeds %d, --beside %d, --instances %d: allowed are 1 or more, 1 or more, and 3 to 250", o.seedCount, o.concurrentSeeds, o.instanceCount)
	}
	program, err := filepath.Abs(programs.Sidecar())
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var failed error
	turns := make(chan struct{}, o.concurrentSeeds)
	var all sync.WaitGroup
	for i := range o.seedCount {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			seed := o.seed + uint64(i) //nolint:gosec // The number of seeds is small.
			folder := filepath.Join(o.folder, fmt.Sprintf("seed-%d", seed))
			var out bytes.Buffer
			err := soak.Run(ctx, soak.Options{Program: program, Folder: folder, Seed: seed, Instances: o.instanceCount, FaultPhase: cmp.Or(o.duration, soakDuration), Out: &out})
			mu.Lock()
			defer mu.Unlock()
			failed = errors.Join(failed, err)
			if err == nil {
				_, _ = fmt.Printf("%s", out.Bytes()[bytes.LastIndex(out.Bytes(), []byte("seed=")):])
				failed = errors.Join(failed, os.RemoveAll(folder))
				return
			}
			_, _ = fmt.Printf("%slogs=%s error=%q\n", out.String(), folder, err)
			var findings *soak.FindingsError
			if errors.As(err, &findings) {
				for _, f := range findings.Findings() {
					_, _ = fmt.Printf("seed=%d finding=%q\n", seed, f)
				}
			}
		})
	}
	all.Wait()
	return failed
}
