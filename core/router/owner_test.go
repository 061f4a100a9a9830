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
	d := newCluster(2, upstream.FencingEpoch)
	for _, entry := range d {
		response := entry.entry.Serve(t.Context(), postRequest("id-"+entry.self.Instance, ""))
		text, err := readBody(response)
		is.NoErr(err)
		is.Equal(text, "done id-"+entry.self.Instance)
		is.Equal(headerValue(response, outcome.HeaderOutcome), "done")
		is.Equal(headerValue(response, outcome.HeaderEpoch), "1")
		is.Equal(headerValue(response, outcome.HeaderOwner), "http-a")
		is.Equal(headerValue(response, outcome.HeaderServedBy), "a")
		is.Equal(headerValue(response, "X-Own"), "1")
	}
	is.Equal(d[0].gate.InFlight(), 0)
	is.Equal(d[0].owner.InFlight(), 0)
}

// TestRepeatGetsFirstResponse guards against a second run of a repeated order.
func TestRepeatGetsFirstResponse(t *testing.T) {
	is := is.New(t)
	d := newCluster(2, upstream.FencingEpoch)
	d[1].forwardLoss.Store("after")
	first := d[1].entry.Serve(t.Context(), postRequest("id", ""))
	is.Equal(first.Outcome, outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	is.Equal(first.Status, 504)
	d[1].forwardLoss.Store("")
	second := d[1].entry.Serve(t.Context(), postRequest("id", "1.0"))
	text, err := readBody(second)
	is.NoErr(err)
	is.Equal(text, "done id")
	is.Equal(second.Replay, router.ReplayWhole)
	is.Equal(d[0].upstream.count("id"), 1)
}

// TestUpstreamDeadlineEndsWithLease guards against an order that a paused daemon
// sends after its lease: the pause lies between the check and the send.
func TestUpstreamDeadlineEndsWithLease(t *testing.T) {
	for _, fencing := range []upstream.Fencing{upstream.FencingDeadline, upstream.FencingNone} {
		is := is.New(t)
		d := newCluster(1, fencing)[0]
		d.setLease(1200)
		unixLeaseEnd := d.unixMillis() + 1200
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			d.clock.Advance(3000)
			return textAnswer(""), nil
		}
		response := d.entry.Serve(t.Context(), postRequest("id", ""))
		_, err := readBody(response)
		is.NoErr(err)
		is.True(d.upstream.order.DeadlineUnixMillis <= unixLeaseEnd)
		is.True(d.upstream.order.DeadlineUnixMillis > unixLeaseEnd-10)
		is.Equal(d.entry.Serve(t.Context(), postRequest("next", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
		is.Equal(d.upstream.count("next"), 0)
	}
}

// TestUpstreamDeadlineAfterPause guards against a deadline that a pause between
// the readings of the two clocks makes later than the lease end.
func TestUpstreamDeadlineAfterPause(t *testing.T) {
	is := is.New(t)
	d := newCluster(1, upstream.FencingDeadline)[0]
	d.setLease(1200)
	unixLeaseEnd := d.unixMillis() + 1200
	d.pause = 500
	_, err := readBody(d.entry.Serve(t.Context(), postRequest("id", "")))
	is.NoErr(err)
	is.True(d.upstream.order.DeadlineUnixMillis <= unixLeaseEnd)
	d.pause = 800
	is.Equal(d.entry.Serve(t.Context(), postRequest("late", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
	is.Equal(d.upstream.count("late"), 0)
	d = newCluster(1, upstream.FencingEpoch)[0]
	d.setLease(1200)
	_, err = readBody(d.entry.Serve(t.Context(), postRequest("id", "")))
	is.NoErr(err)
	is.Equal(d.upstream.order.DeadlineUnixMillis, d.unixMillis()+5000-1) // The route's timeout; the epoch fences.
}

// TestConcurrentRepeatsRunOnce guards against repeats that run while the first
// attempt still does.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(2, upstream.FencingEpoch)
		d[0].upstream.respond = func(_ context.Context, order upstream.Request) (upstream.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return textAnswer("done " + order.RequestID), nil
		}
		texts := make(chan string, 20)
		for i := range 20 {
			go func() {
				text, _ := readBody(d[i%2].entry.Serve(t.Context(), postRequest("id", "")))
				texts <- text
			}()
		}
		for range 20 {
			is.Equal(<-texts, "done id")
		}
		is.Equal(d[0].upstream.count("id"), 1)
	})
}

// TestNewOwnerWaitsUntilServeFrom guards against a new owner that sends orders before those
// of the former one have settled, and against one with an older configuration.
func TestNewOwnerWaitsUntilServeFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, id := newCluster(1, upstream.FencingNone)[0], shard.ForKey("k1", shardCount)
		d.owners[id] = router.Ownership{Owner: d.self, Epoch: 2, ServeFrom: 50}
		time.AfterFunc(35*time.Millisecond, func() { d.clock.Advance(50) })
		start := time.Now()
		_, err := readBody(d.entry.Serve(t.Context(), getRequest("/attire/bookings/k1")))
		is.NoErr(err)
		is.Equal(time.Since(start), 40*time.Millisecond) // The next look.
		request := &router.Request{Service: keyedService, Key: "k1", Shard: id, Method: "GET", Path: "/k1", Deadline: 5000, ConfigVersion: 2}
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
	d, id := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount)
	connectOverGRPC(t, d)
	payload := strings.Repeat("payload ", 50_000)
	for _, daemon := range d {
		daemon.upstream.respond = func(_ context.Context, order upstream.Request) (upstream.Response, error) {
			return upstream.Response{Status: 200, Body: io.NopCloser(order.Body), ContentLength: -1}, nil
		}
	}
	stale := &sharedState{owners: map[shard.ID]router.Ownership{id: d[2].owners[id]}, catalog: d[2].catalog}
	d[2].sharedState = stale
	d[1].setOwner(id, 2)
	request := postRequest("id", "")
	request.Method, request.Body, request.ContentLength = "PUT", strings.NewReader(payload), int64(len(payload))
	response := d[2].entry.Serve(t.Context(), request)
	text, err := readBody(response)
	is.NoErr(err)
	is.True(text == payload)
	is.Equal(response.ServedBy, "b")
	is.Equal(headerValue(response, outcome.HeaderOwner), "http-b")
	stale.owners[id] = router.Ownership{Owner: d[0].self, Epoch: 3}
	d[0].owners[id] = router.Ownership{Owner: d[2].self, Epoch: 3}
	request.Body = strings.NewReader(payload)
	response = d[2].entry.Serve(t.Context(), request)
	_, _ = readBody(response)
	is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
}

// TestLeaseLostWhileQueued guards against an order that is sent under a lease
// that ended while the request waited for a slot.
func TestLeaseLostWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		release := make(chan struct{})
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textAnswer("x"), nil
		}
		results := make(chan *router.Response, 5)
		for i := range 5 {
			id := string(rune('0' + i))
			go func() {
				response := d.entry.Serve(t.Context(), postRequest(id, ""))
				_, _ = readBody(response)
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
		for _, runs := range d.upstream.runs {
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
		d := newCluster(2, upstream.FencingEpoch)
		release, id := make(chan struct{}), shard.ForKey("k1", shardCount)
		d[0].upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textAnswer("old"), nil
		}
		texts := make(chan string, 3)
		serve := func(request router.CallerRequest) {
			text, _ := readBody(d[0].entry.Serve(t.Context(), request))
			texts <- text
		}
		go serve(postRequest("before", ""))
		synctest.Wait()
		drained := make(chan struct{})
		d[0].owner.StopShard(keyedService, id, func() { close(drained) })
		during, withBody := postRequest("during", ""), postRequest("body", "")
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
		d[1].setOwner(id, 2)
		got := []string{<-texts, <-texts}
		is.True(got[0] != got[1])
		is.Equal(d[0].upstream.count("during")+d[0].upstream.count("body"), 0)
		is.Equal(d[1].upstream.count("during")+d[1].upstream.count("body"), 2)
		d[0].setOwner(id, 3)
		text, _ := readBody(d[1].entry.Serve(t.Context(), getRequest("/attire/bookings/k1")))
		is.Equal(text, "old")
	})
}

// TestUnknownOutcomesDelayDrain guards against a handover while an order of
// unknown outcome may still run, and against one that waits for an upstream
// which is gone.
func TestUnknownOutcomesDelayDrain(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newCluster(1, upstream.FencingEpoch)[0]
			d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
				return upstream.Response{}, upstream.NewSendError(outcome.NewUnknown(outcome.ReasonConnectionLost), io.ErrUnexpectedEOF)
			}
			is.Equal(d.entry.Serve(t.Context(), postRequest("id", "")).Status, 504)
			start, drained := time.Now(), make(chan struct{})
			d.owner.StopShard(keyedService, shard.ForKey("k1", shardCount), func() { close(drained) })
			if gone {
				d.owner.ReleaseUnresolved(keyedService)
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
	d := newCluster(1, upstream.FencingEpoch)[0]
	response := d.entry.Serve(t.Context(), postRequest("id", ""))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.True(d.owner.Stop(ctx) != nil)
	refused := d.owner.Serve(t.Context(), &router.Request{Service: keyedService, Key: "k1"})
	is.Equal(refused.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonDraining)))
	text, err := readBody(response)
	is.NoErr(err)
	is.Equal(text, "done id")
	is.NoErr(d.owner.Stop(t.Context()))
}

// TestTruncatedBodyIsAnError guards against a broken answer that is passed on
// as complete (pattern downloads stalled halfway).
func TestTruncatedBodyIsAnError(t *testing.T) {
	is := is.New(t)
	d := newCluster(1, upstream.FencingEpoch)[0]
	bodies := map[string]io.Reader{
		"short":  strings.NewReader("half"),
		"broken": io.MultiReader(strings.NewReader("half"), brokenReader{}),
	}
	for name, body := range bodies {
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			return upstream.Response{Status: 200, ContentLength: 8, Body: io.NopCloser(body)}, nil
		}
		response := d.entry.Serve(t.Context(), getRequest("/attire/bookings/"+name))
		_, err := readBody(response)
		var truncated *router.TruncatedError
		is.True(asTruncated(err, &truncated))
		_, again := response.Body.Read(make([]byte, 1))
		is.True(again != nil && again != io.EOF)
	}
	is.Equal(d.gate.InFlight(), 0)
}

// TestOwnershipWaitIsBounded guards against requests that hang on a shard that was
// stopped and never moved.
func TestOwnershipWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		id := shard.ForKey("k1", shardCount)
		d.owner.StopShard(keyedService, id, func() {})
		start := time.Now()
		request := &router.Request{Service: keyedService, Key: "k1", Shard: id, Method: "GET", Path: "/k1", Deadline: 5000}
		response := d.owner.Serve(t.Context(), request)
		is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		is.Equal(clock.FromDuration(time.Since(start)), clock.Millis(300))
		d.owner.ResumeShard(keyedService, id)
		_, err := readBody(d.owner.Serve(t.Context(), request))
		is.NoErr(err)
	})
}

// TestStaleOwnerRefusesNewerEpoch guards against a former owner that still takes itself for
// the owner and runs a request which was routed under a newer epoch.
func TestStaleOwnerRefusesNewerEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		response := d.owner.Serve(t.Context(), &router.Request{
			Service: keyedService, Key: "k1", Shard: shard.ForKey("k1", shardCount), Epoch: 2,
			Method: "POST", Path: "/k1", RequestID: "a", Deadline: unreachableTime, ConfigVersion: 1, Attempt: 1,
		})
		is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		is.Equal(d.upstream.count("a"), 0)
	})
}

// TestShardStoppedWhileQueued guards against a request that got its slot after
// its shard was stopped: the handover doesn't wait for it.
func TestShardStoppedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		d.gate = admission.NewGate(d.clock, admission.Settings{Slots: 1})
		release := make(chan struct{})
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textAnswer("x"), nil
		}
		results := make(chan *router.Response, 2)
		serve := func(id string) {
			response := d.entry.Serve(t.Context(), postRequest(id, ""))
			_, _ = readBody(response)
			results <- response
		}
		go serve("first")
		synctest.Wait()
		go serve("queued")
		synctest.Wait()
		is.Equal(d.gate.Queued(), 1)
		d.owner.StopShard(keyedService, shard.ForKey("k1", shardCount), func() {})
		close(release)
		<-results
		<-results
		is.Equal(d.upstream.count("queued"), 0)
	})
}
