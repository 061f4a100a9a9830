package app

import (
	"context"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/rebalance"
)

const (
	// rebalanceInterval is the time between two checks of the load of this upstream's
	// keys.
	rebalanceInterval = 500 * time.Millisecond
	// rebalanceCooldown is the time in milliseconds without further moves after moves
	// were requested, until their effect shows in the loads.
	rebalanceCooldown clock.Millis = 2000
	// percent converts percentages to fractions.
	percent = 100
)

// rebalanceLoop moves keys to other holders while this instance's upstream is overloaded,
// until ctx ends.
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
		if serviceConfig.Keyed && !a.stopping.Load() && now-last >= rebalanceCooldown && a.rebalance() {
			last = now
		}
	}
}

// rebalance requests the moves that are due now and reports whether there are any.
func (a *App) rebalance() bool {
	load := a.executor.Load()
	self := rebalance.Holder{Name: a.settings.Instance(), Demand: float64(load.DemandPercent) / percent, Capacity: requestCapacity(load.Slots, load.ServiceTime)}
	loads := a.dispatcher.Loads()
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment, _ := s.keyController.Assignment()
	var others []rebalance.Holder
	for _, h := range assignment.Holders() {
		holderLoad, ok := loads[h.InstanceName()]
		if h.InstanceName() == self.Name || h.Leaving() || !ok || holderLoad.ServiceTime == 0 {
			continue
		}
		others = append(others, rebalance.Holder{
			Name: h.InstanceName(), Demand: float64(holderLoad.DemandPercent) / percent, Capacity: requestCapacity(holderLoad.Slots, holderLoad.ServiceTime), Ranges: len(assignment.OwnedBy(h.InstanceName())),
		})
	}
	moves := rebalance.Plan(self, others, assignment.OwnedBy(self.Name), a.executor.KeyRates())
	if len(moves) == 0 {
		return false
	}
	a.log.Info().Int("moves", len(moves)).Int("demandPercent", load.DemandPercent).Int("holders", len(others)+1).Msg("keysSpread")
	s.keyController.RequestMoves(a.clock.Now(), moves)
	return true
}

// requestCapacity returns the number of requests that the slots can run per second at
// the given service time.
func requestCapacity(slots int, serviceTime clock.Millis) float64 {
	return float64(slots) * millisPerSecond / float64(max(serviceTime, 1))
}
