package capacity_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/demo/capacity"
)

// recoveryTargetMillis is the maximum time until a unit is served again after a loss. See
// section 1.4 of the design page.
const recoveryTargetMillis = 3000

// TestRunRepeatsForSeed guards against figures that a seed does not reproduce, against the
// measurement of a cluster that never settles or has units that are never served again,
// and against a run that does not end with its context.
func TestRunRepeatsForSeed(t *testing.T) {
	is := is.New(t)
	options := capacity.Options{DaemonCounts: []int{28}, ShardsPerService: 64, Seed: 1, MeasureRestart: true}
	first, err := capacity.Run(t.Context(), options, io.Discard)
	is.NoErr(err)
	second, err := capacity.Run(t.Context(), options, io.Discard)
	is.NoErr(err)
	a, b := first[0], second[0]
	is.True(a.Settled)
	is.True(a.SettledCost.MessagesPerSecond > 0 && a.SettledCost.StepMicrosPerSecond > 0 && a.HeapBytesPerDaemon > 0)
	is.Equal(a.SettledCost.MessagesPerSecond, b.SettledCost.MessagesPerSecond)
	is.Equal(a.RowBytes, b.RowBytes)
	for i, s := range a.Scenarios {
		is.True(s.Complete)                                                   // units are served and members have witnesses again
		is.Equal(s.TimesMillis, b.Scenarios[i].TimesMillis)                   // the same seed
		is.Equal(s.Cost.TablePeakSecond, b.Scenarios[i].Cost.TablePeakSecond) // the same seed
		if s.Name == "loss of one daemon" || s.Name == "loss of a failure domain" {
			is.True(s.TimesMillis.Count > 0 && s.TimesMillis.Max <= recoveryTargetMillis)
		}
	}
	_, err = capacity.Run(t.Context(), capacity.Options{DaemonCounts: []int{3}}, io.Discard)
	is.True(err != nil) // fewer than two daemons per failure domain
	endedContext, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = capacity.Run(endedContext, options, io.Discard)
	is.True(errors.Is(err, context.Canceled))
}
