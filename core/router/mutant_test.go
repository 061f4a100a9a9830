package router_test

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/internal/mutation"
)

func mutants() []mutation.Mutant {
	return []mutation.Mutant{
		mutation.New("epoch not checked by the owner", "owner_checks.go", "case request.Epoch > ownership.Epoch:", "case false:"),
		mutation.New("ownership not checked by the owner", "owner_checks.go", "case !r.isOwner:", "case false:"),
		mutation.New("request of unknown outcome retried", "../retry/decide.go", "return attempt.Idempotent && o.Reason()", "return o.Reason()"),
		mutation.New("stamp of an older epoch accepted", "../dedupe/stamp.go", "if !ok || isHotKey != a.IsHotKey || epoch != a.Epoch {", "if !ok || isHotKey != a.IsHotKey || epoch > a.Epoch {"),
		mutation.New("lease not checked before the send", "owner_request.go", "if state != ownershipReady || r.ownership.Epoch != epoch {", "if state < 0 && r.ownership.Epoch != epoch {"),
		mutation.New("upstream deadline after the lease end", "owner_request.go", "return min(r.request.Deadline, leaseEnd)", "return r.request.Deadline"),
		mutation.New("request ID not recorded", "owner_checks.go", "r.mustRecord = true", "r.mustRecord = false"),
		mutation.New("handover does not wait for requests in flight", "request_tracker.go", "empty := state.inFlight == 0", "empty := true"),
		mutation.New("stopped shard admits requests", "request_tracker.go", "if t.isStoppedLocked(scope) {\n\t\treturn false", "if t.isStoppedLocked(scope) {\n\t\treturn true"),
	}
}

// TestMutants guards against a test suite that doesn't detect a fault in the request path. It
// runs only if BRIARWELL_MUTANTS is set, because each mutant compiles the package again.
func TestMutants(t *testing.T) {
	if os.Getenv("BRIARWELL_MUTANTS") == "" {
		t.Skip("BRIARWELL_MUTANTS is not set")
	}
	for _, mutant := range mutants() {
		t.Run(mutant.Name(), func(t *testing.T) {
			is := is.New(t)
			output, err := mutant.Run(t.Context(), t.TempDir(), "Test[^M]", "BRIARWELL_MUTANTS=")
			var failed *exec.ExitError
			is.True(errors.As(err, &failed)) // the tests must fail with the mutant
			timedOut := strings.Contains(output, "panic: test timed out")
			is.True(timedOut || strings.Contains(output, "--- FAIL: Test")) // the mutant must compile
			for line := range strings.Lines(output) {
				if strings.HasPrefix(line, "--- FAIL") {
					t.Log(strings.TrimSpace(line))
				}
			}
		})
	}
}
