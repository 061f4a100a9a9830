//go:build race

package node_test

// defaultSchedules is smaller with the race detector, which makes a schedule about ten
// times slower and finds nothing in a state machine without goroutines.
const defaultSchedules = 40
