package app

import (
	"context"
	"time"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/rebalance"
)

const (
	// rebalanceInterval is the time between two looks at the load of the own keys.
	rebalanceInterval = 500 * time.Millisecond
	// rebalanceCooldown is the time in milliseconds after moves in which their effect
	// on the loads shows.
	rebalanceCooldown clock.Millis = 2000
	// percent converts shares.
	percent = 100
)

// rebalanceLoop gives keys to other holders while their load is too much for the own
// upstream.
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
		described, _ := a.manifest.Load().Service(a.settings.Service())
		now := a.clock.Now()
		if described.Keyed && !a.stopping.Load() && now-last >= rebalanceCooldown && a.rebalance() {
			last = now
		}
	}
}

func (a *App) rebalance() bool {
	load := a.owner.Load()
	self := rebalance.Holder{Name: a.settings.Instance(), Demand: float64(load.DemandPercent) / percent, Capacity: requestCapacity(load.Slots, load.ServiceTime)}
	loads := a.entry.Loads()
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.custodian.Assignment()
	var others []rebalance.Holder
	for _, h := range d.Holders() {
		l, ok := loads[h.InstanceName()]
		if h.InstanceName() == self.Name || h.Leaving() || !ok || l.ServiceTime == 0 {
			continue
		}
		others = append(others, rebalance.Holder{
			Name: h.InstanceName(), Demand: float64(l.DemandPercent) / percent, Capacity: requestCapacity(l.Slots, l.ServiceTime), Ranges: len(d.OwnedBy(h.InstanceName())),
		})
	}
	moves := rebalance.Plan(self, others, d.OwnedBy(self.Name), a.owner.KeyRates())
	if len(moves) == 0 {
		return false
	}
	a.log.Info().Int("moves", len(moves)).Int("demandPercent", load.DemandPercent).Int("holders", len(others)+1).Msg("keysSpread")
	s.custodian.RequestMoves(a.clock.Now(), moves)
	return true
}

// requestCapacity returns the requests that can run in a second.
func requestCapacity(slots int, service clock.Millis) float64 {
	return float64(slots) * millisPerSecond / float64(max(service, 1))
}
