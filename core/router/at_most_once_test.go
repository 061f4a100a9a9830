package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// serveWithNaiveRetries is the baseline for comparison: it sends the request to the owner up
// to three times until it gets a response.
func serveWithNaiveRetries(d *daemon, id string) outcome.Outcome {
	request := &router.Request{Service: unkeyedService, Method: "POST", Path: "/k1", Deadline: farFuture, RequestID: id, Attempt: 1}
	owner, _ := d.Owner(keyedService, shard.ForKey("k1", shardCount), "k1")
	for range 3 {
		response, err := d.Forward(context.Background(), owner.Owner.PeerAddress, request)
		if err == nil {
			_, _ = readBody(response)
			return response.Outcome
		}
	}
	return outcome.NewNotRun(outcome.ReasonUnreachable)
}

// runRandomSession simulates a random sequence of requests, repeats, owner changes, upstream
// failures and lost responses. It returns how many requests ran more than once, and how many
// ran although the caller got NotRun.
func runRandomSession(seed uint64, naive bool) (twice, falseNotRun int) {
	random := rand.New(rand.NewPCG(seed, seed))
	daemons, id := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount)
	epoch, newestStamp := identity.Epoch(1), ""
	firstSent := map[string]clock.Millis{}
	stamps, notRun, possiblyRun := map[string]string{}, map[string]bool{}, map[string]bool{}
	for range 120 {
		for _, daemon := range daemons {
			daemon.clock.Advance(20_000)
			daemon.forwardLoss.Store([]string{"", "", "before", "after"}[random.IntN(4)])
			daemon.upstream.respond = nil
			if fault := random.IntN(6); fault < 2 {
				failure := []outcome.Outcome{outcome.NewNotRun(outcome.ReasonUpstreamRefused), outcome.NewUnknown(outcome.ReasonTimeout)}[fault]
				daemon.upstream.respond = func(_ context.Context, request upstream.Request) (upstream.Response, error) {
					if fault == 0 {
						daemon.upstream.runs[request.RequestID]--
					}
					return upstream.Response{}, upstream.NewSendError(failure, context.DeadlineExceeded)
				}
			}
		}
		if random.IntN(8) == 0 {
			epoch++
			daemons[random.IntN(3)].setOwner(id, epoch)
		}
		requestID, entry := fmt.Sprint(random.IntN(40)), daemons[random.IntN(3)]
		if _, ok := stamps[requestID]; !ok {
			stamps[requestID], firstSent[requestID] = newestStamp, entry.clock.Now()
		}
		if stamps[requestID] == "" && entry.clock.Now()-firstSent[requestID] > dedupe.Retention {
			// Without a stamp, a second run is prevented during dedupe.Retention only.
			continue
		}
		var result outcome.Outcome
		if naive {
			result = serveWithNaiveRetries(entry, requestID)
		} else {
			response := entry.entry.Serve(context.Background(), postRequest(requestID, stamps[requestID]))
			_, _ = readBody(response)
			result = response.Outcome
			if response.Stamp != "" {
				newestStamp = response.Stamp
			}
		}
		if _, ok := result.(outcome.NotRun); !ok {
			possiblyRun[requestID] = true
		}
		notRun[requestID] = !possiblyRun[requestID]
	}
	total := map[string]int{}
	for _, daemon := range daemons {
		for requestID, runs := range daemon.upstream.runs {
			total[requestID] += runs
		}
	}
	for requestID, runs := range total {
		if runs > 1 {
			twice++
		}
		if runs > 0 && notRun[requestID] {
			falseNotRun++
		}
	}
	return twice, falseNotRun
}

// TestAtMostOnce guards against a non-idempotent request, such as a deposit, that runs twice,
// and against a NotRun outcome for a request that ran. Naive retries must run some requests twice, which shows
// that the sessions contain the faults.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	naiveTwice := 0
	for seed := range uint64(300) {
		synctest.Test(t, func(*testing.T) {
			twice, falseNotRun := runRandomSession(seed, false)
			is.Equal(twice, 0)
			is.Equal(falseNotRun, 0)
			baseline, _ := runRandomSession(seed, true)
			naiveTwice += baseline
		})
	}
	t.Logf("300 sessions, seeds 0 to 299: 0 requests ran twice; with naive retries: %d", naiveTwice)
	is.True(naiveTwice > 0)
}

// register is a value in a shared store, which each upstream caches for an epoch. Two owners
// at the same time would read or overwrite stale values.
type register struct {
	mu     sync.Mutex
	stored string
}

func (r *register) upstream() func(context.Context, upstream.Request) (upstream.Response, error) {
	// A mutex that is held during a sleep would stop the virtual clock of synctest.
	semaphore := make(chan struct{}, 1)
	var epoch identity.Epoch
	cached := ""
	return func(_ context.Context, request upstream.Request) (upstream.Response, error) {
		semaphore <- struct{}{}
		defer func() { <-semaphore }()
		time.Sleep(time.Millisecond)
		r.mu.Lock()
		defer r.mu.Unlock()
		if request.Epoch != epoch {
			epoch, cached = request.Epoch, r.stored
		}
		if request.Method == "POST" {
			cached, r.stored = request.RequestID, request.RequestID
		}
		return textResponse(cached), nil
	}
}

type registerInput struct {
	write bool
	value string
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if in := in.(registerInput); in.write {
			return true, in.value
		}
		return out.(string) == state.(string), state
	},
}

// TestHistoryIsLinearizable guards against two owners of a key at the same time during
// handovers, with lost requests and responses.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	is := is.New(t)
	daemons, id, store := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount), &register{}
	for _, daemon := range daemons {
		daemon.upstream.respond = store.upstream()
	}
	start := time.Now()
	var mu sync.Mutex
	var logicalTime int64
	var history []porcupine.Operation
	now := func() int64 { mu.Lock(); defer mu.Unlock(); logicalTime++; return logicalTime }
	var group conc.WaitGroup
	for client := range 4 {
		random, stamp := rand.New(rand.NewPCG(seed, uint64(client))), ""
		group.Go(func() {
			for i := range 60 {
				entry := daemons[random.IntN(3)]
				entry.forwardLoss.Store([]string{"", "", "", "before", "after"}[random.IntN(5)])
				in := registerInput{write: random.IntN(2) == 0, value: fmt.Sprint(client, "-", i)}
				request := getRequest("/attire/bookings/k1")
				if in.write {
					// A PUT is idempotent here and may run twice, which the register
					// model doesn't allow.
					request = postRequest(in.value, stamp)
				}
				call := now()
				response := entry.entry.Serve(t.Context(), request)
				text, err := readBody(response)
				operation := porcupine.Operation{ClientId: client, Input: in, Call: call, Output: text, Return: now()}
				if response.Stamp != "" {
					stamp = response.Stamp
				}
				_, notRun := response.Outcome.(outcome.NotRun)
				_, done := response.Outcome.(outcome.Done)
				if in.write && !notRun && (!done || err != nil) {
					// A request of unknown outcome may take effect at any later time.
					operation.Return = 1 << 60
					operation.ClientId = 1000 + client*100 + i
				} else if notRun || !done || err != nil {
					continue
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
			}
		})
	}
	owner := 0
	for epoch := identity.Epoch(2); epoch < 12; epoch++ {
		time.Sleep(15 * time.Millisecond)
		drained := make(chan struct{})
		daemons[owner].owner.StopShard(keyedService, id, func() { close(drained) })
		<-drained
		owner = (owner + 1) % len(daemons)
		daemons[owner].setOwner(id, epoch)
	}
	group.Wait()
	is.True(len(history) > 100)
	is.Equal(porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second), porcupine.Ok)
	t.Logf("seed %d: %d operations in %v of virtual time", seed, len(history), time.Since(start))
}
