package capacity_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/demo/capacity"
)

// recoveryTargetMillis is the time in milliseconds of section 1.4 of the design page.
const recoveryTargetMillis = 3000

// TestRunRepeatsForSeed guards against figures that do not repeat for a seed, and against
// measuring a cluster that never settled or lost units for good, and
// against a run that an interrupt does not end.
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
	is.True(err != nil) // a size without all failure domains
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = capacity.Run(ended, options, io.Discard)
	is.True(errors.Is(err, context.Canceled))
}
