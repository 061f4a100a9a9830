package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/dispatch"
)

// TestFrozenDaemonFinishesWork guards against a request that is given up, or started on another
// instance, because the daemon that runs it is silent for longer than a frozen one is waited for
// by new requests.
func TestFrozenDaemonFinishesWork(t *testing.T) {
	for name, test := range map[string]struct{ idempotent, keyed bool }{
		"once":             {false, false},
		"once, keyed":      {false, true},
		"repeatable":       {true, false},
		"repeatable keyed": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster := &fakeCluster{owner: "a", replies: map[string][]dispatch.Reply{"any": {doneReply()}}, sendDelay: 750 * time.Millisecond}
			result := handle(cluster, manifest(test.idempotent, test.keyed, 3))
			is.Equal(result.Response.Status, 200)
			is.Equal(len(cluster.sentTo), 1)
		})
	}
}
