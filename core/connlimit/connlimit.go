// Package connlimit decides which connections of clients a server keeps. It bounds their number and
// the memory for the heads of their requests, and selects those to close when there is not enough of
// either, or of the memory for bodies.
// Load pattern: crowds of clients that open connections, send heads or bodies slowly or in part, or
// don't read their responses, beside ordinary clients of the same instance.
package connlimit

import (
	"cmp"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/memory"
)

const (
	// paceWindow is the shortest time in milliseconds of waiting for a client after which its
	// speed is known. A packet that is lost once arrives within it.
	paceWindow clock.Millis = 1000
	// minBytesPerSecond is the speed below which a client is slow. The users' requesters send at
	// most 360 kB in 4 s, more than five times as fast.
	minBytesPerSecond = 16 << 10
	// StallTimeout is the time in milliseconds without any progress after which a transfer is
	// ended, also if nothing is short. The longest time for which the users' requesters wait is
	// 4 s.
	StallTimeout clock.Millis = 30_000
	// arrivalTime is the time in milliseconds after which a connection without a whole head is closed
	// in favour of a new one. The round trip to the users' requesters takes 16 ms.
	arrivalTime clock.Millis = 30
	// headByteFactor and headFieldBytes give the memory in bytes for a head by its bytes and its
	// fields: it is read by net/http, and a copy of the map of its fields is forwarded.
	headByteFactor = 2
	headFieldBytes = 200
	millisPerSec   = 1000
)

// Phase is what the server does with a connection.
type Phase uint8

// Phases. A connection begins as Idle.
const (
	// Idle is the phase without any byte of a request.
	Idle Phase = iota
	// Head is the phase in which a part of the head of a request was read.
	Head
	// Serving is the phase in which nothing is expected from the client.
	Serving
	// Body is the phase in which the body of a request is read.
	Body
	// Response is the phase in which a response is written.
	Response
)

// Reason says why a connection is closed or a request on it refused.
type Reason string

// Reasons. A request that is being read when its connection is closed is not run.
const (
	// ReasonTooMany is the reason to refuse a connection that exceeds the allowed number while
	// none of the others can be closed.
	ReasonTooMany Reason = "too-many-connections"
	// ReasonHeadMemory is the reason to refuse a request for whose head there is no memory.
	ReasonHeadMemory Reason = "head-memory"
	// ReasonHeadTimeout is the reason to refuse a request whose head takes longer than the
	// operator allows.
	ReasonHeadTimeout Reason = "head-timeout"
	// ReasonSlowHead, ReasonSlowBody and ReasonSlowResponse are the reasons to close the
	// connection of a slow client while memory or connections are short. ReasonSlowResponse is
	// also that of a client that sends requests ahead.
	ReasonSlowHead     Reason = "slow-head"
	ReasonSlowBody     Reason = "slow-body"
	ReasonSlowResponse Reason = "slow-response"
	// ReasonIdle is the reason to close an idle connection in favour of a new one.
	ReasonIdle Reason = "idle"
)

// Pressure tells which memory is short.
type Pressure struct {
	Heads  bool
	Bodies bool
}

// Client is one connection. Only the Limiter that opened it may use it.
type Client struct {
	phase Phase
	// since is the time at which an idle connection became idle, or the first byte of the head
	// arrived.
	since clock.Millis
	// heads is the memory taken for the head of the current request.
	heads *memory.Account
	// transfer is the phase that pace belongs to.
	transfer Phase
	pace     pace
	// wait is the number of the last wait. A phase ends the wait that began before it.
	wait Wait
	// kept is set once a request on the connection has ended.
	kept bool
	// evicted is set once the connection no longer counts.
	evicted bool
}

// Phase returns the phase of the connection.
func (c *Client) Phase() Phase { return c.phase }

// Wait is one wait of a server for a client. The zero value is none.
type Wait uint64

// pace measures the speed of a client in the time for which the server waits for it.
type pace struct {
	waiting      bool
	waitingSince clock.Millis
	waited       clock.Millis
	bytes        int64
	// slow is the result of the last whole window.
	slow bool
}

// isSlow reports whether the client is slow at now.
func (p pace) isSlow(now clock.Millis) bool {
	waited := p.waited
	if p.waiting {
		waited += now - p.waitingSince
		if now-p.waitingSince >= paceWindow {
			return true
		}
	}
	if waited < paceWindow {
		return p.slow
	}
	return p.bytes*millisPerSec < int64(waited)*minBytesPerSecond
}

// record ends a wait that moved the given bytes.
func (p *pace) record(now clock.Millis, bytes int) {
	p.waiting = false
	p.waited += now - p.waitingSince
	p.bytes += int64(bytes)
	if p.waited >= paceWindow {
		*p = pace{slow: p.isSlow(now)}
	}
}

// Limiter holds the open connections of a server. The zero value limits nothing. It is not safe for
// concurrent use.
type Limiter struct {
	maxConnections int
	headTimeout    clock.Millis
	heads          *memory.Budget
	clients        map[*Client]struct{}
}

// New returns a limiter of at most maxConnections connections, 0 for no limit, whose heads take memory
// from the budget.
func New(maxConnections int, heads *memory.Budget) *Limiter {
	return &Limiter{maxConnections: maxConnections, heads: heads}
}

// SetHeadTimeout sets the longest time in milliseconds for the head of a request, 0 for no limit.
func (l *Limiter) SetHeadTimeout(timeout clock.Millis) { l.headTimeout = timeout }

// Connections returns the number of open connections.
func (l *Limiter) Connections() int { return len(l.clients) }

// MaxConnections returns the largest number of open connections, 0 for no limit.
func (l *Limiter) MaxConnections() int { return l.maxConnections }

// HasUnread reports whether the server has not read all that a client has sent: the server is late, not
// the client. Such a connection is not closed.
type HasUnread func(c *Client) bool

// Open returns the client of a new connection, nil if there are too many. If it returns a Closing
// too, that connection must be closed in favour of the new one.
func (l *Limiter) Open(now clock.Millis, hasUnread HasUnread) (*Client, *Closing) {
	var victim *Closing
	if l.maxConnections > 0 && len(l.clients) >= l.maxConnections {
		if victim = l.replaceable(now, hasUnread); victim == nil {
			return nil, nil
		}
		l.Evict(victim.client)
	}
	if l.clients == nil {
		l.clients = make(map[*Client]struct{})
	}
	c := &Client{since: now}
	l.clients[c] = struct{}{}
	return c, victim
}

// Closing is a connection to close and the reason for it.
type Closing struct {
	client *Client
	phase  Phase
	reason Reason
}

// Client returns the connection.
func (c Closing) Client() *Client { return c.client }

// Phase returns the phase in which the connection was.
func (c Closing) Phase() Phase { return c.phase }

// Reason returns why to close it.
func (c Closing) Reason() Reason { return c.reason }

// replaceable returns the connection to close in favour of a new one: that of a slow client, otherwise
// the one that has been idle for longest, otherwise one with a part of a head, otherwise that of a client
// that sends further requests while it does not read the response to one. It returns nil if there is none.
func (l *Limiter) replaceable(now clock.Millis, hasUnread HasUnread) *Closing {
	var slow, idle, partial, ahead *Client
	awaited := func(c *Client) bool { return !c.hasSent(hasUnread) }
	for c := range l.clients {
		arrived := now-c.since >= arrivalTime
		switch {
		case c.isSlow(now):
			slow = older(slow, c, awaited)
		case c.phase == Idle && (arrived || c.kept):
			idle = older(idle, c, awaited)
		case c.phase == Head && arrived:
			partial = older(partial, c, awaited)
		case c.phase == Response && c.pace.waiting:
			ahead = older(ahead, c, hasUnread)
		}
	}
	if found := cmp.Or(slow, idle, partial, ahead); found != nil {
		return &Closing{client: found, phase: found.phase, reason: found.phase.slowReason()}
	}
	return nil
}

// older returns c if it meets the condition and has been in its phase for longer than found, otherwise
// found. The condition is a system call for each client that is asked for.
func older(found, c *Client, condition func(*Client) bool) *Client {
	if (found == nil || c.since < found.since) && condition(c) {
		return c
	}
	return found
}

// slowReason returns the reason to close a connection in a phase because of its client.
func (p Phase) slowReason() Reason {
	switch p {
	case Head:
		return ReasonSlowHead
	case Body:
		return ReasonSlowBody
	case Response:
		return ReasonSlowResponse
	default:
		return ReasonIdle
	}
}

// isSlow reports whether the server waits for a slow client.
func (c *Client) isSlow(now clock.Millis) bool {
	return (c.phase == Head || c.phase == Body || c.phase == Response) && c.pace.isSlow(now)
}

// hasSent reports whether the client has sent what the server waits for.
func (c *Client) hasSent(hasUnread HasUnread) bool { return c.phase != Response && hasUnread(c) }

// Enter sets the phase of a connection. The memory for a head is released when the connection
// becomes idle.
func (l *Limiter) Enter(c *Client, phase Phase, now clock.Millis) {
	c.pace.waiting = false
	c.wait++
	if (phase == Head || phase == Body || phase == Response) && c.transfer != phase {
		c.transfer, c.pace = phase, pace{}
	}
	if phase == Idle {
		c.kept = true
		c.releaseHead()
		c.transfer, c.pace = Idle, pace{}
	}
	if phase != c.phase && (phase == Idle || phase == Head) {
		c.since = now
	}
	c.phase = phase
}

func (c *Client) releaseHead() {
	c.heads.Close()
	c.heads = nil
}

// BeginRead records that the server begins to wait for bytes of the client. It returns no wait in phases
// in which none are expected: net/http also reads while it serves a request or writes a response.
func (l *Limiter) BeginRead(c *Client, now clock.Millis) Wait {
	if c.phase == Serving || c.phase == Response {
		return 0
	}
	return c.beginWait(now)
}

// BeginWrite records that the server begins to wait for the client to read a part of a response.
func (l *Limiter) BeginWrite(c *Client, now clock.Millis) Wait { return c.beginWait(now) }

func (c *Client) beginWait(now clock.Millis) Wait {
	c.wait++
	c.pace.waiting, c.pace.waitingSince = true, now
	return c.wait
}

// EndWait records that the server has moved bytes in a wait. It has no effect if the wait has ended with
// its phase.
func (l *Limiter) EndWait(c *Client, wait Wait, bytes int, now clock.Millis) {
	if wait == 0 || wait != c.wait {
		return
	}
	if c.phase == Idle {
		c.pace.waiting = false
		if bytes > 0 {
			l.Enter(c, Head, now)
		}
		return
	}
	c.pace.record(now, bytes)
}

// TakeHead takes the memory for bytes of a head with the given number of fields. The error is a
// *memory.ExhaustedError.
func (l *Limiter) TakeHead(c *Client, bytes, fields int) error {
	if l.heads == nil || c.evicted {
		return nil
	}
	if c.heads == nil {
		c.heads = l.heads.Open()
	}
	return c.heads.Reserve(int64(bytes)*headByteFactor + int64(fields)*headFieldBytes)
}

// Overdue returns the connections to close at now, the oldest first.
func (l *Limiter) Overdue(now clock.Millis, pressure Pressure, hasUnread HasUnread) []Closing {
	var overdue []Closing
	for c := range l.clients {
		if reason := l.overdueReason(c, now, pressure); reason != "" && !c.hasSent(hasUnread) {
			overdue = append(overdue, Closing{client: c, phase: c.phase, reason: reason})
		}
	}
	slices.SortFunc(overdue, func(a, b Closing) int { return cmp.Compare(a.client.since, b.client.since) })
	return overdue
}

// overdueReason returns the reason to close a connection at now, "" if there is none.
func (l *Limiter) overdueReason(c *Client, now clock.Millis, pressure Pressure) Reason {
	stalled := c.pace.waiting && now-c.pace.waitingSince >= StallTimeout
	switch {
	case c.phase == Head && l.headTimeout > 0 && now-c.since >= l.headTimeout:
		return ReasonHeadTimeout
	case c.phase == Head && pressure.Heads && c.isSlow(now):
		return ReasonSlowHead
	case (c.phase == Body || c.phase == Response) && (stalled || pressure.Bodies && c.isSlow(now)):
		return c.phase.slowReason()
	default:
		return ""
	}
}

// Restart makes all waits begin at now, after a time in which this process did not run: that was not the
// clients' fault.
func (l *Limiter) Restart(now clock.Millis) {
	for c := range l.clients {
		waiting := c.pace.waiting
		c.pace = pace{waiting: waiting, waitingSince: now}
		if c.phase == Head {
			c.since = now
		}
	}
}

// Evict stops counting a connection that is about to be closed. It reports whether it counted before.
func (l *Limiter) Evict(c *Client) bool {
	if c.evicted {
		return false
	}
	c.evicted = true
	delete(l.clients, c)
	return true
}

// Close removes a closed connection and releases the memory for its head.
func (l *Limiter) Close(c *Client) {
	l.Evict(c)
	c.releaseHead()
}
