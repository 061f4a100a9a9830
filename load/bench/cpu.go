package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// clockTick is the unit of CPU times in /proc. Linux reports 100 ticks a second to
	// programs on all platforms that Go supports.
	clockTick = 10 * time.Millisecond
	// utimeField and stimeField are the indexes of the fields utime and stime, counted
	// from the closing parenthesis of the command. See proc(5).
	utimeField = 11
	stimeField = 12
)

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= stimeField {
		return 0, fmt.Errorf("/proc/%d/stat has too few fields after the command: %d", pid, len(fields))
	}
	var sum time.Duration
	for _, index := range []int{utimeField, stimeField} {
		ticks, err := strconv.ParseInt(string(fields[index]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse /proc/%d/stat: %w", pid, err)
		}
		sum += time.Duration(ticks) * clockTick
	}
	return sum, nil
}

// totalCPUTime returns the sum of the CPU times of the processes.
func totalCPUTime(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		used, err := cpuTime(pid)
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}
