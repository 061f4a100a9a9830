package app

import (
	"context"
	"net"
	"syscall"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/platform/callerhttp"
	"briarwell.dev/sidecar/settings"
)

const (
	// guardInterval is the time between two checks of the connections for slow clients.
	guardInterval = 500 * time.Millisecond
	// headMemoryDivisor is the part of an instance's memory for the heads of requests of clients, and
	// as much for those of requests that other sidecars forward.
	headMemoryDivisor = 16
	// minHeadMemoryBytes is the least memory for heads: one of 16 KiB, the limit in the users'
	// manifests, that consists of fields of one letter, beside small ones.
	minHeadMemoryBytes = 5 << 20
	// connectionMemoryShare and connectionMemoryDivisor define the share of an instance's memory
	// for the connections of callers, with the kernel's buffers.
	connectionMemoryShare   = 3
	connectionMemoryDivisor = 8
	// kernelBufferBytes is the size of the kernel's buffer in each direction of a client's connection.
	// 64 kB in 16 ms, the round trip to the users' requesters, are 32 Mbit/s. Below the largest
	// segment, 64 kB on a loopback address, each waits for a delayed acknowledgement.
	kernelBufferBytes = 64 << 10
	// minCallerConnections is the least number of connections of callers.
	minCallerConnections = 64
	// reservedDescriptors are those of a process that are not available for connections, by the
	// users' pages.
	reservedDescriptors = 200
	// callerDescriptorDivisor is the part of the other descriptors for connections of callers. The
	// rest is for those between sidecars, to the upstream and to the store.
	callerDescriptorDivisor = 4
	// maxLocalConnections bounds the connections for readiness probes, reports and metrics, for
	// each of these. Their clients use one or two.
	maxLocalConnections = 32
	// unroutedBodyTimeout bounds the time in milliseconds for the body of a request without a route,
	// of which no caller needs the response for longer.
	unroutedBodyTimeout clock.Millis = 10_000
	bytesPerMB                       = 1 << 20
)

// headMemory returns the memory in bytes for the heads of the requests of clients, 0 for no limit.
func headMemory(s settings.Sidecar) int64 {
	if s.MemoryMB() <= 0 {
		return 0
	}
	return max(int64(s.MemoryMB()*bytesPerMB/headMemoryDivisor), minHeadMemoryBytes)
}

// connectionMemory returns the memory in bytes for the connections of callers, 0 for no limit.
func connectionMemory(s settings.Sidecar) int {
	return int(s.MemoryMB() * bytesPerMB * connectionMemoryShare / connectionMemoryDivisor)
}

// maxCallerConnections returns the largest number of connections of callers, for a process that may
// open the given number of descriptors, 0 if unknown: as many as there are descriptors for, and memory
// with a part of the kernel's buffers. It returns 0 for no limit.
func maxCallerConnections(s settings.Sidecar, descriptors int) int {
	limit := connectionMemory(s) / (2 * httpserver.ConnectionHeapBytes)
	if descriptors > 0 {
		byDescriptors := (descriptors - reservedDescriptors) / callerDescriptorDivisor
		if limit == 0 || byDescriptors < limit {
			limit = byDescriptors
		}
	}
	if limit == 0 {
		return 0
	}
	return max(limit, minCallerConnections)
}

// isCrowded reports whether the given number of connections would exceed their memory if the kernel's
// buffers of all were full.
func isCrowded(s settings.Sidecar, connections int) bool {
	memory := connectionMemory(s)
	return memory > 0 && connections*(httpserver.ConnectionHeapBytes+2*kernelBufferBytes) > memory
}

// descriptorLimit returns the number of descriptors that this process may open: the setting, or less
// if the operating system allows less. It returns 0 if neither is known.
func descriptorLimit(s settings.Sidecar) int {
	limit := s.MaxDescriptors()
	var allowed syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed) == nil && (limit == 0 || allowed.Cur < uint64(limit)) {
		limit = int(min(allowed.Cur, maxDescriptors))
	}
	return limit
}

// maxDescriptors bounds a limit of the operating system that means that there is none.
const maxDescriptors = 1 << 20

// newGuard returns the guard of a listener.
func (a *App) newGuard(name string, maxConnections int) *httpserver.Guard {
	heads := a.heads
	switch name {
	case requestsListener:
		heads = a.forwardedHeads
	case peersListener, reportsListener:
		heads = nil
	}
	buffer := 0
	if isOpenToClients(name) {
		buffer = kernelBufferBytes
	}
	return httpserver.NewGuard(httpserver.GuardSettings{
		MaxConnections: maxConnections, KernelBufferBytes: buffer, Heads: heads, Refusal: callerhttp.Refusal, HandlerRefuses: name == requestsListener,
		OnClosing: func(remote net.Addr, reason connlimit.Reason, connections int) {
			a.recordClosing(name, remote.String(), reason, connections, maxConnections)
		},
	})
}

// isOpenToClients reports whether processes other than sidecars and the own upstream connect to a
// listener. The traffic between sidecars must not depend on what is left by clients.
func isOpenToClients(listener string) bool {
	return listener != requestsListener && listener != peersListener && listener != reportsListener
}

// connectionLimit returns the largest number of connections of a listener, 0 for no limit. Those of
// other sidecars grow with their number.
func (a *App) connectionLimit(listener string) int {
	switch listener {
	case callersListener:
		return maxCallerConnections(a.settings, descriptorLimit(a.settings))
	case requestsListener, peersListener:
		return 0
	default:
		return maxLocalConnections
	}
}

// guardLoop closes the connections of slow clients until ctx ends.
func (a *App) guardLoop(ctx context.Context) {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		headTimeout := a.manifest.Load().Limits().HeaderTimeout
		pressure := connlimit.Pressure{Heads: a.heads.Pressed(), Bodies: a.memory.Pressed()}
		for _, l := range a.listeners {
			if isOpenToClients(l.name) {
				crowded := isCrowded(a.settings, l.guard.Connections())
				l.guard.Sweep(headTimeout, connlimit.Pressure{Heads: pressure.Heads || crowded, Bodies: pressure.Bodies || crowded})
			} else {
				l.guard.Sweep(0, connlimit.Pressure{})
			}
		}
	}
}

// heldMemory returns the bytes that requests, responses and connections take now.
func (a *App) heldMemory() int64 {
	connections := 0
	for _, l := range a.listeners {
		connections += l.guard.Connections()
	}
	return a.memory.Used() + a.heads.Used() + a.forwardedHeads.Used() + int64(connections)*httpserver.ConnectionHeapBytes
}
