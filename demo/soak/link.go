package soak

import (
	"sync"
	"time"
)

// linkDirection is a direction of the network link of an instance.
type linkDirection int

const (
	linkOut linkDirection = iota
	linkIn
	linkDirectionCount
)

// Link is the network link of an instance, which all its connections share. The zero value has no
// limit. It is safe for concurrent use.
type Link struct {
	mu sync.Mutex
	// bytesPerSecond is the rate of each direction, 0 for no limit.
	bytesPerSecond int
	// busyUntil is the time at which the bytes that were accepted so far will have been sent.
	busyUntil [linkDirectionCount]time.Time
	// cuts counts what holds back all bytes of a direction.
	cuts [linkDirectionCount]int
}

// cut holds back all bytes that the instance sends, those that it gets, or both, until the returned
// function is called.
func (l *Link) cut(out, in bool) func() {
	change := func(by int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if out {
			l.cuts[linkOut] += by
		}
		if in {
			l.cuts[linkIn] += by
		}
	}
	change(1)
	return func() { change(-1) }
}

// isCut reports whether the bytes of a direction are held back.
func (l *Link) isCut(direction linkDirection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[direction] > 0
}

// SetRate changes the rate in bytes per second of each direction, 0 for no limit.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// carry waits until the link has sent a number of bytes in a direction. It returns at once if l is
// nil.
func (l *Link) carry(direction linkDirection, bytes int) {
	if l == nil {
		return
	}
	for l.isCut(direction) {
		time.Sleep(modePollInterval)
	}
	l.mu.Lock()
	if l.bytesPerSecond == 0 {
		l.mu.Unlock()
		return
	}
	until := l.busyUntil[direction]
	if now := time.Now(); until.Before(now) {
		until = now
	}
	until = until.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.busyUntil[direction] = until
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// ProxyLinks has the links that the connections of a proxy pass. The zero value has none.
type ProxyLinks struct {
	// LocalIP is the address from which the proxy connects to its target, "" for any.
	LocalIP string
	// OfClient returns the link of the instance with an IP address, nil if there is none.
	OfClient func(ip string) *Link
	// OfTarget is the link of the target, nil if it has none.
	OfTarget *Link
}
