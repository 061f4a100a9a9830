package connlimit_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/connlimit"
	"briarwell.dev/core/memory"
)

const second clock.Millis = 1000

// nothingUnread is the HasUnread of clients whose bytes were all read.
func nothingUnread(*connlimit.Client) bool { return false }

// open opens a connection that must be admitted without another one being closed.
func open(t *testing.T, l *connlimit.Limiter, now clock.Millis) *connlimit.Client {
	t.Helper()
	c, closing := l.Open(now, nothingUnread)
	if c == nil || closing != nil {
		t.Fatalf("connection %d at %d is not admitted", l.Connections(), now)
	}
	return c
}

// transfer moves bytes in a wait from begin to end.
func transfer(l *connlimit.Limiter, c *connlimit.Client, bytes int, begin, end clock.Millis) {
	l.EndWait(c, l.BeginRead(c, begin), bytes, end)
}

// reasons returns the reasons of the overdue connections.
func reasons(l *connlimit.Limiter, now clock.Millis, pressure connlimit.Pressure) map[connlimit.Reason]int {
	counts := make(map[connlimit.Reason]int)
	for _, closing := range l.Overdue(now, pressure, nothingUnread) {
		counts[closing.Reason()]++
	}
	return counts
}

// TestReplacement guards against a new connection that is refused while a slow or an idle one is open,
// and against the end of one that is served.
func TestReplacement(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(4, nil)
	serving, idle, older, slow := open(t, l, 0), open(t, l, 10), open(t, l, 5), open(t, l, 20)
	l.Enter(serving, connlimit.Serving, 20)
	l.Enter(slow, connlimit.Body, 20)
	l.BeginRead(slow, 20)
	refused, _ := l.Open(34, nothingUnread)
	is.True(refused == nil) // The clients may have sent their first requests.
	first, closing := l.Open(20+second, nothingUnread)
	is.Equal(closing.Client(), slow)
	is.Equal(closing.Reason(), connlimit.ReasonSlowBody)
	l.Enter(first, connlimit.Serving, 20+second)
	second, closing := l.Open(20+second, nothingUnread)
	is.Equal(closing.Client(), older)
	is.Equal(closing.Reason(), connlimit.ReasonIdle)
	l.Enter(second, connlimit.Serving, 2000)
	// A client whose request waits to be read is not idle.
	refused, closing = l.Open(2000, func(c *connlimit.Client) bool { return c == idle })
	is.True(refused == nil && closing == nil)
	third, closing := l.Open(2000, nothingUnread)
	is.Equal(closing.Client(), idle)
	l.Enter(third, connlimit.Serving, 2000)
	refused, closing = l.Open(2000, nothingUnread)
	is.True(refused == nil && closing == nil)
	l.Close(serving)
	open(t, l, 2000)
	is.Equal(l.Connections(), 4)
}

// TestRequestsAhead guards against new connections that are refused because of clients that send
// requests ahead, and against the end of one that only reads its response.
func TestRequestsAhead(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(2, nil)
	reading, ahead := open(t, l, 0), open(t, l, 0)
	for _, c := range []*connlimit.Client{reading, ahead} {
		l.Enter(c, connlimit.Response, 0)
		l.BeginWrite(c, 0)
	}
	admitted, closing := l.Open(100, func(c *connlimit.Client) bool { return c == ahead })
	is.True(admitted != nil)
	is.Equal(closing.Client(), ahead)
	is.Equal(closing.Reason(), connlimit.ReasonSlowResponse)
	l.Enter(admitted, connlimit.Serving, 100)
	refused, _ := l.Open(100, nothingUnread)
	is.True(refused == nil)
}

// TestBusyConnections guards against new connections that are refused because of clients that send one
// request after the other.
func TestBusyConnections(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(1, nil)
	c := open(t, l, 0)
	l.Enter(c, connlimit.Serving, 0)
	l.Enter(c, connlimit.Idle, 99)
	_, closing := l.Open(100, nothingUnread)
	is.Equal(closing.Client(), c)
}

// TestPartsOfHeads guards against new connections that are refused because of clients that keep opening
// connections and sending parts of heads, and against the end of a head that is on its way.
func TestPartsOfHeads(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(1, nil)
	c := open(t, l, 0)
	transfer(l, c, 20, 0, 10)
	refused, _ := l.Open(39, nothingUnread)
	is.True(refused == nil)
	_, closing := l.Open(40, nothingUnread)
	is.Equal(closing.Reason(), connlimit.ReasonSlowHead)
}

// TestSlowClients guards against a fast client that counts as slow, because it paused or the server did,
// and a slow one that does not, because it began fast or sends a byte now and then.
func TestSlowClients(t *testing.T) {
	pressed := connlimit.Pressure{Bodies: true, Heads: true}
	for name, test := range map[string]struct {
		behave   func(l *connlimit.Limiter, c *connlimit.Client)
		expected map[connlimit.Reason]int
	}{
		"upload of 60 kB in 3 s":   {func(l *connlimit.Limiter, c *connlimit.Client) { transfer(l, c, 60_000, 0, 3*second) }, nil},
		"stall of less than 1 s":   {func(l *connlimit.Limiter, c *connlimit.Client) { l.BeginRead(c, 3*second+1) }, nil},
		"server that does a pause": {func(l *connlimit.Limiter, c *connlimit.Client) { transfer(l, c, 100, 0, 500) }, nil},
		"stall":                    {func(l *connlimit.Limiter, c *connlimit.Client) { l.BeginRead(c, 0) }, map[connlimit.Reason]int{connlimit.ReasonSlowBody: 1}},
		"stall after 1 MB": {func(l *connlimit.Limiter, c *connlimit.Client) {
			transfer(l, c, 1<<20, 0, second)
			l.BeginRead(c, second)
		}, map[connlimit.Reason]int{connlimit.ReasonSlowBody: 1}},
		"stall after a burst": {func(l *connlimit.Limiter, c *connlimit.Client) {
			transfer(l, c, 1<<20, 0, 0)
			l.BeginRead(c, 2*second)
		}, map[connlimit.Reason]int{connlimit.ReasonSlowBody: 1}},
		"byte after byte": {func(l *connlimit.Limiter, c *connlimit.Client) {
			for now := clock.Millis(0); now < 4*second; now += 100 {
				transfer(l, c, 1, now, now+100)
			}
		}, map[connlimit.Reason]int{connlimit.ReasonSlowBody: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := connlimit.New(0, nil)
			c := open(t, l, 0)
			l.Enter(c, connlimit.Serving, 0)
			l.Enter(c, connlimit.Body, 0)
			test.behave(l, c)
			is.Equal(len(reasons(l, 4*second, pressed)), len(test.expected))
			for reason, count := range test.expected {
				is.Equal(reasons(l, 4*second, pressed)[reason], count)
			}
			is.Equal(len(reasons(l, 4*second, connlimit.Pressure{})), 0) // Slow clients do no harm.
		})
	}
}

// TestOverdue guards against heads and transfers that never end, and against the end of a response that
// is read in time.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(0, nil)
	l.SetHeadTimeout(3 * second)
	head, response := open(t, l, 0), open(t, l, 0)
	transfer(l, head, 10, 0, 5*second) // Idle until the first byte.
	l.BeginRead(head, 5*second)
	l.Enter(response, connlimit.Serving, 0)
	l.Enter(response, connlimit.Response, 0)
	l.BeginWrite(response, 0)
	l.EndWait(response, l.BeginRead(response, 0), 1, 0) // the next request
	is.Equal(len(reasons(l, 8*second-1, connlimit.Pressure{})), 0)
	is.Equal(reasons(l, 8*second, connlimit.Pressure{}), map[connlimit.Reason]int{connlimit.ReasonHeadTimeout: 1})
	l.Close(head)
	is.Equal(len(reasons(l, connlimit.StallTimeout-1, connlimit.Pressure{})), 0)
	is.Equal(reasons(l, connlimit.StallTimeout, connlimit.Pressure{}), map[connlimit.Reason]int{connlimit.ReasonSlowResponse: 1})
	l.Enter(response, connlimit.Serving, connlimit.StallTimeout)
	is.Equal(len(reasons(l, connlimit.StallTimeout, connlimit.Pressure{Bodies: true})), 0)
}

// TestRestart guards against clients that are held to be slow since this process did not run.
func TestRestart(t *testing.T) {
	is := is.New(t)
	l := connlimit.New(0, nil)
	l.SetHeadTimeout(3 * second)
	head, body := open(t, l, 0), open(t, l, 0)
	l.Enter(head, connlimit.Head, 0)
	l.BeginRead(head, 0)
	l.Enter(body, connlimit.Body, 0)
	l.BeginRead(body, 0)
	l.Restart(5 * second)
	pressed := connlimit.Pressure{Bodies: true, Heads: true}
	is.Equal(len(reasons(l, 6*second-1, pressed)), 0)
	is.Equal(reasons(l, 6*second, pressed), map[connlimit.Reason]int{connlimit.ReasonSlowHead: 1, connlimit.ReasonSlowBody: 1})
}

// TestHeadMemory guards against memory for heads that is not returned, or returned while they are in use.
func TestHeadMemory(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	l := connlimit.New(0, budget)
	c := open(t, l, 0)
	is.NoErr(l.TakeHead(c, 1000, 10))
	taken := budget.Used()
	is.True(taken >= 1000+10*100) // what net/http holds for a field
	var exhausted *memory.ExhaustedError
	is.True(errors.As(l.TakeHead(c, 30_000, 5000), &exhausted))
	l.Enter(c, connlimit.Serving, 0)
	is.Equal(budget.Used(), taken)
	l.Evict(c)
	is.Equal(budget.Used(), taken)
	l.Close(c)
	is.Equal(budget.Used(), int64(0))
	c = open(t, l, 0)
	is.NoErr(l.TakeHead(c, 1000, 10))
	l.Enter(c, connlimit.Idle, 0)
	is.Equal(budget.Used(), int64(0))
}

// TestCrowdBesideOrdinaryClients guards against ordinary clients that are refused because of a crowd
// that holds its connections: with the naive rule, to refuse what exceeds the number, all of them are.
func TestCrowdBesideOrdinaryClients(t *testing.T) {
	const limit, crowd = 100, 500
	is := is.New(t)
	l := connlimit.New(limit, nil)
	served, servedNaively, held := 0, 0, 0
	for now := clock.Millis(0); now < 10*second; now += 10 {
		for i := 0; now == 0 && i < crowd; i++ {
			if c, _ := l.Open(now, nothingUnread); c != nil {
				transfer(l, c, 20, now, now) // a part of a head
				l.BeginRead(c, now)
			}
			held = min(held+1, limit)
		}
		if held < limit {
			servedNaively++
		}
		if c, _ := l.Open(now, nothingUnread); c != nil {
			l.Enter(c, connlimit.Serving, now)
			l.Close(c)
			served++
		}
	}
	is.Equal(servedNaively, 0)
	is.True(served >= 900)
}
