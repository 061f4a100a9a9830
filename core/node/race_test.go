//go:build race

package node_test

// ciSchedules is smaller under the race detector, which makes a schedule about
// ten times slower and can find nothing in a machine without goroutines.
const ciSchedules = 40
