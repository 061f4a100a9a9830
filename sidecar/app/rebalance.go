package app

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/rebalance"
)

const (
	// rebalanceInterval is the time between two checks of the load of this upstream's
	// keys.
	rebalanceInterval = 500 * time.Millisecond
	// rebalanceCooldown is the time in milliseconds without further moves after moves
	// were requested, until their effect shows in the loads.
	rebalanceCooldown clock.Millis = 2000
	// maxLoadQueries bounds the holders that an overloaded sidecar asks for their load in
	// one round.
	maxLoadQueries = 16
	// loadQueryInterval is the shortest time in milliseconds between two rounds of these
	// queries. In between, the loads of the last round are used.
	loadQueryInterval clock.Millis = 1500
	// loadQueryTimeout bounds a round of these queries: a round trip between regions takes
	// 40 ms.
	loadQueryTimeout = 300 * time.Millisecond
	// percent converts percentages to fractions.
	percent = 100
)

// rebalanceLoop moves keys to other holders while this instance's upstream is overloaded or
// fails its requests, until ctx ends.
func (a *App) rebalanceLoop(ctx context.Context) {
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	var last clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		serviceConfig, _ := a.manifest.Load().Service(a.settings.Service())
		now := a.clock.Now()
		if serviceConfig.Keyed && !a.isStopping() && now-last >= rebalanceCooldown && a.rebalance(ctx) {
			last = now
		}
	}
}

// rebalance requests the moves that are due now and reports whether there are any.
func (a *App) rebalance(ctx context.Context) bool {
	load := a.executor.Load()
	if !rebalance.MayMove(float64(load.DemandPercent)/percent, float64(load.FailurePercent)/percent) {
		return false
	}
	loads := a.dispatcher.Loads()
	if now := a.clock.Now(); now-a.loadsQueriedAt >= loadQueryInterval {
		a.loadsQueriedAt, a.queriedLoads = now, a.queryLoads(ctx, loads)
	}
	for name, queried := range a.queriedLoads {
		if _, known := loads[name]; !known {
			loads[name] = queried
		}
	}
	self := rebalanceHolder(a.settings.Instance(), load)
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment, _ := s.keyController.Assignment()
	var others []rebalance.Holder
	for _, h := range assignment.Holders() {
		holderLoad, ok := loads[h.InstanceName()]
		if h.InstanceName() == self.Name || h.Leaving() || !ok {
			continue
		}
		// An upstream that has run no request yet counts as one of this upstream's speed.
		holderLoad.ServiceTime = cmp.Or(holderLoad.ServiceTime, load.ServiceTime)
		other := rebalanceHolder(h.InstanceName(), holderLoad)
		other.Ranges = len(assignment.OwnedBy(h.InstanceName()))
		others = append(others, other)
	}
	moves := rebalance.Plan(self, others, assignment.OwnedBy(self.Name), a.executor.KeyRates())
	if len(moves) == 0 {
		return false
	}
	a.log.Info().Int("moves", len(moves)).Int("demandPercent", load.DemandPercent).Int("failurePercent", load.FailurePercent).Int("holders", len(others)+1).Msg("keysSpread")
	s.keyController.RequestMoves(a.clock.Now(), moves)
	return true
}

// rebalanceHolder returns a holder with its load, without the number of its ranges.
func rebalanceHolder(name string, load balance.Load) rebalance.Holder {
	return rebalance.Holder{
		Name: name, Demand: float64(load.DemandPercent) / percent, Capacity: cmp.Or(load.RequestRate(), requestCapacity(load.Slots, load.ServiceTime)),
		FailureShare: float64(load.FailurePercent) / percent,
	}
}

// queryLoads asks holders that are not among the known loads for theirs. The known ones come
// with responses, so they lack the holders to which this sidecar has sent no request: in a
// large service most of them, and just those that are idle.
func (a *App) queryLoads(ctx context.Context, known map[string]balance.Load) map[string]balance.Load {
	s := a.state
	s.mu.Lock()
	assignment, _ := s.keyController.Assignment()
	s.mu.Unlock()
	unknown := slices.DeleteFunc(slices.Clone(assignment.Holders()), func(h keyspace.Holder) bool {
		_, ok := known[h.InstanceName()]
		return ok || h.Leaving() || h.InstanceName() == a.settings.Instance()
	})
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	var wait conc.WaitGroup
	var mu sync.Mutex
	loads := make(map[string]balance.Load)
	for _, h := range unknown[:min(len(unknown), maxLoadQueries)] {
		wait.Go(func() {
			var response loadResponse
			if err := a.peers.call(ctx, h.Member().Instance().PeerAddress(), pathLoad, struct{}{}, &response); err != nil {
				a.log.Debug().Err(err).Str("holder", h.InstanceName()).Msg("loadQueryFailed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[h.InstanceName()] = response.load()
		})
	}
	wait.Wait()
	return loads
}

// handleLoad returns the load of this instance's upstream.
func (a *App) handleLoad(struct{}) loadResponse {
	load := a.executor.Load()
	return loadResponse{
		Slots: load.Slots, ServiceTime: load.ServiceTime, DemandPercent: load.DemandPercent, FailurePercent: load.FailurePercent,
		Capacity: load.Capacity, ColdRate: load.ColdRate, ColdFor: load.ColdFor,
	}
}

// requestCapacity returns the number of requests that the slots can run per second at
// the given service time.
func requestCapacity(slots int, serviceTime clock.Millis) float64 {
	return float64(slots) * millisPerSecond / float64(max(serviceTime, 1))
}
