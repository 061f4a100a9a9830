package hotkey_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/hotkey"
)

// TestFindsChangingHotKeys guards against hot keys that are missed among many others, or
// that stay on the list after their load has moved to other keys.
func TestFindsChangingHotKeys(t *testing.T) {
	is := is.New(t)
	var sketch hotkey.Sketch
	random := rand.New(rand.NewPCG(5, 5))
	now := clock.Millis(0)
	for _, prefix := range []string{"first", "second"} {
		for range 60_000 {
			now++
			key := fmt.Sprint(random.IntN(1_000_000))
			if random.IntN(2) == 0 {
				key = fmt.Sprint(prefix, random.IntN(61))
			}
			sketch.Observe(now, key, 1)
		}
		top := sketch.Top(now, 61)
		is.Equal(len(top), 61)
		for _, count := range top {
			is.Equal(count.Key()[:len(prefix)], prefix)
			is.True(count.Weight() >= count.MaxError())
		}
	}
}

// TestCountsDecay guards against weights that overflow or do not decay within days.
func TestCountsDecay(t *testing.T) {
	is := is.New(t)
	sketch := hotkey.New(2, 1000)
	sketch.Observe(0, "a", 8)
	is.Equal(sketch.Top(2000, 5)[0].Weight(), 2.0)
	for day := range clock.Millis(30) {
		sketch.Observe(day*86_400_000, "b", 1)
	}
	top := sketch.Top(29*86_400_000, 5)
	is.Equal(top[0].Key(), "b")
	is.Equal(top[0].Weight(), 1.0)
	is.Equal(top[1].Weight(), 0.0)
}
