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

// soakDuration is the default duration of the fault phase in the run of a seed.
const soakDuration = 20 * time.Second

// runSoak runs the soak test for consecutive seeds, at most o.concurrentSeeds at
// a time. It keeps the logs of failed seeds in the folder and deletes the others.
func (o *options) runSoak(ctx context.Context, programs harness.Programs) error {
	if o.seedCount < 1 || o.concurrentSeeds < 1 || o.instanceCount < 3 || o.instanceCount > 250 {
		return fmt.Errorf("--seeds is %d, --beside %d, --instances %d: must be 1 or more, 1 or more, and 3 to 250", o.seedCount, o.concurrentSeeds, o.instanceCount)
	}
	program, err := filepath.Abs(programs.Sidecar())
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var joinedErr error
	slots := make(chan struct{}, o.concurrentSeeds)
	var runs sync.WaitGroup
	for i := range o.seedCount {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			seed := o.seed + uint64(i) //nolint:gosec // The number of seeds is small.
			folder := filepath.Join(o.folder, fmt.Sprintf("seed-%d", seed))
			var out bytes.Buffer
			err := soak.Run(ctx, soak.Options{Program: program, Folder: folder, Seed: seed, Instances: o.instanceCount, FaultPhase: cmp.Or(o.duration, soakDuration), Without: soak.Without{HoldFaults: o.withoutHoldFaults, Drills: o.holdsOnly, Others: o.holdsOnly}, Out: &out})
			mu.Lock()
			defer mu.Unlock()
			joinedErr = errors.Join(joinedErr, err)
			if err == nil {
				_, _ = fmt.Printf("%s", out.Bytes()[bytes.LastIndex(out.Bytes(), []byte("seed=")):])
				joinedErr = errors.Join(joinedErr, os.RemoveAll(folder))
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
	runs.Wait()
	return joinedErr
}
