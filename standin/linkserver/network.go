package linkserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// network holds the rules and the state of the links between regions. Use newNetwork.
type network struct {
	mutex sync.Mutex
	rules Rules
	links map[RegionPair]*link
	// rulesChanged is closed and replaced by a new channel when the rules change.
	rulesChanged chan struct{}
}

// link is one direction between two regions.
type link struct {
	delay time.Duration
	cut   bool
	// bytesPerSecond is the bandwidth limit; 0 means no limit.
	bytesPerSecond float64
	// busyUntil is the time at which all scheduled bytes will have been sent, if there is a
	// bandwidth limit.
	busyUntil time.Time

	bytes       atomic.Uint64
	connections atomic.Uint64
}

func newNetwork(rules Rules) *network {
	n := &network{links: make(map[RegionPair]*link), rulesChanged: make(chan struct{})}
	n.replaceRules(rules)
	return n
}

// replaceRules activates rules. Data that is already scheduled keeps its delay.
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
	for _, bandwidth := range rules.Bandwidths {
		n.link(RegionPair{From: bandwidth.From, To: bandwidth.To}).bytesPerSecond = bandwidth.MegabitsPerSecond * 1e6 / 8
	}
	close(n.rulesChanged)
	n.rulesChanged = make(chan struct{})
}

func millisToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// link returns the link of pair, which it creates if it is missing. The caller holds the
// mutex.
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

// scheduleDelivery books the bandwidth of a link for size bytes that are sent at now, and
// returns the time at which they arrive.
func (n *network) scheduleDelivery(pair RegionPair, size int, now time.Time) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := n.link(pair)
	l.bytes.Add(uint64(size))
	sentAt := now
	if l.bytesPerSecond > 0 {
		if l.busyUntil.Before(now) {
			l.busyUntil = now
		}
		l.busyUntil = l.busyUntil.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
		sentAt = l.busyUntil
	}
	return sentAt.Add(l.delay)
}

// backlog returns the time that a link with a bandwidth limit still needs to send all
// scheduled bytes. It is negative if the link is idle.
func (n *network) backlog(pair RegionPair, now time.Time) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.link(pair).busyUntil.Sub(now)
}

// addConnection counts a new connection and returns its set-up time: the fixed cost and
// one round trip. The one-way delay of the first data is added later.
func (n *network) addConnection(pair RegionPair) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(pair).connections.Add(1)
	return millisToDuration(n.rules.ConnectionCostMillis) + n.link(pair).delay + n.link(pair.reverse()).delay
}

// waitWhileCut blocks until none of the pairs is cut. It returns false if done is closed
// first.
func (n *network) waitWhileCut(done <-chan struct{}, pairs ...RegionPair) bool {
	for {
		n.mutex.Lock()
		isCut := false
		for _, pair := range pairs {
			isCut = isCut || n.link(pair).cut
		}
		rulesChanged := n.rulesChanged
		n.mutex.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-done:
			return false
		case <-rulesChanged:
		}
	}
}

// LinkCounters counts the traffic from region From to region To since the relay started.
type LinkCounters struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Bytes uint64 `json:"bytes"`
	// Connections counts the connections that From opened to To.
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
