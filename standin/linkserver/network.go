package linkserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// network is the present state of the links. Use newNetwork.
type network struct {
	mutex sync.Mutex
	rules Rules
	links map[RegionPair]*link
	// rulesChanged is closed and replaced when the rules change.
	rulesChanged chan struct{}
}

// link is one way between two regions.
type link struct {
	delay time.Duration
	cut   bool
	// bytesPerSecond is 0 for no bound.
	bytesPerSecond float64
	// busyUntil is when the bytes accepted so far will have been sent.
	busyUntil time.Time

	bytes       atomic.Uint64
	connections atomic.Uint64
}

func newNetwork(rules Rules) *network {
	n := &network{links: make(map[RegionPair]*link), rulesChanged: make(chan struct{})}
	n.replaceRules(rules)
	return n
}

// replaceRules puts rules in force. What is under way keeps its delay.
func (n *network) replaceRules(rules Rules) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rules = rules
	for _, l := range n.links {
		l.delay, l.cut, l.bytesPerSecond = 0, false, 0
	}
	for _, delay := range rules.Delays {
		n.link(RegionPair{From: delay.From, To: delay.To}).delay = millisToDuration(delay.Millis)
	}
	for _, cut := range rules.Cuts {
		n.link(cut).cut = true
	}
	for _, bound := range rules.Bandwidths {
		n.link(RegionPair{From: bound.From, To: bound.To}).bytesPerSecond = bound.MegabitsPerSecond * 1e6 / 8
	}
	close(n.rulesChanged)
	n.rulesChanged = make(chan struct{})
}

func millisToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// link returns the link of a pair; the caller holds the mutex.
func (n *network) link(pair RegionPair) *link {
	l := n.links[pair]
	if l == nil {
		l = &link{}
		n.links[pair] = l
	}
	return l
}

func (n *network) currentRules() Rules {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.rules
}

// scheduleDelivery takes bytes at a link's entry and returns when they arrive at its end.
func (n *network) scheduleDelivery(pair RegionPair, bytes int, now time.Time) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.link(pair)
	l.bytes.Add(uint64(bytes))
	sent := now
	if l.bytesPerSecond > 0 {
		if l.busyUntil.Before(now) {
			l.busyUntil = now
		}
		l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
		sent = l.busyUntil
	}
	return sent.Add(l.delay)
}

// backlog returns how long the bytes accepted so far still take to be sent.
func (n *network) backlog(pair RegionPair, now time.Time) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.link(pair).busyUntil.Sub(now)
}

// addConnection returns how long the set-up of a connection takes, beyond the first
// one-way delay of its data.
func (n *network) addConnection(pair RegionPair) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(pair).connections.Add(1)
	return millisToDuration(n.rules.ConnectionCostMillis) + n.link(pair).delay + n.link(pair.reverse()).delay
}

// waitWhileCut waits until none of the pairs is cut. It returns false if done is
// closed first.
func (n *network) waitWhileCut(done <-chan struct{}, pairs ...RegionPair) bool {
	for {
		n.mutex.Lock()
		cut := false
		for _, pair := range pairs {
			cut = cut || n.link(pair).cut
		}
		changed := n.rulesChanged
		n.mutex.Unlock()
		if !cut {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

// LinkCounters is what one way between two regions has carried since the start.
type LinkCounters struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Bytes uint64 `json:"bytes"`
	// Connections counts those opened by From.
	Connections uint64 `json:"connections"`
}

func (n *network) counters() []LinkCounters {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	counters := make([]LinkCounters, 0, len(n.links))
	for pair, l := range n.links {
		counters = append(counters, LinkCounters{
			From: pair.From, To: pair.To, Bytes: l.bytes.Load(), Connections: l.connections.Load(),
		})
	}
	return counters
}
