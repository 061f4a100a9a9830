package router_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// TestServeThroughOwner guards against answers that reach a caller without
// their outcome headers, or with those that an upstream made up.
func TestServeThroughOwner(t *testing.T) {
	is := is.New(t)
	d := cluster(2, upstream.FencingEpoch)
	for _, entry := range d {
		response := entry.entry.Serve(t.Context(), post("id-"+entry.self.Instance, ""))
		text, err := read(response)
		is.NoErr(err)
		is.Equal(text, "done id-"+entry.self.Instance)
		is.Equal(header(response, outcome.HeaderOutcome), "done")
		is.Equal(header(response, outcome.HeaderEpoch), "1")
		is.Equal(header(response, outcome.HeaderOwner), "http-a")
		is.Equal(header(response, outcome.HeaderServedBy), "a")
		is.Equal(header(response, "X-Own"), "1")
	}
	is.Equal(d[0].gate.InFlight(), 0)
	is.Equal(d[0].owner.InFlight(), 0)
}

// TestRepeatGetsFirstAnswer guards against a second run of a repeated order.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	is := is.New(t)
	d := cluster(2, upstream.FencingEpoch)
	d[1].lose.Store("after")
	first := d[1].entry.Serve(t.Context(), post("id", ""))
	is.Equal(first.Outcome, outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	is.Equal(first.Status, 504)
	d[1].lose.Store("")
	second := d[1].entry.Serve(t.Context(), post("id", "1.0"))
	text, err := read(second)
	is.NoErr(err)
	is.Equal(text, "done id")
	is.Equal(second.Replay, router.ReplayWhole)
	is.Equal(d[0].up.count("id"), 1)
}

// TestOrderDeadlineEndsWithLease guards against an order that a paused daemon
// sends after its lease: the pause lies between the check and the send.
func TestOrderDeadlineEndsWithLease(t *testing.T) {
	for _, fencing := range []upstream.Fencing{upstream.FencingDeadline, upstream.FencingNone} {
		is := is.New(t)
		d := cluster(1, fencing)[0]
		d.setLease(1200)
		unixLeaseEnd := d.unixMillis() + 1200
		d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) {
			d.clock.Advance(3000)
			return answer(""), nil
		}
		response := d.entry.Serve(t.Context(), post("id", ""))
		_, err := read(response)
		is.NoErr(err)
		is.True(d.up.order.DeadlineUnixMillis <= unixLeaseEnd)
		is.True(d.up.order.DeadlineUnixMillis > unixLeaseEnd-10)
		is.Equal(d.entry.Serve(t.Context(), post("next", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
		is.Equal(d.up.count("next"), 0)
	}
}

// TestOrderDeadlineAfterPause guards against a deadline that a pause between
// the readings of the two clocks makes later than the lease end.
func TestOrderDeadlineAfterPause(t *testing.T) {
	is := is.New(t)
	d := cluster(1, upstream.FencingDeadline)[0]
	d.setLease(1200)
	unixLeaseEnd := d.unixMillis() + 1200
	d.pause = 500
	_, err := read(d.entry.Serve(t.Context(), post("id", "")))
	is.NoErr(err)
	is.True(d.up.order.DeadlineUnixMillis <= unixLeaseEnd)
	d.pause = 800
	is.Equal(d.entry.Serve(t.Context(), post("late", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
	is.Equal(d.up.count("late"), 0)
	d = cluster(1, upstream.FencingEpoch)[0]
	d.setLease(1200)
	_, err = read(d.entry.Serve(t.Context(), post("id", "")))
	is.NoErr(err)
	is.Equal(d.up.order.DeadlineUnixMillis, d.unixMillis()+5000-1) // The route's timeout; the epoch fences.
}

// TestConcurrentRepeatsRunOnce guards against repeats that run while the first
// attempt still does.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(2, upstream.FencingEpoch)
		d[0].up.act = func(_ context.Context, order upstream.Order) (upstream.Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return answer("done " + order.RequestID), nil
		}
		texts := make(chan string, 20)
		for i := range 20 {
			go func() {
				text, _ := read(d[i%2].entry.Serve(t.Context(), post("id", "")))
				texts <- text
			}()
		}
		for range 20 {
			is.Equal(<-texts, "done id")
		}
		is.Equal(d[0].up.count("id"), 1)
	})
}

// TestNewOwnerWaits guards against a new owner that sends orders before those
// of the former one have settled, and against one with an older configuration.
func TestNewOwnerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, id := cluster(1, upstream.FencingNone)[0], shard.ForKey("k1", shards)
		d.owners[id] = router.Ownership{Owner: d.self, Epoch: 2, ServeFrom: 50}
		time.AfterFunc(35*time.Millisecond, func() { d.clock.Advance(50) })
		start := time.Now()
		_, err := read(d.entry.Serve(t.Context(), get("/attire/bookings/k1")))
		is.NoErr(err)
		is.Equal(time.Since(start), 40*time.Millisecond) // The next look.
		request := &router.Request{Service: keyed, Key: "k1", Shard: id, Method: "GET", Path: "/k1", Deadline: 5000, ConfigVersion: 2}
		is.Equal(d.owner.Serve(t.Context(), request).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonConfigurationLags)))
		request.ConfigVersion, request.Shard = 1, id+1
		is.Equal(d.owner.Serve(t.Context(), request).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonConfigurationLags)))
	})
}

// TestRelayOverNetwork guards against a body that is lost or mixed when a
// former owner passes a request on, and against loops between two daemons that
// each take the other for the owner.
func TestRelayOverNetwork(t *testing.T) {
	is := is.New(t)
	d, id := cluster(3, upstream.FencingEpoch), shard.ForKey("k1", shards)
	connect(t, d)
	payload := strings.Repeat("payload ", 50_000)
	for _, daemon := range d {
		daemon.up.act = func(_ context.Context, order upstream.Order) (upstream.Answer, error) {
			return upstream.Answer{Status: 200, Body: io.NopCloser(order.Body), ContentLength: -1}, nil
		}
	}
	stale := &shared{owners: map[shard.ID]router.Ownership{id: d[2].owners[id]}, catalog: d[2].catalog}
	d[2].shared = stale
	d[1].own(id, 2)
	request := post("id", "")
	request.Method, request.Body, request.ContentLength = "PUT", strings.NewReader(payload), int64(len(payload))
	response := d[2].entry.Serve(t.Context(), request)
	text, err := read(response)
	is.NoErr(err)
	is.True(text == payload)
	is.Equal(response.ServedBy, "b")
	is.Equal(header(response, outcome.HeaderOwner), "http-b")
	stale.owners[id] = router.Ownership{Owner: d[0].self, Epoch: 3}
	d[0].owners[id] = router.Ownership{Owner: d[2].self, Epoch: 3}
	request.Body = strings.NewReader(payload)
	response = d[2].entry.Serve(t.Context(), request)
	_, _ = read(response)
	is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
}

// TestLeaseLostWhileQueued guards against an order that is sent under a lease
// that ended while the request waited for a slot.
func TestLeaseLostWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(1, upstream.FencingEpoch)[0]
		release := make(chan struct{})
		d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) { <-release; return answer("x"), nil }
		results := make(chan *router.Response, 5)
		for i := range 5 {
			id := string(rune('0' + i))
			go func() {
				response := d.entry.Serve(t.Context(), post(id, ""))
				_, _ = read(response)
				results <- response
			}()
		}
		synctest.Wait()
		is.Equal(d.gate.Queued(), 1)
		d.setLease(0)
		close(release)
		lost := 0
		for range 5 {
			if (<-results).Outcome == outcome.NewNotRun(outcome.ReasonNoLease) {
				lost++
			}
		}
		is.Equal(lost, 1)
		total := 0
		for _, runs := range d.up.runs {
			total += runs
		}
		is.Equal(total, 4)
	})
}

// TestStopShardDrainsAndForwards guards against an owner that hands a shard
// over with orders in flight, and against requests lost in the handover.
func TestStopShardDrainsAndForwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(2, upstream.FencingEpoch)
		release, id := make(chan struct{}), shard.ForKey("k1", shards)
		d[0].up.act = func(context.Context, upstream.Order) (upstream.Answer, error) { <-release; return answer("old"), nil }
		texts := make(chan string, 3)
		serve := func(request router.CallerRequest) {
			text, _ := read(d[0].entry.Serve(t.Context(), request))
			texts <- text
		}
		go serve(post("before", ""))
		synctest.Wait()
		drained := make(chan struct{})
		d[0].owner.StopShard(keyed, id, func() { close(drained) })
		during, withBody := post("during", ""), post("body", "")
		during.Method, withBody.Method = "PUT", "PUT"
		go serve(during)
		withBody.Body, withBody.ContentLength = strings.NewReader("payload"), 7
		go serve(withBody)
		time.Sleep(20 * time.Millisecond)
		select {
		case <-drained:
			t.Fatal("drained with an order in flight")
		default:
		}
		close(release)
		<-drained
		is.Equal(<-texts, "old")
		d[1].own(id, 2)
		got := []string{<-texts, <-texts}
		is.True(got[0] != got[1])
		is.Equal(d[0].up.count("during")+d[0].up.count("body"), 0)
		is.Equal(d[1].up.count("during")+d[1].up.count("body"), 2)
		d[0].own(id, 3)
		text, _ := read(d[1].entry.Serve(t.Context(), get("/attire/bookings/k1")))
		is.Equal(text, "old")
	})
}

// TestUnknownOrdersDelayDrain guards against a handover while an order of
// unknown outcome may still run, and against one that waits for an upstream
// which is gone.
func TestUnknownOrdersDelayDrain(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := cluster(1, upstream.FencingEpoch)[0]
			d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) {
				return upstream.Answer{}, upstream.NewSendError(outcome.NewUnknown(outcome.ReasonConnectionLost), io.ErrUnexpectedEOF)
			}
			is.Equal(d.entry.Serve(t.Context(), post("id", "")).Status, 504)
			start, drained := time.Now(), make(chan struct{})
			d.owner.StopShard(keyed, shard.ForKey("k1", shards), func() { close(drained) })
			if gone {
				d.owner.UpstreamGone(keyed)
			}
			<-drained
			is.Equal(time.Since(start) == 0, gone)
			is.True(gone || time.Since(start) == 5*time.Second)
		})
	}
}

// TestStopWaitsForRequestsInFlight guards against a graceful stop that
// interrupts an answer or takes new work.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	d := cluster(1, upstream.FencingEpoch)[0]
	response := d.entry.Serve(t.Context(), post("id", ""))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.True(d.owner.Stop(ctx) != nil)
	refused := d.owner.Serve(t.Context(), &router.Request{Service: keyed, Key: "k1"})
	is.Equal(refused.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonDraining)))
	text, err := read(response)
	is.NoErr(err)
	is.Equal(text, "done id")
	is.NoErr(d.owner.Stop(t.Context()))
}

// TestTruncatedBodyIsAnError guards against a broken answer that is passed on
// as complete (pattern downloads stalled halfway).
func TestTruncatedBodyIsAnError(t *testing.T) {
	is := is.New(t)
	d := cluster(1, upstream.FencingEpoch)[0]
	bodies := map[string]io.Reader{
		"short":  strings.NewReader("half"),
		"broken": io.MultiReader(strings.NewReader("half"), brokenReader{}),
	}
	for name, body := range bodies {
		d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) {
			return upstream.Answer{Status: 200, ContentLength: 8, Body: io.NopCloser(body)}, nil
		}
		response := d.entry.Serve(t.Context(), get("/attire/bookings/"+name))
		_, err := read(response)
		var truncated *router.TruncatedError
		is.True(asTruncated(err, &truncated))
		_, again := response.Body.Read(make([]byte, 1))
		is.True(again != nil && again != io.EOF)
	}
	is.Equal(d.gate.InFlight(), 0)
}

// TestMoveWaitIsBounded guards against requests that hang on a shard that was
// stopped and never moved.
func TestMoveWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(1, upstream.FencingEpoch)[0]
		id := shard.ForKey("k1", shards)
		d.owner.StopShard(keyed, id, func() {})
		start := time.Now()
		request := &router.Request{Service: keyed, Key: "k1", Shard: id, Method: "GET", Path: "/k1", Deadline: 5000}
		response := d.owner.Serve(t.Context(), request)
		is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		is.Equal(clock.FromDuration(time.Since(start)), clock.Millis(300))
		d.owner.ResumeShard(keyed, id)
		_, err := read(d.owner.Serve(t.Context(), request))
		is.NoErr(err)
	})
}

// TestStaleOwnerWaits guards against a former owner that still takes itself for
// the owner and runs a request which was routed under a newer epoch.
func TestStaleOwnerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(1, upstream.FencingEpoch)[0]
		response := d.owner.Serve(t.Context(), &router.Request{
			Service: keyed, Key: "k1", Shard: shard.ForKey("k1", shards), Epoch: 2,
			Method: "POST", Path: "/k1", RequestID: "a", Deadline: long, ConfigVersion: 1, Attempt: 1,
		})
		is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		is.Equal(d.up.count("a"), 0)
	})
}

// TestShardStoppedWhileQueued guards against a request that got its slot after
// its shard was stopped: the handover doesn't wait for it.
func TestShardStoppedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := cluster(1, upstream.FencingEpoch)[0]
		d.gate = admission.NewGate(d.clock, admission.Settings{Slots: 1})
		release := make(chan struct{})
		d.up.act = func(context.Context, upstream.Order) (upstream.Answer, error) { <-release; return answer("x"), nil }
		results := make(chan *router.Response, 2)
		serve := func(id string) {
			response := d.entry.Serve(t.Context(), post(id, ""))
			_, _ = read(response)
			results <- response
		}
		go serve("first")
		synctest.Wait()
		go serve("queued")
		synctest.Wait()
		is.Equal(d.gate.Queued(), 1)
		d.owner.StopShard(keyed, shard.ForKey("k1", shards), func() {})
		close(release)
		<-results
		<-results
		is.Equal(d.up.count("queued"), 0)
	})
}
