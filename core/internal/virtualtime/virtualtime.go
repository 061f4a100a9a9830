// Package virtualtime runs events in virtual time, for tests that simulate a load pattern.
package virtualtime

import (
	"container/heap"

	"briarwell.dev/core/clock"
)

type event struct {
	at       clock.Millis
	sequence int
	run      func(now clock.Millis)
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q *queue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Loop holds the events that are due. The zero value has none. It is not safe for
// concurrent use.
type Loop struct {
	events   queue
	sequence int
}

// At schedules run at the given time; events of the same time run in the order of the calls.
func (l *Loop) At(at clock.Millis, run func(now clock.Millis)) {
	l.sequence++
	heap.Push(&l.events, event{at: at, sequence: l.sequence, run: run})
}

// RunUntil runs the events before end.
func (l *Loop) RunUntil(end clock.Millis) {
	for len(l.events) > 0 && l.events[0].at < end {
		next, _ := heap.Pop(&l.events).(event)
		next.run(next.at)
	}
}
