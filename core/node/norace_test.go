//go:build !race

package node_test

// defaultSchedules is the number of fault schedules that a test run checks by default.
const defaultSchedules = 200
