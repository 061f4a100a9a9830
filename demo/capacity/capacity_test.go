package capacity_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/demo/capacity"
)

// lossTarget is the time in milliseconds of section 1.4 of the design page.
const lossTarget = 3000

// TestRun guards against figures that do not repeat for a seed, and against
// measuring a cluster that never settled or lost units for good, and
// against a run that an interrupt does not end.
func TestRun(t *testing.T) {
	is := is.New(t)
	options := capacity.Options{Sizes: []int{28}, Shards: 64, Seed: 1, Restart: true}
	first, err := capacity.Run(t.Context(), options, io.Discard)
	is.NoErr(err)
	second, err := capacity.Run(t.Context(), options, io.Discard)
	is.NoErr(err)
	a, b := first[0], second[0]
	is.True(a.Settled)
	is.True(a.Idle.Messages > 0 && a.Idle.StepMicros > 0 && a.HeapBytes > 0)
	is.Equal(a.Idle.Messages, b.Idle.Messages)
	is.Equal(a.RowBytes, b.RowBytes)
	for i, s := range a.Scenarios {
		is.True(s.Complete)                             // units are served and members have witnesses again
		is.Equal(s.Times, b.Scenarios[i].Times)         // the same seed
		is.Equal(s.Cost.Peak, b.Scenarios[i].Cost.Peak) // the same seed
		if s.Name == "loss of one daemon" || s.Name == "loss of a failure domain" {
			is.True(s.Times.Count > 0 && s.Times.Max <= lossTarget)
		}
	}
	_, err = capacity.Run(t.Context(), capacity.Options{Sizes: []int{3}}, io.Discard)
	is.True(err != nil) // a size without all failure domains
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = capacity.Run(ended, options, io.Discard)
	is.True(errors.Is(err, context.Canceled))
}
