package crowds_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two readings of a meter.
const sampleInterval = 50 * time.Millisecond

// meter measures what a process holds, as the kernel reports it.
type meter struct {
	pid int
	// ip is the address of the machine, of which other processes only use the ports in others.
	ip     string
	others []string
	stop   chan struct{}
	ended  sync.WaitGroup

	// memory is the largest sum of the resident memory and of the bytes in the queues of its
	// connections, queues the largest part of the latter.
	memory, queues int64
	descriptors    int
}

func startMeter(pid int, ip string, others ...string) *meter {
	m := &meter{pid: pid, ip: ip, others: others, stop: make(chan struct{})}
	m.ended.Go(func() {
		for {
			m.sample()
			select {
			case <-m.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return m
}

// end ends the measurement. The resident memory counts with its peak.
func (m *meter) end() {
	close(m.stop)
	m.ended.Wait()
	m.memory = max(m.memory, m.status("VmHWM:"))
}

func (m *meter) sample() {
	queues := queuedBytes(m.ip, m.others)
	m.queues = max(m.queues, queues)
	m.memory = max(m.memory, m.status("VmRSS:")+queues)
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)) // Fails once the process has ended.
	m.descriptors = max(m.descriptors, len(descriptors))
}

// status returns a field of the status of the process in bytes, 0 once it has ended.
func (m *meter) status(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	_, text2, _ := strings.Cut(string(text), field)
	text2, _, _ = strings.Cut(text2, " kB")
	kilobytes, _ := strconv.ParseInt(strings.TrimSpace(text2), 10, 64)
	return kilobytes << 10
}

// queuedBytes returns the bytes that wait in the kernel to be sent or read on the connections of an
// address, apart from those of the given ports.
func queuedBytes(ip string, others []string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	address := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", address[3], address[2], address[1], address[0])
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const local, state, queues = 1, 3, 4
		if len(fields) <= queues || !strings.HasPrefix(fields[local], prefix) || !slices.Contains(statesWithQueues, fields[state]) {
			continue
		}
		port, _ := strconv.ParseUint(strings.TrimPrefix(fields[local], prefix), 16, 16)
		if slices.Contains(others, strconv.FormatUint(port, 10)) {
			continue
		}
		sent, received, _ := strings.Cut(fields[queues], ":")
		for _, text := range []string{sent, received} {
			if n, err := strconv.ParseInt(text, 16, 64); err == nil {
				total += n
			}
		}
	}
	return total
}

// statesWithQueues are the states of connections that are open or being closed. In the others the kernel
// prints a number of connections, or the difference of sequence numbers that are not set.
var statesWithQueues = []string{"01", "04", "05", "08", "09", "0B"}
