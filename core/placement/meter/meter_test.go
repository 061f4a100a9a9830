package meter_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement/meter"
)

// TestHotKeysCountedSeparately guards against counting the load of a hot key in its shard
// as well, and against reporting a hot key that can't pass through JSON and a header.
func TestHotKeysCountedSeparately(t *testing.T) {
	is := is.New(t)
	for hotKey, separate := range map[string]bool{"hot": true, "\xff": false, "a b": false} {
		m := meter.New(true)
		var busy map[ownership.Unit]clock.Millis
		for second := range clock.Millis(60) {
			for range 10 {
				m.Observe(second*1000, 1, hotKey, 20)
				m.Observe(second*1000, 1, string(rune('a'+second%26)), 1)
			}
			busy = make(map[ownership.Unit]clock.Millis)
			for _, l := range m.EndInterval(second * 1000) {
				busy[l.Unit()] = l.BusySlotMillis()
			}
		}
		hotUnit, shardUnit := ownership.NewUnit(1, hotKey), ownership.NewUnit(1, "")
		is.Equal(busy[hotUnit] == 200 && busy[shardUnit] == 10, separate)
		is.Equal(busy[shardUnit] == 210, !separate)
	}
}
