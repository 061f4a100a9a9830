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

// serveWithNaiveRetries is the baseline: it asks the owner again until an answer comes.
func serveWithNaiveRetries(d *daemon, id string) outcome.Outcome {
	request := &router.Request{Service: unkeyedService, Method: "POST", Path: "/k1", Deadline: unreachableTime, RequestID: id, Attempt: 1}
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

// runRandomSession plays a random session of orders, repeats, owner changes, upstream
// failures and lost answers. It returns how many orders ran twice, and how many
// ran although a caller was told that they were not run.
func runRandomSession(seed uint64, naive bool) (twice, falseNotRun int) {
	random := rand.New(rand.NewPCG(seed, seed))
	d, id := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount)
	epoch, newest := identity.Epoch(1), ""
	first := map[string]clock.Millis{}
	stamps, notRun, doubtful := map[string]string{}, map[string]bool{}, map[string]bool{}
	for range 120 {
		for _, daemon := range d {
			daemon.clock.Advance(20_000)
			daemon.forwardLoss.Store([]string{"", "", "before", "after"}[random.IntN(4)])
			daemon.upstream.respond = nil
			if fault := random.IntN(6); fault < 2 {
				reason := []outcome.Outcome{outcome.NewNotRun(outcome.ReasonUpstreamRefused), outcome.NewUnknown(outcome.ReasonTimeout)}[fault]
				daemon.upstream.respond = func(_ context.Context, order upstream.Request) (upstream.Response, error) {
					if fault == 0 {
						daemon.upstream.runs[order.RequestID]--
					}
					return upstream.Response{}, upstream.NewSendError(reason, context.DeadlineExceeded)
				}
			}
		}
		if random.IntN(8) == 0 {
			epoch++
			d[random.IntN(3)].setOwner(id, epoch)
		}
		name, entry := fmt.Sprint(random.IntN(40)), d[random.IntN(3)]
		if _, ok := stamps[name]; !ok {
			stamps[name], first[name] = newest, entry.clock.Now()
		}
		if stamps[name] == "" && entry.clock.Now()-first[name] > dedupe.Retention {
			// Without a stamp an ID is protected for the retention only.
			continue
		}
		var result outcome.Outcome
		if naive {
			result = serveWithNaiveRetries(entry, name)
		} else {
			response := entry.entry.Serve(context.Background(), postRequest(name, stamps[name]))
			_, _ = readBody(response)
			result = response.Outcome
			if response.Stamp != "" {
				newest = response.Stamp
			}
		}
		if _, ok := result.(outcome.NotRun); !ok {
			doubtful[name] = true
		}
		notRun[name] = !doubtful[name]
	}
	total := map[string]int{}
	for _, daemon := range d {
		for name, runs := range daemon.upstream.runs {
			total[name] += runs
		}
	}
	for name, runs := range total {
		if runs > 1 {
			twice++
		}
		if runs > 0 && notRun[name] {
			falseNotRun++
		}
	}
	return twice, falseNotRun
}

// TestAtMostOnce guards against a deposit that is taken twice, and against a
// caller who is told not-run for an order that ran.
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
	t.Logf("300 sessions, seeds 0 to 299: 0 orders ran twice; naive retries: %d", naiveTwice)
	is.True(naiveTwice > 0)
}

// register is a value in a platform store, which upstreams cache for each
// epoch: two owners at one moment would read or overwrite stale values.
type register struct {
	mu     sync.Mutex
	stored string
}

func (r *register) upstream() func(context.Context, upstream.Request) (upstream.Response, error) {
	// A mutex held during a sleep would stop the clock of synctest.
	turn := make(chan struct{}, 1)
	var epoch identity.Epoch
	cached := ""
	return func(_ context.Context, order upstream.Request) (upstream.Response, error) {
		turn <- struct{}{}
		defer func() { <-turn }()
		time.Sleep(time.Millisecond)
		r.mu.Lock()
		defer r.mu.Unlock()
		if order.Epoch != epoch {
			epoch, cached = order.Epoch, r.stored
		}
		if order.Method == "POST" {
			cached, r.stored = order.RequestID, order.RequestID
		}
		return textAnswer(cached), nil
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

// TestHistoryIsLinearizable guards against two owners of a key at one moment
// during handovers, with answers lost on the way.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	is := is.New(t)
	d, id, store := newCluster(3, upstream.FencingEpoch), shard.ForKey("k1", shardCount), &register{}
	for _, daemon := range d {
		daemon.upstream.respond = store.upstream()
	}
	start := time.Now()
	var mu sync.Mutex
	var tick int64
	var history []porcupine.Operation
	now := func() int64 { mu.Lock(); defer mu.Unlock(); tick++; return tick }
	var group conc.WaitGroup
	for client := range 4 {
		random, stamp := rand.New(rand.NewPCG(seed, uint64(client))), ""
		group.Go(func() {
			for i := range 60 {
				entry := d[random.IntN(3)]
				entry.forwardLoss.Store([]string{"", "", "", "before", "after"}[random.IntN(5)])
				in := registerInput{write: random.IntN(2) == 0, value: fmt.Sprint(client, "-", i)}
				request := getRequest("/attire/bookings/k1")
				if in.write {
					// A PUT may be run twice, which no register allows.
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
					// An order of unknown outcome may take effect at any later time.
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
		d[owner].owner.StopShard(keyedService, id, func() { close(drained) })
		<-drained
		owner = (owner + 1) % len(d)
		d[owner].setOwner(id, epoch)
	}
	group.Wait()
	is.True(len(history) > 100)
	is.Equal(porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second), porcupine.Ok)
	t.Logf("seed %d: %d operations in %v of virtual time", seed, len(history), time.Since(start))
}
