package keyowner_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/internal/mutation"
)

// TestRecoveryMutants guards against drill schedules that do not detect a missing guard: each mutant
// must fail them. BRIARWELL_MUTANTS sets the number of schedules for each mutant. Without it the test
// is skipped.
func TestRecoveryMutants(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("BRIARWELL_MUTANTS"))
	if err != nil {
		t.Skip("BRIARWELL_MUTANTS is not set")
	}
	for _, m := range []mutation.Mutant{
		mutation.New("era ignored in the order of revisions", "../era/era.go", "cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))", "cmp.Compare(r.number, other.number)"),
		mutation.New("content ordered by version", "../era/row.go", "Later(s.origin, other.origin)}", "Later(s.version, other.version)}"),
		mutation.New("epochs not raised in a new era", "../keyspace/era.go", "identity.Epoch(gap)*epochsPerEra", "identity.Epoch(gap)*0"),
		mutation.New("epochs raised by less than was lost", "../keyspace/era.go", "epochsPerEra = 1 << 20", "epochsPerEra = 1"),
		mutation.New("all owned ranges granted", "recovery.go", "return owned.Epoch() > c.assignment.EpochFloor() || c.assignment.EpochFloor() == 0 || c.recovery.isInherited(owned)", "return true"),
		mutation.New("ranges inherited without a lease", "recovery.go", "if _, ok := c.ownHolder(); ok && c.LeaseEnd() > c.now {", "if _, ok := c.ownHolder(); ok {"),
		mutation.New("ranges inherited after a lapse", "controller.go", "c.recovery.inherited = nil // The lease has lapsed meanwhile.", ""),
		mutation.New("changes made before daemons have compared", "recovery.go", "mergeDelay clock.Millis = 1500", "mergeDelay clock.Millis = 0"),
		mutation.New("keys given out before promises have expired", "recovery.go", "settleDelay = promiseLength + 2000", "settleDelay = mergeDelay"),
		mutation.New("lost holders dropped at once", "change.go", "if !ok || !a.Settled() ||", "if !ok ||"),
		mutation.New("keys reclaimed at once", "recovery.go", "!ok || !c.assignment.Settled() || c.LeaseEnd() <= c.now {", "!ok || c.LeaseEnd() <= c.now {"),
		mutation.New("keys taken over at once", "change.go", "known && h.Process() != last.Process && !c.assignment.Settled() {", "false && known && h.Process() != last.Process {"),
		mutation.New("keys of an ended upstream given out at once", "change.go", "case !c.assignment.Settled():", "case false:"),
		mutation.New("unowned keys dealt at once", "change.go", "!c.currentDistribution().assignable || !c.assignment.Settled() {", "!c.currentDistribution().assignable {"),
		mutation.New("a write in doubt forgotten in a new era", "recovery.go", "return !known.After(base) || known.Era() > base.Era() && c.recovery.contentEra != known.Era()", "return !known.After(base)"),
		mutation.New("released without certainty", "grant.go", "|| c.isReleased(owned.Span) || !c.isOwnedForCertain(owned) {", "|| c.isReleased(owned.Span) {"),
		mutation.New("witnesses of an earlier era renewed", "store_simulation_test.go", "bool { return known < witness }", "bool { return false }"),
		mutation.New("writes of an earlier era accepted", "store_simulation_test.go", "|| s.fenced > change.Base().Era() {", "{"),
	} {
		t.Run(m.Name(), func(t *testing.T) {
			is := is.New(t)
			output, err := m.Run(t.Context(), t.TempDir(), "TestSoleOwnerOfRestoredStore", "BRIARWELL_SCHEDULES="+strconv.Itoa(count), "BRIARWELL_MUTANTS=")
			is.True(err != nil) // the schedules must fail
			is.True(strings.Contains(output, "seed"))
			for line := range strings.Lines(output) {
				if strings.Contains(line, "seed") {
					t.Log(strings.TrimSpace(line))
				}
			}
		})
	}
}
