//go:build race

package node_test

// defaultSchedules is smaller with the race detector: it makes a schedule about ten times
// slower, and the state machine has no goroutines that could race.
const defaultSchedules = 40
