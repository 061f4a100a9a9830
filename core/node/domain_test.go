package node_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// TestDomainLoss guards against a failure domain whose loss takes longer than
// that of one daemon: its members are replaced by many witnesses at once, which
// compete for the same group rows.
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
		s.run(8000)
		for i := 0; i < members; i += domains {
			s.current(i).kill()
		}
		s.run(8000 + lossTarget)
		t.Logf("seed %d: time from the loss of a domain to served again, by key: %s", seed, distribution(s.again))
		is.Equal(s.failure, "")
		is.Equal(len(s.lostAt), 0) // all served within the target
	}
}
