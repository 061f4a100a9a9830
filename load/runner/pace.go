package runner

import (
	"syscall"
	"time"
)

// nanosleepWindow is the wait above which the runtime's timers are exact enough.
const nanosleepWindow = 5 * time.Millisecond

// WaitUntil waits until t. The runtime's timers may fire up to 1 ms late when the
// process is idle, which would hide the latency of loopback calls; the kernel's
// fire about 0.05 ms late.
func WaitUntil(t time.Time) {
	if left := time.Until(t); left > nanosleepWindow {
		time.Sleep(left - nanosleepWindow)
	}
	for left := time.Until(t); left > 0; left = time.Until(t) {
		timespec := syscall.NsecToTimespec(left.Nanoseconds())
		_ = syscall.Nanosleep(&timespec, nil)
	}
}
