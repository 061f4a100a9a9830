package dedupe_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
