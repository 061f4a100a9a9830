// Package holds audits exclusive holds of keys: no two live processes of upstreams hold a key at the
// same time, and each takes a key with an epoch above all under which others had it.
//
// All times come from one clock. A process holds what its latest grant names until that grant ends,
// the next one leaves it out, or the process ends. Requests that run on as their key is released count
// as held until they end, or until the hold would have ended.
package holds

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// Audit records the holds of one service. The zero value has none. It is not safe for concurrent use.
type Audit struct {
	// current has the holds of each process by its name, past those that have ended.
	current map[string][]hold
	past    []hold
	// running has the requests that have not ended, by process and ID; starts has all of them.
	running map[requestKey]*request
	starts  []start
	// highest has the highest epoch of each key and the process that had it.
	highest     []taken
	regressions []Regression
}

type hold struct {
	process     string
	span        keyspace.Span
	epoch       identity.Epoch
	from, until clock.Millis
}

type requestKey struct{ process, id string }

type request struct {
	key keyspace.Key
	// finishing has the indexes in past of the holds that last until the request ends.
	finishing []int
}

type start struct {
	at      clock.Millis
	process string
	key     keyspace.Key
}

type taken struct {
	epoch   identity.Epoch
	process string
}

// Grant records that a process takes exactly these ranges at a time, until another one. Ranges that it
// holds under the same epoch go on; it releases all others.
func (a *Audit) Grant(now, until clock.Millis, process string, ranges []keyspace.Range) {
	a.expire(now, process)
	if until <= now {
		ranges = nil
	}
	var next []hold
	for _, r := range ranges {
		fresh := []keyspace.Span{r.Span}
		for _, h := range a.current[process] {
			if common, ok := intersect(h.span, r.Span); ok && h.epoch == r.Epoch() {
				next = append(next, hold{process: process, span: common, epoch: h.epoch, from: h.from, until: until})
				fresh = subtract(fresh, common)
			}
		}
		for _, span := range fresh {
			next = append(next, hold{process: process, span: span, epoch: r.Epoch(), from: now, until: until})
			a.takeEpoch(now, process, span, r.Epoch())
		}
	}
	for _, h := range a.current[process] {
		left := []keyspace.Span{h.span}
		for _, r := range ranges {
			if r.Epoch() == h.epoch {
				left = subtract(left, r.Span)
			}
		}
		for _, span := range left {
			released := h
			released.span = span
			a.release(now, released)
		}
	}
	a.current[process] = next
}

// End records that a process has ended, and with it all its holds and requests.
func (a *Audit) End(now clock.Millis, process string) {
	for key := range a.running {
		if key.process == process {
			a.EndRequest(now, process, key.id)
		}
	}
	a.Grant(now, now, process, nil)
}

// BeginRequest records that a process begins to run a request for a key.
func (a *Audit) BeginRequest(now clock.Millis, process, id string, key keyspace.Key) {
	if a.running == nil {
		a.running = make(map[requestKey]*request)
	}
	a.running[requestKey{process: process, id: id}] = &request{key: key}
	a.starts = append(a.starts, start{at: now, process: process, key: key})
}

// EndRequest records that a process no longer works on a request.
func (a *Audit) EndRequest(now clock.Millis, process, id string) {
	key := requestKey{process: process, id: id}
	if r, ok := a.running[key]; ok {
		for _, i := range r.finishing {
			a.past[i].until = min(a.past[i].until, now)
		}
	}
	delete(a.running, key)
}

// expire ends the holds of a process whose time has run out.
func (a *Audit) expire(now clock.Millis, process string) {
	if a.current == nil {
		a.current = make(map[string][]hold)
	}
	a.current[process] = slices.DeleteFunc(a.current[process], func(h hold) bool {
		if h.until <= now {
			a.past = append(a.past, h)
		}
		return h.until <= now
	})
}

// release ends a hold now. For its requests that run on, their keys stay held.
func (a *Audit) release(now clock.Millis, h hold) {
	for key, r := range a.running {
		if key.process == h.process && h.span.First() <= r.key && r.key <= h.span.Last() {
			r.finishing = append(r.finishing, len(a.past))
			a.past = append(a.past, hold{process: h.process, span: keyspace.NewSpan(r.key, r.key), epoch: h.epoch, from: now, until: h.until})
		}
	}
	h.until = now
	a.past = append(a.past, h)
}

// takeEpoch checks the epoch under which a process takes a span.
func (a *Audit) takeEpoch(now clock.Millis, process string, span keyspace.Span, epoch identity.Epoch) {
	if a.highest == nil {
		a.highest = make([]taken, int(keyspace.LastKey)+1)
	}
	for key := int(span.First()); key <= int(span.Last()); key++ {
		h := a.highest[key]
		if epoch < h.epoch || epoch == h.epoch && h.process != process && h.process != "" {
			a.addRegression(Regression{at: now, process: process, epoch: epoch, span: keyspace.NewSpan(keyspace.Key(key), keyspace.Key(key)), former: h.process, formerEpoch: h.epoch})
			continue
		}
		a.highest[key] = taken{epoch: epoch, process: process}
	}
}

// addRegression adds a regression of one key, to the last one if that is of the key before.
func (a *Audit) addRegression(r Regression) {
	if n := len(a.regressions); n > 0 {
		last := &a.regressions[n-1]
		extended := *last
		extended.span = r.span
		if extended == r && int(last.span.Last())+1 == int(r.span.First()) {
			last.span = keyspace.NewSpan(last.span.First(), r.span.Last())
			return
		}
	}
	a.regressions = append(a.regressions, r)
}

// intersect returns the keys that two spans have in common, false if there are none.
func intersect(a, b keyspace.Span) (keyspace.Span, bool) {
	first, last := max(a.First(), b.First()), min(a.Last(), b.Last())
	if first > last {
		return keyspace.Span{}, false
	}
	return keyspace.NewSpan(first, last), true
}

// subtract returns the spans without the keys of another one.
func subtract(spans []keyspace.Span, removed keyspace.Span) []keyspace.Span {
	var left []keyspace.Span
	for _, s := range spans {
		common, ok := intersect(s, removed)
		if !ok {
			left = append(left, s)
			continue
		}
		if s.First() < common.First() {
			left = append(left, keyspace.NewSpan(s.First(), common.First()-1))
		}
		if common.Last() < s.Last() {
			left = append(left, keyspace.NewSpan(common.Last()+1, s.Last()))
		}
	}
	return left
}
