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

// TestServeThroughOwner guards against responses without outcome headers, and against outcome
// headers that were set by an upstream.
func TestServeThroughOwner(t *testing.T) {
	is := is.New(t)
	daemons := newCluster(2, upstream.FencingEpoch)
	for _, entry := range daemons {
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
	is.Equal(daemons[0].gate.InFlight(), 0)
	is.Equal(daemons[0].owner.InFlight(), 0)
}

// TestRepeatGetsFirstResponse guards against a second run of a repeated request.
func TestRepeatGetsFirstResponse(t *testing.T) {
	is := is.New(t)
	daemons := newCluster(2, upstream.FencingEpoch)
	daemons[1].forwardLoss.Store("after")
	first := daemons[1].entry.Serve(t.Context(), postRequest("id", ""))
	is.Equal(first.Outcome, outcome.Outcome(outcome.NewUnknown(outcome.ReasonConnectionLost)))
	is.Equal(first.Status, 504)
	daemons[1].forwardLoss.Store("")
	second := daemons[1].entry.Serve(t.Context(), postRequest("id", "1.0"))
	text, err := readBody(second)
	is.NoErr(err)
	is.Equal(text, "done id")
	is.Equal(second.Replay, router.ReplayWhole)
	is.Equal(daemons[0].upstream.count("id"), 1)
}

// TestUpstreamDeadlineEndsWithLease guards against an upstream that runs a request after the
// lease, because the daemon was paused between its check of the lease and the send.
func TestUpstreamDeadlineEndsWithLease(t *testing.T) {
	for _, fencing := range []upstream.Fencing{upstream.FencingDeadline, upstream.FencingNone} {
		is := is.New(t)
		d := newCluster(1, fencing)[0]
		d.setLease(1200)
		unixLeaseEnd := d.unixMillis() + 1200
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			d.clock.Advance(3000)
			return textResponse(""), nil
		}
		response := d.entry.Serve(t.Context(), postRequest("id", ""))
		_, err := readBody(response)
		is.NoErr(err)
		is.True(d.upstream.lastRequest.DeadlineUnixMillis <= unixLeaseEnd)
		is.True(d.upstream.lastRequest.DeadlineUnixMillis > unixLeaseEnd-10)
		is.Equal(d.entry.Serve(t.Context(), postRequest("next", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
		is.Equal(d.upstream.count("next"), 0)
	}
}

// TestUpstreamDeadlineAfterPause guards against a deadline later than the lease end, caused by
// a pause between the reads of the wall clock and the monotonic clock.
func TestUpstreamDeadlineAfterPause(t *testing.T) {
	is := is.New(t)
	d := newCluster(1, upstream.FencingDeadline)[0]
	d.setLease(1200)
	unixLeaseEnd := d.unixMillis() + 1200
	d.pause = 500
	_, err := readBody(d.entry.Serve(t.Context(), postRequest("id", "")))
	is.NoErr(err)
	is.True(d.upstream.lastRequest.DeadlineUnixMillis <= unixLeaseEnd)
	d.pause = 800
	is.Equal(d.entry.Serve(t.Context(), postRequest("late", "")).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonNoLease)))
	is.Equal(d.upstream.count("late"), 0)
	d = newCluster(1, upstream.FencingEpoch)[0]
	d.setLease(1200)
	_, err = readBody(d.entry.Serve(t.Context(), postRequest("id", "")))
	is.NoErr(err)
	is.Equal(d.upstream.lastRequest.DeadlineUnixMillis, d.unixMillis()+5000-1) // the timeout of the route: the epoch fences a former owner
}

// TestConcurrentRepeatsRunOnce guards against repeats that run during the first attempt.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		daemons := newCluster(2, upstream.FencingEpoch)
		daemons[0].upstream.respond = func(_ context.Context, request upstream.Request) (upstream.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return textResponse("done " + request.RequestID), nil
		}
		texts := make(chan string, 20)
		for i := range 20 {
			go func() {
				text, _ := readBody(daemons[i%2].entry.Serve(t.Context(), postRequest("id", "")))
				texts <- text
			}()
		}
		for range 20 {
			is.Equal(<-texts, "done id")
		}
		is.Equal(daemons[0].upstream.count("id"), 1)
	})
}

// TestNewOwnerWaitsUntilServeFrom guards against a new owner that sends requests while those
// of the former owner may still run, and against an owner that serves with a configuration
// older than that of the sender.
func TestNewOwnerWaitsUntilServeFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, id := newCluster(1, upstream.FencingNone)[0], shard.ForKey("k1", shardCount)
		d.owners[id] = router.Ownership{Owner: d.self, Epoch: 2, ServeFrom: 50}
		time.AfterFunc(35*time.Millisecond, func() { d.clock.Advance(50) })
		start := time.Now()
		_, err := readBody(d.entry.Serve(t.Context(), getRequest("/attire/bookings/k1")))
		is.NoErr(err)
		is.Equal(time.Since(start), 40*time.Millisecond) // the next read of the view
		request := &router.Request{Service: keyedService, Key: "k1", Shard: id, Method: "GET", Path: "/k1", Deadline: 5000, ConfigVersion: 2}
		is.Equal(d.owner.Serve(t.Context(), request).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonConfigurationLags)))
		request.ConfigVersion, request.Shard = 1, id+1
		is.Equal(d.owner.Serve(t.Context(), request).Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonConfigurationLags)))
	})
}

// TestRelayOverNetwork guards against a body that is lost or mixed up when a former owner
// relays a request, and against a loop between two daemons that each consider the other one
// the owner.
func TestRelayOverNetwork(t *testing.T) {
	is := is.New(t)
	daemons, id := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount)
	connectOverGRPC(t, daemons)
	payload := strings.Repeat("payload ", 50_000)
	for _, daemon := range daemons {
		daemon.upstream.respond = func(_ context.Context, request upstream.Request) (upstream.Response, error) {
			return upstream.Response{Status: 200, Body: io.NopCloser(request.Body), ContentLength: -1}, nil
		}
	}
	staleState := &sharedState{owners: map[shard.ID]router.Ownership{id: daemons[2].owners[id]}, catalog: daemons[2].catalog}
	daemons[2].sharedState = staleState
	daemons[1].setOwner(id, 2)
	request := postRequest("id", "")
	request.Method, request.Body, request.ContentLength = "PUT", strings.NewReader(payload), int64(len(payload))
	response := daemons[2].entry.Serve(t.Context(), request)
	text, err := readBody(response)
	is.NoErr(err)
	is.True(text == payload)
	is.Equal(response.ServedBy, "b")
	is.Equal(headerValue(response, outcome.HeaderOwner), "http-b")
	staleState.owners[id] = router.Ownership{Owner: daemons[0].self, Epoch: 3}
	daemons[0].owners[id] = router.Ownership{Owner: daemons[2].self, Epoch: 3}
	request.Body = strings.NewReader(payload)
	response = daemons[2].entry.Serve(t.Context(), request)
	_, _ = readBody(response)
	is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
}

// TestLeaseLostWhileQueued guards against sending a request to the upstream after the lease
// ended while the request waited for a slot.
func TestLeaseLostWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		release := make(chan struct{})
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textResponse("x"), nil
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

// TestStopShardDrainsAndForwards guards against a handover of a shard with requests in flight,
// and against requests that are lost in the handover.
func TestStopShardDrainsAndForwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		daemons := newCluster(2, upstream.FencingEpoch)
		release, id := make(chan struct{}), shard.ForKey("k1", shardCount)
		daemons[0].upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textResponse("old"), nil
		}
		texts := make(chan string, 3)
		serve := func(request router.CallerRequest) {
			text, _ := readBody(daemons[0].entry.Serve(t.Context(), request))
			texts <- text
		}
		go serve(postRequest("before", ""))
		synctest.Wait()
		drained := make(chan struct{})
		daemons[0].owner.StopShard(keyedService, id, func() { close(drained) })
		during, withBody := postRequest("during", ""), postRequest("body", "")
		during.Method, withBody.Method = "PUT", "PUT"
		go serve(during)
		withBody.Body, withBody.ContentLength = strings.NewReader("payload"), 7
		go serve(withBody)
		time.Sleep(20 * time.Millisecond)
		select {
		case <-drained:
			t.Fatal("shard drained with a request in flight")
		default:
		}
		close(release)
		<-drained
		is.Equal(<-texts, "old")
		daemons[1].setOwner(id, 2)
		responses := []string{<-texts, <-texts}
		is.True(responses[0] != responses[1])
		is.Equal(daemons[0].upstream.count("during")+daemons[0].upstream.count("body"), 0)
		is.Equal(daemons[1].upstream.count("during")+daemons[1].upstream.count("body"), 2)
		daemons[0].setOwner(id, 3)
		text, _ := readBody(daemons[1].entry.Serve(t.Context(), getRequest("/attire/bookings/k1")))
		is.Equal(text, "old")
	})
}

// TestUnknownOutcomesDelayDrain guards against a handover while a request of unknown outcome
// may still run, and against a handover that waits for such requests after their upstream
// has ended.
func TestUnknownOutcomesDelayDrain(t *testing.T) {
	for _, upstreamEnded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newCluster(1, upstream.FencingEpoch)[0]
			d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
				return upstream.Response{}, upstream.NewSendError(outcome.NewUnknown(outcome.ReasonConnectionLost), io.ErrUnexpectedEOF)
			}
			is.Equal(d.entry.Serve(t.Context(), postRequest("id", "")).Status, 504)
			start, drained := time.Now(), make(chan struct{})
			d.owner.StopShard(keyedService, shard.ForKey("k1", shardCount), func() { close(drained) })
			if upstreamEnded {
				d.owner.ReleaseUnresolved(keyedService)
			}
			<-drained
			is.Equal(time.Since(start) == 0, upstreamEnded)
			is.True(upstreamEnded || time.Since(start) == 5*time.Second)
		})
	}
}

// TestStopWaitsForRequestsInFlight guards against a graceful stop that interrupts a response or
// accepts new requests.
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

// TestTruncatedBodyIsAnError guards against a truncated response that the caller takes for
// complete. Downloads of patterns stalled halfway in this way.
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

// TestOwnershipWaitIsBounded guards against requests that wait forever for the new owner of a
// shard that was stopped and never moved.
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

// TestStaleOwnerRefusesNewerEpoch guards against a former owner that its stale view still names
// as the owner, and that runs a request which was routed under a newer epoch.
func TestStaleOwnerRefusesNewerEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		response := d.owner.Serve(t.Context(), &router.Request{
			Service: keyedService, Key: "k1", Shard: shard.ForKey("k1", shardCount), Epoch: 2,
			Method: "POST", Path: "/k1", RequestID: "a", Deadline: farFuture, ConfigVersion: 1, Attempt: 1,
		})
		is.Equal(response.Outcome, outcome.Outcome(outcome.NewNotRun(outcome.ReasonMoved)))
		is.Equal(d.upstream.count("a"), 0)
	})
}

// TestShardStoppedWhileQueued guards against running a request that got its slot after its shard
// was stopped. The handover doesn't wait for such a request.
func TestShardStoppedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newCluster(1, upstream.FencingEpoch)[0]
		d.gate = admission.NewGate(d.clock, admission.Settings{Slots: 1})
		release := make(chan struct{})
		d.upstream.respond = func(context.Context, upstream.Request) (upstream.Response, error) {
			<-release
			return textResponse("x"), nil
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
