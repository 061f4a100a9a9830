package runner

import (
	"syscall"
	"time"
)

// nanosleepWindow is the last part of a wait, in which WaitUntil sleeps in the kernel
// instead of on a runtime timer. For the part before it, runtime timers are exact enough.
const nanosleepWindow = 5 * time.Millisecond

// WaitUntil blocks until t. Timers of the Go runtime may fire up to 1 ms late in an idle
// process, which would hide the latency of loopback calls. Kernel sleeps end about
// 0.05 ms late.
func WaitUntil(t time.Time) {
	if remaining := time.Until(t); remaining > nanosleepWindow {
		time.Sleep(remaining - nanosleepWindow)
	}
	for remaining := time.Until(t); remaining > 0; remaining = time.Until(t) {
		timespec := syscall.NsecToTimespec(remaining.Nanoseconds())
		_ = syscall.Nanosleep(&timespec, nil)
	}
}
