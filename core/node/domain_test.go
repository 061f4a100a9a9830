package node_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// TestDomainLoss guards against a recovery from the loss of a failure domain that takes
// longer than that from the loss of one daemon: many witnesses replace its members at
// once and compete for the same group rows.
func TestDomainLoss(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(envInt("BRIARWELL_DOMAIN_SEEDS", 1)) {
		s := newSim(seed, 128, upstream.FencingDeadline, 0)
		const members, domains = 42, 7
		for i := range members {
			domain := i % domains
			location := identity.NewLocation(fmt.Sprintf("r%d", domain%2), fmt.Sprintf("d%d", domain))
			s.after(s.rng.Int64N(2000), func() { s.start(i, location, true) })
		}
		s.runUntil(8000)
		for i := 0; i < members; i += domains {
			s.latestProcess(i).kill()
		}
		s.runUntil(8000 + lossRecoveryTarget)
		t.Logf("seed %d: time from the loss of a domain until served again, by key: %s", seed, distribution(s.recoveryTimes))
		is.Equal(s.failure, "")
		is.Equal(len(s.lostAt), 0) // all keys are served within the target
	}
}
