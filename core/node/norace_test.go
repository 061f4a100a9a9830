//go:build !race

package node_test

// ciSchedules is the number of schedules that each run of the tests checks.
const ciSchedules = 200
