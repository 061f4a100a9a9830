package coldstart

import "briarwell.dev/core/clock"

// windowMillis is the span in milliseconds over which sent requests are counted. It is a
// second, the span of the bound, and 100 ms by which one request may take longer to reach the
// upstream than a later one, as it may have to open a connection first.
const windowMillis = 1100

// window counts events of the last windowMillis, by millisecond. The zero value is empty.
type window struct {
	counts [windowMillis]uint16
	total  int
	newest clock.Millis
}

// advance removes the events that are windowMillis or more older than now.
func (w *window) advance(now clock.Millis) {
	switch {
	case now <= w.newest:
		return
	case now-w.newest >= windowMillis:
		w.counts, w.total = [windowMillis]uint16{}, 0
	default:
		for t := w.newest + 1; t <= now; t++ {
			w.total -= int(w.counts[t%windowMillis])
			w.counts[t%windowMillis] = 0
		}
	}
	w.newest = now
}

// add counts an event at the time of the latest advance.
func (w *window) add() {
	w.counts[w.newest%windowMillis]++
	w.total++
}

// remove removes an event that was added at the given time.
func (w *window) remove(at clock.Millis) {
	if w.newest-at < windowMillis && w.counts[at%windowMillis] > 0 {
		w.counts[at%windowMillis]--
		w.total--
	}
}

// timeBelow returns the time in milliseconds from the latest advance until fewer than limit
// events are counted, if none is added. The limit is at least 1.
func (w *window) timeBelow(limit int) clock.Millis {
	remaining := w.total
	for age := clock.Millis(windowMillis - 1); remaining >= limit && age >= 0; age-- {
		if remaining -= int(w.counts[(w.newest-age)%windowMillis]); remaining < limit {
			return windowMillis - age
		}
	}
	return 0
}
